//! Simulated companions: they pull items, run them and report results.

use base::VmId;
use pomeloslip_ledger::{Granted, PullRequest, RunOutcome};
use rand::Rng;

use super::{Message, OWNERS, PULL_MS, Simulation, line};

impl Simulation {
    pub(super) fn wake(&mut self, companion: usize) {
        let delay = self.rng.random_range(PULL_MS / 2..PULL_MS * 2);
        self.send(delay, Message::Wake { companion });
        let owner = self.rng.random_range(0..OWNERS);
        let incarnation = self.companions[companion].incarnation;
        let running = self.companions[companion].running.keys();
        let own = running.filter(|(at, _)| *at == owner);
        let running = own.map(|(_, grant)| *grant).collect();
        let pull = Message::Pull {
            owner,
            companion,
            incarnation,
            running,
        };
        if self.chance(2.0) {
            let delay = self.delay();
            self.send(delay, pull.clone());
        }
        let delay = self.delay();
        self.send(delay, pull);
    }

    pub(super) fn pull(
        &mut self,
        owner: usize,
        companion: usize,
        incarnation: u64,
        running: &[u64],
    ) {
        let vm: VmId = format!("vm-{companion}").parse().expect("an id");
        let moment = self.moment(owner);
        let request = PullRequest {
            vm: &vm,
            incarnation,
            models: &[],
            capacity: 3,
            running,
        };
        let response = self.owners[owner].ledger.pull(moment, &request);
        if self.chance(3.0) {
            return;
        }
        let delay = self.delay();
        self.send(
            delay,
            Message::Grant {
                companion,
                incarnation,
                owner,
                items: response.items,
                revoked: response.revoked,
            },
        );
    }

    pub(super) fn on_grant(
        &mut self,
        companion: usize,
        incarnation: u64,
        owner: usize,
        items: Vec<Granted>,
        revoked: &[u64],
    ) {
        if self.companions[companion].incarnation != incarnation {
            return;
        }
        for grant in revoked {
            self.companions[companion].running.remove(&(owner, *grant));
        }
        for item in items {
            let grant = item.grant;
            let known = &mut self.companions[companion].running;
            known.insert((owner, grant), item);
            let ms = match self.rng.random_range(0..20) {
                0 if !self.is_fault_free() => 2_000,
                _ => self.rng.random_range(5..150),
            };
            let ran = Message::Ran {
                companion,
                incarnation,
                owner,
                grant,
            };
            self.send(ms, ran);
        }
    }

    pub(super) fn ran(
        &mut self,
        companion: usize,
        incarnation: u64,
        owner: usize,
        grant: u64,
    ) {
        if self.companions[companion].incarnation != incarnation {
            return;
        }
        let running = &mut self.companions[companion].running;
        let Some(item) = running.remove(&(owner, grant)) else {
            return;
        };
        let line = line(&item.job, item.index);
        let end = match self.rng.random_range(0..20) {
            0 if !self.is_fault_free() => RunOutcome::Failed(line),
            1 if !self.is_fault_free() => RunOutcome::Returned,
            _ if item.index % 17 == 3 => RunOutcome::Rejected(line),
            _ => RunOutcome::Completed(line),
        };
        for _ in 0..self.copies() {
            let delay = self.delay();
            let (item, end) = (item.clone(), end.clone());
            self.send(delay, Message::Result { owner, item, end });
        }
    }

    fn copies(&mut self) -> u32 {
        match (self.chance(5.0), self.chance(5.0)) {
            (true, _) => 0,
            (_, true) => 2,
            _ => 1,
        }
    }
}
