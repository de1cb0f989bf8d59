//! Fenced batch ledger as a state machine without I/O.
