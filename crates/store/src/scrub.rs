//! Verifies the whole store, a part at each call.

use error_stack::Report;

use crate::{
    BlobId, ScrubReport, Store, StoreError, apply::Change, index::Index,
    writer::Core,
};

/// Blobs that are looked up together.
const PAGE: usize = 64;

/// Verifies blobs in the order of their ids until the budget is used.
///
/// That order, not the log's, finds also the blobs whose headers are damaged:
/// the index has their names.
pub(crate) fn scrub(
    store: &Store,
    core: &Core,
    budget_bytes: u64,
) -> Result<ScrubReport, Report<StoreError>> {
    let mut report = ScrubReport::default();
    let mut after = core.with_index(Index::scrub_cursor)?;
    let cursor = loop {
        let page =
            core.with_index(|index| index.list("", after.as_deref(), PAGE))?;
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
        // It may be removed meanwhile.
        Ok(_) => report.blobs += 1,
        Err(error) if *error.current_context() == StoreError::Corrupt => {
            report.corrupt.push(id.clone());
        }
        Err(error) => return Err(error),
    }
    Ok(())
}
