use std::{fmt, str::FromStr};

use base::{Customer, UnixMillis};
use fleet::BatchDeadlines;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{JobError, NewJob};

/// Names a job; the caller chose it, and a job that is sent again has the
/// same.
#[derive(
    Clone, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct JobKey(String);

/// Longest id, so that each key made of it fits the service's 200 bytes.
const KEY_MOST_BYTES: usize = 128;

impl JobKey {
    /// Returns the id.
    #[inline]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for JobKey {
    type Err = JobError;

    fn from_str(text: &str) -> Result<Self, JobError> {
        let plain = |byte: u8| {
            byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.')
        };
        let fits = (1..=KEY_MOST_BYTES).contains(&text.len());
        match fits && text.bytes().all(plain) {
            true => Ok(Self(text.to_owned())),
            false => Err(JobError::Id),
        }
    }
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One request of a job, as the caller sent it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ItemInput {
    /// The caller's id of the item.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Tokens of the prompt and the longest output together.
    pub tokens: u64,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemState {
    /// Its output is whole.
    Complete,
    /// It was given up.
    GivenUp,
}

/// The end of one item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemResult {
    /// The caller's id of the item.
    pub id: String,
    /// How it ended.
    pub state: ItemState,
    /// Data of its events, separated by line feeds.
    pub output: String,
}

/// Answers of endpoints that speak against an item.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(default, deny_unknown_fields)]
pub struct Strikes {
    /// Errors of endpoints while they ran it.
    pub errors: u32,
    /// Answers that say it can never be done.
    pub rejections: u32,
}

/// Adds what another node has counted against items of the same job.
///
/// Of two counts the larger one holds: a job that moved between nodes was
/// counted by both, and a count that shrinks would let a hopeless item run
/// again.
///
/// # Example
///
/// ```
/// use indexmap::IndexMap;
/// use pomeloslip_jobs::{Strikes, merge_strikes};
///
/// let errors = |errors| Strikes { errors, ..Strikes::default() };
/// let mut own = IndexMap::from([(0, errors(1)), (1, errors(2))]);
/// merge_strikes(&mut own, &IndexMap::from([(0, errors(3)), (2, errors(1))]));
/// assert_eq!(own[&0], errors(3));
/// assert_eq!(own[&1], errors(2));
/// assert_eq!(own[&2], errors(1));
/// ```
pub fn merge_strikes(
    own: &mut IndexMap<u32, Strikes>,
    other: &IndexMap<u32, Strikes>,
) {
    for (number, counted) in other {
        let own = own.entry(*number).or_default();
        own.errors = own.errors.max(counted.errors);
        own.rejections = own.rejections.max(counted.rejections);
    }
}

/// What all nodes know of a job: small, so that it can be watched.
///
/// Inputs and outputs lie under keys of their own. The order of `listed` is
/// the order of the results; it only ever grows, and each change is a
/// compare-and-swap on this record, so that no position is given twice
/// whoever writes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobHead {
    /// When the job arrived.
    pub submitted_at: UnixMillis,
    /// Host that it was sent to.
    pub host: String,
    /// Path that it was sent to.
    pub path: String,
    /// How many items it has.
    pub total: u32,
    /// Chunks that the inputs lie in.
    pub input_chunks: u32,
    /// Items with a result, by position.
    pub listed: Vec<u32>,
    /// First position of each chunk of results.
    pub output_chunks: Vec<u32>,
    /// What was counted against single items.
    pub strikes: IndexMap<u32, Strikes>,
    /// Whether the caller ended it.
    pub ended: bool,
    /// Node that runs the items as long as it is there.
    pub owner: String,
    /// When all results are due.
    pub due_at: UnixMillis,
    /// When items without a result are given up.
    pub give_up_at: UnixMillis,
    /// Whose job it is; none where callers need no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<Customer>,
}

