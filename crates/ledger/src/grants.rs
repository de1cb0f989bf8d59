//! Grants of items to companions, and the results that they report.

use base::{JobId, Millis, UnixMillis, VmId};
use slotmap::{Key, KeyData};

use crate::{
    Ack, Action, Granted, Ledger, Moment, PullRequest, PullResponse,
    RunOutcome, Sink,
    job::{Grant, GrantKey, Job, JobKey, PendingLine, VmKey},
};

/// Maximum size of results that await a commit, in bytes. Beyond it no items
/// are granted, since a small machine would run out of memory during a long
/// outage of the key-value service or the data VMs.
const MAX_PENDING_RESULT_BYTES: usize = 64 << 20;

/// Maximum number of jobs considered for one pull.
const MAX_CANDIDATE_JOBS: usize = 256;

/// Maximum service that a customer may catch up after an idle period, in
/// items.
const MAX_CATCH_UP_ITEMS: u64 = 64;

impl Ledger {
    /// Renews the grants that a companion runs and grants it more items.
    pub fn pull(
        &mut self,
        moment: Moment,
        request: &PullRequest<'_>,
    ) -> PullResponse {
        let vm = self.register_companion(moment.now, request);
        let revoked = self.renew_grants(moment.now, vm, request.running);
        let mut response = PullResponse {
            revoked,
            ..PullResponse::default()
        };
        let is_full = self.pending_result_bytes >= MAX_PENDING_RESULT_BYTES;
        if is_full || !self.has_valid_lease(moment.now) {
            return response;
        }
        let capacity =
            request.capacity.min(self.options.grant_items_max) as usize;
        let mut candidates = self.candidates(moment.now, request.models);
        while response.items.len() < capacity {
            let Some(at) = self.next_by_fair_share(&candidates) else {
                break;
            };
            match self.grant(moment.now, candidates[at], vm) {
                Some(granted) => response.items.push(granted),
                None => {
                    candidates.swap_remove(at);
                }
            }
        }
        response.more = !candidates.is_empty();
        response
    }

    /// Processes the reported outcome of an item.
    ///
    /// A completed item is used as long as the item is open, even if the
    /// result is late, or its grant has expired or was made by an earlier
    /// owner. Running the item again would waste endpoint time.
    pub fn result(
        &mut self,
        moment: Moment,
        job: &JobId,
        index: u32,
        grant: u64,
        outcome: RunOutcome,
    ) -> Ack {
        let Some(key) = self.by_id.get(job).copied() else {
            return Ack::Ignored;
        };
        let grant_key = self.grant_key(grant);
        let Some(job) = self.jobs.get_mut(key) else {
            return Ack::Ignored;
        };
        let is_current = job.granted().get(&index) == Some(&grant_key);
        if job.is_settled(index) {
            if is_current {
                self.end_grant(key, index);
            }
            return Ack::Ignored;
        }
        match outcome {
            RunOutcome::Completed(line) => {
                let sink = Sink::Output;
                self.settle(key, index, PendingLine { bytes: line, sink })
            }
            RunOutcome::Rejected(line) => {
                let sink = Sink::Errors;
                self.settle(key, index, PendingLine { bytes: line, sink })
            }
            // The failed attempt was counted when the grant expired.
            _ if !is_current => Ack::Ignored,
            RunOutcome::Returned => {
                self.reopen_item(key, index, moment.now, 0)
            }
            RunOutcome::Quarantined { for_ms } => {
                self.reopen_item(key, index, moment.now, for_ms)
            }
            RunOutcome::Failed(line) => {
                self.end_grant(key, index);
                match self.record_failure(moment.now, key, index) {
                    Some(_) => {
                        let sink = Sink::Errors;
                        self.settle(
                            key,
                            index,
                            PendingLine { bytes: line, sink },
                        )
                    }
                    None => Ack::Reopened,
                }
            }
        }
    }

