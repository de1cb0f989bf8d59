use std::{collections::BTreeMap, net::SocketAddr};

use base::{FailureDomain, Millis, VmId, stable_hash};
use serde::{Deserialize, Serialize};

/// Most processes that are remembered.
const MEMBERS_MAX: usize = 4_096;

/// Most hints in one answer of processes in the asker's failure domain.
const HINTS_DOMAIN_MAX: usize = 32;

/// Most hints in one answer of other processes.
const HINTS_OTHER_MAX: usize = 8;

/// What one process tells another about a third.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Hint {
    vm: VmId,
    failure_domain: FailureDomain,
    address: Option<SocketAddr>,
    /// Time since somebody heard of it, in milliseconds.
    age_ms: u64,
}

#[derive(Clone, Debug)]
struct Member {
    failure_domain: FailureDomain,
    address: Option<SocketAddr>,
    /// Its number in the choice of relays.
    rank: u64,
    heard: Millis,
    /// When a call to it failed last; older hints are no sign of life.
    failed: Option<Millis>,
}

/// Processes that were heard of, and when.
#[derive(Clone, Debug)]
pub(crate) struct Members {
    me: VmId,
    failure_domain: FailureDomain,
    live_ms: u64,
    /// The own number in the choice of relays.
    rank: u64,
    known: BTreeMap<VmId, Member>,
}

impl Members {
    pub(crate) fn new(
        me: VmId,
        failure_domain: FailureDomain,
        live_ms: u64,
    ) -> Self {
        Self {
            rank: rank(&failure_domain, &me),
            me,
            failure_domain,
            live_ms,
            known: BTreeMap::new(),
        }
    }

    /// Notes a sign of life.
    pub(crate) fn heard(
        &mut self,
        vm: &VmId,
        failure_domain: &FailureDomain,
        address: Option<SocketAddr>,
        at: Millis,
    ) {
        if *vm == self.me {
            return;
        }
        if let Some(member) = self.known.get_mut(vm) {
            if member.failed < Some(at) && member.heard <= at {
                member.heard = at;
                if member.failure_domain != *failure_domain {
                    member.failure_domain = failure_domain.clone();
                    member.rank = rank(failure_domain, vm);
                }
                member.address = address.or(member.address);
            }
            return;
        }
        if self.known.len() < MEMBERS_MAX {
            let member = Member {
                failure_domain: failure_domain.clone(),
                address,
                rank: rank(failure_domain, vm),
                heard: at,
                failed: None,
            };
            self.known.insert(vm.clone(), member);
        }
    }

    /// Notes that a call to an address failed.
    pub(crate) fn failed(&mut self, address: SocketAddr, now: Millis) {
        let members = self.known.values_mut();
        for member in members.filter(|m| m.address == Some(address)) {
            member.failed = Some(now);
        }
    }

    /// Forgets who was silent for long.
    pub(crate) fn expire(&mut self, now: Millis) {
        let keep_ms = self.live_ms.saturating_mul(2);
        self.known
            .retain(|_, m| now.saturating_ms_since(m.heard) < keep_ms);
    }

    pub(crate) fn hear(&mut self, hint: &Hint, now: Millis) {
        let at = now.as_ms().saturating_sub(hint.age_ms);
        let at = Millis::new(at);
        let domain = &hint.failure_domain;
        if now.saturating_ms_since(at) < self.live_ms {
            self.heard(&hint.vm, domain, hint.address, at);
        }
    }

    /// Tells a process of others: all of its failure domain, and some.
    pub(crate) fn hints(
        &self,
        domain: &FailureDomain,
        now: Millis,
        random: u64,
    ) -> Vec<Hint> {
        let hint = |(vm, member): (&VmId, &Member)| Hint {
            vm: vm.clone(),
            failure_domain: member.failure_domain.clone(),
            address: member.address,
            age_ms: now.saturating_ms_since(member.heard),
        };
        let live = || self.live(now);
        let own = live().filter(|(_, m)| m.failure_domain == *domain);
        let mut hints: Vec<_> = own.take(HINTS_DOMAIN_MAX).map(hint).collect();
        let others: Vec<_> = live()
            .filter(|(_, m)| m.failure_domain != *domain)
            .collect();
        let start = random as usize % others.len().max(1);
        let turn = others.iter().cycle().skip(start);
        let count = others.len().min(HINTS_OTHER_MAX);
        hints.extend(turn.take(count).copied().map(hint));
        hints
    }

    fn live(&self, now: Millis) -> impl Iterator<Item = (&VmId, &Member)> {
        self.known.iter().filter(move |(_, member)| {
            member.failed.is_none_or(|failed| failed < member.heard)
                && now.saturating_ms_since(member.heard) < self.live_ms
        })
    }

    /// Returns the relays of the own failure domain, first choice first;
    /// with the address if it is another process and known.
    ///
    /// Rendezvous hashing: each process gets a number from its name, and
    /// the highest of those alive are the relays. All who know the same
    /// processes choose the same, and the loss of one moves one place.
    pub(crate) fn relays(
        &self,
        count: usize,
        now: Millis,
    ) -> Vec<(VmId, Option<SocketAddr>)> {
        let own = self
            .live(now)
            .filter(|(_, member)| member.failure_domain == self.failure_domain)
            .map(|(vm, member)| (member.rank, vm, member.address))
            .chain([(self.rank, &self.me, None)]);
        let mut ranked: Vec<_> = own.collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let chosen = ranked.into_iter().take(count);
        chosen
            .map(|(_, vm, address)| (vm.clone(), address))
            .collect()
    }
}

fn rank(failure_domain: &FailureDomain, vm: &VmId) -> u64 {
    stable_hash(&[failure_domain.as_str(), vm.as_str()])
}