impl JobHead {
    /// Tells whether callers of a customer may know of the job.
    ///
    /// A job without a customer was accepted where nobody needs a key, and
    /// anybody who knows its id may.
    pub fn belongs_to(&self, customer: Option<&Customer>) -> bool {
        self.customer.is_none() || self.customer.as_ref() == customer
    }

    /// Tells whether no item is left to run.
    #[inline]
    pub fn is_closed(&self) -> bool {
        self.ended || self.listed.len() >= self.total as usize
    }

    /// Returns how many items are not listed yet.
    #[inline]
    pub fn open_items(&self) -> u32 {
        self.total - self.listed.len() as u32
    }

    /// Returns the chunk that holds a position, as its first position.
    pub fn chunk_of(&self, position: u32) -> Option<u32> {
        if position as usize >= self.listed.len() {
            return None;
        }
        let after = self.output_chunks.partition_point(|f| *f <= position);
        self.output_chunks.get(after.checked_sub(1)?).copied()
    }
}

/// Common start of the keys that every node watches.
pub const WATCHED_PREFIX: &str = "jobs/";
/// Common start of the heads.
pub const HEAD_PREFIX: &str = "jobs/h/";
/// Common start of the entries of nodes.
pub const NODE_PREFIX: &str = "jobs/n/";
/// Common start of the keys of inputs, results and progress of items.
pub(crate) const BULK_PREFIX: &str = "bulk/";

/// Returns the key of a job's head.
pub fn head_key(job: &JobKey) -> String {
    format!("{HEAD_PREFIX}{job}")
}

/// Returns the key of a chunk of a job's inputs.
///
/// The time of submission is part of it: a job that is sent again after its
/// removal is a new one, and what nodes have kept of the old one must not be
/// taken for its own.
pub fn input_key(job: &JobKey, head: &JobHead, chunk: u32) -> String {
    let submitted_ms = head.submitted_at.as_ms();
    format!("bulk/in/{job}/{submitted_ms}/{chunk:06}")
}

/// Returns the key of a chunk of a job's results; see [`input_key`].
pub fn output_key(job: &JobKey, head: &JobHead, first: u32) -> String {
    let submitted_ms = head.submitted_at.as_ms();
    format!("bulk/out/{job}/{submitted_ms}/{first:06}")
}

/// Returns the key of what the unfinished items of a job have produced; see
/// [`input_key`].
pub fn progress_key(job: &JobKey, submitted_at: UnixMillis) -> String {
    format!("bulk/run/{job}/{}", submitted_at.as_ms())
}

/// Encodes the record of a job.
///
/// # Errors
///
/// [`JobError::Encoding`], which a record of this type does not cause.
pub fn encode_head(head: &JobHead) -> Result<Vec<u8>, JobError> {
    serde_json::to_vec(head).map_err(|_| JobError::Encoding)
}

/// Decodes the record of a job.
///
/// # Errors
///
/// [`JobError::Encoding`] if the bytes are no such record.
pub fn decode_head(bytes: &[u8]) -> Result<JobHead, JobError> {
    serde_json::from_slice(bytes).map_err(|_| JobError::Encoding)
}

/// What an unfinished item has produced so far.
///
/// It is one chain of events from the first on, so that whoever takes the
/// item up goes on after the last of them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ItemProgress {
    /// Number of the item.
    pub number: u32,
    /// Id of the last whole event.
    pub last_id: u64,
    /// How many events there are.
    pub events: u64,
    /// Time that runs have spent on it.
    pub ran_ms: u64,
    /// Data of the events, separated by line feeds.
    pub output: String,
}

/// The progress of one job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobProgress {
    /// The job.
    pub job: JobKey,
    /// When it was submitted.
    pub submitted_at: UnixMillis,
    /// Its unfinished items that have produced something.
    pub items: Vec<ItemProgress>,
}

/// What stands of an item's progress beside its output.
#[derive(Serialize, Deserialize)]
struct ProgressEntry {
    number: u32,
    last_id: u64,
    events: u64,
    ran_ms: u64,
    output_bytes: usize,
}

