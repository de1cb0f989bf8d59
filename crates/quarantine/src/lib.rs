//! Quarantine for poison requests, which crash the endpoints that run them.
//!
//! A request whose content crashes an engine is sent again: by the system,
//! which retries requests after the loss of an endpoint, and by its caller,
//! with a new id and to any node. Unless the request's content is remembered,
//! each retry crashes another endpoint with all requests that run there.
//!
//! The loss of an endpoint also interrupts harmless requests, and these must
//! be served by another endpoint. A [`Crash`] is therefore evidence, not
//! proof. A [`CrashRecord`] holds the evidence against one request, and a
//! [`CrashRecordTable`] decides by it without I/O:
//!
//! - Only crashes of runs that do not overlap count. Overlapping runs may have
//!   been interrupted by one event.
//! - A crash counts half if the request had made progress before it.
//! - A run that gets well past the point of another crash refutes that crash;
//!   a complete response refutes all crashes.
//! - Crashes of several endpoints at once are rarely caused by a request. They
//!   are shared with other nodes only if there is further evidence.
//! - Items of a job share evidence ([`EvidenceKeys`]), since many of them may
//!   crash endpoints, each with a content of its own.
//! - Requests that share a part of their prompts share evidence against that
//!   part ([`Subject::PromptPart`]). Sound requests share the other parts, and
//!   each complete response releases them.
//! - Items are owed, and are held for seconds only.
//! - Calendar times that other nodes report are limited by the time at which
//!   the report arrived, since clocks may differ by seconds.
//!
//! After three crashes a request is quarantined, and then sent once as a probe
//! to correct a mistake: a harmless request completes and is released. Each
//! further crash or probe makes the quarantine longer. [`Quarantine`] does
//! this for a process and shares its records with other processes through the
//! key-value service, so that a quarantine applies on every node and survives
//! restarts. Each send needs a [`SendPermit`], so that no path to an endpoint
//! can omit the check.
//!
//! # Rejected alternatives
//!
//! - Counting crashes alone: a long batch item that runs next to poison
//!   requests collects three crashes within seconds.
//! - Exonerating requests that ran next to one with more evidence against it:
//!   two poison requests exonerate each other.
//! - Quarantining after the first crash: most interrupted requests are
//!   harmless.
//! - Separate records in each node: a fleet of `n` nodes would lose three
//!   times `n` endpoints.

mod crash;
mod crash_check;
mod keys;
mod options;

mod quarantine;
mod recent;
mod record;
mod sound_parts;
mod store;
mod table;

pub use crate::{
    crash::{Crash, CrashedEndpoint, RESPONSE_BEGINNING_MS},
    crash_check::has_crashed,
    keys::EvidenceKeys,
    options::QuarantineOptions,
    quarantine::{CrashRecordUpdate, Quarantine, Quarantined, SendPermit},
    record::{CrashRecord, ProbeOutcome, Subject},
    table::{CrashRecordTable, StoredRecord, Verdict},
};
