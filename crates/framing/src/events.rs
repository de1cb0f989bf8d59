/// Finds the ends of server-sent events in a stream.
///
/// Lines end with LF, CR LF or CR, and an event ends with a blank line. The
/// scanner keeps its position between two calls, so that the result does not
/// depend on how the stream is divided into chunks.
///
/// A blank line that follows only comments ends no event, but it is a boundary
/// as well: the comments before it can be forwarded.
///
/// # Example
///
/// ```
/// use pomeloslip_framing::EventScanner;
///
/// let mut scanner = EventScanner::default();
/// assert_eq!(scanner.next_boundary(b"data: one\n\ndata"), Some(11));
/// assert!(!scanner.is_inside_event());
/// assert_eq!(scanner.next_boundary(b"data"), None);
/// assert!(scanner.is_inside_event());
/// assert_eq!(scanner.events(), 1);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EventScanner {
    position: Position,
    /// Whether there was a line since the last boundary.
    has_lines: bool,
    /// Whether one of these lines was no comment.
    has_fields: bool,
    events: u64,
    /// Bytes that [`scan`](EventScanner::scan) has seen since the last
    /// boundary.
    open_bytes: usize,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Position {
    /// Before the first byte of a line.
    #[default]
    LineStart,
    /// Within a line.
    Line,
    /// After the CR that ended a line; an LF still belongs to it.
    AfterCr,
    /// After the CR of a blank line whose predecessor ended with LF: most
    /// likely an LF follows and ends the event.
    BlankCr,
}

impl EventScanner {
    /// Scans bytes up to the next boundary and returns its offset, or `None`
    /// if all bytes were scanned.
    ///
    /// The offset is 0 if only the first byte shows that the bytes before it
    /// were complete.
    pub fn next_boundary(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut at = 0;
        while let Some(byte) = bytes.get(at) {
            match self.position {
                Position::Line => {
                    let rest = &bytes[at..];
                    let end = rest.iter().position(|b| is_line_end(*b))?;
                    at += end;
                    self.end_line(bytes[at]);
                }
                Position::AfterCr if *byte == b'\n' => {
                    self.position = Position::LineStart;
                }
                Position::BlankCr => {
                    self.position = Position::LineStart;
                    let consumed = usize::from(*byte == b'\n');
                    if self.end_event() {
                        return Some(at + consumed);
                    }
                    at += consumed;
                    continue;
                }
                Position::LineStart | Position::AfterCr => {
                    if self.begin_line(*byte) {
                        return Some(at + 1);
                    }
                }
            }
            at += 1;
        }
        None
    }

    /// Scans bytes to their end.
    pub fn scan(&mut self, mut bytes: &[u8]) {
        while let Some(end) = self.next_boundary(bytes) {
            bytes = &bytes[end..];
            self.open_bytes = 0;
        }
        self.open_bytes = self.open_bytes.saturating_add(bytes.len());
    }

    /// Returns the number of scanned bytes since the last boundary.
    #[inline]
    pub fn open_bytes(&self) -> usize {
        self.open_bytes
    }

    /// Reports whether an event, or a line, has begun and not ended.
    #[inline]
    pub fn is_inside_event(&self) -> bool {
        self.has_fields || self.position == Position::Line
    }

    /// Returns the number of events that have ended.
    #[inline]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Starts over at an event boundary, for a stream that goes on in another
    /// response.
    pub fn restart(&mut self) {
        *self = Self {
            events: self.events,
            ..Self::default()
        };
    }

    /// Ends a line with CR or LF.
    fn end_line(&mut self, byte: u8) {
        self.position = match byte {
            b'\r' => Position::AfterCr,
            _ => Position::LineStart,
        };
    }

    /// Handles the first byte of a line and reports whether it ends an event.
    fn begin_line(&mut self, byte: u8) -> bool {
        match byte {
            b'\n' => {
                self.position = Position::LineStart;
                self.end_event()
            }
            b'\r' if self.position == Position::AfterCr => self.end_event(),
            b'\r' => {
                self.position = Position::BlankCr;
                false
            }
            _ => {
                self.position = Position::Line;
                self.has_lines = true;
                self.has_fields |= byte != b':';
                false
            }
        }
    }

    /// Ends the event at a blank line; reports whether there was any line
    /// before it.
    fn end_event(&mut self) -> bool {
        self.events += u64::from(self.has_fields);
        self.has_fields = false;
        std::mem::take(&mut self.has_lines)
    }
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}
