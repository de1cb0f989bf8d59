/// Least similarity of a word that is offered instead of a wrong one.
///
/// Below it, offers such as "rules" for "pools" would send a reader the
/// wrong way.
const SIMILARITY_MIN: f64 = 0.8;

/// Returns the candidate that a wrong word was most likely meant to be.
///
/// Letter case and `-` for `_` do not count. Nothing is returned if no
/// candidate is similar.
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
    wrong: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let wrong = plain(wrong);
    let mut best = None;
    for candidate in candidates {
        let similarity = strsim::jaro_winkler(&wrong, &plain(candidate));
        let least = best.map_or(SIMILARITY_MIN, |(found, _)| found);
        if similarity > least {
            best = Some((similarity, candidate));
        }
    }
    best.map(|(_, candidate)| candidate)
}

fn plain(word: &str) -> String {
    word.to_lowercase().replace('-', "_")
}
