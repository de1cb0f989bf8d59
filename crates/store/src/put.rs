//! Stores a batch of blobs.

use std::collections::BTreeMap;

use bytes::Bytes;
use error_stack::{Report, ResultExt};

use crate::{
    BlobId, Put, StoreError,
    index::Lookup,
    record::{Header, Kind, Record},
    rows::Entry,
    segment::ReadFault,
    writer::{Core, Writer},
};

/// Most bytes of blobs in a batch, unless a single one is larger.
pub(crate) const BATCH_MAX_BYTES: usize = 16 << 20;
/// Most blobs in a batch.
pub(crate) const BATCH_MAX_BLOBS: usize = 1024;

/// A blob whose checksum was found right.
#[derive(Clone, Debug)]
pub(crate) struct PutRequest {
    pub(crate) id: BlobId,
    pub(crate) bytes: Bytes,
    pub(crate) crc32: u32,
}

pub(crate) type PutResult = Result<Put, Report<StoreError>>;

/// What becomes of one request.
enum Plan {
    /// It needs no write.
    Decided(PutResult),
    /// It becomes this record of the batch.
    Write,
    /// It repeats a request that is written.
    Repeat,
    /// It has the id of a request that is written, but other content.
    Conflict,
}

impl Core {
    /// Stores what is new, and answers each request in order.
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
                (Plan::Decided(result), _) => result,
                (_, Err(error)) => Err(copy_of(error)),
                (Plan::Write, Ok(())) => Ok(Put::Stored),
                (Plan::Repeat, Ok(())) => Ok(Put::AlreadySame),
                (Plan::Conflict, Ok(())) => Err(other_content(request)),
            })
            .collect()
    }

    fn plan(
        &self,
        writer: &mut Writer,
        requests: &[PutRequest],
    ) -> Result<Vec<Plan>, Report<StoreError>> {
        let all_bytes = requests.iter().map(PutRequest::record_bytes).sum();
        // Before the lookups, as this moves blobs.
        if let Err(error) = self.make_room(writer, all_bytes) {
            log::warn!("no space could be reclaimed: {error:#}");
        }
        let ids: Vec<&BlobId> = requests.iter().map(|r| &r.id).collect();
        let found = self
            .with_index_locked(writer, |index| index.lookup(&ids))
            .change_context(StoreError::NotDone)?;
        let mut plans: Vec<Plan> = Vec::with_capacity(requests.len());
        let mut planned: BTreeMap<&BlobId, &PutRequest> = BTreeMap::new();
        let mut batch_bytes = 0;
        for (request, found) in requests.iter().zip(found) {
            let plan = match planned.get(&request.id) {
                Some(first) if first.bytes == request.bytes => Plan::Repeat,
                Some(_) => Plan::Conflict,
                None => self.plan_one(writer, request, found, batch_bytes),
            };
            if matches!(plan, Plan::Write) {
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
    ) -> Plan {
        if let Lookup::Present(entry) = found
            && let Some(result) = self.compare(request, entry)
        {
            return Plan::Decided(result);
        }
        let wanted_bytes = batch_bytes + request.record_bytes();
        if writer.disk_bytes + wanted_bytes > self.limits.quota_bytes {
            let error = Report::new(StoreError::QuotaExceeded)
                .attach(format!("quota: {} bytes", self.limits.quota_bytes));
            return Plan::Decided(Err(error));
        }
        Plan::Write
    }

    /// Compares a request with the blob of its id, or returns `None` if that
    /// is damaged and must be replaced.
    fn compare(
        &self,
        request: &PutRequest,
        entry: Entry,
    ) -> Option<PutResult> {
        match self.segments.read(&request.id, &entry) {
            Ok(record) if record.payload == request.bytes => {
                Some(Ok(Put::AlreadySame))
            }
            Ok(_) => Some(Err(other_content(request))),
            Err(ReadFault::Failed(error)) => Some(Err(
                Report::new(error).change_context(StoreError::NotDone)
            )),
            Err(_) => {
                log::error!("blob {} is damaged", request.id);
                None
            }
        }
    }

    fn records(&self, requests: &[PutRequest], plans: &[Plan]) -> Vec<Record> {
        let stored_at = self.clock.unix();
        requests
            .iter()
            .zip(plans)
            .filter(|(_, plan)| matches!(plan, Plan::Write))
            .map(|(request, _)| Record {
                header: Header {
                    kind: Kind::Put,
                    id: request.id.clone(),
                    // Checked against the limit before.
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

fn other_content(request: &PutRequest) -> Report<StoreError> {
    Report::new(StoreError::OtherContent).attach(request.id.to_string())
}

fn fail_all(error: &Report<StoreError>, count: usize) -> Vec<PutResult> {
    (0..count).map(|_| Err(copy_of(error))).collect()
}

/// Reports cannot be cloned; the others of a batch get the outer part.
fn copy_of(error: &Report<StoreError>) -> Report<StoreError> {
    Report::new(*error.current_context()).attach(format!("{error:#}"))
}
