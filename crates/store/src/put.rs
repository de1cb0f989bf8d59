//! Stores a batch of blobs.

use std::collections::BTreeMap;

use bytes::Bytes;
use error_stack::{Report, ResultExt};

use crate::{
    BlobId, PutOutcome, StoreError,
    index::Lookup,
    record::{Header, Kind, Record},
    rows::Entry,
    segment::ReadError,
    writer::{Core, Writer},
};

/// Maximum total size of the blobs in a batch, unless a single one is larger.
pub(crate) const MAX_BATCH_BYTES: usize = 16 << 20;
/// Maximum number of blobs in a batch.
pub(crate) const MAX_BATCH_BLOBS: usize = 1024;

/// A blob to store, whose checksum has been verified.
#[derive(Clone, Debug)]
pub(crate) struct PutRequest {
    pub(crate) id: BlobId,
    pub(crate) bytes: Bytes,
    pub(crate) crc32: u32,
}

pub(crate) type PutResult = Result<PutOutcome, Report<StoreError>>;

/// How a request of the batch is handled.
enum PutPlan {
    /// The result is known without a write.
    Resolved(PutResult),
    /// The request is written as a record of the batch.
    Write,
    /// An earlier request of the batch writes the same blob.
    Duplicate,
    /// An earlier request of the batch writes different content under the same
    /// id.
    Conflict,
}

impl Core {
    /// Stores the new blobs of a batch and returns one result per request, in
    /// order.
    pub(crate) fn put_batch(
        &self,
        requests: Vec<PutRequest>,
    ) -> Vec<PutResult> {
        if requests.is_empty() {
            return Vec::new();
        }
        let mut writer = self.writer();
        let plans = match self.plan(&mut writer, &requests) {
            Ok(plans) => plans,
            Err(error) => return fail_all(&error, requests.len()),
        };
        let records = self.records(&requests, &plans);
        let outcome = writer.commit(self, records);
        drop(writer);
        plans
            .into_iter()
            .zip(&requests)
            .map(|(plan, request)| match (plan, &outcome) {
                (PutPlan::Resolved(result), _) => result,
                (_, Err(error)) => Err(duplicate_report(error)),
                (PutPlan::Write, Ok(())) => Ok(PutOutcome::Stored),
                (PutPlan::Duplicate, Ok(())) => Ok(PutOutcome::AlreadySame),
                (PutPlan::Conflict, Ok(())) => Err(content_conflict(request)),
            })
            .collect()
    }

    fn plan(
        &self,
        writer: &mut Writer,
        requests: &[PutRequest],
    ) -> Result<Vec<PutPlan>, Report<StoreError>> {
        let all_bytes = requests.iter().map(PutRequest::record_bytes).sum();
        // This must precede the lookups because it moves blobs.
        if let Err(error) = self.reclaim_to_fit(writer, all_bytes) {
            log::warn!("cannot reclaim space: {error:#}");
        }
        let ids: Vec<&BlobId> = requests.iter().map(|r| &r.id).collect();
        let found = self
            .with_index_locked(writer, |index| index.lookup(&ids))
            .change_context(StoreError::NotApplied)?;
        let mut plans: Vec<PutPlan> = Vec::with_capacity(requests.len());
        let mut planned: BTreeMap<&BlobId, &PutRequest> = BTreeMap::new();
        let mut batch_bytes = 0;
        for (request, found) in requests.iter().zip(found) {
            let plan = match planned.get(&request.id) {
                Some(first) if first.bytes == request.bytes => {
                    PutPlan::Duplicate
                }
                Some(_) => PutPlan::Conflict,
                None => self.plan_one(writer, request, found, batch_bytes),
            };
            if matches!(plan, PutPlan::Write) {
                batch_bytes += request.record_bytes();
                planned.insert(&request.id, request);
            }
            plans.push(plan);
        }
        Ok(plans)
    }

    fn plan_one(
        &self,
        writer: &Writer,
        request: &PutRequest,
        found: Lookup,
        batch_bytes: u64,
    ) -> PutPlan {
        if let Lookup::Present(entry) = found
            && let Some(result) = self.compare(request, entry)
        {
            return PutPlan::Resolved(result);
        }
        let needed_bytes = batch_bytes + request.record_bytes();
        if writer.disk_bytes + needed_bytes > self.limits.quota_bytes {
            let error = Report::new(StoreError::QuotaExceeded)
                .attach(format!("quota: {} bytes", self.limits.quota_bytes));
            return PutPlan::Resolved(Err(error));
        }
        PutPlan::Write
    }

    /// Compares a request with the stored blob of its id. Returns `None` if
    /// the stored blob is damaged and must be replaced.
    fn compare(
        &self,
        request: &PutRequest,
        entry: Entry,
    ) -> Option<PutResult> {
        match self.segments.read(&request.id, &entry) {
            Ok(record) if record.payload == request.bytes => {
                Some(Ok(PutOutcome::AlreadySame))
            }
            Ok(_) => Some(Err(content_conflict(request))),
            Err(ReadError::Failed(error)) => Some(Err(
                Report::new(error).change_context(StoreError::NotApplied)
            )),
            Err(_) => {
                log::error!("blob {} is damaged", request.id);
                None
            }
        }
    }

    fn records(
        &self,
        requests: &[PutRequest],
        plans: &[PutPlan],
    ) -> Vec<Record> {
        let stored_at = self.clock.unix();
        requests
            .iter()
            .zip(plans)
            .filter(|(_, plan)| matches!(plan, PutPlan::Write))
            .map(|(request, _)| Record {
                header: Header {
                    kind: Kind::Put,
                    id: request.id.clone(),
                    // `validate` in store.rs has limited the length.
                    payload_bytes: request.bytes.len() as u32,
                    payload_crc: request.crc32,
                    seq: 0,
                    batch: 0,
                    stored_at,
                },
                payload: request.bytes.clone(),
            })
            .collect()
    }
}

impl PutRequest {
    fn record_bytes(&self) -> u64 {
        crate::record::record_bytes(&self.id, self.bytes.len() as u32)
    }
}

fn content_conflict(request: &PutRequest) -> Report<StoreError> {
    Report::new(StoreError::ContentMismatch).attach(request.id.to_string())
}

fn fail_all(error: &Report<StoreError>, count: usize) -> Vec<PutResult> {
    (0..count).map(|_| Err(duplicate_report(error))).collect()
}

/// Copies the context and text of a report, since reports cannot be cloned and
/// every request of a failed batch needs one.
fn duplicate_report(error: &Report<StoreError>) -> Report<StoreError> {
    Report::new(*error.current_context()).attach(format!("{error:#}"))
}
