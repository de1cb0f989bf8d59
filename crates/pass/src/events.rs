use bytes::{Bytes, BytesMut};

/// What a chunk of a stream completed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Split {
    /// Whole events, ready to be passed on.
    pub events: Bytes,
    /// How many they are.
    pub count: u32,
}

/// Cuts a stream of server-sent events at the ends of events.
///
/// A stream can be taken up elsewhere only after a whole event: an endpoint
/// may stop in the middle of one, and its second half never comes from
/// another endpoint, which starts with the next whole event.
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
    rest: BytesMut,
    last_id: Option<u64>,
}

const END: &[u8] = b"\n\n";

impl EventSplitter {
    /// Starts after an event, or at the beginning.
    pub fn new(after: Option<u64>) -> Self {
        Self {
            rest: BytesMut::new(),
            last_id: after,
        }
    }

    /// Returns the id of the last whole event.
    #[inline]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Tells whether a part of an event is held back.
    #[inline]
    pub fn is_inside_event(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Forgets the part of an event that never became whole.
    pub fn drop_partial(&mut self) {
        self.rest.clear();
    }

    /// Adds bytes and returns the events that are whole now.
    ///
    /// Events up to the last id are left out: they were passed on already,
    /// from the endpoint before.
    pub fn push(&mut self, chunk: Bytes) -> Split {
        let all = match self.rest.is_empty() {
            true => chunk,
            false => {
                self.rest.extend_from_slice(&chunk);
                self.rest.split().freeze()
            }
        };
        let mut count = 0;
        let mut start = 0;
        let mut kept = BytesMut::new();
        let mut left_out = false;
        while let Some(length) = find_end(&all[start..]) {
            let event = all.slice(start..start + length);
            start += length;
            if self.is_known(&event) {
                if !left_out {
                    kept.extend_from_slice(&all[..start - length]);
                }
                left_out = true;
                continue;
            }
            count += 1;
            if left_out {
                kept.extend_from_slice(&event);
            }
        }
        self.rest.extend_from_slice(&all[start..]);
        let events = match left_out {
            true => kept.freeze(),
            false => all.slice(..start),
        };
        Split { events, count }
    }

    /// Moves on to the event's id, or tells that it was there before.
    fn is_known(&mut self, event: &[u8]) -> bool {
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
        .windows(END.len())
        .position(|pair| pair == END)
        .map(|at| at + END.len())
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let text = line.strip_prefix(b"id:")?;
        std::str::from_utf8(text).ok()?.trim().parse().ok()
    })
}
