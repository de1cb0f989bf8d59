use std::fmt;

use http::{HeaderMap, Version, header};

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub enum Framing {
    /// The length of the body is known from its head.
    Length,
    /// A last chunk marks the end.
    Chunked,
    /// The end of the connection is the end of the body.
    UntilClose,
}

impl Framing {
    /// Returns the framing of a response.
    ///
    /// `length` is the length of the body as far as the HTTP library knows
    /// it from the head; it is 0 for responses that never have a body, such
    /// as those with status 204.
    ///
    /// # Example
    ///
    /// ```
    /// use http::{HeaderMap, HeaderValue, Version, header};
    /// use pomeloslip_framing::Framing;
    ///
    /// let mut headers = HeaderMap::new();
    /// let of = |headers: &HeaderMap, length| {
    ///     Framing::of(Version::HTTP_11, headers, length)
    /// };
    /// assert_eq!(of(&headers, Some(0)), Framing::Length);
    /// assert_eq!(of(&headers, None), Framing::UntilClose);
    ///
    /// let chunked = HeaderValue::from_static("chunked");
    /// headers.insert(header::TRANSFER_ENCODING, chunked);
    /// assert_eq!(of(&headers, None), Framing::Chunked);
    /// ```
    pub fn of(
        version: Version,
        headers: &HeaderMap,
        length: Option<u64>,
    ) -> Self {
        if length.is_some() {
            return Self::Length;
        }
        match version == Version::HTTP_11 && is_chunked(headers) {
            true => Self::Chunked,
            false => Self::UntilClose,
        }
    }

    /// Returns a short name for logs.
    #[inline]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until close",
        }
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Reports whether the last transfer coding is `chunked`. With any other last
/// coding, the body of a response ends with its connection.
fn is_chunked(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(header::TRANSFER_ENCODING);
    let last = codings.iter().next_back();
    last.and_then(|value| value.to_str().ok())
        .and_then(|text| text.rsplit(',').next())
        .is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