/// What stands of an item's input beside its body.
#[derive(Serialize, Deserialize)]
struct InputEntry {
    id: String,
    path: String,
    headers: Vec<(String, String)>,
    tokens: u64,
    body_bytes: usize,
}

/// What stands of a result beside its output.
#[derive(Serialize, Deserialize)]
struct OutputEntry {
    id: String,
    state: ItemState,
    output_bytes: usize,
}

/// Encodes inputs: a table in JSON, then the bodies one after the other.
/// Bodies inside JSON were rejected: escaped a second time they take a third
/// more of the service's bytes and of processor time.
///
/// # Errors
///
/// [`JobError::Encoding`], which inputs do not cause.
pub fn encode_inputs(items: &[ItemInput]) -> Result<Vec<u8>, JobError> {
    let table: Vec<InputEntry> = items
        .iter()
        .map(|item| InputEntry {
            id: item.id.clone(),
            path: item.path.clone(),
            headers: item.headers.clone(),
            tokens: item.tokens,
            body_bytes: item.body.len(),
        })
        .collect();
    join(&table, items.iter().map(|item| item.body.as_slice()))
}

/// Decodes what [`encode_inputs`] made.
///
/// # Errors
///
/// [`JobError::Encoding`] if the bytes are something else.
///
/// # Example
///
/// ```
/// use pomeloslip_jobs::{ItemInput, decode_inputs, encode_inputs};
///
/// let items = [ItemInput {
///     id: "a".to_owned(),
///     body: vec![0, 255],
///     ..ItemInput::default()
/// }];
/// let bytes = encode_inputs(&items)?;
/// assert_eq!(decode_inputs(&bytes)?, items);
/// assert!(decode_inputs(&bytes[1..]).is_err());
/// # Ok::<(), pomeloslip_jobs::JobError>(())
/// ```
pub fn decode_inputs(bytes: &[u8]) -> Result<Vec<ItemInput>, JobError> {
    let (table, mut rest) = split::<InputEntry>(bytes)?;
    let mut items = Vec::with_capacity(table.len());
    for entry in table {
        let body = take(&mut rest, entry.body_bytes)?.to_vec();
        items.push(ItemInput {
            id: entry.id,
            path: entry.path,
            headers: entry.headers,
            body,
            tokens: entry.tokens,
        });
    }
    Ok(items)
}

/// What stands of a new job beside its inputs.
#[derive(Serialize, Deserialize)]
struct NewJobEntry {
    key: JobKey,
    host: String,
    path: String,
    submitted_at: UnixMillis,
    terms: BatchDeadlines,
    owner: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    customer: Option<Customer>,
}

/// Encodes a job that is not in the ledger yet, for a node that keeps it
/// until then.
///
/// # Errors
///
/// As [`encode_inputs`].
pub fn encode_new_job(job: &NewJob) -> Result<Vec<u8>, JobError> {
    let entry = NewJobEntry {
        key: job.key.clone(),
        host: job.host.clone(),
        path: job.path.clone(),
        submitted_at: job.submitted_at,
        terms: job.terms,
        owner: job.owner.clone(),
        customer: job.customer.clone(),
    };
    let inputs = encode_inputs(&job.items)?;
    join(&[entry], std::iter::once(inputs.as_slice()))
}

/// Decodes what [`encode_new_job`] made.
///
/// # Errors
///
/// As [`decode_inputs`].
pub fn decode_new_job(bytes: &[u8]) -> Result<NewJob, JobError> {
    let (entries, inputs) = split::<NewJobEntry>(bytes)?;
    let entry = entries.into_iter().next().ok_or(JobError::Encoding)?;
    Ok(NewJob {
        key: entry.key.as_str().parse()?,
        host: entry.host,
        path: entry.path,
        submitted_at: entry.submitted_at,
        terms: entry.terms,
        owner: entry.owner,
        customer: entry.customer,
        items: decode_inputs(inputs)?,
    })
}

