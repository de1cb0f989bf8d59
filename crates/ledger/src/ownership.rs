//! Lease, members, and the partitions owned.

use base::{JobId, Millis};

use crate::{
    Action, Ledger, Moment, OpenJobMarker, PartitionOwner, VersionedRecord,
    assign,
    job::{Job, JobKey},
    machine::Partition,
    tenure::{Lease, Tenure},
};

impl Ledger {
    pub(crate) fn keep_lease(&mut self, now: Millis) {
        match &mut self.lease {
            Some(lease) if lease.wants_renewal(now) => {
                if now >= self.renew_at {
                    lease.renewing = true;
                    let lease = lease.id;
                    self.actions.push(Action::Renew { lease });
                }
            }
            Some(_) => {}
            None => self.join(now),
        }
    }

    fn join(&mut self, now: Millis) {
        let others = self.members.iter().filter(|m| **m != self.member);
        let has_place = others.count() < self.options.members_max;
        let knows = self.seen_revision > 0;
        if knows && has_place && !self.joining && now >= self.join_at {
            self.joining = true;
            let ttl_s = self.options.lease_ttl_s;
            self.actions.push(Action::Join { ttl_s });
        }
    }

    pub(crate) fn look(&mut self, now: Millis) {
        if self.looking || now < self.look_at {
            return;
        }
        self.looking = true;
        let interval_ms = match self.lease.is_some() || self.joining {
            true => self.options.membership_interval_ms,
            false => self.options.idle_membership_interval_ms,
        };
        self.look_at = self.around(now, interval_ms);
        self.actions.push(Action::ReadMembership);
    }

    pub(crate) fn on_joined(
        &mut self,
        moment: Moment,
        sent_at: Millis,
        lease: Option<i64>,
    ) {
        let now = moment.now;
        self.joining = false;
        match lease {
            Some(id) => {
                let ttl_s = self.options.lease_ttl_s;
                self.lease = Some(Lease::new(id, ttl_s, sent_at));
                self.look_at = now;
                self.look(now);
            }
            None => {
                let pause_ms = self.options.membership_interval_ms;
                self.join_at = self.around(now, pause_ms);
            }
        }
    }

    pub(crate) fn on_renewed(
        &mut self,
        moment: Moment,
        sent_at: Millis,
        id: i64,
        alive: Option<bool>,
    ) {
        let Some(lease) = self.lease.as_mut().filter(|l| l.id == id) else {
            return;
        };
        lease.renewing = false;
        match alive {
            Some(true) => lease.sent_at = lease.sent_at.max(sent_at),
            Some(false) => self.lose_lease(moment.now),
            None => {
                let pause_ms = lease.ttl_ms / 12;
                self.renew_at = self.around(moment.now, pause_ms);
            }
        }
    }

    fn lose_lease(&mut self, now: Millis) {
        self.lease = None;
        self.join_at =
            self.around(now, self.options.membership_interval_ms / 4);
        self.look_at = now;
        for number in 0..self.options.partitions {
            if self.partition(number).tenure != Tenure::Unowned {
                self.lose(number);
            }
        }
    }

    /// Ends a tenure. Results stay, for the case that the partition comes
    /// back before anybody else has it; their jobs are read anew then.
    fn lose(&mut self, number: u32) {
        *self.partition(number) = Partition {
            tenure: Tenure::Lost,
            ..Partition::default()
        };
    }

    /// Ends a tenure and forgets its jobs.
    fn leave(&mut self, number: u32) {
        *self.partition(number) = Partition::default();
        for key in self.jobs_of(number) {
            self.drop_job(key);
        }
    }

    fn jobs_of(&self, number: u32) -> Vec<JobKey> {
        let of = |(key, job): (JobKey, &Job)| {
            (job.partition == number).then_some(key)
        };
        self.jobs.iter().filter_map(of).collect()
    }

    pub(crate) fn on_looked(
        &mut self,
        moment: Moment,
        revision: Option<u64>,
        mut members: Vec<String>,
        owners: &[PartitionOwner],
    ) {
        self.looking = false;
        // A view that was delayed says nothing of what is now.
        let Some(revision) = revision.filter(|r| *r >= self.seen_revision)
        else {
            return;
        };
        self.seen_revision = revision;
        members.sort_unstable();
        if members != self.members {
            self.members = members;
            let names: Vec<&str> =
                self.members.iter().map(String::as_str).collect();
            self.assigned = assign(self.options.partitions, &names);
        }
        for number in 0..self.options.partitions {
            let owner = owners.iter().find(|o| o.partition == number);
            self.see_owner(moment.now, number, revision, owner);
            self.claim_or_release(moment.now, number, owner);
        }
        self.keep_lease(moment.now);
    }

