//! Fake key-value service that checks the invariants after each commit.

use std::collections::{BTreeMap, BTreeSet};

use base::{FileId, JobId, Millis, UnixMillis};
use kv::{
    Compare, KeyValue, LeaseId, Op, OpReply, Txn, TxnReply,
    mvcc::{Store, Transaction},
};
use pomeloslip_ledger::{
    Action, Chunk, CommitId, Event, JobRecord, JobState, OpenJobMarker, Part,
    PartitionOwner, VersionedRecord, WriteAction, WriteOutcome, partition_of,
};

use super::{RunStats, job_id};

const PARTITIONS: u32 = 4;

/// The key-value service and the results that each commit made visible.
#[derive(Default)]
pub(crate) struct FakeKv {
    pub(crate) down_until: u64,
    store: Store,
    now: u64,
    /// Blob that holds each committed item.
    committed: BTreeMap<JobId, BTreeMap<u32, String>>,
    pages: BTreeMap<JobId, Vec<Chunk>>,
    stats: RunStats,
}

/// Returns the event for a call whose response is lost.
pub(crate) fn failed(action: &Action, sent_at: u64) -> Event {
    failure(action, sent_at, WriteOutcome::Unknown)
}

/// Returns the event for a call that was refused without effect.
pub(crate) fn refused(action: &Action, sent_at: u64) -> Event {
    failure(action, sent_at, WriteOutcome::NotApplied)
}

fn failure(action: &Action, sent_at: u64, outcome: WriteOutcome) -> Event {
    let sent_at = Millis::new(sent_at);
    match action.clone() {
        Action::Join { .. } => Event::Joined {
            sent_at,
            lease: None,
        },
        Action::Renew { lease } => Event::Renewed {
            sent_at,
            lease,
            alive: None,
        },
        Action::ReadMembership => Event::MembershipRead {
            revision: None,
            members: vec![],
            owners: vec![],
        },
        Action::Claim { partition, lease } => Event::Claimed {
            partition,
            lease,
            fence: None,
        },
        Action::Release { partition, fence } => {
            Event::Released { partition, fence }
        }
        Action::List { partition, fence } => Event::Listed {
            partition,
            fence,
            markers: None,
        },
        Action::Load {
            partition,
            fence,
            job,
            marker,
        } => Event::Loaded {
            partition,
            fence,
            job,
            marker,
            found: Err(()),
        },
        Action::Store { commit, .. } => Event::Stored {
            commit,
            chunks: None,
        },
        Action::Write(write) => Event::Written {
            commit: write.commit,
            outcome,
        },
        Action::ReadBack { commit, .. } => Event::ReadBack {
            commit,
            found: None,
        },
        Action::GiveUp { .. } => Event::Tick,
    }
}

/// Returns the event for stored parts. The blob ID of a chunk encodes its
/// content: `id|job index,job index`.
pub(crate) fn stored(commit: CommitId, parts: &[Part], fails: bool) -> Event {
    let chunk = |part: &Part| {
        let text = String::from_utf8_lossy(&part.bytes);
        let items: Vec<&str> = text.lines().collect();
        Chunk {
            blob: format!("{}|{}", part.blob, items.join(",")),
            bytes: part.bytes.len() as u64,
            crc: 0,
            items: part.items,
        }
    };
    let chunks = parts.iter().map(chunk).collect();
    Event::Stored {
        commit,
        chunks: (!fails).then_some(chunks),
    }
}

fn owner_key(partition: u32) -> String {
    format!("owners/{partition:05}")
}

fn mark_key(job: &JobId) -> String {
    format!("open/{:05}/{job}", partition_of(job, PARTITIONS))
}

fn job_key(job: &JobId) -> String {
    format!("jobs/{job}")
}

fn put(key: String, value: impl Into<Vec<u8>>, lease: Option<i64>) -> Op {
    Op::Put {
        key,
        value: value.into(),
        lease: lease.map(LeaseId),
    }
}

fn get(prefix: &str) -> Op {
    Op::GetPrefix {
        prefix: prefix.to_owned(),
        limit: 0,
    }
}

fn found(reply: TxnReply) -> Vec<KeyValue> {
    let got = reply.replies.into_iter().filter_map(|reply| match reply {
        OpReply::Read(found) => Some(found),
        _ => None,
    });
    got.flatten().collect()
}

fn text(kv: &KeyValue) -> String {
    String::from_utf8_lossy(&kv.value).into_owned()
}

fn last(key: &str) -> String {
    key.rsplit('/').next().unwrap_or_default().to_owned()
}

impl FakeKv {
    pub(crate) fn expire(&mut self, now: u64) {
        self.now = now;
        self.store.expire(Millis::new(now));
    }

    fn txn(&mut self, txn: Txn) -> Option<TxnReply> {
        let txn = Transaction::from(txn);
        self.store.commit(&txn).ok().map(Into::into)
    }

    fn read(&mut self, ops: Vec<Op>) -> TxnReply {
        let txn = Txn {
            success: ops,
            ..Txn::default()
        };
        self.txn(txn).expect("a read")
    }

