//! Stand-in: service.
