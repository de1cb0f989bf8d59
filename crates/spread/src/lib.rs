//! How accepted configurations reach every process, without I/O.
//!
//! Few processes of each failure domain, the relays, watch the key-value
//! service. What changes goes on from process to process, and neighbours
//! compare revisions in between, so that no relay needs to be alive.
//! [`Propagator`] decides this for one process; [`Document`] is a configuration
//! in parts and [`Delta`] what moves.
//!
//! The promise: the revision that a process applies is higher than all that
//! it applied before.

mod document;
mod members;
mod message;
mod options;
mod propagator;
mod split;

pub use crate::{
    document::{Delta, Document, Part, Stamp},
    members::Hint,
    message::{Action, Event, Message, Step},
    options::Options,
    propagator::Propagator,
    split::split,
};
