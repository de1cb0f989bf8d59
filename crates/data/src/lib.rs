//! The data role: bulk storage for other processes.
//!
//! [`DataRole`] answers the messages of the `wire` crate from a store; an
//! entry with a `data` section uses it in its own process. [`DataNode`] is a
//! process that has only this role.

mod error;
mod node;
mod repair;
mod role;
mod status;
mod upkeep;

pub use crate::{
    error::DataError,
    node::DataNode,
    repair::{Repair, Step},
    role::DataRole,
};