    fn record(&mut self, job: &JobId) -> Option<VersionedRecord> {
        let key = job_key(job);
        let reply = self.read(vec![Op::Get { key }]);
        let kv = found(reply).pop()?;
        let record = serde_json::from_slice(&kv.value).expect("a record");
        Some(VersionedRecord {
            record,
            revision: kv.mod_revision,
        })
    }

    /// Carries out a call; an error is a violated invariant.
    pub(crate) fn call(
        &mut self,
        member: &str,
        action: &Action,
        sent_at: u64,
    ) -> Result<Event, String> {
        let done = match action.clone() {
            Action::Join { ttl_s } => self.join(member, ttl_s, sent_at),
            Action::Renew { lease } => {
                let now = Millis::new(self.now);
                let kept = self.store.keep_alive(now, LeaseId(lease));
                Event::Renewed {
                    sent_at: Millis::new(sent_at),
                    lease,
                    alive: Some(kept.is_ok()),
                }
            }
            Action::ReadMembership => self.read_membership(),
            Action::Claim { partition, lease } => {
                self.claim(member, partition, lease)
            }
            Action::Release { partition, fence } => {
                let key = owner_key(partition);
                self.txn(Txn {
                    compares: vec![Compare::CreateRevision {
                        key: key.clone(),
                        equals: fence,
                    }],
                    success: vec![Op::Delete { key }],
                    failure: vec![],
                });
                Event::Released { partition, fence }
            }
            Action::List { partition, fence } => {
                let reply =
                    self.read(vec![get(&format!("open/{partition:05}/"))]);
                let marker = |kv: KeyValue| OpenJobMarker {
                    job: last(&kv.key).parse().expect("a job id"),
                    revision: kv.mod_revision,
                };
                Event::Listed {
                    partition,
                    fence,
                    markers: Some(
                        found(reply).into_iter().map(marker).collect(),
                    ),
                }
            }
            Action::Load {
                partition,
                fence,
                job,
                marker,
            } => Event::Loaded {
                found: Ok(self.record(&job).map(Box::new)),
                partition,
                fence,
                job,
                marker,
            },
            Action::Write(write) => return self.write(member, write),
            Action::ReadBack { commit, jobs, .. } => Event::ReadBack {
                commit,
                found: Some(
                    jobs.iter().filter_map(|job| self.record(job)).collect(),
                ),
            },
            Action::Store { .. } | Action::GiveUp { .. } => Event::Tick,
        };
        Ok(done)
    }

    fn join(&mut self, member: &str, ttl_s: u32, sent_at: u64) -> Event {
        let now = Millis::new(self.now);
        let lease = self.store.grant(now, None, ttl_s).expect("a lease");
        let key = format!("entries/{member}");
        self.read(vec![put(key, "", Some(lease.0))]);
        Event::Joined {
            sent_at: Millis::new(sent_at),
            lease: Some(lease.0),
        }
    }

    fn read_membership(&mut self) -> Event {
        let reply = self.read(vec![get("entries/"), get("owners/")]);
        let revision = Some(reply.revision);
        let (members, owners): (Vec<_>, Vec<_>) = found(reply)
            .into_iter()
            .partition(|kv| kv.key.starts_with("entries/"));
        let owner = |kv: KeyValue| PartitionOwner {
            partition: last(&kv.key).parse().expect("a number"),
            member: text(&kv),
            lease: kv.lease.map_or(0, |lease| lease.0),
            fence: kv.create_revision,
        };
        Event::MembershipRead {
            revision,
            members: members.iter().map(|kv| last(&kv.key)).collect(),
            owners: owners.into_iter().map(owner).collect(),
        }
    }

    fn claim(&mut self, member: &str, partition: u32, lease: i64) -> Event {
        let key = owner_key(partition);
        let reply = self.txn(Txn {
            compares: vec![Compare::CreateRevision {
                key: key.clone(),
                equals: 0,
            }],
            success: vec![put(key, member, Some(lease))],
            failure: vec![],
        });
        let reply = reply.filter(|reply| reply.succeeded);
        Event::Claimed {
            partition,
            lease,
            fence: reply.map(|reply| reply.revision),
        }
    }

