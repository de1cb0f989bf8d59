use std::{error, fmt};

use fleet::{Config, EndpointRecord, LoadReport};
use http::{HeaderMap, Method, Uri};
use jobs::{ItemInput, JobKey, Page};
use kv::KeyValue;
use pass::HeaderNames;

/// Says that bytes from outside are not what they should be.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DialectError(String);

impl DialectError {
    /// Tells what is wrong.
    pub fn new(what: impl fmt::Display) -> Self {
        Self(what.to_string())
    }
}

impl fmt::Display for DialectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl error::Error for DialectError {}

/// A call about a job that is there already.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobCall {
    /// Read results from a position on.
    Results {
        /// The job.
        job: JobKey,
        /// First position wanted.
        after: u32,
        /// How long to wait for a result, in milliseconds.
        wait_ms: u64,
    },
    /// Read the body of an item.
    Body {
        /// The job.
        job: JobKey,
        /// The caller's id of the item.
        item: String,
    },
    /// End the job.
    End {
        /// The job.
        job: JobKey,
    },
}

/// An operator's wish that a node be emptied before it is taken away.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VacateOrder {
    /// The node.
    pub node: String,
    /// How long it may take, in milliseconds.
    pub within_ms: u64,
}

/// How far a node is emptied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VacateState {
    /// It still holds work.
    Active,
    /// It holds nothing that would be missed.
    Complete,
}

/// What an operator wrote to the key-value service.
#[derive(Clone, Debug)]
pub enum OperatorOrder {
    /// A configuration.
    Config(Box<Config>),
    /// A node is to be emptied.
    Vacate(VacateOrder),
    /// Something that no role of this project acts on.
    Other,
}

/// How a platform spells what the roles exchange with it.
///
/// A dialect only translates: it is a set of pure functions from bytes to
/// typed values and back, and decides nothing.
pub trait Dialect: Send + Sync + 'static {
    /// Returns the names of the headers.
    fn headers(&self) -> HeaderNames;

    /// Returns the common start of the keys of endpoints.
    fn endpoints_prefix(&self) -> &'static str;

    /// Decodes the entry of an endpoint.
    ///
    /// # Errors
    ///
    /// [`DialectError`] tells what is wrong with it.
    fn endpoint(&self, kv: &KeyValue) -> Result<EndpointRecord, DialectError>;

    /// Returns the common start of the keys that operators write.
    fn orders_prefix(&self) -> &'static str;

    /// Decodes what an operator wrote.
    ///
    /// # Errors
    ///
    /// As [`endpoint`](Self::endpoint).
    fn order(&self, kv: &KeyValue) -> Result<OperatorOrder, DialectError>;

    /// Returns the key and value that tell operators how far a node is
    /// emptied.
    fn vacate_status(
        &self,
        node: &str,
        state: VacateState,
    ) -> (String, Vec<u8>);

    /// Decodes a call about a job; none if the request is no such call.
    ///
    /// # Errors
    ///
    /// As [`endpoint`](Self::endpoint).
    fn job_call(
        &self,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
    ) -> Result<Option<JobCall>, DialectError>;

    /// Decodes the items of a job.
    ///
    /// # Errors
    ///
    /// As [`endpoint`](Self::endpoint).
    fn items(&self, body: &[u8]) -> Result<Vec<ItemInput>, DialectError>;

    /// Encodes results.
    fn page(&self, page: &Page) -> Vec<u8>;

    /// Returns the path at which the balancer asks for readiness.
    fn ready_path(&self) -> &'static str;

    /// Returns the path at which an endpoint tells its load.
    fn load_path(&self) -> &'static str;

    /// Decodes the load that an endpoint tells there; the slots are not
    /// part of it.
    fn load(&self, body: &[u8], slots: u32) -> Option<LoadReport>;
}
