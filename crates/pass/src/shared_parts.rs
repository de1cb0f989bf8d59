use std::fmt;

/// Separates the parts of a prompt.
const PART_SEPARATOR: char = ',';

/// Separates the id of a part from its number of tokens.
const TOKENS_SEPARATOR: char = ':';

/// Maximum length of a list of parts in a log line, in bytes.
const MAX_LOGGED_BYTES: usize = 160;

/// The parts of a prompt that several requests may share: all but the last
/// one, which belongs to the request or its session.
///
/// # Example
///
/// ```
/// use pomeloslip_pass::SharedParts;
///
/// let parts = SharedParts::of("5c1e:800,91bd:410,e440:250");
/// assert_eq!(parts.ids().collect::<Vec<_>>(), ["5c1e", "91bd"]);
/// assert_eq!(SharedParts::of("e440:250").ids().count(), 0);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedParts<'a>(&'a str);

impl<'a> SharedParts<'a> {
    /// Returns the shared parts of a prompt, which is a list of `ID:TOKENS`.
    pub fn of(prompt: &'a str) -> Self {
        let shared = prompt.rsplit_once(PART_SEPARATOR);
        Self(shared.map_or("", |(shared, _)| shared))
    }

    /// Returns the list as text.
    pub fn as_str(self) -> &'a str {
        self.0
    }

    /// Returns the ids of the parts, in order. Empty ids are left out.
    pub fn ids(self) -> impl Iterator<Item = &'a str> {
        let parts = self.0.split(PART_SEPARATOR).map(|part| {
            let id = part.split(TOKENS_SEPARATOR).next();
            id.unwrap_or_default().trim()
        });
        parts.filter(|id| !id.is_empty())
    }
}

impl fmt::Display for SharedParts<'_> {
    /// Writes the list, shortened for logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fits = |(at, char): &(usize, char)| {
            at + char.len_utf8() <= MAX_LOGGED_BYTES
        };
        let kept = self.0.char_indices().take_while(fits);
        kept.map(|(_, char)| char)
            .try_for_each(|char| fmt::Write::write_char(f, char))
    }
}
