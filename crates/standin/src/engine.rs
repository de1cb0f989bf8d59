//! Stand-in: engine.
