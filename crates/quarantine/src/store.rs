use std::{sync::Arc, time::Duration};

use base::RequestDigest;
use error_stack::Report;
use kv::{Compare, KeyValue, Kv, KvError, Op, Txn};
use tokio::time::timeout;

use crate::{CrashRecord, StoredRecord};

/// Longest wait for one call.
const CALL_MOST: Duration = Duration::from_millis(1_000);

/// What one write of a case came to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Written {
    /// It is done, at this revision.
    Done(u64),
    /// Another writer was faster, or the outcome is not known. This is what
    /// the service has now, as of a revision.
    Changed(Option<StoredRecord>, u64),
}

/// Keeps cases in the key-value service.
///
/// Not under leases: those may run out while the service is away, and the
/// requests would crash endpoints again after each outage.
pub(crate) struct CaseStore {
    kv: Arc<dyn Kv>,
    prefix: String,
}

impl CaseStore {
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

    /// Returns the request whose case a key holds.
    pub(crate) fn digest_of(&self, key: &str) -> Option<RequestDigest> {
        key.strip_prefix(&self.prefix)?.parse().ok()
    }

    /// Writes a case that is now at a revision; 0 means that there is none.
    pub(crate) async fn put(
        &self,
        digest: RequestDigest,
        before: u64,
        case: &CrashRecord,
    ) -> Result<Written, Report<KvError>> {
        let value = serde_json::to_vec(case)
            .map_err(|_| Report::new(KvError::Invalid))?;
        let put = Op::Put {
            key: self.key(digest),
            value,
            lease: None,
        };
        self.write(digest, before, put).await
    }

    /// Removes a case that is now at a revision.
    pub(crate) async fn delete(
        &self,
        digest: RequestDigest,
        before: u64,
    ) -> Result<Written, Report<KvError>> {
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
    ) -> Result<Written, Report<KvError>> {
        let txn = Txn {
            compares: vec![Compare::ModRevision {
                key: self.key(digest),
                equals: before,
            }],
            success: vec![op],
            failure: Vec::new(),
        };
        let written = timeout(CALL_MOST, self.kv.txn(txn)).await;
        let written = written.unwrap_or_else(|_| {
            Err(Report::new(KvError::Unknown).attach("no answer in time"))
        });
        match written {
            Ok(reply) if reply.succeeded => {
                return Ok(Written::Done(reply.revision));
            }
            Ok(_) => {}
            Err(report) if *report.current_context() == KvError::Unknown => {}
            Err(report) => return Err(report),
        }
        self.read(digest).await
    }

    /// Reads what the service has of a request.
    pub(crate) async fn read(
        &self,
        digest: RequestDigest,
    ) -> Result<Written, Report<KvError>> {
        let key = self.key(digest);
        let reply = timeout(CALL_MOST, self.kv.get(&key)).await;
        let reply = reply.unwrap_or_else(|_| {
            Err(Report::new(KvError::NotDone).attach("no answer in time"))
        })?;
        let stored = reply.kvs.first().map(decode);
        Ok(Written::Changed(stored, reply.revision))
    }

    fn key(&self, digest: RequestDigest) -> String {
        format!("{}{digest}", self.prefix)
    }
}

/// Decodes a case; one that cannot be read counts as empty, so that the next
/// crash writes it anew.
pub(crate) fn decode(kv: &KeyValue) -> StoredRecord {
    let case = serde_json::from_slice(&kv.value).unwrap_or_else(|error| {
        log::warn!(key = kv.key.as_str(), error:%;
            "what is known of a request that crashes endpoints cannot be read");
        CrashRecord::default()
    });
    StoredRecord {
        case,
        revision: kv.mod_revision,
    }
}
