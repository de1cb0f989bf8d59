//! The entry role: caller API, routing and batch partitions.
//!
//! Requests pass a chain of filters ([`filter`](self)) and are forwarded to an
//! endpoint. Controllers keep the configuration, the endpoints and the batch
//! partitions up to date. Each request reads immutable snapshots, which the
//! controllers replace as a whole.

mod api;
mod batch;
mod body;
mod claim;
mod claim_record;
mod claim_store;
mod config;
mod error;
mod exchange;
mod filter;
mod fleet;
mod forward;
mod node;
mod orders;
mod peers;
mod shared;

pub use crate::{
    config::{configuration_keys, first_configuration},
    error::EntryError,
    node::Entry,
};