    /// Reopens an item that was not attempted, after a delay.
    fn reopen_item(
        &mut self,
        key: JobKey,
        index: u32,
        now: Millis,
        delay_ms: u64,
    ) -> Ack {
        self.end_grant(key, index);
        if let Some(job) = self.jobs.get_mut(key) {
            job.reopen(index, now, delay_ms);
        }
        Ack::Reopened
    }

    /// Returns the VM that holds an item under this grant.
    pub fn granted_to(
        &self,
        job: &JobId,
        index: u32,
        grant: u64,
    ) -> Option<&VmId> {
        let key = self.grant_key(grant);
        let grant = self.grants.get(key).filter(|g| g.index == index)?;
        let owner = self.jobs.get(grant.job)?;
        let vm = grant.vm.0 as usize;
        let (vm, _) = self.vms.get_index(vm)?;
        (owner.record.id == *job).then_some(vm)
    }

    /// Settles an item with the error line requested by [`Action::GiveUp`].
    pub fn give_up(
        &mut self,
        job: &JobId,
        index: u32,
        line: bytes::Bytes,
    ) -> Ack {
        match self.by_id.get(job).copied() {
            Some(key) => {
                let sink = Sink::Errors;
                self.settle(key, index, PendingLine { bytes: line, sink })
            }
            None => Ack::Ignored,
        }
    }

    /// Returns the number of failed attempts at an item seen by this owner.
    pub fn attempts(&self, job: &JobId, index: u32) -> u32 {
        let key = self.by_id.get(job);
        let job = key.and_then(|key| self.jobs.get(*key));
        job.map_or(0, |job| job.attempts(index))
    }

    /// Ends expired grants.
    pub(crate) fn expire_grants(&mut self, now: Millis) {
        let is_expired = |grant: &Grant| grant.expires_at <= now;
        self.end_grants(now, is_expired);
    }

    /// Registers a companion and ends the grants of its earlier incarnation.
    fn register_companion(
        &mut self,
        now: Millis,
        request: &PullRequest<'_>,
    ) -> VmKey {
        let incarnation = request.incarnation;
        let (at, before) = match self.vms.get_full_mut(request.vm) {
            Some((at, _, known)) => {
                (at, std::mem::replace(known, incarnation))
            }
            None => {
                let added =
                    self.vms.insert_full(request.vm.clone(), incarnation);
                (added.0, incarnation)
            }
        };
        let vm = VmKey(at as u32);
        if before != incarnation {
            self.end_grants(now, |grant| grant.vm == vm);
        }
        vm
    }

    fn end_grants(
        &mut self,
        now: Millis,
        should_end: impl Fn(&Grant) -> bool,
    ) {
        let ended: Vec<Grant> = self
            .grants
            .values()
            .filter(|g| should_end(g))
            .copied()
            .collect();
        for grant in ended {
            let Grant {
                job: key, index, ..
            } = grant;
            self.end_grant(key, index);
            let Some(attempts) = self.record_failure(now, key, index) else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if job.begin_give_up(index) {
                let job = job.record.id.clone();
                self.actions.push(Action::GiveUp {
                    job,
                    index,
                    attempts,
                });
            }
        }
    }

    /// Extends the grants that a companion still runs and returns those that
    /// are revoked.
    fn renew_grants(
        &mut self,
        now: Millis,
        vm: VmKey,
        running: &[u64],
    ) -> Vec<u64> {
        let expires_at = now.saturating_add_ms(self.options.grant_ttl_ms);
        let mut revoked = Vec::new();
        for number in running {
            let key = self.grant_key(*number);
            let jobs = &self.jobs;
            let runs = |grant: &&mut Grant| {
                let job = jobs.get(grant.job);
                grant.vm == vm && job.is_some_and(Job::is_in_progress)
            };
            match self.grants.get_mut(key).filter(runs) {
                Some(grant) => grant.expires_at = expires_at,
                None => revoked.push(*number),
            }
        }
        revoked
    }