    fn see_owner(
        &mut self,
        now: Millis,
        number: u32,
        revision: u64,
        owner: Option<&PartitionOwner>,
    ) {
        let lease = self.lease.map(|lease| lease.id);
        let is_mine = |owner: &&PartitionOwner| {
            owner.member == self.member && Some(owner.lease) == lease
        };
        let mine = owner.filter(is_mine).map(|owner| owner.fence);
        let tenure = self.partition(number).tenure;
        match (tenure.fence(), mine) {
            // The answer to a claim was lost, or an old copy of a claim
            // made the key once more.
            (None, Some(fence)) => self.begin(now, number, fence),
            (Some(known), Some(fence)) if fence > known => {
                self.begin(now, number, fence);
            }
            (Some(_), Some(_)) => {}
            (Some(known), None) if revision < known => {}
            (Some(_), None) if owner.is_some() => self.leave(number),
            (Some(_), None) => self.lose(number),
            (None, None) => {
                let waits = tenure == Tenure::Acquiring;
                if owner.is_some() && !waits && tenure != Tenure::Unowned {
                    self.leave(number);
                }
            }
        }
    }

    fn claim_or_release(
        &mut self,
        now: Millis,
        number: u32,
        owner: Option<&PartitionOwner>,
    ) {
        let assigned = self.assigned.get(number as usize);
        let Some(member) = assigned.and_then(|at| self.members.get(*at))
        else {
            return;
        };
        let is_mine = *member == self.member;
        let is_member = self.members.contains(&self.member);
        let tenure = self.partition(number).tenure;
        match tenure {
            Tenure::Unowned | Tenure::Lost
                if is_mine && owner.is_none() && self.is_safe(now) =>
            {
                let Some(lease) = self.lease.map(|lease| lease.id) else {
                    return;
                };
                self.partition(number).tenure = Tenure::Acquiring;
                let partition = number;
                self.actions.push(Action::Claim { partition, lease });
            }
            Tenure::Loading { fence } | Tenure::Owned { fence }
                if is_member && !is_mine =>
            {
                let until = now.saturating_add_ms(self.options.grant_ttl_ms);
                self.partition(number).tenure =
                    Tenure::Releasing { fence, until };
            }
            Tenure::Releasing { fence, .. } if is_mine => {
                self.partition(number).tenure = Tenure::Owned { fence };
            }
            _ => {}
        }
    }

    pub(crate) fn on_claimed(
        &mut self,
        moment: Moment,
        number: u32,
        lease: i64,
        fence: Option<u64>,
    ) {
        let is_current = self.lease.is_some_and(|held| held.id == lease);
        let waits = self.partition(number).tenure == Tenure::Acquiring;
        if !is_current || !waits {
            return;
        }
        match fence {
            Some(fence) => self.begin(moment.now, number, fence),
            None => {
                self.partition(number).tenure = Tenure::Lost;
                self.look_at = moment.now;
            }
        }
    }

    fn begin(&mut self, now: Millis, number: u32, fence: u64) {
        let interval_ms = self.options.commit_interval_ms;
        let commit_at = self.around(now, interval_ms);
        *self.partition(number) = Partition {
            tenure: Tenure::Loading { fence },
            commit_at,
            ..Partition::default()
        };
        self.keep_partition(now, number);
    }

    /// Lists the markers when it is time, and hands a partition over.
    pub(crate) fn keep_partition(&mut self, now: Millis, number: u32) {
        let tenure = self.partition(number).tenure;
        if let Tenure::Releasing { fence, until } = tenure
            && (now >= until || self.is_quiet(number))
        {
            self.partition(number).tenure = Tenure::Leaving { fence };
            let partition = number;
            self.actions.push(Action::Release { partition, fence });
            return;
        }
        let Some(fence) = tenure.commits() else {
            return;
        };
        let partition = self.partition(number);
        if !partition.listing && now >= partition.list_at {
            partition.listing = true;
            let partition = number;
            self.actions.push(Action::List { partition, fence });
        }
    }

