//! Settings that may change while the process runs.
use std::cell::RefCell;
use std::rc::Rc;

/// A value with many readers that is replaced as a whole. A reader keeps the version that it has obtained.
pub struct LiveConfig<T>(Rc<RefCell<Rc<T>>>);

impl<T> LiveConfig<T> {
    /// Creates the configuration with its initial value.
    pub fn new(value: T) -> LiveConfig<T> {
        LiveConfig(Rc::new(RefCell::new(Rc::new(value))))
    }

    /// Returns the current value.
    pub fn get(&self) -> Rc<T> {
        self.0.borrow().clone()
    }

    /// Replaces the value.
    pub fn set(&self, value: T) {
        *self.0.borrow_mut() = Rc::new(value);
    }
}

impl<T> Clone for LiveConfig<T> {
    fn clone(&self) -> Self {
        LiveConfig(self.0.clone())
    }
}
