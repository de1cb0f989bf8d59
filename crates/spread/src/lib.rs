//! Propagation of accepted configurations to every process, without I/O.
//!
//! A few processes of each failure domain, the relays, watch the key-value
//! service. Changes are pushed from process to process, and peers compare
//! revisions periodically, so propagation does not depend on any particular
//! relay. [`Propagator`] makes these decisions for one process; [`Document`]
//! is a configuration in parts and [`Delta`] the difference between two
//! revisions.
//!
//! Invariant: a process applies only revisions that are higher than all it
//! applied before.

mod document;
mod members;
mod message;
mod options;
mod propagator;
mod split;

pub use crate::{
    document::{Delta, Document, Part, Stamp},
    members::Hint,
    message::{Action, Event, Message, MessageKind},
    options::Options,
    propagator::Propagator,
    split::split,
};
