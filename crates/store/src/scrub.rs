//! Verifies the whole store incrementally.

use error_stack::Report;

use crate::{
    BlobId, ScrubReport, Store, StoreError, apply::Change, index::Index,
    writer::Core,
};

/// Number of blobs that are listed at a time.
const PAGE_BLOBS: usize = 64;

/// Verifies blobs in the order of their ids until the byte budget is used up.
///
/// Following the index instead of the log also finds blobs whose headers are
/// damaged, since the index has their ids.
pub(crate) fn scrub(
    store: &Store,
    core: &Core,
    budget_bytes: u64,
) -> Result<ScrubReport, Report<StoreError>> {
    let mut report = ScrubReport::default();
    let mut after = core.with_index(Index::scrub_cursor)?;
    let cursor = loop {
        let page = core.with_index(|index| {
            index.list("", after.as_deref(), PAGE_BLOBS)
        })?;
        if page.is_empty() {
            report.complete = true;
            break None;
        }
        let mut last = None;
        for (id, entry) in page {
            let bytes = entry.record_bytes(&id);
            verify(store, &id, &mut report)?;
            report.bytes += bytes;
            last = Some(id);
            if report.bytes >= budget_bytes {
                break;
            }
        }
        after = last.as_ref().map(|id| id.as_str().to_owned());
        if report.bytes >= budget_bytes {
            break last;
        }
    };
    let change = Change::ScrubCursor(cursor);
    core.apply(&mut core.writer(), &[change], false)?;
    Ok(report)
}

fn verify(
    store: &Store,
    id: &BlobId,
    report: &mut ScrubReport,
) -> Result<(), Report<StoreError>> {
    match store.get(id) {
        // `None` means that the blob has been removed concurrently.
        Ok(_) => report.blobs += 1,
        Err(error) if *error.current_context() == StoreError::Corrupt => {
            report.corrupt.push(id.clone());
        }
        Err(error) => return Err(error),
    }
    Ok(())
}
