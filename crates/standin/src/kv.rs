//! Stand-in: kv.
