//! Claims of idempotency keys, stored in the key-value service.

use std::{sync::Arc, time::Duration};

use base::{Customer, Millis, Snapshot, timer::Timer};
use error_stack::{Report, ResultExt};
use kv::{
    Compare, GetReply, KeyValue, Kv, KvError, LeaseId, Op, Txn,
    ops::{Outcome, ReadBack, Writer},
};

use crate::claim_record::{ClaimRecord, ClaimState, key_hash};

/// Time limit of acquiring a claim, in milliseconds; the caller waits
/// meanwhile.
const ACQUIRE_TIMEOUT_MS: u64 = 1_500;

/// Time limit of recording how a call ended, in milliseconds; no caller waits
/// for it.
const SETTLE_TIMEOUT_MS: u64 = 600_000;

/// Time that a response waits for its record.
const SETTLE_WAIT: Duration = Duration::from_millis(500);

/// Time to live of the leases; every claim is kept for at least a day.
const LEASE_TTL_S: u32 = 25 * 3_600;

/// Age at which new claims switch to a new lease, in milliseconds.
const MAX_LEASE_AGE_MS: u64 = 3_600_000;

/// Interval of reads for a claim that may still appear, in milliseconds.
const UNDO_POLL_MS: u64 = 2_000;

/// Number of consecutive reads without the claim after which the write counts
/// as never applied. Together they last longer than any request to the
/// key-value service can be in transit.
const UNDO_ABSENT_READS: u32 = 8;

/// Time limit of removing a claim that may have been written, in milliseconds.
const UNDO_TIMEOUT_MS: u64 = 600_000;

/// Acquires, settles and releases claims.
#[derive(Clone)]
pub(crate) struct Claims(Arc<Inner>);

struct Inner {
    kv: Arc<dyn Kv>,
    prefix: String,
    timer: Timer,
    acquire_writer: Writer,
    settle_writer: Writer,
    lease: Snapshot<Option<SharedLease>>,
}

/// The lease that the claims of about an hour share.
#[derive(Clone, Copy, Debug)]
struct SharedLease {
    id: LeaseId,
    granted: Millis,
}

/// A claim acquired by this call.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    key: String,
    record: ClaimRecord,
    lease: LeaseId,
    mod_revision: u64,
}

/// Outcome of acquiring a claim.
#[derive(Debug)]
pub(crate) enum ClaimOutcome {
    /// This call acquired the claim.
    Acquired(Claim),
    /// An earlier call has the claim.
    Existing(ClaimRecord),
    /// An earlier call had the claim and released it just now.
    Released,
}

impl Claims {
    pub(crate) fn new(kv: Arc<dyn Kv>, prefix: &str, timer: Timer) -> Self {
        Self(Arc::new(Inner {
            kv,
            prefix: format!("{prefix}claims/"),
            acquire_writer: Writer::new(timer.clone(), ACQUIRE_TIMEOUT_MS),
            settle_writer: Writer::new(timer.clone(), SETTLE_TIMEOUT_MS),
            timer,
            lease: Snapshot::new(None),
        }))
    }

    /// Acquires a claim, or returns the existing one.
    ///
    /// # Errors
    ///
    /// Any error means that the call must not be sent. A claim that may have
    /// been written nevertheless is removed later.
    pub(crate) async fn acquire(
        &self,
        customer: &Customer,
        idempotency_key: &str,
        record: ClaimRecord,
    ) -> Result<ClaimOutcome, Report<KvError>> {
        let hash = key_hash(idempotency_key);
        let key = format!("{}{customer}/{hash}", self.0.prefix);
        let mut lease = self.lease().await?;
        let mut written = self.put(&key, &record, lease).await;
        if matches!(&written, Err(report)
            if *report.current_context() == KvError::LeaseGone)
        {
            // The lease was revoked; nothing was written.
            self.0.lease.publish(None);
            lease = self.lease().await?;
            written = self.put(&key, &record, lease).await;
        }
        match written {
            Ok(Outcome::Applied(mod_revision)) => {
                Ok(ClaimOutcome::Acquired(Claim {
                    key,
                    record,
                    lease,
                    mod_revision,
                }))
            }
            Ok(Outcome::Superseded) => self.read_existing(&key).await,
            Err(report) => {
                if *report.current_context() == KvError::Unknown {
                    tokio::spawn(
                        self.clone().remove_uncertain(key, record.operation),
                    );
                }
                Err(report)
            }
        }
    }

    /// Records how the call of a claim ended. Returns after at most half a
    /// second; the write continues in the background.
    pub(crate) async fn settle(&self, claim: Claim, state: ClaimState) {
        let claims = self.clone();
        self.in_background(async move { claims.write(claim, state).await })
            .await;
    }

    /// Removes the claim of a call that did not run; waits as
    /// [`Claims::settle`] does.
    pub(crate) async fn release(&self, claim: Claim) {
        let claims = self.clone();
        self.in_background(async move {
            claims.remove(&claim.key, claim.mod_revision).await
        })
        .await;
    }

    async fn in_background(
        &self,
        work: impl Future<Output = Result<(), Report<KvError>>> + Send + 'static,
    ) {
        let task = tokio::spawn(async move {
            if let Err(error) = work.await {
                // Later callers of the key get the outcome "unknown".
                log::warn!(error:?; "the outcome of a claim cannot be recorded");
            }
        });
        let _ = tokio::time::timeout(SETTLE_WAIT, task).await;
    }

