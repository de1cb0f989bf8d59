//! Processes with events in any order: none goes back to an older revision,
//! and all agree in the end.

#![allow(clippy::unwrap_used)]

mod common;

use base::{Millis, Revision};
use common::Sim;
use pomeloslip_spread::{Action, Event, Options, Propagator, Stamp};

const SEEDS: u64 = 300;

/// Guards against a process that goes back to an older configuration or stays
/// behind for good. Each seed draws a sequence of delays, losses, duplicates,
/// restarts, partitions, and outages and restores of the key-value service; a
/// failing seed can be replayed alone.
#[test]
fn no_process_goes_back_and_all_agree_once_healed() {
    let mut applied = 0;
    for seed in 0..SEEDS {
        let mut sim = Sim::new(seed, false);
        sim.run(seed % 2 == 0);
        let why = &sim.violations;
        assert!(why.is_empty(), "seed {seed}: {why:?}");
        applied += sim.trace.len() as u64;
    }
    assert!(applied > 50 * SEEDS, "{applied}: too little was tried");
}

#[test]
fn a_seed_replays_exactly() {
    let run = || {
        let mut sim = Sim::new(7, false);
        sim.run(true);
        sim.trace
    };
    assert_eq!(run(), run());
}

/// Checks the check itself: one process applies whatever the key-value service
/// returns, as a plain watch would.
#[test]
fn a_planted_fault_is_found() {
    let found = (0..20).filter(|seed| {
        let mut sim = Sim::new(*seed, true);
        sim.run(true);
        sim.violations.iter().any(|why| why.contains("applied"))
    });
    assert!(found.count() >= 10);
}

fn relays(alive: &[usize]) -> Vec<usize> {
    let now = Millis::new(10_000);
    let address = |at: usize| ([127, 0, 0, 1], at as u16).into();
    let options = Options::default();
    let started = Millis::new(0);
    let make = |at: &usize| {
        let vm = format!("entry-{at}").parse().unwrap();
        let domain = "tallinn-a".parse().unwrap();
        let peers = alive.iter().filter(|o| *o != at);
        let peers = peers.map(|o| address(*o)).collect();
        Propagator::new(vm, domain, peers, options, started)
    };
    let mut all: Vec<_> = alive.iter().map(make).collect();
    for at in 0..all.len() {
        let asked = all[at].handle(now, Event::Tick, 0);
        let sent = asked.into_iter().find_map(|action| match action {
            Action::Send { message, .. } => Some(*message),
            _ => None,
        });
        let Some(message) = sent else { continue };
        for other in (0..all.len()).filter(|other| *other != at) {
            let request = Event::Request(message.clone());
            all[other].handle(now, request, 0);
        }
    }
    for one in &mut all {
        one.handle(now, Event::Tick, 0);
    }
    let chosen = alive.iter().zip(&all).filter(|(_, one)| one.is_relay());
    chosen.map(|(at, _)| *at).collect()
}

#[test]
fn the_relays_of_a_domain_are_few_and_replaced_when_lost() {
    let all: Vec<_> = (1..10).collect();
    let first = relays(&all);
    assert_eq!(first.len(), 2);
    let rest: Vec<_> =
        all.iter().copied().filter(|at| *at != first[0]).collect();
    let next = relays(&rest);
    assert_eq!(next.len(), 2);
    assert!(next.contains(&first[1]), "only the lost one is replaced");
    assert_eq!(relays(&[3]), [3], "the last of a domain is its relay");
}

/// Guards against an entry that goes back to an older revision after a
/// restart. It had revision 5 and restarts while the key-value service is
/// unavailable; the first peer that responds lags at revision 4, and its
/// response must not be applied at once.
#[test]
fn a_restarted_process_hears_several_before_it_applies_the_first() {
    let peers: Vec<_> = (1..6u16)
        .map(|port| ([127, 0, 0, 1], port).into())
        .collect();
    let make = |vm: &str, peers| {
        let domain = "tallinn-a".parse().unwrap();
        let vm = vm.parse().unwrap();
        Propagator::new(vm, domain, peers, Options::default(), Millis::new(0))
    };
    let mut restarted = make("entry-1", peers.clone());
    let mut applied = Vec::new();
    for (peer, revision) in peers.iter().zip([4, 5, 4]) {
        let mut other = make("entry-2", vec![]);
        let found = Event::ConfigRead {
            revision: Revision::new(revision),
            text: format!("rules: [{revision}]\n"),
            stamp: Stamp::default(),
        };
        other.handle(Millis::new(0), found, 0);
        let now = Millis::new(u64::from(peer.port()) * 100);
        for action in restarted.handle(now, Event::Tick, 0) {
            let Action::Send { message, .. } = action else {
                continue;
            };
            let request = Event::Request(*message);
            for reply in other.handle(now, request, 0) {
                let Action::Reply(message) = reply else {
                    continue;
                };
                let event = Event::Response {
                    peer: *peer,
                    message: *message,
                };
                let actions = restarted.handle(now, event, 0);
                applied.extend(actions.iter().filter_map(|a| match a {
                    Action::Apply(document) => Some(document.revision().get()),
                    _ => None,
                }));
            }
        }
    }
    assert_eq!(applied, [5]);
}
