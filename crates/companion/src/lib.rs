//! The companion role: the admission gate beside one endpoint.
//!
//! Online calls are pushed to a companion by entries; batch items are pulled
//! by it while its endpoint has room. Engines know no priorities and admit
//! all that arrives, so the companion is where an online call goes before a
//! batch item. The decisions are those of the `gate` crate.

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
