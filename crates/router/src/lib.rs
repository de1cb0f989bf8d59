//! Endpoint selection and health as a state machine without I/O.
