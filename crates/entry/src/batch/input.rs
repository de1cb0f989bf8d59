//! Validates an uploaded batch input and splits it into chunks of whole
//! lines.

use std::{
    collections::{BTreeSet, HashSet},
    fmt,
};

use bytes::{Bytes, BytesMut};
use conf::settings::LimitSettings;
use serde::Deserialize;

/// Size at which a chunk is closed, in bytes.
const CHUNK_BYTES: usize = 1 << 20;

/// One line of a batch input.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct InputLine {
    pub(crate) custom_id: String,
    #[serde(default)]
    pub(crate) method: Option<String>,
    pub(crate) url: String,
    pub(crate) body: Box<serde_json::value::RawValue>,
}

/// An invalid line of an input.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct InputError {
    /// Line number, starting at 1.
    pub(crate) line: u32,
    pub(crate) reason: String,
}

impl fmt::Display for InputError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

/// A chunk of whole lines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct InputChunk {
    pub(crate) bytes: Bytes,
    pub(crate) items: u32,
}

/// The remainder of an input after its last byte.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Remainder {
    pub(crate) chunks: Vec<InputChunk>,
    /// Models that the items request; empty if there are too many to list.
    pub(crate) models: Vec<String>,
}

/// Maximum number of models listed for an input. They determine which
/// companions its items may be granted to.
const MAX_LISTED_MODELS: usize = 8;

#[derive(Deserialize)]
struct BodyModel {
    model: Option<String>,
}

/// The validated fields of an item.
struct ValidItem {
    custom_id: String,
    model: Option<String>,
}

/// Validates an input line by line as it arrives and splits it into chunks.
///
/// An entry never holds a whole input in memory, only the open chunk and the
/// ids seen so far. Blank lines are dropped, so that a chunk has one item per
/// line.
pub(crate) struct InputSplitter<'a> {
    limits: &'a LimitSettings,
    ids: HashSet<String>,
    models: BTreeSet<Option<String>>,
    partial_line: BytesMut,
    open_chunk: BytesMut,
    open_items: u32,
    line: u32,
    total: u32,
    /// Memory of the ids.
    ids_bytes: u64,
}

/// Memory of an id besides its text.
const ID_BYTES: u64 = 64;

impl<'a> InputSplitter<'a> {
    pub(crate) fn new(limits: &'a LimitSettings) -> Self {
        Self {
            limits,
            ids: HashSet::new(),
            models: BTreeSet::new(),
            partial_line: BytesMut::new(),
            open_chunk: BytesMut::new(),
            open_items: 0,
            line: 0,
            total: 0,
            ids_bytes: 0,
        }
    }

    /// Returns the memory of the buffers and ids, in bytes.
    pub(crate) fn held_bytes(&self) -> u64 {
        let buffers =
            self.partial_line.capacity() + self.open_chunk.capacity();
        buffers as u64 + self.ids_bytes
    }

    /// Appends bytes of the input and returns the chunks that are full.
    pub(crate) fn push(
        &mut self,
        bytes: &[u8],
    ) -> Result<Vec<InputChunk>, InputError> {
        let mut full = Vec::new();
        // Only new bytes are searched: a line may arrive in many pieces.
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|b| *b == b'\n') {
            let (last, others) = rest.split_at(end + 1);
            self.partial_line.extend_from_slice(last);
            let line = self.partial_line.split();
            full.extend(self.push_line(&line)?);
            rest = others;
        }
        self.partial_line.extend_from_slice(rest);
        let limit = self.limits.item_max_bytes;
        if self.partial_line.len() as u64 > limit {
            self.line += 1;
            return Err(self.error(format!("over {limit} bytes")));
        }
        Ok(full)
    }

    /// Processes the last line, which may lack a newline, and returns the
    /// remainder.
    pub(crate) fn finish(mut self) -> Result<Remainder, InputError> {
        let line = self.partial_line.split();
        let mut chunks: Vec<InputChunk> =
            self.push_line(&line)?.into_iter().collect();
        chunks.extend(self.close_chunk());
        // An item without a model may run on any endpoint, and so may its
        // job.
        let models = match self.models.len() > MAX_LISTED_MODELS {
            true => None,
            false => self.models.into_iter().collect(),
        };
        let models = models.unwrap_or_default();
        Ok(Remainder { chunks, models })
    }

    fn push_line(
        &mut self,
        line: &[u8],
    ) -> Result<Option<InputChunk>, InputError> {
        self.line += 1;
        let line = line.trim_ascii();
        if line.is_empty() {
            return Ok(None);
        }
        let item = validate(line, self.limits);
        let item = item.map_err(|reason| self.error(reason))?;
        let id = item.custom_id;
        if self.ids.contains(&id) {
            return Err(self.error(format!("custom_id {id:?} is used before")));
        }
        self.ids_bytes += ID_BYTES + id.len() as u64;
        self.ids.insert(id);
        if self.models.len() <= MAX_LISTED_MODELS {
            self.models.insert(item.model);
        }
        self.total += 1;
        if self.total > self.limits.items_max {
            let limit = self.limits.items_max;
            return Err(self.error(format!("more than {limit} items")));
        }
        self.open_chunk.extend_from_slice(line);
        self.open_chunk.extend_from_slice(b"\n");
        self.open_items += 1;
        if self.open_chunk.len() >= CHUNK_BYTES {
            return Ok(self.close_chunk());
        }
        Ok(None)
    }

    fn close_chunk(&mut self) -> Option<InputChunk> {
        if self.open_items == 0 {
            return None;
        }
        let items = std::mem::take(&mut self.open_items);
        Some(InputChunk {
            bytes: self.open_chunk.split().freeze(),
            items,
        })
    }

    fn error(&self, reason: String) -> InputError {
        InputError {
            line: self.line,
            reason,
        }
    }
}

fn validate(line: &[u8], limits: &LimitSettings) -> Result<ValidItem, String> {
    if line.len() as u64 > limits.item_max_bytes {
        return Err(format!("over {} bytes", limits.item_max_bytes));
    }
    let parsed: InputLine =
        serde_json::from_slice(line).map_err(|error| error.to_string())?;
    if parsed.custom_id.is_empty() {
        return Err("custom_id is empty".to_owned());
    }
    if parsed
        .method
        .as_deref()
        .is_some_and(|method| method != "POST")
    {
        return Err("method is not POST".to_owned());
    }
    if !parsed.url.starts_with("/v1/") {
        return Err(format!("url {:?} does not start with /v1/", parsed.url));
    }
    if !parsed.body.get().starts_with('{') {
        return Err("body is not an object".to_owned());
    }
    let body: BodyModel = serde_json::from_str(parsed.body.get())
        .map_err(|error| format!("body: {error}"))?;
    Ok(ValidItem {
        custom_id: parsed.custom_id,
        model: body.model,
    })
}
