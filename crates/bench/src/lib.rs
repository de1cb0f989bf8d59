//! Measurements of the whole system.
