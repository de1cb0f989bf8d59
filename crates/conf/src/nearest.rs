/// Minimum Jaro-Winkler similarity of a suggestion.
///
/// A lower threshold yields misleading suggestions such as "rules" for
/// "pools".
const MIN_SIMILARITY: f64 = 0.8;

/// Returns the candidate that is most similar to a misspelled word.
///
/// The comparison ignores letter case and treats `-` as `_`. Returns `None`
/// if no candidate is similar enough.
///
/// # Example
///
/// ```
/// use pomeloslip_conf::nearest;
///
/// let words = ["models", "model", "kind"];
/// assert_eq!(nearest("modles", words), Some("models"));
/// assert_eq!(nearest("folder", words), None);
/// ```
pub fn nearest<'a>(
    word: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let word = normalize(word);
    let mut best = None;
    for candidate in candidates {
        let similarity = strsim::jaro_winkler(&word, &normalize(candidate));
        let threshold = best.map_or(MIN_SIMILARITY, |(found, _)| found);
        if similarity > threshold {
            best = Some((similarity, candidate));
        }
    }
    best.map(|(_, candidate)| candidate)
}

fn normalize(word: &str) -> String {
    word.to_lowercase().replace('-', "_")
}