    /// Returns the jobs that compete for the next grants: those with open
    /// items whose due time is close to the earliest.
    fn candidates(&self, now: Millis, models: &[String]) -> Vec<JobKey> {
        let mut candidates = Vec::new();
        let mut last = UnixMillis::new(u64::MAX);
        for (due, key) in &self.by_due {
            if *due > last || candidates.len() >= MAX_CANDIDATE_JOBS {
                break;
            }
            let Some(job) = self.jobs.get(*key) else {
                continue;
            };
            let ownership = self.partitions[job.partition as usize].ownership;
            let is_owned = ownership.fence_for_grants() == Some(job.fence);
            if is_owned && job.has_work(now) && job.serves(models) {
                if candidates.is_empty() {
                    last = due.saturating_add_ms(self.options.due_band_ms);
                }
                candidates.push(*key);
            }
        }
        candidates
    }

    /// Selects the job of the customer that has received the least service,
    /// and among the jobs of one customer the one due first (start-time fair
    /// queueing over items).
    fn next_by_fair_share(&self, candidates: &[JobKey]) -> Option<usize> {
        let order = |at: &usize| {
            let job = self.jobs.get(candidates[*at]);
            job.map(|job| (self.start_tag(job), job.record.due, *at))
        };
        (0..candidates.len()).min_by_key(order)
    }

    fn start_tag(&self, job: &Job) -> u64 {
        let floor = self.virtual_time.saturating_sub(MAX_CATCH_UP_ITEMS);
        let start_tag = self.next_start_tags.get(&job.record.customer);
        start_tag.copied().unwrap_or(self.virtual_time).max(floor)
    }

    fn grant(
        &mut self,
        now: Millis,
        key: JobKey,
        vm: VmKey,
    ) -> Option<Granted> {
        let start_tag = self.start_tag(self.jobs.get(key)?);
        let job = self.jobs.get_mut(key)?;
        let same_vm_delay_ms = self.options.same_endpoint_delay_ms;
        let index = job.next_open(vm, now, same_vm_delay_ms)?;
        let expires_at = now.saturating_add_ms(self.options.grant_ttl_ms);
        let grant = self.grants.insert(Grant {
            job: key,
            index,
            vm,
            expires_at,
        });
        job.grant(index, vm, grant);
        let granted = Granted {
            grant: grant.data().as_ffi() ^ self.salt,
            partition: job.partition,
            fence: job.fence,
            job: job.record.id.clone(),
            index,
            attempt: job.attempts(index),
            customer: job.record.customer.clone(),
            due: job.record.due,
        };
        self.virtual_time = start_tag;
        self.next_start_tags
            .insert(granted.customer.clone(), start_tag + 1);
        Some(granted)
    }

    fn grant_key(&self, number: u64) -> GrantKey {
        KeyData::from_ffi(number ^ self.salt).into()
    }

    fn end_grant(&mut self, key: JobKey, index: u32) {
        let job = self.jobs.get_mut(key);
        if let Some(grant) = job.and_then(|job| job.remove_grant(index)) {
            self.grants.remove(grant);
        }
    }

    /// Counts a failed attempt and reopens the item, or returns the number of
    /// attempts if the limit is reached.
    fn record_failure(
        &mut self,
        now: Millis,
        key: JobKey,
        index: u32,
    ) -> Option<u32> {
        let random = self.next_random();
        let base_ms = self.options.retry_base_ms;
        let job = self.jobs.get_mut(key)?;
        if job.is_settled(index) {
            return None;
        }
        let failures = job.count_failure(index);
        if failures >= self.options.attempts_max {
            return Some(failures);
        }
        let span_ms = base_ms << (failures - 1).min(10);
        job.reopen(index, now, span_ms + random % span_ms.max(1));
        None
    }

    fn settle(&mut self, key: JobKey, index: u32, line: PendingLine) -> Ack {
        self.end_grant(key, index);
        let bytes = line.bytes.len();
        let job = self.jobs.get_mut(key);
        if !job.is_some_and(|job| job.settle(index, line)) {
            return Ack::Ignored;
        }
        self.pending_result_bytes += bytes;
        self.throughput.count();
        Ack::Settled
    }
}
