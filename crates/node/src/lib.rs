//! The roles of a small fleet: `front` serves callers' requests, `worker` runs
//! the items of batch jobs.
//!
//! The state that roles share is stored in the key-value service: the
//! operators' configuration, the endpoints and the jobs. The only other state
//! that outlives a process is jobs accepted while the key-value service is
//! unavailable; they are spooled on the disks of two workers until it is
//! available again.
//!
//! A [`Dialect`] defines how this state is encoded in the key-value service
//! and on the wire. Each platform has its own dialect; this crate contains no
//! platform names.

mod admin;
mod base;
mod bootstrap_list;
mod caller_limits;
mod cluster;
mod commit_wire;
mod commits;
mod crash;
mod crash_news;
mod customers_file;
mod dialect;
mod error;
mod feed;
mod feed_wire;
mod follow;
mod front;
mod intake;
mod job_manifests;
mod job_push;
mod job_spool;
mod lease_terms;
mod load;
mod membership;
mod origins;
mod peer;
mod peer_addresses;
mod peer_bodies;
mod peer_bulk;
mod planned_stop;
mod probe;
mod quota;
mod readers;
mod refusals;
mod settings;
mod spool_client;
mod spool_marks;
mod tree;
mod turns;
mod unknown_jobs;
mod usage;
mod vacate;
mod watch;
mod worker;
mod write_through;

pub use budget::{BodyPace, MemoryShares};
pub use fleet::EndpointSpeed;
pub use pass::LingerLimits;

pub use crate::{
    admin::Admin,
    base::NodeContext,
    caller_limits::CallerLimits,
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
