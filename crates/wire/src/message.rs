//! The messages as plain types.

use base::{
    Class, Customer, FailureDomain, Incarnation, JobId, RequestId, Revision,
    VmId,
};
use bytes::Bytes;

/// Numbers the variants of an enum on the wire in the order given, from 1.
///
/// Numbers are never reused, and a number that a newer process sent reads as
/// the variant that promises least.
macro_rules! codes {
    ($name:ident, unknown reads as $unknown:ident: $($variant:ident),*) => {
        impl $name {
            const ALL: &'static [$name] = &[$($name::$variant),*];

            /// Returns the number on the wire.
            #[inline]
            pub fn code(self) -> u16 {
                let index = Self::ALL.iter().position(|kind| *kind == self);
                index.map_or(0, |i| i as u16 + 1)
            }

            /// Returns the variant of a number; an unknown one reads as the
            /// variant that promises least.
            #[inline]
            pub fn from_code(code: u16) -> Self {
                let index = usize::from(code).wrapping_sub(1);
                let known = Self::ALL.get(index).copied();
                known.unwrap_or($name::$unknown)
            }
        }
    };
}

/// Says who a process is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Role in its settings: `entry`, `companion` or `data`.
    pub role: String,
    /// Machine that it runs on.
    pub vm: VmId,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Failure domain of the machine.
    pub failure_domain: FailureDomain,
}

/// One header of a call or an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// A call for one endpoint, as an entry sends it to a companion.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Names the call in logs and on every message.
    pub request_id: RequestId,
    /// Counts the sends of the same call, from 0.
    pub attempt: u32,
    /// Customer that the call belongs to.
    pub customer: Customer,
    /// Online or batch.
    pub class: Class,
    /// HTTP method.
    pub method: String,
    /// Path and query towards the endpoint.
    pub path: String,
    /// Headers towards the endpoint.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
    /// Time that the sender still gives the call, in milliseconds; 0 is no
    /// limit. A span, not a point in time: the clocks of two machines differ.
    pub deadline_ms: u64,
    /// Tells whether running the call twice does no harm.
    pub repeatable: bool,
    /// Tokens of the answer that the caller already has.
    pub resume_offset: u32,
    /// Endpoint that the sender expects at the receiver. After a restart
    /// another endpoint may live at the same address; the receiver refuses
    /// what is not meant for it.
    pub target: String,
}

/// Why a companion did not take a call. In each case the call did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub enum RefusalKind {
    /// The endpoint has no room for this class now.
    Full,
    /// The endpoint is leaving.
    Leaving,
    /// The endpoint is down or stalled.
    EndpointDown,
    /// The call is meant for another endpoint.
    WrongTarget,
    /// The deadline has passed.
    Late,
    /// An order carries an old fencing number.
    StaleFence,
    /// The message breaks a limit or makes no sense.
    Invalid,
    /// A data VM has no space.
    NoSpace,
    /// Other bytes are stored under the same id, or a blob is damaged.
    Conflict,
    /// The receiver does not have this role.
    WrongRole,
    /// The receiver failed inside.
    Failed,
}

codes! {
    RefusalKind, unknown reads as Failed:
    Full, Leaving, EndpointDown, WrongTarget, Late, StaleFence, Invalid, NoSpace, Conflict, WrongRole, Failed
}

/// A refusal with its reason; what it answers did not run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason by kind.
    pub kind: RefusalKind,
    /// Reason for people.
    pub detail: String,
    /// When to come back, in milliseconds; 0 says nothing.
    pub retry_after_ms: u32,
}

impl Refusal {
    /// Makes a refusal that says nothing of when to come back.
    pub fn new(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after_ms: 0,
        }
    }

    /// Sets when to come back.
    pub fn retry_after_ms(mut self, ms: u32) -> Self {
        self.retry_after_ms = ms;
        self
    }
}

/// How an accepted call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub enum OutcomeKind {
    /// The answer is whole, its end mark was seen.
    Complete,
    /// The endpoint ended the answer before its end mark.
    Truncated,
    /// The endpoint could not be reached; it saw nothing of the call.
    NotSent,
    /// The connection to the endpoint broke or went silent.
    Broken,
    /// The deadline passed.
    TimedOut,
    /// The caller or the companion cancelled it.
    Cancelled,
    /// The connection broke as the endpoint crashed.
    Crashed,
}

codes! {
    OutcomeKind, unknown reads as Broken:
    Complete, Truncated, NotSent, Broken, TimedOut, Cancelled, Crashed
}

