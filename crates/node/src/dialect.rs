use std::{error, fmt};

use fleet::{Config, EndpointRecord, LoadReport};
use http::{HeaderMap, Method, Uri};
use jobs::{ItemInput, JobKey, Page};
use kv::KeyValue;
use pass::HeaderNames;

/// An error in bytes that were received from outside.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DialectError(String);

impl DialectError {
    /// Creates an error with a description of what is wrong.
    pub fn new(description: impl fmt::Display) -> Self {
        Self(description.to_string())
    }
}

impl fmt::Display for DialectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl error::Error for DialectError {}

/// A request that refers to an existing job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobCall {
    /// Reads results, starting at a position.
    Results {
        /// The job.
        job: JobKey,
        /// First position to return.
        after: u32,
        /// How long to wait for a result, in milliseconds.
        wait_ms: u64,
    },
    /// Reads the body of an item.
    Body {
        /// The job.
        job: JobKey,
        /// The id that the caller gave the item.
        item: String,
    },
    /// Cancels the job.
    Cancel {
        /// The job.
        job: JobKey,
    },
}

/// An operator's order to drain a node before it is removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VacateOrder {
    /// The node to drain.
    pub node: String,
    /// How long draining may take, in milliseconds.
    pub within_ms: u64,
    /// Revision of the order in the key-value service. A status with a later
    /// revision is that of this order.
    pub revision: u64,
}

/// The progress of draining a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VacateState {
    /// The node still holds work.
    Active,
    /// The node holds no work or data that would be lost with it.
    Complete,
}

/// A value that an operator wrote to the key-value service.
#[derive(Clone, Debug)]
pub enum OperatorOrder {
    /// A configuration.
    Config(Box<Config>),
    /// An order to drain a node.
    Vacate(VacateOrder),
    /// A value that no role of this project acts on.
    Other,
}

/// Encodes and decodes the messages that the roles exchange with a platform.
///
/// A dialect only translates: it is a set of pure functions between bytes and
/// typed values, and makes no decisions.
pub trait Dialect: Send + Sync + 'static {
    /// Returns the header names.
    fn headers(&self) -> HeaderNames;

    /// Returns the key prefix of endpoint entries.
    fn endpoints_prefix(&self) -> &'static str;

    /// Decodes the entry of an endpoint.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`] if the entry is malformed.
    fn decode_endpoint(
        &self,
        kv: &KeyValue,
    ) -> Result<EndpointRecord, DialectError>;

    /// Returns the prefix of the keys that operators write.
    fn orders_prefix(&self) -> &'static str;

    /// Decodes a value that an operator wrote.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`] if the value is malformed.
    fn decode_order(
        &self,
        kv: &KeyValue,
    ) -> Result<OperatorOrder, DialectError>;

    /// Returns the key and value that report to operators how far a node is
    /// drained.
    fn encode_vacate_status(
        &self,
        node: &str,
        state: VacateState,
    ) -> (String, Vec<u8>);

    /// Decodes a request that refers to a job, or returns `None` for any other
    /// request.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`] if the request is malformed.
    fn decode_job_call(
        &self,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
    ) -> Result<Option<JobCall>, DialectError>;

    /// Decodes the items of a job.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`] if the body is malformed.
    fn decode_items(
        &self,
        body: &[u8],
    ) -> Result<Vec<ItemInput>, DialectError>;

    /// Encodes a page of results.
    fn encode_page(&self, page: &Page) -> Vec<u8>;

    /// Returns the path that load balancers use as a readiness check.
    fn ready_path(&self) -> &'static str;

    /// Returns the path at which an endpoint reports its load.
    fn load_path(&self) -> &'static str;

    /// Decodes a load report from that path. Reports do not contain the number
    /// of slots, which the caller passes.
    fn decode_load(&self, body: &[u8], slots: u32) -> Option<LoadReport>;
}
