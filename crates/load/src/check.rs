/// What an answer is worth.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is what it must be, byte for byte.
    Right,
    /// It is the start of the right answer, or lacks its end mark.
    Missing,
    /// It holds the right answer and some of it again.
    Duplicated,
    /// It is something else, for example another request's answer.
    Wrong,
}

/// Compares an answer with what it must be.
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
    if repeats(expected, found) {
        return Verdict::Duplicated;
    }
    Verdict::Wrong
}

/// Tells whether `found` is `expected` with one stretch of it given twice,
/// as when a stream is resumed too early.
fn repeats(expected: &str, found: &str) -> bool {
    let (expected, found) = (expected.as_bytes(), found.as_bytes());
    let same = |(a, b): &(&u8, &u8)| a == b;
    let head = expected.iter().zip(found).take_while(same).count();
    let tails = expected.iter().rev().zip(found.iter().rev());
    let tail = tails.take_while(same).count();
    found.len() > expected.len() && head + tail >= expected.len()
}
