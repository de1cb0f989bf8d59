//! The ledger's calls to the key-value service.

use std::sync::Arc;

use base::{JobId, timer::Timer};
use kv::{
    Compare, KeyValue, Kv, KvError, LeaseId, Op, OpReply, Txn, TxnReply,
};
use ledger::{
    Event, OpenJobMarker, Page, PartitionOwner, VersionedRecord, WriteAction,
    WriteOutcome,
};

use crate::batch::{
    jobs::decode_record,
    keys::{Keys, last_segment},
};

/// Makes the ledger's calls and turns each response into an event.
pub(super) struct Calls {
    kv: Arc<dyn Kv>,
    keys: Keys,
    timer: Timer,
    member: String,
}

impl Calls {
    pub(super) fn new(
        kv: Arc<dyn Kv>,
        keys: Keys,
        timer: Timer,
        member: String,
    ) -> Self {
        Self {
            kv,
            keys,
            timer,
            member,
        }
    }

    pub(super) async fn join(&self, ttl_s: u32) -> Event {
        let sent_at = self.timer.now();
        let lease = self.write_member(ttl_s).await;
        Event::Joined { sent_at, lease }
    }

    async fn write_member(&self, ttl_s: u32) -> Option<i64> {
        let lease = self.kv.lease_grant(ttl_s).await.ok()?;
        let put = Op::Put {
            key: self.keys.member(&self.member),
            value: Vec::new(),
            lease: Some(lease),
        };
        let txn = Txn {
            success: vec![put],
            ..Txn::default()
        };
        // An unused lease expires.
        self.kv.txn(txn).await.ok()?;
        log::info!(member = self.member.as_str(), lease = lease.0;
            "this entry is a member");
        Some(lease.0)
    }

    pub(super) async fn renew(&self, lease: i64) -> Event {
        // Measured before the send: the key-value service may have renewed
        // the lease that early.
        let sent_at = self.timer.now();
        let renewed = self.kv.lease_keep_alive(LeaseId(lease)).await;
        let alive = match renewed {
            Ok(()) => Some(true),
            Err(report) => match report.current_context() {
                KvError::LeaseGone => Some(false),
                _ => None,
            },
        };
        Event::Renewed {
            sent_at,
            lease,
            alive,
        }
    }

    /// Revokes the lease at shutdown, so that others need not wait for its
    /// expiry.
    pub(super) async fn revoke(&self, lease: i64) {
        if let Err(report) = self.kv.lease_revoke(LeaseId(lease)).await {
            log::debug!(error:? = report; "cannot revoke a lease");
        }
    }

    pub(super) async fn read_membership(&self) -> Event {
        let prefixes = [self.keys.members(), self.keys.owners()];
        let gets = prefixes.map(|prefix| Op::GetPrefix { prefix, limit: 0 });
        let txn = Txn {
            success: gets.into(),
            ..Txn::default()
        };
        let reply = match self.kv.txn(txn).await {
            Ok(reply) => reply,
            Err(report) => {
                log::debug!(error:? = report; "cannot read membership");
                return Event::MembershipRead {
                    revision: None,
                    members: vec![],
                    owners: vec![],
                };
            }
        };
        let revision = Some(reply.revision);
        let mut results = get_results(reply).into_iter();
        let members = results.next().unwrap_or_default();
        let owners = results.next().unwrap_or_default();
        Event::MembershipRead {
            revision,
            members: members
                .iter()
                .map(|kv| last_segment(&kv.key).into())
                .collect(),
            owners: owners.iter().filter_map(decode_owner).collect(),
        }
    }

    pub(super) async fn claim(&self, partition: u32, lease: i64) -> Event {
        let key = self.keys.owner(partition);
        let txn = Txn {
            compares: vec![Compare::CreateRevision {
                key: key.clone(),
                equals: 0,
            }],
            success: vec![Op::Put {
                key,
                value: self.member.clone().into_bytes(),
                lease: Some(LeaseId(lease)),
            }],
            failure: vec![],
        };
        // If the response is lost, the next membership read shows the owner.
        let reply = self.kv.txn(txn).await.ok();
        let fence = reply.filter(|r| r.succeeded).map(|r| r.revision);
        Event::Claimed {
            partition,
            lease,
            fence,
        }
    }

    pub(super) async fn release(&self, partition: u32, fence: u64) -> Event {
        let key = self.keys.owner(partition);
        let txn = Txn {
            compares: vec![Compare::CreateRevision {
                key: key.clone(),
                equals: fence,
            }],
            success: vec![Op::Delete { key }],
            failure: vec![],
        };
        if let Err(report) = self.kv.txn(txn).await {
            log::debug!(
                partition, error:? = report;
                "cannot release a partition"
            );
        }
        Event::Released { partition, fence }
    }

