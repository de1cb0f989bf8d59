//! The roles of a small fleet: `front` takes callers' requests, `worker`
//! runs the items of batch jobs.
//!
//! What they agree on lies in the key-value service: the operators'
//! configuration, the endpoints, the jobs. Nothing else outlasts a process
//! but jobs that are accepted while the service does not answer; they wait on
//! the disks of two workers until it does.
//! How all that is spelled there and on the wire is told by a [`Dialect`],
//! of which each platform has one; nothing here knows a name of a platform.

mod admin;
mod base;
mod cluster;
mod commit_wire;
mod commits;
mod crash;
mod dialect;
mod error;
mod feed;
mod feed_wire;
mod follow;
mod front;
mod intake;
mod job_heads;
mod job_push;
mod job_spool;
mod load;
mod membership;
mod own_writes;
mod peer;
mod probe;
mod quota;
mod readers;
mod refusals;
mod settings;
mod siblings;
mod start_list;
mod tree;
mod turns;
mod usage;
mod vacate;
mod watch;
mod worker;

pub use crate::{
    admin::Admin,
    base::NodeContext,
    cluster::{ClusterState, ConfigBounds},
    dialect::{
        Dialect, DialectError, JobCall, OperatorOrder, VacateOrder,
        VacateState,
    },
    error::NodeError,
    front::Front,
    settings::{NodeSettings, Signals},
    worker::Worker,
};