    /// Tells whether nothing of a partition runs or waits.
    fn is_quiet(&self, number: u32) -> bool {
        let partition = &self.partitions[number as usize];
        let mut jobs = self.jobs.values().filter(|j| j.partition == number);
        partition.commit.is_none()
            && jobs.all(|job| job.pending.is_empty() && job.held().is_empty())
    }

    pub(crate) fn on_released(&mut self, number: u32, fence: u64) {
        if self.partition(number).tenure == (Tenure::Leaving { fence }) {
            self.leave(number);
        }
    }

    pub(crate) fn on_listed(
        &mut self,
        moment: Moment,
        number: u32,
        fence: u64,
        markers: Option<Vec<OpenJobMarker>>,
    ) {
        let interval_ms = self.options.list_interval_ms;
        let list_at = self.around(moment.now, interval_ms);
        let partition = self.partition(number);
        if partition.tenure.commits() != Some(fence) {
            return;
        }
        partition.listing = false;
        partition.list_at = list_at;
        let Some(markers) = markers else {
            return;
        };
        partition.listed = true;
        self.drop_unmarked(number, &markers);
        for marker in markers {
            let known = self
                .by_id
                .get(&marker.job)
                .and_then(|key| self.jobs.get(*key))
                .is_some_and(|j| {
                    j.fence == fence && j.marker >= marker.revision
                });
            if !known {
                self.load(number, fence, marker.job, marker.revision);
            }
        }
        self.settle_in(number);
    }

    /// Forgets jobs that ended without this process knowing: by a commit of
    /// unknown outcome, or by another owner.
    fn drop_unmarked(&mut self, number: u32, markers: &[OpenJobMarker]) {
        let marked: std::collections::HashSet<&JobId> =
            markers.iter().map(|marker| &marker.job).collect();
        for key in self.jobs_of(number) {
            let is_marked = marked.contains(&self.jobs[key].record.id);
            let commit = &self.partitions[number as usize].commit;
            let commits = commit.as_ref().is_some_and(|c| c.has(key));
            if !is_marked && !commits {
                self.drop_job(key);
            }
        }
    }

    pub(crate) fn load(
        &mut self,
        number: u32,
        fence: u64,
        job: JobId,
        marker: u64,
    ) {
        if self.partition(number).loading.insert(job.clone()) {
            self.actions.push(Action::Load {
                partition: number,
                fence,
                job,
                marker,
            });
        }
    }

    pub(crate) fn on_loaded(
        &mut self,
        number: u32,
        fence: u64,
        id: &JobId,
        marker: u64,
        found: Result<Option<Box<VersionedRecord>>, ()>,
    ) {
        if self.partition(number).tenure.commits() != Some(fence) {
            return;
        }
        self.partition(number).loading.remove(id);
        match found {
            // The next list asks for it again.
            Err(()) => {}
            Ok(Some(seen)) if seen.record.is_open() => {
                self.take_record(number, fence, marker, *seen);
            }
            Ok(_) => {
                if let Some(key) = self.by_id.get(id).copied() {
                    self.drop_job(key);
                }
            }
        }
        self.settle_in(number);
    }

    fn take_record(
        &mut self,
        number: u32,
        fence: u64,
        marker: u64,
        seen: VersionedRecord,
    ) {
        let VersionedRecord { record, revision } = seen;
        let key = match self.by_id.get(&record.id) {
            Some(key) => *key,
            None => {
                let (id, due) = (record.id.clone(), record.due);
                let job = Job::new(number, record.clone());
                let key = self.jobs.insert(job);
                self.by_id.insert(id, key);
                self.by_due.insert((due, key));
                key
            }
        };
        if let Some(job) = self.jobs.get_mut(key) {
            job.adopt(record, revision);
            job.fence = fence;
            job.marker = job.marker.max(marker);
        }
    }

    /// Ends the loading once every open job has been read.
    fn settle_in(&mut self, number: u32) {
        let partition = self.partition(number);
        if let Tenure::Loading { fence } = partition.tenure
            && partition.listed
            && partition.loading.is_empty()
        {
            partition.tenure = Tenure::Owned { fence };
        }
    }
}
