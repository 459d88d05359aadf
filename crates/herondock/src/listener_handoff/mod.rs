//! Listener handoff: a running process (the predecessor) passes its listening sockets and some of its state to a new process
//! of the same instance (the successor).
pub mod protocol;
pub mod transferred_state;
