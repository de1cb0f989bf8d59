//! Messages between processes as plain types.

use base::{
    Class, Customer, FailureDomain, Incarnation, JobId, RequestId, Revision,
    VersionKey, VmId,
};
use bytes::Bytes;

/// Assigns wire codes to the variants of an enum in the given order, from 1.
///
/// Codes are never reused. An unknown code, sent by a newer process, decodes
/// as the given variant, which must be the most conservative one.
macro_rules! codes {
    ($name:ident, unknown decodes as $unknown:ident: $($variant:ident),*) => {
        impl $name {
            const ALL: &'static [$name] = &[$($name::$variant),*];

            /// Returns the wire code.
            #[inline]
            pub fn code(self) -> u16 {
                let index = Self::ALL.iter().position(|kind| *kind == self);
                index.map_or(0, |i| i as u16 + 1)
            }

            /// Returns the variant of a wire code; an unknown code decodes as
            /// the most conservative variant.
            #[inline]
            pub fn from_code(code: u16) -> Self {
                let index = usize::from(code).wrapping_sub(1);
                let known = Self::ALL.get(index).copied();
                known.unwrap_or($name::$unknown)
            }
        }
    };
}

/// Identity of a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Role from the settings: `entry`, `companion` or `data`.
    pub role: String,
    /// Machine that the process runs on.
    pub vm: VmId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Failure domain of the machine.
    pub failure_domain: FailureDomain,
}

/// A header of a call or a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value of the header.
    pub value: String,
}

/// A call to an endpoint, sent by an entry to the endpoint's companion.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Identifies the call in logs and messages.
    pub request_id: RequestId,
    /// Number of the attempt of this call, from 0.
    pub attempt: u32,
    /// Customer that made the call.
    pub customer: Customer,
    /// Request class, online or batch.
    pub class: Class,
    /// HTTP method.
    pub method: String,
    /// Path and query sent to the endpoint.
    pub path: String,
    /// Headers sent to the endpoint.
    pub headers: Vec<Header>,
    /// Body sent to the endpoint.
    pub body: Bytes,
    /// Time until the deadline of the call in milliseconds; 0 means no
    /// deadline. Sent as a duration because the clocks of two machines differ.
    pub deadline_ms: u64,
    /// Whether the call is idempotent.
    pub repeatable: bool,
    /// Number of tokens of the response that the caller already has.
    pub resume_offset: u32,
    /// Endpoint that the sender expects at the receiver. After a restart
    /// another endpoint may run at the same address; the receiver refuses
    /// calls to another target.
    pub target: String,
    /// The version that generated what the caller already has, if any. A
    /// companion of an endpoint of another version refuses the call.
    pub version: VersionKey,
}

/// Why a receiver refused a call. In each case the call did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub enum RefusalKind {
    /// The endpoint currently has no capacity for this class.
    Full,
    /// The endpoint is draining.
    Leaving,
    /// The endpoint is down or stalled.
    EndpointDown,
    /// The call is meant for another endpoint.
    WrongTarget,
    /// The deadline was exceeded.
    Late,
    /// An order carries a stale fencing token.
    StaleFence,
    /// The message exceeds a limit or is malformed.
    Invalid,
    /// A data VM has no free storage.
    NoSpace,
    /// Different bytes are stored under the same id, or a blob is corrupted.
    Conflict,
    /// The receiver does not have this role.
    WrongRole,
    /// An internal error occurred at the receiver.
    Failed,
    /// The endpoint runs another software version than the one that began the
    /// response.
    WrongVersion,
}

codes! {
    RefusalKind, unknown decodes as Failed:
    Full, Leaving, EndpointDown, WrongTarget, Late, StaleFence, Invalid, NoSpace, Conflict, WrongRole, Failed, WrongVersion
}

/// A refusal with its reason; the refused call did not run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Kind of the reason.
    pub kind: RefusalKind,
    /// Human-readable reason.
    pub detail: String,
    /// Delay after which to retry, in milliseconds; 0 if not specified.
    pub retry_after_ms: u32,
}

impl Refusal {
    /// Creates a refusal without a retry delay.
    pub fn new(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after_ms: 0,
        }
    }

    /// Sets the delay after which to retry.
    pub fn retry_after_ms(mut self, ms: u32) -> Self {
        self.retry_after_ms = ms;
        self
    }
}

/// How an accepted call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub enum OutcomeKind {
    /// The response is complete, including its end marker.
    Complete,
    /// The endpoint ended the response before its end marker.
    Truncated,
    /// The endpoint could not be reached and did not receive the call.
    NotSent,
    /// The connection to the endpoint broke or timed out.
    Broken,
    /// The deadline was exceeded.
    TimedOut,
    /// The caller or the companion cancelled the call.
    Cancelled,
    /// The connection broke because the endpoint crashed.
    Crashed,
}

codes! {
    OutcomeKind, unknown decodes as Broken:
    Complete, Truncated, NotSent, Broken, TimedOut, Cancelled, Crashed
}

/// Final result of an accepted call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// How the call ended.
    pub kind: OutcomeKind,
    /// Whether the endpoint may have received the call; `false` only if it
    /// certainly did not.
    pub ran: bool,
    /// Human-readable reason.
    pub detail: String,
    /// Number of chunks sent before the end, for the receiver to verify.
    pub chunks: u32,
}

