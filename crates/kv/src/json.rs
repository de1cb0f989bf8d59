//! Messages of the etcd v3 JSON gateway.
//!
//! Keys and values are base64 strings, and 64-bit numbers are decimal strings
//! because JSON numbers lose precision beyond 53 bits. Responses omit fields
//! that have their default value, as in protobuf's JSON mapping.
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

/// A 64-bit number, encoded as a decimal string.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd)]
pub struct Int(pub i64);

impl Int {
    /// Returns the number, or 0 if it is negative.
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
                f.write_str("a 64-bit number or its decimal string")
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

/// Bytes, encoded as a base64 string.
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

/// Defines messages whose fields are optional on input and omitted on output
/// if they have their default value.
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
    /// Header of every response.
    #[derive(Copy)]
    Header {
        /// Id of the cluster.
        cluster_id: Int,
        /// Id of the member that responded.
        member_id: Int,
        /// Revision of the store.
        revision: Int,
        /// Raft term of the cluster's leader.
        raft_term: Int,
    }

    /// One key with its value and revisions.
    KeyValue {
        /// The key.
        key: Blob,
        /// Revision at which the key was created.
        create_revision: Int,
        /// Revision of the last write to the key.
        mod_revision: Int,
        /// Number of writes since the key was created.
        version: Int,
        /// The value.
        value: Blob,
        /// Lease that the key is attached to; 0 means none.
        lease: Int,
    }

    /// Reads keys.
    RangeRequest {
        /// First key.
        key: Blob,
        /// Exclusive end of the range; empty selects one key, a zero byte all
        /// keys from `key` on.
        #[serde(alias = "rangeEnd")]
        range_end: Blob,
        /// Maximum number of keys; 0 means no limit.
        limit: Int,
        /// Revision to read at; 0 means the current one.
        revision: Int,
        /// Omits the values.
        #[serde(alias = "keysOnly")]
        keys_only: bool,
        /// Returns only the number of keys.
        #[serde(alias = "countOnly")]
        count_only: bool,
    }

    /// Response to a [`RangeRequest`].
    RangeResponse {
        /// Header.
        header: Header,
        /// The keys, in order.
        kvs: Vec<KeyValue>,
        /// Whether the limit omitted keys.
        more: bool,
        /// Number of keys in the range, including those beyond the limit.
        count: Int,
    }

    /// Writes one key.
    PutRequest {
        /// Key to write.
        key: Blob,
        /// New value.
        value: Blob,
        /// Lease that the key is attached to; 0 means none.
        lease: Int,
        /// Requests the previous record.
        #[serde(alias = "prevKv")]
        prev_kv: bool,
    }

    /// Response to a [`PutRequest`].
    PutResponse {
        /// Header.
        header: Header,
        /// Previous record, if requested.
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
        /// Requests the deleted records.
        #[serde(alias = "prevKv")]
        prev_kv: bool,
    }

    /// Response to a [`DeleteRangeRequest`].
    DeleteRangeResponse {
        /// Header.
        header: Header,
        /// Number of deleted keys.
        deleted: Int,
        /// The deleted records, if requested.
        #[serde(alias = "prevKvs")]
        prev_kvs: Vec<KeyValue>,
    }

    /// A condition of a [`TxnRequest`].
    Compare {
        /// Relation that must hold.
        result: CompareResult,
        /// Property to compare.
        target: CompareTarget,
        /// Key to compare.
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

    /// An operation of a [`TxnRequest`]; exactly one field is set.
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
        /// Operations if all conditions hold.
        success: Vec<RequestOp>,
        /// Operations otherwise.
        failure: Vec<RequestOp>,
    }

    /// Response to a [`RequestOp`]; exactly one field is set.
    ResponseOp {
        /// Result of a read.
        response_range: Option<RangeResponse>,
        /// Result of a write.
        response_put: Option<PutResponse>,
        /// Result of a deletion.
        response_delete_range: Option<DeleteRangeResponse>,
    }

