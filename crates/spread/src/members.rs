use std::{collections::BTreeMap, net::SocketAddr};

use base::{FailureDomain, Millis, VmId, stable_hash};
use serde::{Deserialize, Serialize};

/// Maximum number of processes that are remembered.
const MAX_MEMBERS: usize = 4_096;

/// Maximum number of hints in one response about processes in the requester's
/// failure domain.
const MAX_SAME_DOMAIN_HINTS: usize = 32;

/// Maximum number of hints in one response about processes in other failure
/// domains.
const MAX_OTHER_DOMAIN_HINTS: usize = 8;

/// Membership information about a process that one process passes to another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Hint {
    vm: VmId,
    failure_domain: FailureDomain,
    address: Option<SocketAddr>,
    /// Time since the process was last heard from, in milliseconds.
    age_ms: u64,
}

#[derive(Clone, Debug)]
struct Member {
    failure_domain: FailureDomain,
    address: Option<SocketAddr>,
    /// Its rendezvous hash for the selection of relays.
    rank: u64,
    heard_at: Millis,
    /// Time of the last failed call to it; older hints do not prove that it is
    /// alive.
    failed_at: Option<Millis>,
}

/// Known processes with the time each was last heard from.
#[derive(Clone, Debug)]
pub(crate) struct Members {
    own_vm: VmId,
    failure_domain: FailureDomain,
    member_ttl_ms: u64,
    /// This process's rendezvous hash for the selection of relays.
    rank: u64,
    known: BTreeMap<VmId, Member>,
}

impl Members {
    pub(crate) fn new(
        own_vm: VmId,
        failure_domain: FailureDomain,
        member_ttl_ms: u64,
    ) -> Self {
        Self {
            rank: rank(&failure_domain, &own_vm),
            own_vm,
            failure_domain,
            member_ttl_ms,
            known: BTreeMap::new(),
        }
    }

    /// Records evidence that a process was alive at a time.
    pub(crate) fn record_heard(
        &mut self,
        vm: &VmId,
        failure_domain: &FailureDomain,
        address: Option<SocketAddr>,
        at: Millis,
    ) {
        if *vm == self.own_vm {
            return;
        }
        if let Some(member) = self.known.get_mut(vm) {
            if member.failed_at < Some(at) && member.heard_at <= at {
                member.heard_at = at;
                if member.failure_domain != *failure_domain {
                    member.failure_domain = failure_domain.clone();
                    member.rank = rank(failure_domain, vm);
                }
                member.address = address.or(member.address);
            }
            return;
        }
        if self.known.len() < MAX_MEMBERS {
            let member = Member {
                failure_domain: failure_domain.clone(),
                address,
                rank: rank(failure_domain, vm),
                heard_at: at,
                failed_at: None,
            };
            self.known.insert(vm.clone(), member);
        }
    }

    /// Records a failed call to an address.
    pub(crate) fn record_failure(&mut self, address: SocketAddr, now: Millis) {
        let members = self.known.values_mut();
        for member in members.filter(|m| m.address == Some(address)) {
            member.failed_at = Some(now);
        }
    }

    /// Removes processes that have not been heard from for long.
    pub(crate) fn expire(&mut self, now: Millis) {
        let keep_ms = self.member_ttl_ms.saturating_mul(2);
        self.known
            .retain(|_, m| now.saturating_ms_since(m.heard_at) < keep_ms);
    }

    pub(crate) fn apply_hint(&mut self, hint: &Hint, now: Millis) {
        let at = now.as_ms().saturating_sub(hint.age_ms);
        let at = Millis::new(at);
        let domain = &hint.failure_domain;
        if now.saturating_ms_since(at) < self.member_ttl_ms {
            self.record_heard(&hint.vm, domain, hint.address, at);
        }
    }

    /// Returns hints for a process: all known processes of its failure domain,
    /// and some others.
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
            age_ms: now.saturating_ms_since(member.heard_at),
        };
        let live = || self.live(now);
        let own = live().filter(|(_, m)| m.failure_domain == *domain);
        let mut hints: Vec<_> =
            own.take(MAX_SAME_DOMAIN_HINTS).map(hint).collect();
        let others: Vec<_> = live()
            .filter(|(_, m)| m.failure_domain != *domain)
            .collect();
        let start = random as usize % others.len().max(1);
        let rotated = others.iter().cycle().skip(start);
        let count = others.len().min(MAX_OTHER_DOMAIN_HINTS);
        hints.extend(rotated.take(count).copied().map(hint));
        hints
    }

    fn live(&self, now: Millis) -> impl Iterator<Item = (&VmId, &Member)> {
        self.known.iter().filter(move |(_, member)| {
            member
                .failed_at
                .is_none_or(|failed_at| failed_at < member.heard_at)
                && now.saturating_ms_since(member.heard_at)
                    < self.member_ttl_ms
        })
    }

    /// Returns the relays of the own failure domain in order of preference,
    /// with the address if it is another process whose address is known.
    ///
    /// Rendezvous hashing: each process has a hash of its name, and the live
    /// processes with the highest hashes are the relays. Processes with the
    /// same membership view choose the same relays, and the loss of a relay
    /// replaces only that one.
    pub(crate) fn relays(
        &self,
        count: usize,
        now: Millis,
    ) -> Vec<(VmId, Option<SocketAddr>)> {
        let own = self
            .live(now)
            .filter(|(_, member)| member.failure_domain == self.failure_domain)
            .map(|(vm, member)| (member.rank, vm, member.address))
            .chain([(self.rank, &self.own_vm, None)]);
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
