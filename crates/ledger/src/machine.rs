use std::collections::{BTreeSet, HashMap};

use base::{Customer, JobId, Millis, UnixMillis, VmId};
use indexmap::IndexMap;
use slotmap::SlotMap;

use crate::{
    Action, Event, LedgerStatus, Moment, Options,
    commit::Commit,
    job::{Grant, GrantKey, Job, JobKey},
    lease::{Lease, OwnershipState},
    record::partition_of,
    risk::Throughput,
};

/// State of one partition of the jobs.
#[derive(Debug, Default)]
pub(crate) struct Partition {
    pub(crate) ownership: OwnershipState,
    pub(crate) list_at: Millis,
    pub(crate) is_listing: bool,
    /// The markers were read at least once since the partition was acquired.
    pub(crate) was_listed: bool,
    /// Jobs whose records are being read.
    pub(crate) loading: BTreeSet<JobId>,
    pub(crate) commit: Option<Commit>,
    pub(crate) commit_at: Millis,
}

/// Partitions, jobs, grants and commits of one process.
///
/// See the [crate](crate) for an example.
#[derive(Debug)]
pub struct Ledger {
    pub(crate) member: String,
    pub(crate) options: Options,
    pub(crate) lease: Option<Lease>,
    pub(crate) is_joining: bool,
    pub(crate) join_at: Millis,
    pub(crate) renew_at: Millis,
    pub(crate) is_reading_membership: bool,
    pub(crate) read_membership_at: Millis,
    pub(crate) last_read_revision: u64,
    /// Number of consecutive reads of the members, under a lease, that did
    /// not contain this one.
    pub(crate) absent_reads: u32,
    pub(crate) members: Vec<String>,
    /// Index in `members` of the assigned owner of each partition.
    pub(crate) assigned: Vec<usize>,
    pub(crate) partitions: Vec<Partition>,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    pub(crate) by_id: HashMap<JobId, JobKey>,
    pub(crate) by_due: BTreeSet<(UnixMillis, JobKey)>,
    pub(crate) grants: SlotMap<GrantKey, Grant>,
    /// Makes the grant numbers of two processes differ.
    pub(crate) salt: u64,
    /// Incarnations of the companions, by VM.
    pub(crate) vms: IndexMap<VmId, u64>,
    /// Start tag of each customer's next grant: the service it has received,
    /// in items.
    pub(crate) next_start_tags: HashMap<Customer, u64>,
    pub(crate) virtual_time: u64,
    pub(crate) pending_result_bytes: usize,
    pub(crate) throughput: Throughput,
    pub(crate) commits: u64,
    pub(crate) actions: Vec<Action>,
    last_tick: Millis,
    random: u64,
}

impl Ledger {
    /// Creates the ledger of one process incarnation. `member` identifies the
    /// incarnation; `salt` is a random number unique to it.
    pub fn new(
        member: impl Into<String>,
        salt: u64,
        options: Options,
    ) -> Self {
        let partitions = (0..options.partitions)
            .map(|_| Partition::default())
            .collect();
        Self {
            member: member.into(),
            options,
            lease: None,
            is_joining: false,
            join_at: Millis::new(0),
            renew_at: Millis::new(0),
            is_reading_membership: false,
            read_membership_at: Millis::new(0),
            last_read_revision: 0,
            absent_reads: 0,
            members: Vec::new(),
            assigned: Vec::new(),
            partitions,
            jobs: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_due: BTreeSet::new(),
            grants: SlotMap::with_key(),
            salt,
            vms: IndexMap::new(),
            next_start_tags: HashMap::new(),
            virtual_time: 0,
            pending_result_bytes: 0,
            throughput: Throughput::default(),
            commits: 0,
            actions: Vec::new(),
            last_tick: Millis::new(0),
            random: salt,
        }
    }