    /// Response to a [`TxnRequest`].
    TxnResponse {
        /// Header.
        header: Header,
        /// Whether the `success` branch ran.
        succeeded: bool,
        /// One response for each operation of the branch that ran.
        responses: Vec<ResponseOp>,
    }

    /// Compacts old revisions.
    CompactionRequest {
        /// Newest revision to compact.
        revision: Int,
    }

    /// Response to a [`CompactionRequest`] or a [`LeaseRevokeRequest`].
    EmptyResponse {
        /// Header.
        header: Header,
    }

    /// Grants a lease.
    LeaseGrantRequest {
        /// Time to live in seconds.
        #[serde(rename = "TTL")]
        ttl_s: Int,
        /// Requested id; 0 lets the key-value service choose one.
        #[serde(rename = "ID")]
        id: Int,
    }

    /// Response to a [`LeaseGrantRequest`] or a [`LeaseKeepAliveRequest`]. In
    /// the latter case a time to live of 0 means that the lease has expired.
    LeaseResponse {
        /// Header.
        header: Header,
        /// Id of the lease.
        #[serde(rename = "ID")]
        id: Int,
        /// Time to live in seconds.
        #[serde(rename = "TTL")]
        ttl_s: Int,
    }

    /// Renews a lease.
    LeaseKeepAliveRequest {
        /// Id of the lease.
        #[serde(rename = "ID")]
        id: Int,
    }

    /// Revokes a lease.
    LeaseRevokeRequest {
        /// Id of the lease.
        #[serde(rename = "ID")]
        id: Int,
    }

    /// Starts a watch.
    WatchRequest {
        /// Parameters of the watch.
        #[serde(alias = "createRequest")]
        create_request: WatchCreateRequest,
    }

    /// Selects the changes that a watch delivers.
    WatchCreateRequest {
        /// First key.
        key: Blob,
        /// As in [`RangeRequest`].
        #[serde(alias = "rangeEnd")]
        range_end: Blob,
        /// First revision; 0 means the next one.
        #[serde(alias = "startRevision")]
        start_revision: Int,
        /// Requests the previous record with each change.
        #[serde(alias = "prevKv")]
        prev_kv: bool,
        /// Requests periodic messages without changes whose header carries the
        /// revision that the watch has reached.
        #[serde(alias = "progressNotify")]
        progress_notify: bool,
    }

    /// A change.
    Event {
        /// Kind of change.
        #[serde(rename = "type")]
        kind: EventKind,
        /// Record after the change; for a deletion only the key and the
        /// revision are set.
        kv: KeyValue,
        /// Record before the change, if requested.
        prev_kv: Option<KeyValue>,
    }

    /// A message of a watch.
    WatchResponse {
        /// Header.
        header: Header,
        /// Id of the watch.
        watch_id: Int,
        /// Whether this message confirms the start of the watch.
        created: bool,
        /// Whether the watch has ended.
        canceled: bool,
        /// Compacted revision, set if the start revision was compacted.
        compact_revision: Int,
        /// Reason why the watch has ended.
        cancel_reason: String,
        /// The changes.
        events: Vec<Event>,
    }

    /// Body of an error response.
    ErrorResponse {
        /// Text of the error.
        error: String,
        /// gRPC status code.
        code: u32,
        /// Text of the error; same as `error`.
        message: String,
    }
}

/// A message of a streaming call: a result, or the error that ends the stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamMessage<T> {
    /// A result.
    Result(T),
    /// The error.
    Error(ErrorResponse),
}

/// Relation of a [`Compare`].
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// Both values are equal.
    #[default]
    Equal,
    /// The stored value is greater.
    Greater,
    /// The stored value is less.
    Less,
    /// The values differ.
    NotEqual,
}

/// Property that a [`Compare`] compares.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    /// Number of writes since the key was created.
    #[default]
    Version,
    /// Revision at which the key was created.
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
