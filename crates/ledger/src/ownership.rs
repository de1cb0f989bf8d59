//! Lease, membership and ownership of partitions.

use base::{JobId, Millis};

use crate::{
    Action, Ledger, Moment, OpenJobMarker, PartitionOwner, VersionedRecord,
    assign,
    job::{Job, JobKey},
    lease::{Lease, OwnershipState},
    machine::Partition,
};

/// Number of consecutive reads without this member after which it joins again.
/// The first may have begun before it joined.
const MAX_ABSENT_READS: u32 = 2;

impl Ledger {
    pub(crate) fn maintain_lease(&mut self, now: Millis) {
        match &mut self.lease {
            Some(lease) if lease.wants_renewal(now) => {
                if now >= self.renew_at {
                    lease.is_renewing = true;
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
        let has_capacity = others.count() < self.options.members_max;
        let has_seen_members = self.last_read_revision > 0;
        if has_seen_members
            && has_capacity
            && !self.is_joining
            && now >= self.join_at
        {
            self.is_joining = true;
            let ttl_s = self.options.lease_ttl_s;
            self.actions.push(Action::Join { ttl_s });
        }
    }

    pub(crate) fn read_membership(&mut self, now: Millis) {
        if self.is_reading_membership || now < self.read_membership_at {
            return;
        }
        self.is_reading_membership = true;
        let interval_ms = match self.lease.is_some() || self.is_joining {
            true => self.options.membership_interval_ms,
            false => self.options.idle_membership_interval_ms,
        };
        self.read_membership_at = self.jittered(now, interval_ms);
        self.actions.push(Action::ReadMembership);
    }

    pub(crate) fn on_joined(
        &mut self,
        moment: Moment,
        sent_at: Millis,
        lease: Option<i64>,
    ) {
        let now = moment.now;
        self.is_joining = false;
        match lease {
            Some(id) => {
                let ttl_s = self.options.lease_ttl_s;
                self.lease = Some(Lease::new(id, ttl_s, sent_at));
                self.read_membership_at = now;
                self.read_membership(now);
            }
            None => {
                let delay_ms = self.options.membership_interval_ms;
                self.join_at = self.jittered(now, delay_ms);
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
        lease.is_renewing = false;
        match alive {
            Some(true) => lease.sent_at = lease.sent_at.max(sent_at),
            Some(false) => self.lose_lease(moment.now),
            None => {
                let delay_ms = lease.ttl_ms / 12;
                self.renew_at = self.jittered(moment.now, delay_ms);
            }
        }
    }

    fn lose_lease(&mut self, now: Millis) {
        self.lease = None;
        self.join_at =
            self.jittered(now, self.options.membership_interval_ms / 4);
        self.read_membership_at = now;
        for number in 0..self.options.partitions {
            if self.partition(number).ownership != OwnershipState::Unowned {
                self.lose_partition(number);
            }
        }
    }

    /// Ends the ownership of a partition but keeps its results, in case the
    /// partition is acquired again before another entry claims it; its jobs
    /// are read again then.
    fn lose_partition(&mut self, number: u32) {
        *self.partition(number) = Partition {
            ownership: OwnershipState::Lost,
            ..Partition::default()
        };
    }

    /// Ends the ownership of a partition and drops its jobs.
    fn drop_partition(&mut self, number: u32) {
        *self.partition(number) = Partition::default();
        for key in self.jobs_of(number) {
            self.remove_job(key);
        }
    }

    fn jobs_of(&self, number: u32) -> Vec<JobKey> {
        let of = |(key, job): (JobKey, &Job)| {
            (job.partition == number).then_some(key)
        };
        self.jobs.iter().filter_map(of).collect()
    }

    pub(crate) fn on_membership_read(
        &mut self,
        moment: Moment,
        revision: Option<u64>,
        mut members: Vec<String>,
        owners: &[PartitionOwner],
    ) {
        self.is_reading_membership = false;
        // Ignores a delayed read that is older than the last one.
        let Some(revision) =
            revision.filter(|r| *r >= self.last_read_revision)
        else {
            return;
        };
        self.last_read_revision = revision;
        members.sort_unstable();
        if members != self.members {
            self.members = members;
            let names: Vec<&str> =
                self.members.iter().map(String::as_str).collect();
            self.assigned = assign(self.options.partitions, &names);
        }
        self.check_membership(moment.now);
        for number in 0..self.options.partitions {
            let owner = owners.iter().find(|o| o.partition == number);
            self.apply_owner(moment.now, number, revision, owner);
            self.claim_or_release(moment.now, number, owner);
        }
        self.maintain_lease(moment.now);
    }

    /// Gives up a lease under which this member is not listed, and joins again.
    ///
    /// A write of the member's key that was not answered may take effect late
    /// and bind the key to a lease that nobody renews.
    fn check_membership(&mut self, now: Millis) {
        let is_listed = self.members.contains(&self.member);
        if is_listed || self.lease.is_none() {
            self.absent_reads = 0;
            return;
        }
        self.absent_reads += 1;
        if self.absent_reads >= MAX_ABSENT_READS {
            self.absent_reads = 0;
            self.lose_lease(now);
        }
    }

    fn apply_owner(
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
        let ownership = self.partition(number).ownership;
        match (ownership.fence(), mine) {
            // The response to a claim was lost, or a delayed copy of a claim
            // created the key again.
            (None, Some(fence)) => self.begin_ownership(now, number, fence),
            (Some(known), Some(fence)) if fence > known => {
                self.begin_ownership(now, number, fence);
            }
            (Some(_), Some(_)) => {}
            (Some(known), None) if revision < known => {}
            (Some(_), None) if owner.is_some() => self.drop_partition(number),
            (Some(_), None) => self.lose_partition(number),
            (None, None) => {
                let is_acquiring = ownership == OwnershipState::Acquiring;
                if owner.is_some()
                    && !is_acquiring
                    && ownership != OwnershipState::Unowned
                {
                    self.drop_partition(number);
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
        let ownership = self.partition(number).ownership;
        match ownership {
            OwnershipState::Unowned | OwnershipState::Lost
                if is_mine && owner.is_none() && self.has_valid_lease(now) =>
            {
                let Some(lease) = self.lease.map(|lease| lease.id) else {
                    return;
                };
                self.partition(number).ownership = OwnershipState::Acquiring;
                let partition = number;
                self.actions.push(Action::Claim { partition, lease });
            }
            OwnershipState::Loading { fence }
            | OwnershipState::Owned { fence }
                if is_member && !is_mine =>
            {
                let until = now.saturating_add_ms(self.options.grant_ttl_ms);
                self.partition(number).ownership =
                    OwnershipState::Draining { fence, until };
            }
            OwnershipState::Draining { fence, .. } if is_mine => {
                self.partition(number).ownership =
                    OwnershipState::Owned { fence };
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
        let is_current = self.lease.is_some_and(|current| current.id == lease);
        let is_acquiring =
            self.partition(number).ownership == OwnershipState::Acquiring;
        if !is_current || !is_acquiring {
            return;
        }
        match fence {
            Some(fence) => self.begin_ownership(moment.now, number, fence),
            None => {
                self.partition(number).ownership = OwnershipState::Lost;
                self.read_membership_at = moment.now;
            }
        }
    }

    fn begin_ownership(&mut self, now: Millis, number: u32, fence: u64) {
        let interval_ms = self.options.commit_interval_ms;
        let commit_at = self.jittered(now, interval_ms);
        *self.partition(number) = Partition {
            ownership: OwnershipState::Loading { fence },
            commit_at,
            ..Partition::default()
        };
        self.maintain_partition(now, number);
    }

    /// Lists the markers if a read is due, and releases a partition that has
    /// drained.
    pub(crate) fn maintain_partition(&mut self, now: Millis, number: u32) {
        let ownership = self.partition(number).ownership;
        if let OwnershipState::Draining { fence, until } = ownership
            && (now >= until || self.is_idle(number))
        {
            self.partition(number).ownership =
                OwnershipState::DeletingKey { fence };
            let partition = number;
            self.actions.push(Action::Release { partition, fence });
            return;
        }
        let Some(fence) = ownership.fence_for_commits() else {
            return;
        };
        let partition = self.partition(number);
        if !partition.is_listing && now >= partition.list_at {
            partition.is_listing = true;
            let partition = number;
            self.actions.push(Action::List { partition, fence });
        }
    }

    /// Reports whether a partition has no commit, pending results or grants.
    fn is_idle(&self, number: u32) -> bool {
        let partition = &self.partitions[number as usize];
        let mut jobs = self.jobs.values().filter(|j| j.partition == number);
        partition.commit.is_none()
            && jobs
                .all(|job| job.pending.is_empty() && job.granted().is_empty())
    }

    pub(crate) fn on_released(&mut self, number: u32, fence: u64) {
        if self.partition(number).ownership
            == (OwnershipState::DeletingKey { fence })
        {
            self.drop_partition(number);
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
        let list_at = self.jittered(moment.now, interval_ms);
        let partition = self.partition(number);
        if partition.ownership.fence_for_commits() != Some(fence) {
            return;
        }
        partition.is_listing = false;
        partition.list_at = list_at;
        let Some(markers) = markers else {
            return;
        };
        partition.was_listed = true;
        self.drop_jobs_without_marker(number, &markers);
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
        self.finish_loading(number);
    }

    /// Drops jobs that ended without the knowledge of this process: by a
    /// commit of unknown outcome, or by another owner.
    fn drop_jobs_without_marker(
        &mut self,
        number: u32,
        markers: &[OpenJobMarker],
    ) {
        let marked: std::collections::HashSet<&JobId> =
            markers.iter().map(|marker| &marker.job).collect();
        for key in self.jobs_of(number) {
            let is_marked = marked.contains(&self.jobs[key].record.id);
            let commit = &self.partitions[number as usize].commit;
            let is_committing =
                commit.as_ref().is_some_and(|c| c.includes(key));
            if !is_marked && !is_committing {
                self.remove_job(key);
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
        if self.partition(number).ownership.fence_for_commits() != Some(fence)
        {
            return;
        }
        self.partition(number).loading.remove(id);
        match found {
            // The next listing of the markers retries the read.
            Err(()) => {}
            Ok(Some(seen)) if seen.record.is_open() => {
                self.adopt_record(number, fence, marker, *seen);
            }
            Ok(_) => {
                if let Some(key) = self.by_id.get(id).copied() {
                    self.remove_job(key);
                }
            }
        }
        self.finish_loading(number);
    }

    fn adopt_record(
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

    /// Completes the loading of a partition once every open job has been read.
    fn finish_loading(&mut self, number: u32) {
        let partition = self.partition(number);
        if let OwnershipState::Loading { fence } = partition.ownership
            && partition.was_listed
            && partition.loading.is_empty()
        {
            partition.ownership = OwnershipState::Owned { fence };
        }
    }
}
