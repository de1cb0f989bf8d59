//! The companion role: the admission gate beside one endpoint.
//!
//! Entries push online calls to a companion. The companion pulls batch items
//! while its endpoint has free capacity. Engines have no priorities and admit
//! every request, so the companion is the component that gives online calls
//! precedence over batch items. The `gate` crate makes the decisions.

mod admission;
mod error;
mod grants;
mod handler;
mod item;
mod node;
mod probe;
mod pull;
mod report;
mod rota;
mod status;

pub use gate::Policy;

pub use crate::{error::CompanionError, node::Companion};
