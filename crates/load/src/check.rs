/// Result of comparing a response with the expected text.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The response equals the expected text byte for byte.
    Right,
    /// The response is a prefix of the expected text or lacks its end marker.
    Missing,
    /// The response is the expected text with a part repeated.
    Duplicated,
    /// The response is a different text, for example that of another request.
    Wrong,
}

/// Compares a response with the expected text.
///
/// `ended` states whether the response had its end marker.
///
/// # Example
///
/// ```
/// use pomeloslip_load::{Verdict, verdict};
///
/// assert_eq!(verdict("ab cd", "ab cd", true), Verdict::Right);
/// assert_eq!(verdict("ab cd", "ab cd", false), Verdict::Missing);
/// assert_eq!(verdict("ab cd", "ab", true), Verdict::Missing);
/// assert_eq!(verdict("ab cd", "ab ab cd", true), Verdict::Duplicated);
/// assert_eq!(verdict("ab cd", "ef gh", true), Verdict::Wrong);
/// ```
pub fn verdict(expected: &str, found: &str, ended: bool) -> Verdict {
    if found == expected {
        return if ended {
            Verdict::Right
        } else {
            Verdict::Missing
        };
    }
    if expected.starts_with(found) {
        return Verdict::Missing;
    }
    if has_repeated_section(expected, found) {
        return Verdict::Duplicated;
    }
    Verdict::Wrong
}

/// Reports whether `found` is `expected` with one section repeated, as happens
/// when a stream is resumed at too low an offset.
fn has_repeated_section(expected: &str, found: &str) -> bool {
    let (expected, found) = (expected.as_bytes(), found.as_bytes());
    let same = |(a, b): &(&u8, &u8)| a == b;
    let prefix_len = expected.iter().zip(found).take_while(same).count();
    let suffixes = expected.iter().rev().zip(found.iter().rev());
    let suffix_len = suffixes.take_while(same).count();
    found.len() > expected.len() && prefix_len + suffix_len >= expected.len()
}
