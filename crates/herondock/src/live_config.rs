//! Settings that may change while the program runs.
use std::cell::RefCell;
use std::rc::Rc;

/// A value with many readers, replaced whole. Who has got it keeps the version that it got.
pub struct LiveConfig<T>(Rc<RefCell<Rc<T>>>);

impl<T> LiveConfig<T> {
    /// Begins with `value`.
    pub fn new(value: T) -> LiveConfig<T> {
        LiveConfig(Rc::new(RefCell::new(Rc::new(value))))
    }

    /// The value as it is now.
    pub fn get(&self) -> Rc<T> {
        self.0.borrow().clone()
    }

    /// Replaces it.
    pub fn set(&self, value: T) {
        *self.0.borrow_mut() = Rc::new(value);
    }
}

impl<T> Clone for LiveConfig<T> {
    fn clone(&self) -> Self {
        LiveConfig(self.0.clone())
    }
}
