//! Stand-in: weights.