/// A frame of a streamed response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Frame {
    /// Status and headers; the first frame.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers of the endpoint's response.
        headers: Vec<Header>,
    },
    /// The next part of the body: one complete event of an event stream,
    /// otherwise an arbitrary piece.
    Chunk {
        /// Sequence number of the chunk, from 0 without gaps.
        seq: u32,
        /// Bytes of the chunk.
        bytes: Bytes,
    },
    /// The last frame.
    End(Outcome),
}

/// Load of an endpoint, reported by its companion.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Number of calls that run at the endpoint.
    pub running: u32,
    /// Number of online calls that are queued at the companion.
    pub waiting: u32,
    /// Number of batch items that run at the endpoint.
    pub batch_running: u32,
    /// Recent 95th percentile of the time to the first token.
    pub first_token_ms: u32,
    /// Recent 95th percentile of the time between tokens.
    pub between_tokens_ms: u32,
    /// Whether the endpoint is draining and accepts no new work.
    pub leaving: bool,
    /// Incarnation of the companion.
    pub incarnation: Incarnation,
    /// Whether the endpoint responds.
    pub endpoint_up: bool,
    /// Software version of the endpoint.
    pub version: VersionKey,
}

/// A batch item granted to a companion.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Id of the grant.
    pub grant: u64,
    /// Partition of the job.
    pub partition: u32,
    /// Fencing token of the partition owner that granted the item.
    pub fence: u64,
    /// Id of the job.
    pub job: JobId,
    /// Index of the item in its job, from 0.
    pub index: u32,
    /// Number of the attempt of the item, from 0.
    pub attempt: u32,
    /// Customer that submitted the job.
    pub customer: Customer,
    /// Path sent to the endpoint.
    pub path: String,
    /// Body sent to the endpoint.
    pub body: Bytes,
    /// Time until the grant expires unless renewed, in milliseconds.
    pub expires_in_ms: u32,
    /// Deadline of the job.
    pub due_unix_ms: u64,
}

/// Outcome of an item at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub enum ItemOutcome {
    /// The endpoint returned a complete response; see `status`.
    Answered,
    /// The call did not run or its response was lost; the item is retried.
    Lost,
    /// The item was returned before it was attempted.
    Returned,
    /// The endpoint crashed while it ran the item; the item is retried on
    /// another endpoint.
    Crashed,
}

impl ItemOutcome {
    /// Returns the wire code.
    #[inline]
    pub fn code(self) -> u16 {
        match self {
            ItemOutcome::Answered => 1,
            ItemOutcome::Lost => 2,
            ItemOutcome::Returned => 3,
            ItemOutcome::Crashed => 4,
        }
    }

    /// Returns the outcome of a wire code; an unknown code decodes as `Lost`,
    /// which only costs another attempt.
    #[inline]
    pub fn from_code(code: u16) -> Self {
        match code {
            1 => ItemOutcome::Answered,
            3 => ItemOutcome::Returned,
            4 => ItemOutcome::Crashed,
            _ => ItemOutcome::Lost,
        }
    }
}

/// Result of a granted item, sent by a companion.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemResult {
    /// Id of the grant.
    pub grant: u64,
    /// Partition of the job.
    pub partition: u32,
    /// Fencing token of the partition owner that granted the item.
    pub fence: u64,
    /// Id of the job.
    pub job: JobId,
    /// Index of the item in the job.
    pub index: u32,
    /// Number of the attempt, as granted.
    pub attempt: u32,
    /// Outcome of the item.
    pub outcome: ItemOutcome,
    /// HTTP status of the endpoint's response.
    pub status: u16,
    /// Body of the endpoint's response.
    pub body: Bytes,
}

/// Request of a companion for batch items.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pull {
    /// Machine of the companion.
    pub vm: VmId,
    /// Incarnation of the companion; grants of earlier incarnations are void.
    pub incarnation: Incarnation,
    /// Models that the companion's endpoint serves.
    pub models: Vec<String>,
    /// Maximum number of items to grant.
    pub capacity: u32,
    /// Grants that the companion still holds; the request renews them.
    pub running: Vec<u64>,
}

/// Response to [`Pull`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PullReply {
    /// Newly granted items.
    pub items: Vec<Item>,
    /// Grants whose items must be aborted.
    pub revoked: Vec<u64>,
    /// Time until the next pull, in milliseconds, unless an event triggers one
    /// earlier.
    pub next_in_ms: u32,
}

/// An order for an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Fencing token; orders with an older token than the last accepted one
    /// are refused.
    pub fence: u64,
    /// Kind of the order, for example `load_model`.
    pub kind: String,
    /// JSON body for the endpoint.
    pub body: Bytes,
}

/// A blob of a data VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredBlob {
    /// Content of the blob.
    pub bytes: Bytes,
    /// CRC-32 of the content, as supplied when the blob was stored.
    pub crc: u32,
}

/// Storage usage of a data VM.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreStat {
    /// Number of blobs.
    pub blobs: u64,
    /// Total size of the blobs.
    pub bytes: u64,
    /// Storage quota.
    pub quota_bytes: u64,
}

/// The active configuration of another process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigText {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Text of the configuration.
    pub bytes: Bytes,
}
