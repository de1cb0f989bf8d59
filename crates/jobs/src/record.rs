use std::{borrow::Cow, fmt, str::FromStr, sync::Arc};

use base::{Customer, UnixMillis};
use fleet::{BatchDeadlines, VersionBinding};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    JobError, NewJob,
    attempts::{AttemptCounts, FailedAttempts},
};

/// Identifies a job. The caller chooses the id, and a job that is submitted
/// again has the same id.
#[derive(
    Clone, Debug, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct JobKey(String);

/// Maximum length of an id in bytes. Keys of the key-value service, which
/// contain the id, hold 200 bytes.
const MAX_KEY_BYTES: usize = 128;

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
        let is_allowed = |byte: u8| {
            byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.')
        };
        let fits = (1..=MAX_KEY_BYTES).contains(&text.len());
        match fits && text.bytes().all(is_allowed) {
            true => Ok(Self(text.to_owned())),
            false => Err(JobError::InvalidId),
        }
    }
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One request of a job, as the caller submitted it.
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
    /// Tokens of the prompt plus the maximum output tokens.
    pub tokens: u64,
    /// Version of the configuration by which the item was accepted; `None` if
    /// an earlier release has stored the item.
    pub config_version: Option<u64>,
}

/// The final state of an item.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemState {
    /// The output is complete.
    Complete,
    /// The item was given up.
    GivenUp,
}

/// The result of one item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemResult {
    /// The caller's id of the item.
    pub id: String,
    /// The final state.
    pub state: ItemState,
    /// Data of the item's events, separated by line feeds.
    pub output: String,
}

/// The record of a job that all nodes know; small enough to be watched.
///
/// Inputs and outputs are stored under separate keys. The order of `listed` is
/// the order of the results. It is append-only, and each change is a
/// compare-and-swap on this record, so that each position is assigned once,
/// whichever node writes.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobManifest {
    /// When the job was submitted.
    pub submitted_at: UnixMillis,
    /// Host of the request that submitted the job.
    pub host: String,
    /// Path of the request that submitted the job.
    pub path: String,
    /// Number of items.
    pub total: u32,
    /// Number of chunks of inputs.
    pub input_chunks: u32,
    /// Items with a result, by position.
    pub listed: Vec<u32>,
    /// First position of each chunk of results.
    pub output_chunks: Vec<u32>,
    /// Number of values of each chunk that one value does not hold, by first
    /// position.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub output_parts: IndexMap<u32, u32>,
    /// Failed attempts by item that earlier releases have counted.
    #[serde(rename = "strikes")]
    pub failed_attempts: IndexMap<u32, FailedAttempts>,
    /// Attempts that each process has counted since.
    #[serde(default, skip_serializing_if = "AttemptCounts::is_empty")]
    pub attempts: AttemptCounts,
    /// Whether the job was assigned to another node after its submission.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub reassigned: bool,
    /// Whether the caller cancelled the job.
    #[serde(rename = "ended")]
    pub cancelled: bool,
    /// Node that runs the items as long as it is a member.
    pub owner: String,
    /// When all results are due.
    pub due_at: UnixMillis,
    /// When items without a result are given up.
    pub give_up_at: UnixMillis,
    /// The customer that owns the job; `None` if callers need no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<Customer>,
}

impl JobManifest {
    /// Reports whether callers of a customer may access the job.
    ///
    /// A job without a customer was accepted by a system without keys; any
    /// caller that knows its id may access it.
    pub fn is_visible_to(&self, customer: Option<&Customer>) -> bool {
        self.customer.is_none() || self.customer.as_ref() == customer
    }

    /// Reports whether no item is left to run.
    #[inline]
    pub fn is_closed(&self) -> bool {
        self.cancelled || self.listed.len() >= self.total as usize
    }

    /// Reports whether a job of this size is ever accepted, no more items are
    /// listed than there are, and the chunks of results follow each other.
    fn is_consistent(&self) -> bool {
        self.total <= MAX_ITEMS
            && self.input_chunks <= MAX_INPUT_CHUNKS
            && self.listed.len() <= self.total as usize
            && self.listed.iter().all(|number| *number < self.total)
            && self.output_chunks.is_sorted_by(|a, b| a < b)
            && self.output_parts.iter().all(|(first, parts)| {
                (1..=MAX_CHUNK_PARTS).contains(parts)
                    && self.output_chunks.contains(first)
            })
    }

