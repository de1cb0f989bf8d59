use std::fmt;

use base::{Customer, Millis};
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

new_key_type! {
    /// Names one call or batch item at the gate.
    pub struct CallKey;
}

/// An online call that wants to run.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Customer.
    pub customer: Customer,
    /// Turns that the customer gets for each turn of one of weight 1.
    pub weight: u32,
}

/// A batch item that is in hand and may run.
#[derive(Clone, Debug)]
pub struct BatchArrival {
    /// Customer.
    pub customer: Customer,
    /// Turns that the customer gets for each turn of one of weight 1.
    pub weight: u32,
    /// When the job is deadline.
    pub deadline: Millis,
}

/// Something that happened to a call or to the endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The answer is a stream, so that it shows its progress.
    StreamStarted(CallKey),
    /// The first token came.
    FirstToken(CallKey),
    /// A further token came.
    Token {
        /// Call.
        key: CallKey,
        /// Time since the token before it.
        gap_us: u32,
    },
    /// The call ended and has left the endpoint.
    Ended {
        /// Call.
        key: CallKey,
        /// How.
        end: End,
    },
    /// Nobody wants a waiting call any more.
    CallerLeft(CallKey),
    /// The engine is another one than before.
    Restarted,
    /// The endpoint is leaving: nothing new is taken.
    Drain,
    /// Time has passed.
    Tick,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// With a whole answer of so many tokens, if that is known.
    Done {
        /// Tokens of the answer, 0 if unknown.
        tokens: u32,
    },
    /// In any other way.
    Failed,
}

/// What the owner of the gate has to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Start the call at the endpoint.
    Start(CallKey),
    /// Give a waiting online call its refusal; the gate has forgotten it.
    Reject(CallKey, Rejection),
    /// Give a waiting batch item back; the gate has forgotten it.
    Return(CallKey),
    /// Cancel a running batch item. Its place is free at once; it still
    /// has to be reported as ended.
    Stop(CallKey, StopReason),
}

/// Why a running batch item is cancelled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// An online call needs its place; this is no failed attempt.
    Preempted,
    /// The engine stands still. This counts as an attempt, else an item
    /// that brings engines to a halt would go round for ever.
    Stalled,
}

/// A refusal; the call did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rejection {
    /// Reason.
    pub reason: RejectReason,
    /// When a place can be expected, in milliseconds.
    pub retry_after_ms: u32,
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectReason {
    /// The queue is full, or too long for the promise.
    Full,
    /// The endpoint makes no progress.
    Stalled,
    /// The endpoint is leaving.
    Leaving,
}

impl RejectReason {
    /// Returns the reason for people.
    pub fn as_str(self) -> &'static str {
        match self {
            RejectReason::Full => "the endpoint is full",
            RejectReason::Stalled => "the endpoint makes no progress",
            RejectReason::Leaving => "the endpoint is leaving",
        }
    }
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