    fn write(
        &mut self,
        member: &str,
        write: WriteAction,
    ) -> Result<Event, String> {
        let mut txn = Txn::default();
        if let Some(equals) = write.fence {
            let key = owner_key(write.partition);
            txn.compares.push(Compare::CreateRevision { key, equals });
        }
        for next in &write.records {
            let id = &next.record.id;
            let value = serde_json::to_vec(&next.record).expect("a record");
            txn.compares.push(Compare::ModRevision {
                key: job_key(id),
                equals: next.revision,
            });
            txn.success.push(put(job_key(id), value, None));
            if !next.record.is_open() {
                let key = mark_key(id);
                txn.success.push(Op::Delete { key });
            }
        }
        let key = owner_key(write.partition);
        let owner = found(self.read(vec![Op::Get { key }])).pop();
        let owner = owner.map(|kv| text(&kv));
        let reply = self.txn(txn).expect("a valid transaction");
        let outcome = match reply.succeeded {
            true => WriteOutcome::Applied(reply.revision),
            false => WriteOutcome::Conflict,
        };
        if reply.succeeded {
            self.stats.commits += 1;
            if owner.as_deref() != Some(member) {
                return Err(format!(
                    "{member} committed to partition {} of {owner:?}",
                    write.partition
                ));
            }
            for next in write.records {
                let pages = self.pages.entry(next.record.id.clone());
                let chunks = next.pages.into_iter().flat_map(|p| p.chunks);
                pages.or_default().extend(chunks);
                self.check(&next.record)?;
            }
        } else if owner.as_deref() != Some(member) {
            self.stats.refused_stale += 1;
        }
        let commit = write.commit;
        Ok(Event::Written { commit, outcome })
    }

    /// Checks all items that a record makes visible.
    fn check(&mut self, record: &JobRecord) -> Result<(), String> {
        let id = &record.id;
        let paged = self.pages.get(id).into_iter().flatten();
        let chunks = paged.chain(&record.output).chain(&record.errors);
        let mut visible = BTreeMap::new();
        for chunk in chunks {
            let (blob, items) = chunk.blob.split_once('|').expect("items");
            for item in items.split(',') {
                let (of, index) = item.split_once(' ').expect("an item");
                if of != id.as_str() {
                    return Err(format!("{id} shows an item of {of}"));
                }
                let index: u32 = index.parse().expect("an index");
                if let Some(first) = visible.insert(index, blob.to_owned()) {
                    return Err(format!(
                        "item {index} of {id} is in {first} and in {blob}"
                    ));
                }
            }
        }
        let settled: BTreeSet<u32> =
            record.done.iter().chain(record.failed.iter()).collect();
        if !settled.iter().eq(visible.keys()) {
            return Err(format!("{id}: settled and visible items differ"));
        }
        let before = self.committed.insert(id.clone(), visible.clone());
        for (index, blob) in before.unwrap_or_default() {
            if visible.get(&index) != Some(&blob) {
                return Err(format!(
                    "item {index} of {id} was committed in {blob}, now it \
                     is in {:?}",
                    visible.get(&index)
                ));
            }
        }
        Ok(())
    }

    pub(crate) fn create(&mut self, number: u64) {
        let id = job_id(number);
        let input: FileId = "file-1".parse().expect("an id");
        let customer = format!("tenant-{}", number % 3);
        let record = JobRecord {
            id: id.clone(),
            customer: customer.parse().expect("a tenant"),
            content: String::new(),
            input,
            models: vec![],
            path: "/v1/completions".to_owned(),
            window: "1h".to_owned(),
            metadata: serde_json::Value::Null,
            created: UnixMillis::new(self.now),
            due: UnixMillis::new(3_600_000),
            ended: None,
            state: JobState::InProgress,
            items: 4 + (number as u32 * 7) % 23,
            done: Default::default(),
            failed: Default::default(),
            output: vec![],
            errors: vec![],
            output_pages: 0,
            error_pages: 0,
            at_risk: false,
            operation: 0,
        };
        let value = serde_json::to_vec(&record).expect("a record");
        let marked = put(mark_key(&id), "", None);
        self.read(vec![put(job_key(&id), value, None), marked]);
    }

    /// Cancels a job as another entry would. The read and the write are atomic
    /// here, which stands in for a compare of the revision.
    pub(crate) fn cancel(&mut self, number: u64) {
        let id = job_id(number);
        let Some(VersionedRecord { mut record, .. }) = self.record(&id) else {
            return;
        };
        if record.state == JobState::InProgress {
            record.state = JobState::Cancelling;
            record.operation = 1;
            let value = serde_json::to_vec(&record).expect("a record");
            let marked = put(mark_key(&id), "cancel", None);
            self.read(vec![put(job_key(&id), value, None), marked]);
        }
    }

    pub(crate) fn open_jobs(&mut self) -> Vec<String> {
        let reply = self.read(vec![get("open/")]);
        found(reply).iter().map(|kv| last(&kv.key)).collect()
    }

    pub(crate) fn all_ended(&mut self, jobs: u64) -> bool {
        let reply = self.read(vec![get("jobs/")]);
        found(reply).len() as u64 == jobs && self.open_jobs().is_empty()
    }

    /// Checks every job once more after all have ended.
    pub(crate) fn check_end(mut self) -> Result<RunStats, String> {
        let reply = self.read(vec![get("jobs/")]);
        for kv in found(reply) {
            let record: JobRecord =
                serde_json::from_slice(&kv.value).expect("a record");
            self.check(&record)?;
            match record.state {
                JobState::Completed if record.remaining_items() == 0 => {
                    self.stats.completed_jobs += 1;
                }
                JobState::Cancelled => self.stats.cancelled_jobs += 1,
                state => return Err(format!("{} is {state:?}", record.id)),
            }
        }
        Ok(self.stats)
    }
}
