use bytes::{Buf, Bytes, BytesMut};

/// Largest event that is passed on, in bytes.
const EVENT_MAX_BYTES: usize = 4 << 20;

/// Data of the event that ends a stream of the OpenAI API.
const END_MARK: &[u8] = b"data: [DONE]";

/// Says that an event is over the limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct EventTooLarge;

/// Cuts an event stream into whole events.
///
/// A chunk of a connection may end in the middle of an event. Passing such
/// pieces on would let a broken stream end in half an event, and a resumed
/// one go on in the middle; whole events are the unit in which an answer is
/// counted, compared and resumed.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    ended: bool,
}

impl EventSplitter {
    /// Adds bytes of the connection.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event with its blank line.
    pub(crate) fn next(&mut self) -> Result<Option<Bytes>, EventTooLarge> {
        while self
            .buffer
            .first()
            .is_some_and(|b| *b == b'\n' || *b == b'\r')
        {
            self.buffer.advance(1);
        }
        let Some(end) = event_end(&self.buffer) else {
            if self.buffer.len() > EVENT_MAX_BYTES {
                return Err(EventTooLarge);
            }
            return Ok(None);
        };
        let event = self.buffer.split_to(end).freeze();
        if event.starts_with(END_MARK) {
            self.ended = true;
        }
        Ok(Some(event))
    }

    /// Tells whether the end mark was seen. A stream that ends without it
    /// is not an answer.
    #[inline]
    pub(crate) fn ended(&self) -> bool {
        self.ended
    }
}

/// Returns the length up to and with the first blank line.
fn event_end(buffer: &[u8]) -> Option<usize> {
    let lf = find(buffer, b"\n\n").map(|at| at + 2);
    let crlf = find(buffer, b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn find(buffer: &[u8], mark: &[u8]) -> Option<usize> {
    buffer.windows(mark.len()).position(|window| window == mark)
}
