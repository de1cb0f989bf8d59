//! The subset of a large pool that an entry uses.
//!
//! With 340 entries and 2,200 endpoints an entry sends six requests a second
//! and cannot have current load data of all endpoints. Each entry takes a few
//! by rendezvous hashing of its own name with theirs, so that the subset is
//! stable when the list changes and differs between entries.

use base::stable_hash;

use crate::endpoint::ListedEndpoint;

/// Divisor for the part of the subset that is reserved for other failure
/// domains: one fourth. An entry whose own domain fails then still knows some
/// endpoints.
const OTHER_DOMAIN_DIVISOR: usize = 4;

/// Returns the indices in `listed` of the endpoints to use, own failure domain
/// first.
pub(crate) fn choose(
    entry: &str,
    listed: &[ListedEndpoint],
    size: usize,
) -> Vec<usize> {
    if listed.len() <= size {
        return (0..listed.len()).collect();
    }
    let mut ranked: Vec<(u64, usize)> = listed
        .iter()
        .enumerate()
        .map(|(index, one)| (stable_hash(&[entry, one.name.as_str()]), index))
        .collect();
    ranked.sort_unstable();
    let of = |same_domain: bool| {
        ranked
            .iter()
            .map(|(_, index)| *index)
            .filter(move |index| listed[*index].same_domain == same_domain)
    };
    let far_count = of(false).count();
    let reserved = (size / OTHER_DOMAIN_DIVISOR).min(far_count);
    let mut chosen: Vec<usize> = of(true).take(size - reserved).collect();
    let remaining = size - chosen.len();
    chosen.extend(of(false).take(remaining));
    chosen
}