/// Encodes results like [`encode_inputs`].
///
/// # Errors
///
/// [`JobError::Encoding`], which results do not cause.
pub fn encode_results(results: &[ItemResult]) -> Result<Vec<u8>, JobError> {
    let table: Vec<OutputEntry> = results
        .iter()
        .map(|result| OutputEntry {
            id: result.id.clone(),
            state: result.state,
            output_bytes: result.output.len(),
        })
        .collect();
    join(
        &table,
        results.iter().map(|result| result.output.as_bytes()),
    )
}

/// Decodes what [`encode_results`] made.
///
/// # Errors
///
/// [`JobError::Encoding`] if the bytes are something else.
pub fn decode_results(bytes: &[u8]) -> Result<Vec<ItemResult>, JobError> {
    let (table, mut rest) = split::<OutputEntry>(bytes)?;
    let mut results = Vec::with_capacity(table.len());
    for entry in table {
        results.push(ItemResult {
            id: entry.id,
            state: entry.state,
            output: take_text(&mut rest, entry.output_bytes)?,
        });
    }
    Ok(results)
}

/// Encodes the progress of a job's items like [`encode_inputs`].
///
/// # Errors
///
/// [`JobError::Encoding`], which progress does not cause.
pub fn encode_progress(items: &[ItemProgress]) -> Result<Vec<u8>, JobError> {
    let table: Vec<ProgressEntry> = items
        .iter()
        .map(|item| ProgressEntry {
            number: item.number,
            last_id: item.last_id,
            events: item.events,
            ran_ms: item.ran_ms,
            output_bytes: item.output.len(),
        })
        .collect();
    join(&table, items.iter().map(|item| item.output.as_bytes()))
}

/// Decodes what [`encode_progress`] made.
///
/// # Errors
///
/// [`JobError::Encoding`] if the bytes are something else.
pub fn decode_progress(bytes: &[u8]) -> Result<Vec<ItemProgress>, JobError> {
    let (table, mut rest) = split::<ProgressEntry>(bytes)?;
    let mut items = Vec::with_capacity(table.len());
    for entry in table {
        items.push(ItemProgress {
            number: entry.number,
            last_id: entry.last_id,
            events: entry.events,
            ran_ms: entry.ran_ms,
            output: take_text(&mut rest, entry.output_bytes)?,
        });
    }
    Ok(items)
}

const LENGTH_BYTES: usize = 4;

fn join<'a>(
    table: &impl Serialize,
    blobs: impl Iterator<Item = &'a [u8]>,
) -> Result<Vec<u8>, JobError> {
    let table = serde_json::to_vec(table).map_err(|_| JobError::Encoding)?;
    let length = u32::try_from(table.len());
    let length = length.map_err(|_| JobError::Encoding)?;
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend(table);
    for blob in blobs {
        bytes.extend(blob);
    }
    Ok(bytes)
}

fn split<T: DeserializeOwned>(
    mut bytes: &[u8],
) -> Result<(Vec<T>, &[u8]), JobError> {
    let length = take(&mut bytes, LENGTH_BYTES)?;
    let length = length.try_into().map_err(|_| JobError::Encoding)?;
    let length = u32::from_le_bytes(length) as usize;
    let table = take(&mut bytes, length)?;
    let table = serde_json::from_slice(table);
    Ok((table.map_err(|_| JobError::Encoding)?, bytes))
}

fn take<'a>(rest: &mut &'a [u8], length: usize) -> Result<&'a [u8], JobError> {
    let (first, after) =
        rest.split_at_checked(length).ok_or(JobError::Encoding)?;
    *rest = after;
    Ok(first)
}

fn take_text(rest: &mut &[u8], length: usize) -> Result<String, JobError> {
    let bytes = take(rest, length)?.to_vec();
    String::from_utf8(bytes).map_err(|_| JobError::Encoding)
}
