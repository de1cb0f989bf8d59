//! Client of the platform's key-value service.
//!
//! [`Kv`] is what the rest of the system needs of such a service:
//! compare-and-swap transactions, leases and watches. [`EtcdJson`] speaks
//! the etcd v3 JSON gateway; [`Memory`] is an in-memory fake for focused
//! tests. Both the fake and the stand-in server run on [`mvcc`].
//!
//! # Errors
//!
//! The one distinction that callers must make is in [`KvError`]: a write that
//! failed with [`KvError::Unknown`] may have taken effect. It is neither
//! success nor failure until it was read back; [`ops::Writer`] does that by
//! operation ids.

mod backoff;
pub mod batch;
mod etcd;
pub mod json;
pub mod lease;
mod memory;
mod model;
pub mod mvcc;
pub mod ops;
pub mod paths;

pub use crate::{
    backoff::Backoff,
    etcd::{EtcdJson, EtcdJsonOptions},
    memory::{Memory, MemoryCounts, WriteFault},
    model::{
        BatchingKv, Compare, Event, GetReply, KeyValue, Kv, KvError, KvFuture,
        LeaseId, Op, OpReply, Txn, TxnReply, WatchBatch, Watcher,
    },
};
