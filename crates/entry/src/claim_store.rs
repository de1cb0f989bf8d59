//! Claims in the key-value service.

use std::{sync::Arc, time::Duration};

use base::{Customer, Millis, Snapshot, timer::Timer};
use error_stack::{Report, ResultExt};
use kv::{
    Compare, GetReply, KeyValue, Kv, KvError, LeaseId, Op, Txn,
    ops::{Outcome, ReadBack, Writer},
};

use crate::claim_record::{ClaimRecord, ClaimState, key_hash};

/// Longest time for taking a claim; the caller waits for it.
const TAKE_GIVE_UP_MS: u64 = 1_500;

/// Longest time for recording how a call ended; nobody waits for it.
const SETTLE_GIVE_UP_MS: u64 = 600_000;

/// Time that an answer waits for its record.
const SETTLE_WAIT: Duration = Duration::from_millis(500);

/// Time to live of the leases: a claim lives at least a day.
const LEASE_TTL_S: u32 = 25 * 3_600;

/// Age at which a lease is replaced by a new one for further claims.
const LEASE_AGE_MAX_MS: u64 = 3_600_000;

/// Pause between looks for a claim that may yet appear, in milliseconds.
const UNDO_PAUSE_MS: u64 = 2_000;

/// Looks that must not find a claim before it counts as never made: longer
/// together than any request to the service is on its way.
const UNDO_LOOKS: u32 = 8;

/// Longest time for removing a claim that may have been made.
const UNDO_GIVE_UP_MS: u64 = 600_000;

/// Keeps claims.
#[derive(Clone)]
pub(crate) struct Claims(Arc<Inner>);

struct Inner {
    kv: Arc<dyn Kv>,
    prefix: String,
    timer: Timer,
    take: Writer,
    settle: Writer,
    lease: Snapshot<Option<SharedLease>>,
}

/// The lease of the claims of about an hour.
#[derive(Clone, Copy, Debug)]
struct SharedLease {
    id: LeaseId,
    granted: Millis,
}

/// A claim that this call made.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    key: String,
    record: ClaimRecord,
    lease: LeaseId,
    mod_revision: u64,
}

/// What came of taking a claim.
#[derive(Debug)]
pub(crate) enum Taken {
    /// The claim is this call's.
    New(Claim),
    /// An earlier call has it.
    Found(ClaimRecord),
    /// An earlier call had it and gave it up just now.
    Released,
}

impl Claims {
    pub(crate) fn new(kv: Arc<dyn Kv>, prefix: &str, timer: Timer) -> Self {
        Self(Arc::new(Inner {
            kv,
            prefix: format!("{prefix}claims/"),
            take: Writer::new(timer.clone(), TAKE_GIVE_UP_MS),
            settle: Writer::new(timer.clone(), SETTLE_GIVE_UP_MS),
            timer,
            lease: Snapshot::new(None),
        }))
    }

    /// Makes a claim, or finds the one that is there.
    ///
    /// # Errors
    ///
    /// Any error means that the call must not be sent. A claim that may
    /// have been made all the same is removed later.
    pub(crate) async fn take(
        &self,
        customer: &Customer,
        idempotency_key: &str,
        record: ClaimRecord,
    ) -> Result<Taken, Report<KvError>> {
        let hash = key_hash(idempotency_key);
        let key = format!("{}{customer}/{hash}", self.0.prefix);
        let mut lease = self.lease().await?;
        let mut made = self.put(&key, &record, lease).await;
        if matches!(&made, Err(report)
            if *report.current_context() == KvError::LeaseGone)
        {
            // Somebody revoked it; nothing was written.
            self.0.lease.publish(None);
            lease = self.lease().await?;
            made = self.put(&key, &record, lease).await;
        }
        match made {
            Ok(Outcome::Applied(mod_revision)) => Ok(Taken::New(Claim {
                key,
                record,
                lease,
                mod_revision,
            })),
            Ok(Outcome::Superseded) => self.find(&key).await,
            Err(report) => {
                if *report.current_context() == KvError::Unknown {
                    tokio::spawn(self.clone().undo(key, record.operation));
                }
                Err(report)
            }
        }
    }