    /// Returns the keys of the values of a chunk of results, in order.
    pub fn output_keys(
        &self,
        job: &JobKey,
        first: u32,
    ) -> impl Iterator<Item = String> {
        let parts = self.output_parts.get(&first).copied().unwrap_or(1);
        let first_key = output_key(job, self, first);
        (0..parts).map(move |part| match part {
            0 => first_key.clone(),
            part => format!("{first_key}/{part:02}"),
        })
    }

    /// Returns the failed attempts at an item that are stored.
    pub fn failed_attempts_at(&self, item: u32) -> FailedAttempts {
        let earlier = self.failed_attempts.get(&item).copied();
        self.attempts.failed(item).plus(earlier.unwrap_or_default())
    }

    /// Returns the number of items that are not listed yet.
    #[inline]
    pub fn open_items(&self) -> u32 {
        self.total - self.listed.len() as u32
    }

    /// Returns the chunk that contains a position, identified by its first
    /// position.
    pub fn chunk_of(&self, position: u32) -> Option<u32> {
        if position as usize >= self.listed.len() {
            return None;
        }
        let after = self.output_chunks.partition_point(|f| *f <= position);
        self.output_chunks.get(after.checked_sub(1)?).copied()
    }
}

/// Maximum number of items of a job. The manifest of more items exceeds the
/// largest value that key-value services hold.
pub(crate) const MAX_ITEMS: u32 = 50_000;

/// Maximum number of values that hold the inputs of a job, which are written
/// in one transaction.
const MAX_INPUT_CHUNKS: u32 = 32;

/// Maximum number of values of one chunk of results.
pub(crate) const MAX_CHUNK_PARTS: u32 = 24;

/// Prefix of the keys that every node watches.
pub const WATCHED_PREFIX: &str = "jobs/";
/// Prefix of the keys of manifests.
pub const MANIFEST_PREFIX: &str = "jobs/h/";
/// Prefix of the keys of nodes' entries.
pub const NODE_PREFIX: &str = "jobs/n/";
/// Prefix of the keys that name the nodes whose disks may hold spooled jobs.
pub const SPOOL_PREFIX: &str = "jobs/s/";
/// Prefix of the keys of inputs, results and checkpoints.
pub(crate) const BULK_PREFIX: &str = "bulk/";

/// Returns the key of a job's manifest.
pub fn manifest_key(job: &JobKey) -> String {
    format!("{MANIFEST_PREFIX}{job}")
}

/// Returns the key of a chunk of a job's inputs.
///
/// The key contains the time of submission: a job that is submitted again
/// after its removal is a new job, and cached values of the old job must not
/// be used for it.
pub fn input_key(job: &JobKey, manifest: &JobManifest, chunk: u32) -> String {
    let submitted_ms = manifest.submitted_at.as_ms();
    format!("bulk/in/{job}/{submitted_ms}/{chunk:06}")
}

/// Returns the key of a chunk of a job's results; see [`input_key`].
pub fn output_key(job: &JobKey, manifest: &JobManifest, first: u32) -> String {
    let submitted_ms = manifest.submitted_at.as_ms();
    format!("bulk/out/{job}/{submitted_ms}/{first:06}")
}

/// Returns the key of the checkpoints of a job's unfinished items; see
/// [`input_key`].
pub fn checkpoint_key(job: &JobKey, submitted_at: UnixMillis) -> String {
    format!("bulk/run/{job}/{}", submitted_at.as_ms())
}

/// Encodes a manifest.
///
/// # Errors
///
/// [`JobError::Encoding`], which a value of this type does not cause.
pub fn encode_manifest(manifest: &JobManifest) -> Result<Vec<u8>, JobError> {
    serde_json::to_vec(manifest).map_err(|_| JobError::Encoding)
}

/// Decodes a manifest.
///
/// # Errors
///
/// [`JobError::Encoding`] if the bytes are not a valid manifest.
pub fn decode_manifest(bytes: &[u8]) -> Result<JobManifest, JobError> {
    let manifest: JobManifest =
        serde_json::from_slice(bytes).map_err(|_| JobError::Encoding)?;
    match manifest.is_consistent() {
        true => Ok(manifest),
        false => Err(JobError::Encoding),
    }
}

