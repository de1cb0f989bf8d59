use std::{sync::Arc, time::Duration};

use base::RequestDigest;
use error_stack::Report;
use kv::{Compare, KeyValue, Kv, KvError, Op, Txn};
use tokio::time::timeout;

use crate::{CrashRecord, StoredRecord};

/// Timeout of one call to the key-value service.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The result of a conditional write of a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum WriteResult {
    /// The write succeeded, at this revision.
    Done(u64),
    /// Another write came first. Holds the stored record, if there is one, and
    /// the revision at which it was read.
    Conflict(Option<StoredRecord>, u64),
    /// There was no response: the write may have been executed, or may still
    /// be. Holds the same as a conflict.
    Unknown(Option<StoredRecord>, u64),
}

/// Stores crash records in the key-value service.
///
/// Records have no leases, since leases may expire during an outage of the
/// key-value service, and poison requests would then crash endpoints again
/// after each outage.
pub(crate) struct RecordStore {
    kv: Arc<dyn Kv>,
    prefix: String,
}

impl RecordStore {
    pub(crate) fn new(kv: Arc<dyn Kv>, prefix: &str) -> Self {
        Self {
            kv,
            prefix: prefix.to_owned(),
        }
    }

    pub(crate) fn kv(&self) -> &dyn Kv {
        &*self.kv
    }

    pub(crate) fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Returns the digest of the request whose record a key holds.
    pub(crate) fn digest_of(&self, key: &str) -> Option<RequestDigest> {
        key.strip_prefix(&self.prefix)?.parse().ok()
    }

    /// Writes a record if the stored one is still at revision `before`; 0
    /// means that none is stored.
    pub(crate) async fn put(
        &self,
        digest: RequestDigest,
        before: u64,
        record: &CrashRecord,
    ) -> Result<WriteResult, Report<KvError>> {
        let value = serde_json::to_vec(record)
            .map_err(|_| Report::new(KvError::Invalid))?;
        let put = Op::Put {
            key: self.key(digest),
            value,
            lease: None,
        };
        self.write(digest, before, put).await
    }

    /// Deletes a record if the stored one is still at revision `before`.
    pub(crate) async fn delete(
        &self,
        digest: RequestDigest,
        before: u64,
    ) -> Result<WriteResult, Report<KvError>> {
        let delete = Op::Delete {
            key: self.key(digest),
        };
        self.write(digest, before, delete).await
    }

    async fn write(
        &self,
        digest: RequestDigest,
        before: u64,
        op: Op,
    ) -> Result<WriteResult, Report<KvError>> {
        let txn = Txn {
            compares: vec![Compare::ModRevision {
                key: self.key(digest),
                equals: before,
            }],
            success: vec![op],
            failure: Vec::new(),
        };
        let written = timeout(CALL_TIMEOUT, self.kv.txn(txn)).await;
        let written = written.unwrap_or_else(|_| {
            Err(Report::new(KvError::Unknown).attach("no response in time"))
        });
        match written {
            Ok(reply) if reply.succeeded => {
                Ok(WriteResult::Done(reply.revision))
            }
            Ok(_) => {
                let (stored, revision) = self.read(digest).await?;
                Ok(WriteResult::Conflict(stored, revision))
            }
            Err(report) if *report.current_context() == KvError::Unknown => {
                let (stored, revision) = self.read(digest).await?;
                Ok(WriteResult::Unknown(stored, revision))
            }
            Err(report) => Err(report),
        }
    }

    /// Reads the stored record of a request, and the revision of the read.
    async fn read(
        &self,
        digest: RequestDigest,
    ) -> Result<(Option<StoredRecord>, u64), Report<KvError>> {
        let key = self.key(digest);
        let reply = timeout(CALL_TIMEOUT, self.kv.get(&key)).await;
        let reply = reply.unwrap_or_else(|_| {
            Err(Report::new(KvError::NotDone).attach("no response in time"))
        })?;
        Ok((reply.kvs.first().map(decode), reply.revision))
    }

    fn key(&self, digest: RequestDigest) -> String {
        format!("{}{digest}", self.prefix)
    }
}

/// Decodes a record; an invalid one counts as empty, so that the next crash
/// replaces it.
pub(crate) fn decode(kv: &KeyValue) -> StoredRecord {
    let record = serde_json::from_slice(&kv.value).unwrap_or_else(|error| {
        log::warn!(key = kv.key.as_str(), error:%;
            "cannot decode a stored crash record");
        CrashRecord::default()
    });
    StoredRecord {
        record,
        revision: kv.mod_revision,
    }
}