/// The end of an accepted call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// How it ended.
    pub kind: OutcomeKind,
    /// Whether the endpoint may have seen the call. `false` is said only
    /// when that is certain.
    pub ran: bool,
    /// Reason for people.
    pub detail: String,
    /// Chunks sent before the end; the receiver compares.
    pub chunks: u32,
}

/// A piece of an answer on its way to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Frame {
    /// Status and headers; the first frame.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers of the endpoint.
        headers: Vec<Header>,
    },
    /// The next part of the body: one whole event of an event stream, or
    /// any bytes otherwise.
    Chunk {
        /// Counts from 0 without a gap.
        seq: u32,
        /// The bytes.
        bytes: Bytes,
    },
    /// The last frame.
    End(Outcome),
}

/// What a companion says of its endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Calls that run at the endpoint.
    pub running: u32,
    /// Online calls that wait at the companion.
    pub waiting: u32,
    /// Batch items that run at the endpoint.
    pub batch_running: u32,
    /// Recent 95th percentile of the time to the first token.
    pub first_token_ms: u32,
    /// Recent 95th percentile of the time between tokens.
    pub between_tokens_ms: u32,
    /// Set when the endpoint takes no new work.
    pub leaving: bool,
    /// Life of the companion.
    pub incarnation: Incarnation,
    /// Set when the endpoint answers.
    pub endpoint_up: bool,
}

/// A batch item on loan to a companion.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Names the loan.
    pub grant: u64,
    /// Partition of the job.
    pub partition: u32,
    /// Fencing number of the owner that granted it.
    pub fence: u64,
    /// Job.
    pub job: JobId,
    /// Place of the item in its job, from 0.
    pub index: u32,
    /// Counts the loans of the item, from 0.
    pub attempt: u32,
    /// Customer.
    pub customer: Customer,
    /// Path towards the endpoint.
    pub path: String,
    /// Body of the call.
    pub body: Bytes,
    /// When the loan ends unless it is renewed, in milliseconds.
    pub expires_in_ms: u32,
    /// When the job is due.
    pub due_unix_ms: u64,
}

/// What became of an item at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub enum ItemOutcome {
    /// A whole answer; `status` says which.
    Answered,
    /// The call may not have run or its answer is lost; try again.
    Lost,
    /// Given back before it was tried.
    Returned,
    /// The endpoint crashed while it ran the item; try again elsewhere.
    Crashed,
}

impl ItemOutcome {
    /// Returns the number on the wire.
    #[inline]
    pub fn code(self) -> u16 {
        match self {
            ItemOutcome::Answered => 1,
            ItemOutcome::Lost => 2,
            ItemOutcome::Returned => 3,
            ItemOutcome::Crashed => 4,
        }
    }

    /// Returns the outcome of a number; an unknown one counts as lost, which
    /// only costs another attempt.
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

/// A companion's word on an item that it had on loan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemResult {
    /// The loan.
    pub grant: u64,
    /// Partition of the job.
    pub partition: u32,
    /// Fencing number of the granting owner.
    pub fence: u64,
    /// Job.
    pub job: JobId,
    /// Place in the job.
    pub index: u32,
    /// Attempt as granted.
    pub attempt: u32,
    /// What became of it.
    pub outcome: ItemOutcome,
    /// HTTP status of the endpoint's answer.
    pub status: u16,
    /// Body of the endpoint's answer.
    pub body: Bytes,
}

/// A companion asks for batch items.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pull {
    /// The companion's machine.
    pub vm: VmId,
    /// The companion's life; loans of an earlier one are void.
    pub incarnation: Incarnation,
    /// Models that its endpoint serves.
    pub models: Vec<String>,
    /// Most items to grant.
    pub room: u32,
    /// Loans that it still holds.
    pub running: Vec<u64>,
}

/// The answer to [`Pull`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PullReply {
    /// New loans.
    pub items: Vec<Item>,
    /// Loans to stop at once.
    pub revoked: Vec<u64>,
    /// When to ask again if nothing else happens, in milliseconds.
    pub next_in_ms: u32,
}

/// An order for an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Fencing number; an older one than the last obeyed is refused.
    pub fence: u64,
    /// Kind of order, for example `load_model`.
    pub kind: String,
    /// JSON body for the endpoint.
    pub body: Bytes,
}

/// A blob as read from a data VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredBlob {
    /// The bytes.
    pub bytes: Bytes,
    /// CRC-32 of the bytes, as given when they were stored.
    pub crc: u32,
}

/// What a data VM holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreStat {
    /// Number of blobs.
    pub blobs: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Most bytes that it takes.
    pub quota_bytes: u64,
}

/// The configuration that another process has in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigText {
    /// Its revision.
    pub revision: Revision,
    /// Its text.
    pub bytes: Bytes,
}
