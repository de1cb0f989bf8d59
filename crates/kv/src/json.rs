//! Bodies of the etcd v3 JSON gateway.
//!
//! Keys and values are base64 texts and 64-bit numbers are decimal texts,
//! for JSON numbers lose precision beyond 53 bits. A field with its default
//! value is left out of an answer, as protobuf's JSON mapping does it.
//!
//! # Example
//!
//! ```
//! use pomeloslip_kv::json::{Blob, KeyValue};
//!
//! let kv = KeyValue {
//!     key: Blob(b"a".to_vec()),
//!     mod_revision: 7_u64.into(),
//!     ..KeyValue::default()
//! };
//! let text = serde_json::to_string(&kv)?;
//! assert_eq!(text, r#"{"key":"YQ==","mod_revision":"7"}"#);
//! # Ok::<(), serde_json::Error>(())
//! ```

use std::{borrow::Cow, fmt};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// A 64-bit number, written as a decimal text.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd)]
pub struct Int(pub i64);

impl Int {
    /// Returns the number, 0 for a negative one.
    #[inline]
    pub fn get_u64(self) -> u64 {
        self.0.try_into().unwrap_or(0)
    }
}

impl From<i64> for Int {
    fn from(number: i64) -> Self {
        Self(number)
    }
}

impl From<u64> for Int {
    fn from(number: u64) -> Self {
        Self(number.try_into().unwrap_or(i64::MAX))
    }
}

impl Serialize for Int {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Visitor;

        impl de::Visitor<'_> for Visitor {
            type Value = Int;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a 64-bit number or its decimal text")
            }

            fn visit_i64<E: de::Error>(self, n: i64) -> Result<Int, E> {
                Ok(Int(n))
            }

            fn visit_u64<E: de::Error>(self, n: u64) -> Result<Int, E> {
                n.try_into().map(Int).map_err(E::custom)
            }

            fn visit_str<E: de::Error>(self, text: &str) -> Result<Int, E> {
                text.parse().map(Int).map_err(E::custom)
            }
        }

        from.deserialize_any(Visitor)
    }
}

/// Bytes, written as a base64 text.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Blob(pub Vec<u8>);

