//! Client of the platform's key-value service.
//!
//! The [`Kv`] trait covers the operations that the rest of the system uses:
//! compare-and-swap transactions, leases and watches. [`EtcdJson`] implements
//! it over the etcd v3 JSON gateway, and [`Memory`] is an in-memory fake for
//! tests. The fake and the stand-in server share the state machine in
//! [`mvcc`].
//!
//! # Errors
//!
//! Callers must distinguish one case of [`KvError`]: a write that failed with
//! [`KvError::Unknown`] may have taken effect. Its outcome is undecided until
//! the write is read back. [`ops::Writer`] does this by means of operation
//! ids.

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
