//! Measurements of the whole system.
//!
//! Each measurement is a file in `benches`, run by `cargo bench --bench NAME
//! -- [--small] [--json] [--seed N]`. What they share is here: a [`Fleet`]
//! of real processes with settings made from `examples/settings`, their
//! memory and processor time, and the print of [`Table`]s.
//!
//! The product starts no processes; only this package does, and it ends all
//! of them when the fleet is dropped.

mod binaries;
mod caller;
mod error;
mod fleet;
mod http;
mod options;
mod process;
mod settings;
mod table;
mod usage;

pub use crate::{
    binaries::Binaries,
    caller::Caller,
    error::BenchError,
    fleet::{CUSTOMER_KEY, Fleet, FleetOptions, OPERATOR_KEY},
    http::{get_json, post_json},
    options::{Options, run},
    process::{Process, Ready},
    table::Table,
    usage::Usage,
};
