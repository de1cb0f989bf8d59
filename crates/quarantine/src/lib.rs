//! Keeps requests that crash the endpoints that run them from reaching more
//! of them.
//!
//! A request whose content makes an engine crash is sent again: by the
//! system, which takes the loss of an endpoint for an accident, and by its
//! caller, with a new id and to any node. Without a memory of the request's
//! content each try ends one more endpoint, with all that runs there.
//!
//! The same loss of an endpoint hits requests that were merely running, and
//! these are to be served by another one. So a [`Crash`] is evidence, not
//! proof. [`CrashRecord`] holds what speaks against one request, [`CrashRecordTable`]
//! decides by it without I/O:
//!
//! - Only crashes one after the other count. Runs that overlap may have been
//!   ended by one event.
//! - A crash counts half if the request had got on before it.
//! - A run that gets well past the point of another crash refutes that one, a
//!   whole answer refutes all.
//! - Crashes of several endpoints at once are hardly a request's doing. They
//!   are shared with other nodes only if more is known of the request.
//!
//! - Items of a job share evidence ([`EvidenceKeys`]): many of them may crash
//!   endpoints, each with a content of its own.
//! - Times of day that other nodes report are bounded by the time at which
//!   the report arrived, as their clocks may be seconds off.
//!
//! After three crashes a request is held, and then let through once, on
//! trial, to correct a mistake: a sound request is answered and cleared. Each
//! further crash or trial makes the hold longer. [`Quarantine`] does this for
//! a process and shares it with others through the key-value service, so
//! that it holds on every node and after restarts. A [`SendPermit`] is needed
//! for each send, so that no path to an endpoint can leave out the check.
//!
//! # What was rejected
//!
//! Counting crashes alone: a long batch item next to such requests collects
//! three crashes within seconds. Letting off whoever ran next to a request
//! against which more speaks: two requests that both crash endpoints let each
//! other off. Judging by the first crash: most requests
//! that are cut off are sound. A memory in each node: a fleet of `n` nodes
//! would lose three times `n` endpoints.

mod crash;
mod crash_check;
mod keys;
mod options;

mod quarantine;
mod recent;
mod record;
mod store;
mod table;

pub use crate::{
    crash::{Crash, CrashedEndpoint},
    crash_check::has_crashed,
    keys::EvidenceKeys,
    options::QuarantineOptions,
    quarantine::{CrashRecordUpdate, Quarantine, Quarantined, SendPermit},
    record::CrashRecord,
    table::{CrashRecordTable, StoredRecord, Verdict},
};
