//! Companion admission as a state machine without I/O.
