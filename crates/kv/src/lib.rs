//! Client of the platform's key-value service.
//!
//! [`Kv`] is what the rest of the system needs of such a service:
//! compare-and-swap transactions, leases and watches. An adapter speaks the
//! etcd v3 JSON gateway; an in-memory fake serves focused tests.
//!
//! # Errors
//!
//! The one distinction that callers must make is in [`KvError`]: a write that
//! failed with [`KvError::Unknown`] may have taken effect. It is neither
//! success nor failure until it was read back; see the operation ids in the
//! ledger and the configuration.

mod model;

pub use crate::model::{
    Compare, Event, GetReply, KeyValue, Kv, KvError, KvFuture, LeaseId, Op,
    OpReply, Txn, TxnReply, WatchBatch, Watcher,
};
