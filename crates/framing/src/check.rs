use std::{error, fmt};

use http::{HeaderMap, header};

use crate::{EventScanner, Framing, json::JsonScanner};

/// A kind of body, as far as its end shows in its bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub enum Content {
    /// Server-sent events.
    Events,
    /// One JSON value.
    Json,
    /// Bytes whose end cannot be recognised.
    Opaque,
}

impl Content {
    /// Returns the kind that the content type of a response declares.
    ///
    /// # Example
    ///
    /// ```
    /// use http::{HeaderMap, HeaderValue, header};
    /// use pomeloslip_framing::Content;
    ///
    /// let mut headers = HeaderMap::new();
    /// assert_eq!(Content::of(&headers), Content::Opaque);
    /// let json = HeaderValue::from_static("application/json; charset=utf-8");
    /// headers.insert(header::CONTENT_TYPE, json);
    /// assert_eq!(Content::of(&headers), Content::Json);
    /// ```
    pub fn of(headers: &HeaderMap) -> Self {
        let declared = headers
            .get(header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.split(';').next())
            .map(str::trim);
        match declared {
            Some(kind) if kind.eq_ignore_ascii_case("text/event-stream") => {
                Self::Events
            }
            Some(kind) if kind.eq_ignore_ascii_case("application/json") => {
                Self::Json
            }
            _ => Self::Opaque,
        }
    }
}

/// The reason why a body that ended is incomplete.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub enum Truncation {
    /// A stream ended inside an event.
    InsideEvent,
    /// A stream without a marked end had no event.
    NoEvent,
    /// A body ended inside its JSON value.
    InsideJson,
}

impl Truncation {
    /// Returns a description for logs.
    #[inline]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InsideEvent => "the stream ended inside an event",
            Self::NoEvent => "the stream ended without an event",
            Self::InsideJson => "the body ended inside its JSON value",
        }
    }
}

impl fmt::Display for Truncation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl error::Error for Truncation {}

/// Maximum size of an event, in bytes; an event holds a few tokens.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Checks that the body of a response ends where its content ends.
///
/// | content | checked |
/// |---|---|
/// | events | always: a stream that ends inside an event was interrupted, even if its sender ended its chunks |
/// | events | has an event, unless the end is marked or the stream was resumed: a sender that crashes after the head closes an empty body |
/// | JSON | if the end is not marked, or with [`BodyCheck::check_chunked_json`] |
/// | other | never |
///
/// # Example
///
/// ```
/// use pomeloslip_framing::{BodyCheck, Content, Framing, Truncation};
///
/// let mut check = BodyCheck::new(Framing::UntilClose, Content::Json);
/// check.push(b"{\"a\": [1, 2");
/// assert_eq!(check.finish(), Err(Truncation::InsideJson));
/// check.push(b"]}");
/// assert_eq!(check.finish(), Ok(()));
///
/// let empty = BodyCheck::new(Framing::UntilClose, Content::Events);
/// assert_eq!(empty.finish(), Err(Truncation::NoEvent));
/// assert_eq!(empty.resumed().finish(), Ok(()));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct BodyCheck {
    framing: Framing,
    scanner: Scanner,
    is_resumed: bool,
    checks_chunked_json: bool,
}

#[derive(Clone, Copy, Debug)]
enum Scanner {
    Events(EventScanner),
    Json(JsonScanner),
    Opaque,
}

impl BodyCheck {
    /// Creates a check for a body of which nothing has arrived yet.
    pub fn new(framing: Framing, content: Content) -> Self {
        let scanner = match content {
            Content::Events => Scanner::Events(EventScanner::default()),
            Content::Json => Scanner::Json(JsonScanner::default()),
            Content::Opaque => Scanner::Opaque,
        };
        Self {
            framing,
            scanner,
            is_resumed: false,
            checks_chunked_json: false,
        }
    }

    /// Allows a stream without events: a stream that resumes after its last
    /// event has none left.
    #[must_use]
    pub fn resumed(mut self) -> Self {
        self.is_resumed = true;
        self
    }

    /// Checks JSON in chunks as well: an engine that fails midway may still
    /// end its chunks.
    #[must_use]
    pub fn check_chunked_json(mut self) -> Self {
        self.checks_chunked_json = true;
        self
    }

    /// Returns the framing of the body.
    #[inline]
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Reports whether the body consists of events.
    #[inline]
    pub fn is_event_stream(&self) -> bool {
        matches!(self.scanner, Scanner::Events(_))
    }

    /// Returns the number of events that have ended, 0 for other content.
    #[inline]
    pub fn events(&self) -> u64 {
        match &self.scanner {
            Scanner::Events(scanner) => scanner.events(),
            Scanner::Json(_) | Scanner::Opaque => 0,
        }
    }

    /// Adds bytes that have arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        match &mut self.scanner {
            Scanner::Events(scanner) => scanner.scan(bytes),
            Scanner::Json(scanner) if self.framing != Framing::Length => {
                scanner.scan(bytes);
            }
            Scanner::Json(_) | Scanner::Opaque => {}
        }
    }

    /// Reports whether the body has an event that is longer than
    /// [`MAX_EVENT_BYTES`]: its sender has lost the end of it, and whoever
    /// waits for that end keeps ever more bytes.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_framing::{
    ///     BodyCheck, Content, Framing, MAX_EVENT_BYTES,
    /// };
    ///
    /// let mut check = BodyCheck::new(Framing::Chunked, Content::Events);
    /// check.push(b"data: one\n\ndata: ");
    /// assert!(!check.has_endless_event());
    /// check.push(&vec![b'x'; MAX_EVENT_BYTES]);
    /// assert!(check.has_endless_event());
    /// ```
    pub fn has_endless_event(&self) -> bool {
        match &self.scanner {
            Scanner::Events(scanner) => scanner.open_bytes() > MAX_EVENT_BYTES,
            Scanner::Json(_) | Scanner::Opaque => false,
        }
    }

    /// Decides whether the body is complete, after it has ended without an
    /// error of the connection.
    ///
    /// # Errors
    ///
    /// The [`Truncation`] that the content shows.
    pub fn finish(&self) -> Result<(), Truncation> {
        let is_unmarked = self.framing == Framing::UntilClose;
        match &self.scanner {
            Scanner::Events(scanner) if scanner.is_inside_event() => {
                Err(Truncation::InsideEvent)
            }
            Scanner::Events(scanner)
                if is_unmarked
                    && !self.is_resumed
                    && scanner.events() == 0 =>
            {
                Err(Truncation::NoEvent)
            }
            Scanner::Json(scanner)
                if self.checks_json() && !scanner.is_complete() =>
            {
                Err(Truncation::InsideJson)
            }
            _ => Ok(()),
        }
    }

    fn checks_json(&self) -> bool {
        match self.framing {
            Framing::Length => false,
            Framing::Chunked => self.checks_chunked_json,
            Framing::UntilClose => true,
        }
    }
}
