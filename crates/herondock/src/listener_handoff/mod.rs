//! Passing the sockets on from one process of an instance to the next, and what goes along.
pub mod protocol;
pub mod transferred_state;
