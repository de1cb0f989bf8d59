use crate::UnixMillis;

const MS_PER_DAY: u64 = 86_400_000;

/// Returns the start of the ids of blobs that were made on a day.
///
/// Whoever names a blob puts this first; a data VM removes blobs by it when
/// their day is past the retention. Both copies go on the same day.
///
/// # Example
///
/// ```
/// use pomeloslip_base::{UnixMillis, blob_day_prefix};
///
/// let noon = UnixMillis::new(20_000 * 86_400_000 + 43_200_000);
/// assert_eq!(blob_day_prefix(noon), "d20000/");
/// ```
pub fn blob_day_prefix(made: UnixMillis) -> String {
    format!("d{}/", made.as_ms() / MS_PER_DAY)
}
