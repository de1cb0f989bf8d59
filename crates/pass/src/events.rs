use bytes::{Bytes, BytesMut};
use framing::EventScanner;

/// The events that a chunk of a stream completed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Split {
    /// The complete events, ready to be forwarded.
    pub events: Bytes,
    /// The number of events.
    pub count: u32,
}

/// Splits a stream of server-sent events at event boundaries.
///
/// A stream can resume at another endpoint only after a complete event. An
/// endpoint may stop in the middle of an event, and another endpoint never
/// sends the second half: it starts with the next complete event.
///
/// # Example
///
/// ```
/// use pomeloslip_pass::EventSplitter;
///
/// let mut splitter = EventSplitter::new(None);
/// let split = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda".as_slice().into());
/// assert_eq!(&split.events[..], b"id: 1\ndata: a\n\n");
/// assert_eq!(splitter.last_id(), Some(1));
/// assert!(splitter.is_inside_event());
/// ```
#[derive(Debug)]
pub struct EventSplitter {
    scanner: EventScanner,
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter that starts after an event, or at the beginning.
    pub fn new(after: Option<u64>) -> Self {
        Self {
            scanner: EventScanner::default(),
            partial: BytesMut::new(),
            last_id: after,
        }
    }

    /// Returns the id of the last complete event.
    #[inline]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether an event has begun and not ended.
    #[inline]
    pub fn is_inside_event(&self) -> bool {
        self.scanner.is_inside_event()
    }

    /// Discards the partial event that was never completed.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
        self.scanner.restart();
    }

    /// Takes the bytes after the last event of a complete stream: blank lines
    /// and comments.
    pub fn take_rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Adds bytes and returns the events that are now complete.
    ///
    /// Events up to the last id are skipped, because they were already
    /// forwarded from the previous endpoint.
    pub fn push(&mut self, chunk: Bytes) -> Split {
        let mut count = 0;
        let mut start = 0;
        let mut kept = BytesMut::new();
        // The result is a part of the chunk unless it begins with the bytes
        // of an earlier chunk or lacks an event.
        let mut is_part = self.partial.is_empty();
        while let Some(length) = self.scanner.next_boundary(&chunk[start..]) {
            let event = self.join_partial(chunk.slice(start..start + length));
            if self.is_duplicate(&event) {
                if is_part {
                    kept.extend_from_slice(&chunk[..start]);
                }
                is_part = false;
            } else {
                count += 1;
                if !is_part {
                    kept.extend_from_slice(&event);
                }
            }
            start += length;
        }
        self.partial.extend_from_slice(&chunk[start..]);
        let events = match is_part {
            true => chunk.slice(..start),
            false => kept.freeze(),
        };
        Split { events, count }
    }

    /// Returns an event whose last bytes have arrived.
    fn join_partial(&mut self, end: Bytes) -> Bytes {
        if self.partial.is_empty() {
            return end;
        }
        self.partial.extend_from_slice(&end);
        self.partial.split().freeze()
    }

    /// Records the id of an event, or returns true if it was seen before.
    fn is_duplicate(&mut self, event: &[u8]) -> bool {
        let Some(id) = event_id(event) else {
            return false;
        };
        if self.last_id.is_some_and(|last| id <= last) {
            return true;
        }
        self.last_id = Some(id);
        false
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| matches!(byte, b'\n' | b'\r'))
        .find_map(|line| {
            let text = line.strip_prefix(b"id:")?;
            std::str::from_utf8(text).ok()?.trim().parse().ok()
        })
}