    /// Returns a lease that lives for at least a day.
    ///
    /// Two concurrent calls may each grant a lease, which costs one extra
    /// request to the key-value service; a lock would delay all calls behind a
    /// slow one.
    async fn lease(&self) -> Result<LeaseId, Report<KvError>> {
        let now = self.0.timer.now();
        if let Some(lease) = **self.0.lease.load()
            && now.saturating_ms_since(lease.granted) < MAX_LEASE_AGE_MS
        {
            return Ok(lease.id);
        }
        let grant = self.0.kv.lease_grant(LEASE_TTL_S);
        let id = tokio::select! {
            id = grant => id?,
            () = self.0.timer.subscribe_in_ms(ACQUIRE_TIMEOUT_MS) => {
                return Err(Report::new(KvError::NotDone))
                    .attach("granting a lease for claims");
            }
        };
        let lease = SharedLease { id, granted: now };
        self.0.lease.publish(Some(lease));
        Ok(id)
    }

    async fn put(
        &self,
        key: &str,
        record: &ClaimRecord,
        lease: LeaseId,
    ) -> Result<Outcome<u64>, Report<KvError>> {
        let txn = guarded_txn(key, 0, put_op(key, record, lease)?);
        self.0
            .acquire_writer
            .commit(
                self.0.kv.as_ref(),
                txn,
                Op::Get {
                    key: key.to_owned(),
                },
                |reply| reply.revision,
                |found| match found.kvs.first() {
                    Some(kv) if belongs_to(kv, &record.operation) => {
                        ReadBack::Applied(kv.mod_revision)
                    }
                    Some(_) => ReadBack::Superseded,
                    None => ReadBack::Undecided,
                },
                rand::random,
            )
            .await
    }

    async fn read_existing(
        &self,
        key: &str,
    ) -> Result<ClaimOutcome, Report<KvError>> {
        let found = tokio::select! {
            found = self.0.kv.get(key) => found?,
            () = self.0.timer.subscribe_in_ms(ACQUIRE_TIMEOUT_MS) => {
                return Err(Report::new(KvError::NotDone))
                    .attach("reading a claim");
            }
        };
        match found.kvs.first() {
            None => Ok(ClaimOutcome::Released),
            Some(kv) => parse_record(kv).map(ClaimOutcome::Existing),
        }
    }

    async fn write(
        &self,
        claim: Claim,
        state: ClaimState,
    ) -> Result<(), Report<KvError>> {
        let record = ClaimRecord {
            state,
            ..claim.record
        };
        let key = &claim.key;
        let txn = guarded_txn(
            key,
            claim.mod_revision,
            put_op(key, &record, claim.lease)?,
        );
        // Only this call writes its claim, so any change is its own.
        self.commit(key, txn, claim.mod_revision).await
    }

    async fn remove(
        &self,
        key: &str,
        mod_revision: u64,
    ) -> Result<(), Report<KvError>> {
        let delete = Op::Delete {
            key: key.to_owned(),
        };
        let txn = guarded_txn(key, mod_revision, delete);
        self.commit(key, txn, mod_revision).await
    }

    async fn commit(
        &self,
        key: &str,
        txn: Txn,
        mod_revision: u64,
    ) -> Result<(), Report<KvError>> {
        let read = Op::Get {
            key: key.to_owned(),
        };
        let decide = |found: &GetReply| match found.kvs.first() {
            Some(kv) if kv.mod_revision == mod_revision => ReadBack::Undecided,
            _ => ReadBack::Applied(()),
        };
        let kv = self.0.kv.as_ref();
        self.0
            .settle_writer
            .commit(kv, txn, read, |_| (), decide, rand::random)
            .await
            .map(|_| ())
    }

    /// Removes a claim that may have been written for a call that was refused
    /// as not run. Otherwise a retry would be told until the call's deadline
    /// that the first call is running, and then that it is lost, although it
    /// never ran.
    async fn remove_uncertain(self, key: String, operation: String) {
        let timer = &self.0.timer;
        let end = timer.now().saturating_add_ms(UNDO_TIMEOUT_MS);
        let mut absent = 0;
        while timer.now() < end && absent < UNDO_ABSENT_READS {
            match self.0.kv.get(&key).await {
                Ok(found) => match found.kvs.first() {
                    Some(kv) if belongs_to(kv, &operation) => {
                        if self.remove(&key, kv.mod_revision).await.is_ok() {
                            return;
                        }
                    }
                    Some(_) => return,
                    // The write may still be in transit to the key-value
                    // service.
                    None => absent += 1,
                },
                Err(_) => absent = 0,
            }
            timer.subscribe_in_ms(UNDO_POLL_MS).await;
        }
    }
}

fn put_op(
    key: &str,
    record: &ClaimRecord,
    lease: LeaseId,
) -> Result<Op, Report<KvError>> {
    let value = serde_json::to_vec(record).change_context(KvError::Invalid)?;
    Ok(Op::Put {
        key: key.to_owned(),
        value,
        lease: Some(lease),
    })
}

fn guarded_txn(key: &str, mod_revision: u64, op: Op) -> Txn {
    Txn {
        compares: vec![Compare::ModRevision {
            key: key.to_owned(),
            equals: mod_revision,
        }],
        success: vec![op],
        failure: vec![],
    }
}

fn parse_record(kv: &KeyValue) -> Result<ClaimRecord, Report<KvError>> {
    serde_json::from_slice(&kv.value)
        .change_context(KvError::Invalid)
        .attach_with(|| format!("the claim at {} is corrupt", kv.key))
}

fn belongs_to(kv: &KeyValue, operation: &str) -> bool {
    parse_record(kv).is_ok_and(|record| record.operation == operation)
}
