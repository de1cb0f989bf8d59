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
const PIECE_BYTES: usize = 1 << 20;

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
    pub(crate) why: String,
}

impl fmt::Display for InputError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.why)
    }
}

/// A chunk of whole lines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Piece {
    pub(crate) bytes: Bytes,
    pub(crate) items: u32,
}

/// The remainder of an input after its last byte.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Rest {
    pub(crate) pieces: Vec<Piece>,
    /// Models that the items request; empty if there are too many to list.
    pub(crate) models: Vec<String>,
}

/// Maximum number of models listed for an input. They determine which
/// companions its items may be granted to.
const MODELS_MAX: usize = 8;

#[derive(Deserialize)]
struct ModelOf {
    model: Option<String>,
}

/// The validated fields of an item.
struct Checked {
    custom_id: String,
    model: Option<String>,
}

/// Validates an input line by line as it arrives and splits it into chunks.
///
/// An entry never holds a whole input in memory, only the open chunk and the
/// ids seen so far. Blank lines are dropped, so that a chunk has one item per
/// line.
pub(crate) struct Cutter<'a> {
    limits: &'a LimitSettings,
    ids: HashSet<String>,
    models: BTreeSet<Option<String>>,
    rest: BytesMut,
    open: BytesMut,
    open_items: u32,
    line: u32,
    total: u32,
}

impl<'a> Cutter<'a> {
    pub(crate) fn new(limits: &'a LimitSettings) -> Self {
        Self {
            limits,
            ids: HashSet::new(),
            models: BTreeSet::new(),
            rest: BytesMut::new(),
            open: BytesMut::new(),
            open_items: 0,
            line: 0,
            total: 0,
        }
    }

    /// Appends bytes of the input and returns the chunks that are full.
    pub(crate) fn push(
        &mut self,
        bytes: &[u8],
    ) -> Result<Vec<Piece>, InputError> {
        self.rest.extend_from_slice(bytes);
        let mut full = Vec::new();
        while let Some(end) = self.rest.iter().position(|b| *b == b'\n') {
            let line = self.rest.split_to(end + 1);
            full.extend(self.take(&line)?);
        }
        let limit = self.limits.item_max_bytes;
        if self.rest.len() as u64 > limit {
            self.line += 1;
            return Err(self.fail(format!("over {limit} bytes")));
        }
        Ok(full)
    }

    /// Processes the last line, which may lack a newline, and returns the
    /// remainder.
    pub(crate) fn finish(mut self) -> Result<Rest, InputError> {
        let line = self.rest.split();
        let mut pieces: Vec<Piece> = self.take(&line)?.into_iter().collect();
        pieces.extend(self.close());
        // An item without a model may run on any endpoint, and so may its
        // job.
        let models = match self.models.len() > MODELS_MAX {
            true => None,
            false => self.models.into_iter().collect(),
        };
        let models = models.unwrap_or_default();
        Ok(Rest { pieces, models })
    }

    fn take(&mut self, line: &[u8]) -> Result<Option<Piece>, InputError> {
        self.line += 1;
        let line = line.trim_ascii();
        if line.is_empty() {
            return Ok(None);
        }
        let checked = check(line, self.limits);
        let checked = checked.map_err(|why| self.fail(why))?;
        let id = checked.custom_id;
        if self.ids.contains(&id) {
            return Err(self.fail(format!("custom_id {id:?} is used before")));
        }
        self.ids.insert(id);
        if self.models.len() <= MODELS_MAX {
            self.models.insert(checked.model);
        }
        self.total += 1;
        if self.total > self.limits.items_max {
            let limit = self.limits.items_max;
            return Err(self.fail(format!("more than {limit} items")));
        }
        self.open.extend_from_slice(line);
        self.open.extend_from_slice(b"\n");
        self.open_items += 1;
        if self.open.len() >= PIECE_BYTES {
            return Ok(self.close());
        }
        Ok(None)
    }

    fn close(&mut self) -> Option<Piece> {
        if self.open_items == 0 {
            return None;
        }
        let items = std::mem::take(&mut self.open_items);
        Some(Piece {
            bytes: self.open.split().freeze(),
            items,
        })
    }

    fn fail(&self, why: String) -> InputError {
        InputError {
            line: self.line,
            why,
        }
    }
}

fn check(line: &[u8], limits: &LimitSettings) -> Result<Checked, String> {
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
    let body: ModelOf = serde_json::from_str(parsed.body.get())
        .map_err(|error| format!("body: {error}"))?;
    Ok(Checked {
        custom_id: parsed.custom_id,
        model: body.model,
    })
}
