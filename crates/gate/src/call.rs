use std::fmt;

use base::{Customer, Millis};
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

new_key_type! {
    /// Identifies a call or a batch item at the gate.
    pub struct CallKey;
}

/// An online call that asks for admission.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Customer that sent the call.
    pub customer: Customer,
    /// Weight of the customer in the fair queue.
    pub weight: u32,
}

/// A buffered batch item that is ready to run.
#[derive(Clone, Debug)]
pub struct BatchArrival {
    /// Customer that owns the item.
    pub customer: Customer,
    /// Weight of the customer in the fair queue.
    pub weight: u32,
    /// Deadline of the job.
    pub deadline: Millis,
}

/// An event of a call or of the endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The response is a stream, so its progress can be observed.
    StreamStarted(CallKey),
    /// The first token arrived.
    FirstToken(CallKey),
    /// A further token arrived.
    Token {
        /// Call that the token belongs to.
        key: CallKey,
        /// Time since the previous token.
        gap_us: u32,
    },
    /// The call ended and has left the endpoint.
    Ended {
        /// Call that ended.
        key: CallKey,
        /// How the call ended.
        end: End,
    },
    /// The caller of a waiting call disconnected.
    CallerLeft(CallKey),
    /// The engine was restarted or replaced.
    Restarted,
    /// The endpoint is shutting down and accepts no new calls.
    Drain,
    /// Time passed.
    Tick,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The response is complete.
    Done {
        /// Number of tokens in the response, 0 if unknown.
        tokens: u32,
    },
    /// The call ended in any other way.
    Failed,
}

/// An action that the owner of the gate has to carry out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Start the call at the endpoint.
    Start(CallKey),
    /// Reject a waiting online call; the gate has removed it.
    Reject(CallKey, Rejection),
    /// Return a waiting batch item; the gate has removed it.
    Return(CallKey),
    /// Cancel a running batch item. Its slot is free at once, but the owner
    /// still has to report its end.
    Stop(CallKey, StopReason),
}

/// Why a running batch item is cancelled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// An online call needs the slot. This does not count as a failed attempt.
    Preempted,
    /// The engine is stalled. This counts as a failed attempt; otherwise an
    /// item that stalls engines would be retried forever.
    Stalled,
}

/// A rejection of a call that did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rejection {
    /// Reason for the rejection.
    pub reason: RejectReason,
    /// Time until a slot is expected to be free, in milliseconds.
    pub retry_after_ms: u32,
}

/// Reason for a rejection.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectReason {
    /// The queue is full, or the expected wait exceeds the latency target.
    Full,
    /// The endpoint makes no progress.
    Stalled,
    /// The endpoint is shutting down.
    Leaving,
}

impl RejectReason {
    /// Returns the reason as human-readable text.
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