    /// Processes an event and returns the actions to carry out, in order.
    pub fn handle(&mut self, moment: Moment, event: Event) -> Vec<Action> {
        self.random ^= moment.random;
        match event {
            Event::Tick => self.tick(moment),
            Event::Joined { sent_at, lease } => {
                self.on_joined(moment, sent_at, lease);
            }
            Event::Renewed {
                sent_at,
                lease,
                alive,
            } => self.on_renewed(moment, sent_at, lease, alive),
            Event::MembershipRead {
                revision,
                members,
                owners,
            } => self.on_membership_read(moment, revision, members, &owners),
            Event::Claimed {
                partition,
                lease,
                fence,
            } => self.on_claimed(moment, partition, lease, fence),
            Event::Released { partition, fence } => {
                self.on_released(partition, fence);
            }
            Event::Listed {
                partition,
                fence,
                markers,
            } => self.on_listed(moment, partition, fence, markers),
            Event::Loaded {
                partition,
                fence,
                job,
                marker,
                found,
            } => self.on_loaded(partition, fence, &job, marker, found),
            Event::Stored { commit, chunks } => {
                self.on_stored(moment, commit, chunks);
            }
            Event::Written { commit, outcome } => {
                self.on_written(moment, commit, outcome);
            }
            Event::ReadBack { commit, found } => {
                self.on_read_back(moment, commit, found);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the partitions that are owned.
    pub fn partitions(&self) -> Vec<u32> {
        let owned =
            |partition: &Partition| partition.ownership.fence().is_some();
        (0..self.options.partitions)
            .filter(|number| owned(&self.partitions[*number as usize]))
            .collect()
    }

    /// Returns a summary for operators.
    pub fn status(&self) -> LedgerStatus {
        let jobs = || self.jobs.values().filter(|job| self.is_owned(job));
        LedgerStatus {
            partitions: self.partitions().len(),
            open_jobs: jobs().count(),
            jobs_at_risk: jobs().filter(|job| job.is_at_risk).count(),
            grants: self.grants.len(),
            pending_results: jobs().map(|job| job.pending.len()).sum(),
        }
    }

    /// Returns the record of an open job of an owned partition, as last read
    /// or committed.
    pub fn job(&self, id: &JobId) -> Option<&crate::JobRecord> {
        let job = self.jobs.get(*self.by_id.get(id)?)?;
        Some(&job.record)
    }

    /// Returns the lease under which partitions are owned.
    pub fn lease(&self) -> Option<i64> {
        self.lease.map(|lease| lease.id)
    }

    /// Requests that the markers of the job's partition are listed at the next
    /// tick, if the partition is owned.
    pub fn request_listing(&mut self, job: &JobId) {
        let number = partition_of(job, self.options.partitions);
        if let Some(partition) = self.partitions.get_mut(number as usize) {
            partition.list_at = Millis::new(0);
        }
    }

    fn tick(&mut self, moment: Moment) {
        let now = moment.now;
        self.extend_grants_after_pause(now);
        self.maintain_lease(now);
        self.read_membership(now);
        self.expire_grants(now);
        self.assess_risk(moment);
        for number in 0..self.options.partitions {
            self.maintain_partition(now, number);
            self.advance_commit(moment, number);
        }
        let lines = self.jobs.values().flat_map(|job| job.pending.values());
        self.pending_result_bytes = lines.map(|line| line.bytes.len()).sum();
    }

    /// Extends all grants after a pause of this process, since renewals from
    /// the companions could not be received meanwhile.
    fn extend_grants_after_pause(&mut self, now: Millis) {
        let gap_ms = now.saturating_ms_since(self.last_tick);
        self.last_tick = now;
        if gap_ms <= self.options.grant_ttl_ms / 4 {
            return;
        }
        for grant in self.grants.values_mut() {
            grant.expires_at = grant.expires_at.saturating_add_ms(gap_ms);
        }
    }

    /// Reports whether this member certainly holds a lease. Writes are fenced
    /// in any case.
    pub(crate) fn has_valid_lease(&self, now: Millis) -> bool {
        let margin_ms = self.options.lease_margin_ms;
        self.lease
            .is_some_and(|lease| lease.is_valid(now, margin_ms))
    }

    /// Reports whether a job was read under the current ownership of its
    /// partition.
    pub(crate) fn is_owned(&self, job: &Job) -> bool {
        let ownership = self.partitions[job.partition as usize].ownership;
        ownership.fence() == Some(job.fence)
    }

    pub(crate) fn partition(&mut self, number: u32) -> &mut Partition {
        &mut self.partitions[number as usize]
    }

    /// Removes a job and its grants.
    pub(crate) fn remove_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        self.by_id.remove(&job.record.id);
        self.by_due.remove(&(job.record.due, key));
        for grant in job.granted().values() {
            self.grants.remove(*grant);
        }
    }

    /// Returns a random number (SplitMix64, seeded by the caller's random
    /// numbers).
    pub(crate) fn next_random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a time between 3/4 and 5/4 of a span from now.
    pub(crate) fn jittered(&mut self, now: Millis, span_ms: u64) -> Millis {
        let spread = self.next_random() % (span_ms / 2).max(1);
        now.saturating_add_ms(span_ms - span_ms / 4 + spread)
    }

    /// Returns the time of the next retry: random below a ceiling that doubles
    /// with each failure, so that owners do not retry in step.
    pub(crate) fn backoff(&mut self, now: Millis, failures: u32) -> Millis {
        const BASE_MS: u64 = 20;
        const MAX_MS: u64 = 2_000;
        let ceiling_ms = (BASE_MS << failures.min(10)).min(MAX_MS);
        now.saturating_add_ms(1 + self.next_random() % ceiling_ms)
    }
}
