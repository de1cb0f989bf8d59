use std::{error, fmt};

use budget::{MemoryBudget, Reservation};
use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Size of the first buffer of a response.
const FIRST_CAPACITY: usize = 4 * 1024;

/// Why a response was not read to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReadError {
    TooLarge,
    BrokenOff,
    NoMemory,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "it is larger than expected",
            Self::BrokenOff => "it breaks off",
            Self::NoMemory => "the memory for responses is in use",
        })
    }
}

impl error::Error for ReadError {}

/// Reads a complete response, whose memory is reserved before it is read.
pub(crate) async fn read_response(
    mut body: Incoming,
    max_bytes: usize,
    memory: Option<&MemoryBudget>,
) -> Result<Bytes, ReadError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(ReadError::TooLarge);
    }
    // A reservation may be smaller than requested if it is the only one.
    let max_held = memory.map_or(u64::MAX, MemoryBudget::max_bytes);
    let mut response = ResponseBytes::new(memory)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadError::BrokenOff)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if response.bytes.len() + data.len() > max_bytes {
            return Err(ReadError::TooLarge);
        }
        response.push(&data, max_held)?;
    }
    Ok(Bytes::from_owner(response))
}

/// The bytes of a response with their memory.
struct ResponseBytes {
    bytes: Vec<u8>,
    memory: Option<Reservation>,
}

impl ResponseBytes {
    fn new(memory: Option<&MemoryBudget>) -> Result<Self, ReadError> {
        let reserve =
            |memory: &MemoryBudget| memory.reserve(FIRST_CAPACITY as u64);
        let memory = memory.map(reserve).transpose();
        Ok(Self {
            bytes: Vec::with_capacity(FIRST_CAPACITY),
            memory: memory.map_err(|_| ReadError::NoMemory)?,
        })
    }

    fn push(&mut self, data: &[u8], max_held: u64) -> Result<(), ReadError> {
        let (length, old) =
            (self.bytes.len() + data.len(), self.bytes.capacity());
        if length > old {
            let new = length.max(2 * old);
            if (old + new) as u64 > max_held {
                return Err(ReadError::NoMemory);
            }
            self.grow(old, new)?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Grows the buffer. The old one exists until it is copied.
    fn grow(&mut self, old: usize, new: usize) -> Result<(), ReadError> {
        if let Some(memory) = &self.memory {
            let both = (old + new) as u64;
            memory.grow_to(both).map_err(|_| ReadError::NoMemory)?;
        }
        self.bytes.reserve_exact(new - self.bytes.len());
        if let Some(memory) = &self.memory {
            memory.shrink_to(new as u64);
        }
        Ok(())
    }
}

impl AsRef<[u8]> for ResponseBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
