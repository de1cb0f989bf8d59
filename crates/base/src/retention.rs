use crate::UnixMillis;

const MS_PER_DAY: u64 = 86_400_000;

/// Returns the prefix of the ids of blobs that were created on a given day.
///
/// Every blob id starts with this prefix. Data VMs remove blobs by prefix
/// when the day is past the retention, so both copies of a blob are removed
/// on the same day.
///
/// # Example
///
/// ```
/// use pomeloslip_base::{UnixMillis, blob_day_prefix};
///
/// let noon = UnixMillis::new(20_000 * 86_400_000 + 43_200_000);
/// assert_eq!(blob_day_prefix(noon), "d20000/");
/// ```
pub fn blob_day_prefix(created_at: UnixMillis) -> String {
    format!("d{}/", created_at.as_ms() / MS_PER_DAY)
}
