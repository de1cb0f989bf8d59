//! Tests of evidence against parts of prompts at single processes.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base::{Clock, Millis, RequestDigest, UnixMillis};
use pomeloslip_quarantine::{
    Crash, CrashRecordUpdate, CrashedEndpoint, EvidenceKeys, Quarantine,
    QuarantineOptions,
};
use tokio::time::timeout;
use yare::parameterized;

const START_MS: u64 = 1_000_000_000;

const HOUR_MS: u64 = 3_600_000;

/// Number of crashes that quarantine a part.
const CRASHES: u64 = 4;

struct SetClock(AtomicU64);

impl Clock for SetClock {
    fn now(&self) -> Millis {
        Millis::new(self.0.load(Ordering::Relaxed))
    }

    fn unix(&self) -> UnixMillis {
        UnixMillis::new(self.0.load(Ordering::Relaxed))
    }
}

struct Node {
    clock: Arc<SetClock>,
    quarantine: Quarantine,
}

fn node(ahead_ms: u64) -> Node {
    let clock = Arc::new(SetClock(AtomicU64::new(START_MS + ahead_ms)));
    let options = QuarantineOptions::default();
    let quarantine = Quarantine::local(clock.clone(), options);
    Node { clock, quarantine }
}

fn part(name: &str) -> RequestDigest {
    RequestDigest::of_group("prompt part", &["llm", name])
}

impl Node {
    fn advance_ms(&self, ms: u64) {
        self.clock.0.fetch_add(ms, Ordering::Relaxed);
    }

    /// Records a crash of an endpoint, 50 ms after the head of a response.
    fn crash(&self, endpoint: u64, parts: &[RequestDigest]) {
        self.advance_ms(500);
        let ended_at = self.quarantine.now();
        let crash = Crash {
            endpoint: CrashedEndpoint::new(endpoint),
            began_at: ended_at.saturating_sub_ms(100),
            ended_at,
            resumed_after: 0,
            reached: 0,
        };
        self.quarantine.record_part_crash(parts, &crash, Some(50));
    }

    async fn holds(&self, keys: EvidenceKeys) -> bool {
        self.quarantine.admit(|| keys).await.is_err()
    }

    async fn holds_part(&self, name: &str) -> bool {
        self.holds(keys(&[name])).await
    }

    async fn news(&self) -> Vec<CrashRecordUpdate> {
        let wait = Duration::from_secs(1);
        let news = timeout(wait, self.quarantine.next_news()).await;
        news.expect("news")
    }
}

fn keys(parts: &[&str]) -> EvidenceKeys {
    let own = RequestDigest::of_group("own", &["content"]);
    let parts = parts.iter().map(|name| part(name));
    parts.fold(EvidenceKeys::from(own), EvidenceKeys::with_part)
}

/// Guards against a node that lets a part crash endpoints because another
/// node's clock, by which a former crash was refuted, is ahead.
#[parameterized(
    in_time = { 0 },
    seconds_ahead = { 4_000 },
    hours_ahead = { 5 * HOUR_MS },
)]
#[test_macro(tokio::test)]
async fn a_release_refutes_no_later_crash(ahead_ms: u64) {
    let (ahead, other) = (node(ahead_ms), node(0));
    ahead.crash(1, &[part("bad")]);
    ahead.quarantine.record_sound_parts(&[part("bad")]);
    other.quarantine.apply_news(&ahead.news().await);
    other.advance_ms(ahead_ms.min(4_000));
    for endpoint in 10..10 + CRASHES {
        assert!(!other.holds_part("bad").await);
        other.crash(endpoint, &[part("bad")]);
    }
    assert!(other.holds_part("bad").await);
}

/// Guards against holding items for a part of their prompts: they are owed.
#[tokio::test]
async fn an_item_is_not_held_by_a_part() {
    let node = node(0);
    for endpoint in 0..CRASHES {
        node.crash(endpoint, &[part("bad")]);
    }
    assert!(node.holds(keys(&["bad"])).await);
    assert!(!node.holds(keys(&["bad"]).of_item()).await);
}

/// Guards against holding a sound part that came together with the poison part
/// for long: a request without the poison part is sent after seconds.
#[tokio::test]
async fn a_part_held_beside_another_is_tried_alone() {
    let node = node(0);
    let both = [part("other"), part("bad")];
    for endpoint in 0..CRASHES {
        node.crash(endpoint, &both);
    }
    assert!(node.holds_part("other").await);
    let options = QuarantineOptions::default();
    node.advance_ms(options.part_trial_hold_ms);
    assert!(node.holds(keys(&["other", "bad"])).await);
    assert!(!node.holds_part("other").await, "one probe");
    assert!(node.holds_part("other").await, "and no other");
    node.quarantine.record_sound_parts(&[part("other")]);
    assert!(!node.holds_part("other").await);
    assert!(!node.holds_part("bad").await, "one probe");
    assert!(node.holds(keys(&["other", "bad"])).await);
}

/// Guards against holding a sound part for minutes because its probe had no
/// result, and against trying a poison part again after seconds.
#[parameterized(
    no_result = { false },
    a_crash = { true },
)]
#[test_macro(tokio::test)]
async fn only_a_probe_that_crashed_lengthens_the_hold(crashes: bool) {
    let node = node(0);
    for endpoint in 0..CRASHES {
        node.crash(endpoint, &[part("suspect")]);
    }
    let options = QuarantineOptions::default();
    node.advance_ms(options.part_trial_hold_ms);
    assert!(!node.holds_part("suspect").await, "the probe");
    if crashes {
        node.crash(99, &[part("suspect")]);
    }
    node.advance_ms(options.part_trial_hold_ms);
    assert_eq!(node.holds_part("suspect").await, crashes);
}

/// Guards against holding the first part of all prompts for minutes: a request
/// that crashed its endpoint by another part was taken as its probe.
#[tokio::test]
async fn a_part_is_tried_without_other_suspects() {
    let node = node(0);
    node.crash(0, &[part("first")]);
    for endpoint in 1..CRASHES {
        node.crash(endpoint, &[part("first"), part("bad")]);
    }
    assert!(node.holds_part("first").await);
    assert!(!node.holds_part("bad").await, "one crash less");
    let options = QuarantineOptions::default();
    node.advance_ms(options.part_trial_hold_ms);
    assert!(node.holds(keys(&["first", "bad"])).await);
    assert!(!node.holds_part("first").await, "the probe");
    node.quarantine.record_sound_parts(&[part("first")]);
    assert!(!node.holds_part("first").await);
    node.crash(9, &[part("first"), part("bad")]);
    assert!(node.holds(keys(&["first", "bad"])).await);
    assert!(!node.holds_part("first").await);
}

/// Guards against quarantining a part because a rack was lost, which ends all
/// endpoints that run it at the same moment.
#[tokio::test]
async fn crashes_at_the_same_moment_count_once() {
    let node = node(0);
    let ended_at = node.quarantine.now();
    for endpoint in 0..4 * CRASHES {
        let crash = Crash {
            endpoint: CrashedEndpoint::new(endpoint),
            began_at: ended_at.saturating_sub_ms(100),
            ended_at: ended_at.saturating_add_ms(endpoint),
            resumed_after: 0,
            reached: 0,
        };
        let parts = [part("common")];
        node.quarantine.record_part_crash(&parts, &crash, Some(50));
    }
    assert!(!node.holds_part("common").await);
}