    /// Records how the call of a claim ended. Returns after half a second
    /// at most; the write goes on.
    pub(crate) async fn settle(&self, claim: Claim, state: ClaimState) {
        let claims = self.clone();
        self.in_background(async move { claims.write(claim, state).await })
            .await;
    }

    /// Removes the claim of a call that certainly did not run, as
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
                // The next caller of the key is told "unknown".
                log::warn!(error:?; "the end of a claim is not recorded");
            }
        });
        let _ = tokio::time::timeout(SETTLE_WAIT, task).await;
    }

    /// Returns a lease that lives for a day or more.
    ///
    /// Two calls at the same moment may grant one each, which costs a call
    /// to the service; a lock would hold up all calls behind a slow one.
    async fn lease(&self) -> Result<LeaseId, Report<KvError>> {
        let now = self.0.timer.now();
        if let Some(lease) = **self.0.lease.load()
            && now.saturating_ms_since(lease.granted) < LEASE_AGE_MAX_MS
        {
            return Ok(lease.id);
        }
        let granting = self.0.kv.lease_grant(LEASE_TTL_S);
        let id = tokio::select! {
            id = granting => id?,
            () = self.0.timer.subscribe_in_ms(TAKE_GIVE_UP_MS) => {
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
        let txn = guarded(key, 0, put(key, record, lease)?);
        self.0
            .take
            .commit(
                self.0.kv.as_ref(),
                txn,
                Op::Get {
                    key: key.to_owned(),
                },
                |reply| reply.revision,
                |found| match found.kvs.first() {
                    Some(kv) if is_of(kv, &record.operation) => {
                        ReadBack::Applied(kv.mod_revision)
                    }
                    Some(_) => ReadBack::Superseded,
                    None => ReadBack::Undecided,
                },
                rand::random,
            )
            .await
    }

    async fn find(&self, key: &str) -> Result<Taken, Report<KvError>> {
        let found = tokio::select! {
            found = self.0.kv.get(key) => found?,
            () = self.0.timer.subscribe_in_ms(TAKE_GIVE_UP_MS) => {
                return Err(Report::new(KvError::NotDone))
                    .attach("reading a claim");
            }
        };
        match found.kvs.first() {
            None => Ok(Taken::Released),
            Some(kv) => parse(kv).map(Taken::Found),
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
        let txn =
            guarded(key, claim.mod_revision, put(key, &record, claim.lease)?);
        // Only this call writes to its claim, so a change of it is ours.
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
        let txn = guarded(key, mod_revision, delete);
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
            .settle
            .commit(kv, txn, read, |_| (), decide, rand::random)
            .await
            .map(|_| ())
    }

    /// Removes a claim that may have been made for a call that was refused
    /// as not run. Without this, a second try would be told for the rest of
    /// the call's deadline that the first one runs, and then that it is
    /// lost, though it never ran.
    async fn undo(self, key: String, operation: String) {
        let timer = &self.0.timer;
        let end = timer.now().saturating_add_ms(UNDO_GIVE_UP_MS);
        let mut absent = 0;
        while timer.now() < end && absent < UNDO_LOOKS {
            match self.0.kv.get(&key).await {
                Ok(found) => match found.kvs.first() {
                    Some(kv) if is_of(kv, &operation) => {
                        if self.remove(&key, kv.mod_revision).await.is_ok() {
                            return;
                        }
                    }
                    Some(_) => return,
                    // It may still be on its way to the service.
                    None => absent += 1,
                },
                Err(_) => absent = 0,
            }
            timer.subscribe_in_ms(UNDO_PAUSE_MS).await;
        }
    }
}

fn put(
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

fn guarded(key: &str, mod_revision: u64, op: Op) -> Txn {
    Txn {
        compares: vec![Compare::ModRevision {
            key: key.to_owned(),
            equals: mod_revision,
        }],
        success: vec![op],
        failure: vec![],
    }
}

fn parse(kv: &KeyValue) -> Result<ClaimRecord, Report<KvError>> {
    serde_json::from_slice(&kv.value)
        .change_context(KvError::Invalid)
        .attach_with(|| format!("the claim at {} is broken", kv.key))
}

fn is_of(kv: &KeyValue, operation: &str) -> bool {
    parse(kv).is_ok_and(|record| record.operation == operation)
}
