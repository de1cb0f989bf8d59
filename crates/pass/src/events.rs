use bytes::{Bytes, BytesMut};

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
    partial: BytesMut,
    last_id: Option<u64>,
}

const EVENT_END: &[u8] = b"\n\n";

impl EventSplitter {
    /// Creates a splitter that starts after an event, or at the beginning.
    pub fn new(after: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id: after,
        }
    }

    /// Returns the id of the last complete event.
    #[inline]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether a partial event is buffered.
    #[inline]
    pub fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards the partial event that was never completed.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Adds bytes and returns the events that are now complete.
    ///
    /// Events up to the last id are skipped, because they were already
    /// forwarded from the previous endpoint.
    pub fn push(&mut self, chunk: Bytes) -> Split {
        let all = match self.partial.is_empty() {
            true => chunk,
            false => {
                self.partial.extend_from_slice(&chunk);
                self.partial.split().freeze()
            }
        };
        let mut count = 0;
        let mut start = 0;
        let mut kept = BytesMut::new();
        let mut has_skipped = false;
        while let Some(length) = find_end(&all[start..]) {
            let event = all.slice(start..start + length);
            start += length;
            if self.is_duplicate(&event) {
                if !has_skipped {
                    kept.extend_from_slice(&all[..start - length]);
                }
                has_skipped = true;
                continue;
            }
            count += 1;
            if has_skipped {
                kept.extend_from_slice(&event);
            }
        }
        self.partial.extend_from_slice(&all[start..]);
        let events = match has_skipped {
            true => kept.freeze(),
            false => all.slice(..start),
        };
        Split { events, count }
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

fn find_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(EVENT_END.len())
        .position(|pair| pair == EVENT_END)
        .map(|at| at + EVENT_END.len())
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let text = line.strip_prefix(b"id:")?;
        std::str::from_utf8(text).ok()?.trim().parse().ok()
    })
}