/// The output of an unfinished item so far.
///
/// The events are contiguous from the first one on, so that a node that takes
/// over the item resumes after the last of them, at the version that generated
/// them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemCheckpoint {
    /// Number of the item.
    pub number: u32,
    /// Id of the last complete event.
    pub last_id: u64,
    /// Number of events.
    pub events: u64,
    /// Total time of the item's runs.
    pub ran_ms: u64,
    /// The service and version that generated the events.
    pub binding: Arc<VersionBinding>,
    /// Data of the events, separated by line feeds.
    pub output: String,
}

/// The checkpoints of one job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobCheckpoint {
    /// The job.
    pub job: JobKey,
    /// When the job was submitted.
    pub submitted_at: UnixMillis,
    /// Its unfinished items that have produced events.
    pub items: Vec<ItemCheckpoint>,
}

/// Table entry of a checkpoint; its output follows the table.
#[derive(Serialize, Deserialize)]
struct CheckpointEntry {
    number: u32,
    last_id: u64,
    events: u64,
    ran_ms: u64,
    /// Absent in checkpoints of nodes that did not record it. No run can
    /// resume after those.
    #[serde(default)]
    binding: Option<Arc<VersionBinding>>,
    output_bytes: usize,
}

/// Table entry of an input; its body follows the table.
#[derive(Serialize, Deserialize)]
struct InputEntry<'a> {
    id: Cow<'a, str>,
    path: Cow<'a, str>,
    headers: Cow<'a, [(String, String)]>,
    tokens: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    config_version: Option<u64>,
    body_bytes: usize,
}

/// Table entry of a result; its output follows the table.
#[derive(Serialize, Deserialize)]
struct OutputEntry<'a> {
    id: Cow<'a, str>,
    state: ItemState,
    output_bytes: usize,
}

impl<'a> From<&'a ItemInput> for InputEntry<'a> {
    fn from(item: &'a ItemInput) -> Self {
        Self {
            id: Cow::Borrowed(&item.id),
            path: Cow::Borrowed(&item.path),
            headers: Cow::Borrowed(&item.headers),
            tokens: item.tokens,
            config_version: item.config_version,
            body_bytes: item.body.len(),
        }
    }
}

impl<'a> From<&'a ItemResult> for OutputEntry<'a> {
    fn from(result: &'a ItemResult) -> Self {
        Self {
            id: Cow::Borrowed(&result.id),
            state: result.state,
            output_bytes: result.output.len(),
        }
    }
}

impl From<&ItemCheckpoint> for CheckpointEntry {
    fn from(item: &ItemCheckpoint) -> Self {
        Self {
            number: item.number,
            last_id: item.last_id,
            events: item.events,
            ran_ms: item.ran_ms,
            binding: Some(item.binding.clone()),
            output_bytes: item.output.len(),
        }
    }
}

/// Size of an encoded table without rows, in bytes.
pub(crate) const EMPTY_TABLE_BYTES: usize = LENGTH_BYTES + "[]".len();

/// Returns the bytes that an input adds to an encoded table.
pub(crate) fn input_bytes(item: &ItemInput) -> Result<usize, JobError> {
    row_bytes(&InputEntry::from(item), item.body.len())
}

/// Returns the bytes that a result adds to an encoded table.
pub(crate) fn result_bytes(result: &ItemResult) -> Result<usize, JobError> {
    row_bytes(&OutputEntry::from(result), result.output.len())
}

/// Returns the bytes that a checkpoint adds to an encoded table.
pub(crate) fn checkpoint_bytes(
    item: &ItemCheckpoint,
) -> Result<usize, JobError> {
    row_bytes(&CheckpointEntry::from(item), item.output.len())
}

fn row_bytes(
    entry: &impl Serialize,
    blob_bytes: usize,
) -> Result<usize, JobError> {
    let row = serde_json::to_vec(entry).map_err(|_| JobError::Encoding)?;
    Ok(row.len() + ",".len() + blob_bytes)
}

