use std::fmt;

use bytes::{Buf, Bytes, BytesMut};
use framing::EventScanner;

/// Size of the largest event that is forwarded, in bytes.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// Data of the event that ends a stream of the OpenAI API.
const END_MARK: &[u8] = b"[DONE]";

/// The error for an event that exceeds the size limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLarge;

impl fmt::Display for EventTooLarge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an event is over {MAX_EVENT_BYTES} bytes")
    }
}

impl std::error::Error for EventTooLarge {}

/// Splits an event stream into whole events.
///
/// A chunk of a connection may end in the middle of an event. If such pieces
/// were forwarded, a broken stream could end with a partial event, and a
/// resumed one could continue in the middle of one. Responses are therefore
/// counted, compared and resumed in whole events.
///
/// # Example
///
/// ```
/// use pomeloslip_upstream::EventSplitter;
///
/// let mut events = EventSplitter::default();
/// events.push(b"data: 1\n\nda");
/// assert_eq!(events.next_event()?.as_deref(), Some(&b"data: 1\n\n"[..]));
/// assert_eq!(events.next_event()?, None);
/// events.push(b"ta: [DONE]\n\n");
/// events.next_event()?;
/// assert!(events.has_end_mark());
/// # Ok::<(), pomeloslip_upstream::EventTooLarge>(())
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer that hold no end of an event.
    scanned: usize,
    scanner: EventScanner,
    has_end_mark: bool,
}

impl EventSplitter {
    /// Appends bytes received from the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next whole event including its blank line.
    ///
    /// # Errors
    ///
    /// [`EventTooLarge`] if the next event does not end within 4 MiB.
    pub fn next_event(&mut self) -> Result<Option<Bytes>, EventTooLarge> {
        let unscanned = &self.buffer[self.scanned..];
        let Some(length) = self.scanner.next_boundary(unscanned) else {
            self.scanned = self.buffer.len();
            return match self.scanned > MAX_EVENT_BYTES {
                true => Err(EventTooLarge),
                false => Ok(None),
            };
        };
        let mut event = self.buffer.split_to(self.scanned + length).freeze();
        self.scanned = 0;
        while matches!(event.first(), Some(b'\n' | b'\r')) {
            event.advance(1);
        }
        self.has_end_mark |= is_end_mark(&event);
        Ok(Some(event))
    }

    /// Reports whether an event is a comment, which engines send to keep the
    /// connection alive.
    #[inline]
    pub fn is_comment(event: &[u8]) -> bool {
        event.first() == Some(&b':')
    }

    /// Reports whether an event carries response data: it is neither a comment
    /// nor the end mark.
    #[inline]
    pub fn is_content(event: &[u8]) -> bool {
        !Self::is_comment(event) && !is_end_mark(event)
    }

    /// Reports whether the end mark was received. A stream that ends without
    /// it is incomplete.
    #[inline]
    pub fn has_end_mark(&self) -> bool {
        self.has_end_mark
    }
}

/// Reports whether an event is the end mark; the space before its data may be
/// missing.
fn is_end_mark(event: &[u8]) -> bool {
    event
        .strip_prefix(b"data:")
        .is_some_and(|data| data.trim_ascii_start().starts_with(END_MARK))
}
