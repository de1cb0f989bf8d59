//! Small stand-ins of the platform and the endpoints, for tests and the demo.
//!
//! Each is a real server on a loopback socket that speaks the published
//! protocol of what it stands for, with faults that can be switched on.

pub mod answer;
pub mod delivery;
pub mod engine;
mod error;
pub mod kv;
mod serve;
pub mod service;
pub mod vms;
pub mod weights;

pub use crate::error::StandinError;
