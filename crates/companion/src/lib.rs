//! The companion role: the admission gate beside one endpoint.