    pub(super) async fn list(&self, partition: u32, fence: u64) -> Event {
        let prefix = self.keys.open_markers(partition);
        let found = self.kv.get_prefix(&prefix, 0).await.ok();
        let marker = |kv: &KeyValue| {
            Some(OpenJobMarker {
                job: last_segment(&kv.key).parse().ok()?,
                revision: kv.mod_revision,
            })
        };
        let markers = found.map(|f| f.kvs.iter().filter_map(marker).collect());
        Event::Listed {
            partition,
            fence,
            markers,
        }
    }

    pub(super) async fn load(
        &self,
        partition: u32,
        fence: u64,
        job: JobId,
        marker: u64,
    ) -> Event {
        let read = self.kv.get(&self.keys.job(&job)).await;
        let found = match read {
            Ok(reply) => match reply.kvs.first().map(decode_versioned) {
                None => Ok(None),
                Some(Some(record)) => Ok(Some(Box::new(record))),
                Some(None) => Err(()),
            },
            Err(_) => Err(()),
        };
        Event::Loaded {
            partition,
            fence,
            job,
            marker,
            found,
        }
    }

    pub(super) async fn write(&self, write: WriteAction) -> Event {
        let commit = write.commit;
        let Some(txn) = self.transaction(write) else {
            let outcome = WriteOutcome::NotApplied;
            return Event::Written { commit, outcome };
        };
        let outcome = match self.kv.txn(txn).await {
            Ok(reply) if reply.succeeded => {
                WriteOutcome::Applied(reply.revision)
            }
            Ok(_) => WriteOutcome::Conflict,
            Err(report) => {
                log::info!(error:? = report; "a commit was not confirmed");
                match report.current_context() {
                    KvError::Unknown => WriteOutcome::Unknown,
                    _ => WriteOutcome::NotApplied,
                }
            }
        };
        Event::Written { commit, outcome }
    }

    /// Builds the transaction of a commit.
    ///
    /// The compare on the owner key is the fencing check: an owner that was
    /// paused past its lease finds its key missing or replaced, and commits
    /// nothing. The compares on the records' revisions keep a concurrent
    /// cancel from being overwritten.
    fn transaction(&self, write: WriteAction) -> Option<Txn> {
        let mut txn = Txn::default();
        if let Some(equals) = write.fence {
            let key = self.keys.owner(write.partition);
            txn.compares.push(Compare::CreateRevision { key, equals });
        }
        for next in &write.records {
            let id = &next.record.id;
            let key = self.keys.job(id);
            txn.compares.push(Compare::ModRevision {
                key: key.clone(),
                equals: next.revision,
            });
            txn.success.push(put(key, &next.record)?);
            if !next.record.is_open() {
                let key = self.keys.open_marker(id);
                txn.success.push(Op::Delete { key });
            }
            for Page {
                sink,
                number,
                chunks,
            } in &next.pages
            {
                let key = self.keys.page(id, *sink, *number);
                txn.success.push(put(key, chunks)?);
            }
        }
        Some(txn)
    }

    pub(super) async fn read_back(
        &self,
        commit: ledger::CommitId,
        jobs: Vec<JobId>,
    ) -> Event {
        let get = |job| Op::Get {
            key: self.keys.job(job),
        };
        let txn = Txn {
            success: jobs.iter().map(get).collect(),
            ..Txn::default()
        };
        let reply = self.kv.txn(txn).await.ok();
        let found = reply.map(|reply| {
            let kvs = get_results(reply).into_iter().flatten();
            kvs.filter_map(|kv| decode_versioned(&kv)).collect()
        });
        Event::ReadBack { commit, found }
    }
}

fn put(key: String, value: &impl serde::Serialize) -> Option<Op> {
    let value = serde_json::to_vec(value).ok()?;
    let lease = None;
    Some(Op::Put { key, value, lease })
}

fn get_results(reply: TxnReply) -> Vec<Vec<KeyValue>> {
    let results = reply.replies.into_iter().filter_map(|reply| match reply {
        OpReply::Read(found) => Some(found),
        _ => None,
    });
    results.collect()
}

fn decode_owner(kv: &KeyValue) -> Option<PartitionOwner> {
    Some(PartitionOwner {
        partition: last_segment(&kv.key).parse().ok()?,
        member: String::from_utf8_lossy(&kv.value).into_owned(),
        lease: kv.lease.map_or(0, |lease| lease.0),
        fence: kv.create_revision,
    })
}

fn decode_versioned(kv: &KeyValue) -> Option<VersionedRecord> {
    match decode_record(kv) {
        Ok(record) => Some(VersionedRecord {
            record,
            revision: kv.mod_revision,
        }),
        Err(report) => {
            log::error!(error:? = report; "cannot decode a job's record");
            None
        }
    }
}