impl From<&str> for Blob {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = Cow::<str>::deserialize(from)?;
        let bytes = STANDARD.decode(text.as_ref());
        bytes.map(Blob).map_err(de::Error::custom)
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Defines messages whose fields may be missing and are left out if they
/// have their default value.
macro_rules! messages {
    ($(
        $(#[$doc:meta])*
        $name:ident {
            $($(#[$attr:meta])* $field:ident: $kind:ty,)*
        }
    )*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
        )]
        #[serde(default)]
        pub struct $name {
            $(
                $(#[$attr])*
                #[serde(skip_serializing_if = "is_default")]
                pub $field: $kind,
            )*
        }
    )*};
}

messages! {
    /// Head of every answer.
    #[derive(Copy)]
    Header {
        /// Names the cluster.
        cluster_id: Int,
        /// Names the member that answered.
        member_id: Int,
        /// Revision of the store.
        revision: Int,
        /// Term of the cluster's leader.
        raft_term: Int,
    }

    /// One key with its value and revisions.
    KeyValue {
        /// The key.
        key: Blob,
        /// Revision at which it came to be.
        create_revision: Int,
        /// Revision of its last write.
        mod_revision: Int,
        /// Number of writes since it came to be.
        version: Int,
        /// The value.
        value: Blob,
        /// Lease that it ends with.
        lease: Int,
    }

    /// Reads keys.
    RangeRequest {
        /// First key.
        key: Blob,
        /// Key behind the last one; empty for one key, a zero byte for all.
        #[serde(alias = "rangeEnd")]
        range_end: Blob,
        /// Most keys to return; 0 is no limit.
        limit: Int,
        /// Revision to read at; 0 is the current one.
        revision: Int,
        /// Leaves out the values.
        #[serde(alias = "keysOnly")]
        keys_only: bool,
        /// Returns only the number of keys.
        #[serde(alias = "countOnly")]
        count_only: bool,
    }

    /// Answers a [`RangeRequest`].
    RangeResponse {
        /// Head.
        header: Header,
        /// The keys in order.
        kvs: Vec<KeyValue>,
        /// Tells that the limit left some out.
        more: bool,
        /// Number of selected keys, also beyond the limit.
        count: Int,
    }

    /// Writes one key.
    PutRequest {
        /// Key to write.
        key: Blob,
        /// New value.
        value: Blob,
        /// Lease that it ends with; 0 is none.
        lease: Int,
        /// Asks for the record before.
        #[serde(alias = "prevKv")]
        prev_kv: bool,
    }

    /// Answers a [`PutRequest`].
    PutResponse {
        /// Head.
        header: Header,
        /// Record before, if asked for.
        #[serde(alias = "prevKv")]
        prev_kv: Option<KeyValue>,
    }

    /// Deletes keys.
    DeleteRangeRequest {
        /// First key.
        key: Blob,
        /// As in [`RangeRequest`].
        #[serde(alias = "rangeEnd")]
        range_end: Blob,
        /// Asks for the deleted records.
        #[serde(alias = "prevKv")]
        prev_kv: bool,
    }

    /// Answers a [`DeleteRangeRequest`].
    DeleteRangeResponse {
        /// Head.
        header: Header,
        /// Number of deleted keys.
        deleted: Int,
        /// The deleted records, if asked for.
        #[serde(alias = "prevKvs")]
        prev_kvs: Vec<KeyValue>,
    }

    /// A condition of a [`TxnRequest`].
    Compare {
        /// How to compare.
        result: CompareResult,
        /// What to compare.
        target: CompareTarget,
        /// Key to look at.
        key: Blob,
        /// For target `VERSION`.
        version: Int,
        /// For target `CREATE`.
        #[serde(alias = "createRevision")]
        create_revision: Int,
        /// For target `MOD`.
        #[serde(alias = "modRevision")]
        mod_revision: Int,
        /// For target `VALUE`.
        value: Blob,
        /// For target `LEASE`.
        lease: Int,
    }

    /// A step of a [`TxnRequest`]; exactly one field is there.
    RequestOp {
        /// Reads keys.
        #[serde(alias = "requestRange")]
        request_range: Option<RangeRequest>,
        /// Writes one key.
        #[serde(alias = "requestPut")]
        request_put: Option<PutRequest>,
        /// Deletes keys.
        #[serde(alias = "requestDeleteRange")]
        request_delete_range: Option<DeleteRangeRequest>,
    }

    /// A transaction.
    TxnRequest {
        /// Conditions.
        compare: Vec<Compare>,
        /// Steps if all hold.
        success: Vec<RequestOp>,
        /// Steps otherwise.
        failure: Vec<RequestOp>,
    }

    /// Answers a [`RequestOp`].
    ResponseOp {
        /// The keys that were read.
        response_range: Option<RangeResponse>,
        /// The key is written.
        response_put: Option<PutResponse>,
        /// The keys are deleted.
        response_delete_range: Option<DeleteRangeResponse>,
    }

    /// Answers a [`TxnRequest`].
    TxnResponse {
        /// Head.
        header: Header,
        /// Tells which branch ran.
        succeeded: bool,
        /// One answer for each step of it.
        responses: Vec<ResponseOp>,
    }

    /// Forgets old revisions.
    CompactionRequest {
        /// Newest revision to forget.
        revision: Int,
    }

    /// Answers a [`CompactionRequest`] or a [`LeaseRevokeRequest`].
    EmptyResponse {
        /// Head.
        header: Header,
    }

    /// Grants a lease.
    LeaseGrantRequest {
        /// Time to live in seconds.
        #[serde(rename = "TTL")]
        ttl: Int,
        /// Wanted number; 0 leaves it to the service.
        #[serde(rename = "ID")]
        id: Int,
    }

    /// Answers a [`LeaseGrantRequest`], and a [`LeaseKeepAliveRequest`]
    /// where a time to live of 0 tells that the lease has ended.
    LeaseResponse {
        /// Head.
        header: Header,
        /// The lease.
        #[serde(rename = "ID")]
        id: Int,
        /// Time to live in seconds.
        #[serde(rename = "TTL")]
        ttl: Int,
    }

    /// Renews a lease.
    LeaseKeepAliveRequest {
        /// The lease.
        #[serde(rename = "ID")]
        id: Int,
    }

    /// Ends a lease.
    LeaseRevokeRequest {
        /// The lease.
        #[serde(rename = "ID")]
        id: Int,
    }

    /// Starts a watch.
    WatchRequest {
        /// What to watch.
        #[serde(alias = "createRequest")]
        create_request: WatchCreateRequest,
    }

    /// Selects what a watch delivers.
    WatchCreateRequest {
        /// First key.
        key: Blob,
        /// As in [`RangeRequest`].
        #[serde(alias = "rangeEnd")]
        range_end: Blob,
        /// First revision; 0 is the next one.
        #[serde(alias = "startRevision")]
        start_revision: Int,
        /// Asks for the record before each change.
        #[serde(alias = "prevKv")]
        prev_kv: bool,
        /// Asks for messages without changes now and then, whose header
        /// tells the revision that the watch has reached.
        #[serde(alias = "progressNotify")]
        progress_notify: bool,
    }

    /// A change.
    Event {
        /// Kind of change.
        #[serde(rename = "type")]
        kind: EventKind,
        /// Record after it; for a deletion the key and the revision.
        kv: KeyValue,
        /// Record before it, if asked for.
        prev_kv: Option<KeyValue>,
    }

    /// A message of a watch.
    WatchResponse {
        /// Head.
        header: Header,
        /// Number of the watch.
        watch_id: Int,
        /// Tells that the watch has begun.
        created: bool,
        /// Tells that the watch has ended.
        canceled: bool,
        /// Set if the first revision is compacted.
        compact_revision: Int,
        /// Says why the watch has ended.
        cancel_reason: String,
        /// The changes.
        events: Vec<Event>,
    }

    /// Body of a refusal.
    ErrorResponse {
        /// Text of the error.
        error: String,
        /// Number of the gRPC status.
        code: u32,
        /// Text of the error once more.
        message: String,
    }
}

/// A message of a streaming call: a result, or the failure that ends it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamMessage<T> {
    /// One result.
    Result(T),
    /// The failure.
    Error(ErrorResponse),
}

/// How a [`Compare`] compares.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// Equal.
    #[default]
    Equal,
    /// The found one is greater.
    Greater,
    /// The found one is less.
    Less,
    /// They differ.
    NotEqual,
}

/// What a [`Compare`] compares.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    /// Number of writes.
    #[default]
    Version,
    /// Revision at which the key came to be.
    Create,
    /// Revision of the last write.
    Mod,
    /// The value.
    Value,
    /// The lease.
    Lease,
}

/// Kind of an [`Event`].
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum EventKind {
    /// A key was written.
    #[default]
    Put,
    /// A key was deleted.
    Delete,
}