/// Encodes inputs: a table in JSON, followed by the bodies. Bodies inside the
/// JSON would be escaped a second time, which takes a third more bytes in the
/// key-value service and a third more processor time.
///
/// # Errors
///
/// [`JobError::Encoding`], which inputs do not cause.
pub fn encode_inputs(items: &[ItemInput]) -> Result<Vec<u8>, JobError> {
    let table: Vec<InputEntry<'_>> =
        items.iter().map(InputEntry::from).collect();
    join(&table, items.iter().map(|item| item.body.as_slice()))
}

/// Decodes the bytes of [`encode_inputs`].
///
/// # Errors
///
/// [`JobError::Encoding`] if the bytes are not valid.
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
    let (table, mut remaining) = split::<InputEntry<'_>>(bytes)?;
    let mut items = Vec::with_capacity(table.len());
    for entry in table {
        let body = take(&mut remaining, entry.body_bytes)?.to_vec();
        items.push(ItemInput {
            id: entry.id.into_owned(),
            path: entry.path.into_owned(),
            headers: entry.headers.into_owned(),
            body,
            tokens: entry.tokens,
            config_version: entry.config_version,
        });
    }
    Ok(items)
}

/// Table entry of a new job; its inputs follow the table.
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

/// Encodes a job that is not in the ledger yet, for a node that stores the job
/// until it is.
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

/// Decodes the bytes of [`encode_new_job`].
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

/// Encodes results in the format of [`encode_inputs`].
///
/// # Errors
///
/// [`JobError::Encoding`], which results do not cause.
pub fn encode_results(results: &[ItemResult]) -> Result<Vec<u8>, JobError> {
    let table: Vec<OutputEntry<'_>> =
        results.iter().map(OutputEntry::from).collect();
    join(
        &table,
        results.iter().map(|result| result.output.as_bytes()),
    )
}

/// Decodes the bytes of [`encode_results`].
///
/// # Errors
///
/// [`JobError::Encoding`] if the bytes are not valid.
pub fn decode_results(bytes: &[u8]) -> Result<Vec<ItemResult>, JobError> {
    let (table, mut remaining) = split::<OutputEntry<'_>>(bytes)?;
    let mut results = Vec::with_capacity(table.len());
    for entry in table {
        results.push(ItemResult {
            id: entry.id.into_owned(),
            state: entry.state,
            output: take_text(&mut remaining, entry.output_bytes)?,
        });
    }
    Ok(results)
}

/// Encodes the checkpoints of a job's items in the format of
/// [`encode_inputs`].
///
/// # Errors
///
/// [`JobError::Encoding`], which checkpoints do not cause.
pub fn encode_checkpoints(
    items: &[ItemCheckpoint],
) -> Result<Vec<u8>, JobError> {
    let table: Vec<CheckpointEntry> =
        items.iter().map(CheckpointEntry::from).collect();
    join(&table, items.iter().map(|item| item.output.as_bytes()))
}

/// Decodes the bytes of [`encode_checkpoints`], without the checkpoints after
/// which no run can resume.
///
/// # Errors
///
/// [`JobError::Encoding`] if the bytes are not valid.
pub fn decode_checkpoints(
    bytes: &[u8],
) -> Result<Vec<ItemCheckpoint>, JobError> {
    let (table, mut remaining) = split::<CheckpointEntry>(bytes)?;
    let mut items = Vec::with_capacity(table.len());
    for entry in table {
        let output = take_text(&mut remaining, entry.output_bytes)?;
        let Some(binding) = entry.binding else {
            continue;
        };
        items.push(ItemCheckpoint {
            number: entry.number,
            last_id: entry.last_id,
            events: entry.events,
            ran_ms: entry.ran_ms,
            binding,
            output,
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

fn take<'a>(
    remaining: &mut &'a [u8],
    length: usize,
) -> Result<&'a [u8], JobError> {
    let (first, after) = remaining
        .split_at_checked(length)
        .ok_or(JobError::Encoding)?;
    *remaining = after;
    Ok(first)
}

fn take_text(
    remaining: &mut &[u8],
    length: usize,
) -> Result<String, JobError> {
    let bytes = take(remaining, length)?.to_vec();
    String::from_utf8(bytes).map_err(|_| JobError::Encoding)
}
