//! The data role: bulk storage for other processes.
//!
//! [`DataRole`] serves the data messages of the `wire` crate from a store; an
//! entry with a `data` section runs it in its own process. [`DataNode`] is a
//! process that has only this role.

mod error;
mod maintenance;
mod node;
mod repair;
mod role;
mod status;

pub use crate::{
    error::DataError,
    node::DataNode,
    repair::{Repair, RepairStep},
    role::DataRole,
};
