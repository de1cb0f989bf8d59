//! Tests of probes whose results, or whose writes to the key-value service,
//! are lost.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use base::{Clock, Millis, RequestDigest, UnixMillis};
use kv::{Kv, Memory, WriteFault};
use pomeloslip_quarantine::{
    Crash, CrashedEndpoint, EvidenceKeys, Quarantine, QuarantineOptions,
};
use yare::parameterized;

const PREFIX: &str = "t/";

/// Number of crashes that quarantine a part, and a request.
const CRASHES: u64 = 4;

/// Number of writes of a probe before its node gives up.
const WRITE_ATTEMPTS: usize = 5;

struct SetClock(AtomicU64);

impl Clock for SetClock {
    fn now(&self) -> Millis {
        Millis::new(self.0.load(Ordering::Relaxed))
    }

    fn unix(&self) -> UnixMillis {
        UnixMillis::new(self.0.load(Ordering::Relaxed))
    }
}

/// Two nodes that read the key-value service when the test says so.
struct Fleet {
    kv: Memory,
    clock: Arc<SetClock>,
    nodes: [Quarantine; 2],
}

impl Fleet {
    fn start() -> Self {
        let kv = Memory::default();
        let clock = Arc::new(SetClock(AtomicU64::new(1_000_000)));
        let node = || {
            let kv: Arc<dyn Kv> = Arc::new(kv.clone());
            let options = QuarantineOptions::default();
            Quarantine::new(kv, PREFIX, clock.clone(), options)
        };
        let nodes = [node(), node()];
        Self { kv, clock, nodes }
    }

    fn advance_ms(&self, ms: u64) {
        self.clock.0.fetch_add(ms, Ordering::Relaxed);
    }

    /// Records a crash of an endpoint, 50 ms after the head of a response.
    fn crash(&self, endpoint: u64) {
        self.advance_ms(500);
        let ended_at = self.clock.unix();
        let crash = Crash {
            endpoint: CrashedEndpoint::new(endpoint),
            began_at: ended_at.saturating_sub_ms(100),
            ended_at,
            resumed_after: 0,
            reached: 0,
        };
        for node in &self.nodes {
            node.record_crash(request(), crash);
            node.record_part_crash(&[part()], &crash, Some(50));
        }
    }

    async fn admits(&self, node: usize, keys: EvidenceKeys) -> bool {
        let is_admitted = self.nodes[node].admit(|| keys).await.is_ok();
        self.read().await;
        is_admitted
    }

    async fn read(&self) {
        for node in &self.nodes {
            node.read().await.expect("the service responds");
        }
    }

    /// Loses the writes of a probe until its node gives up.
    async fn lose_probe(&self, node: usize) {
        let faults = [WriteFault::Delayed; WRITE_ATTEMPTS];
        self.kv.script_write_faults(faults);
        assert!(!self.admits(node, with_part()).await);
        self.kv.apply_delayed();
        self.read().await;
    }
}

fn part() -> RequestDigest {
    RequestDigest::of_group("prompt part", &["llm", "first"])
}

fn request() -> RequestDigest {
    RequestDigest::of_group("own", &["request"])
}

/// Returns the keys of another request with the part.
fn with_part() -> EvidenceKeys {
    let own = RequestDigest::of_group("own", &["other"]);
    EvidenceKeys::from(own).with_part(part())
}

fn held() -> Fleet {
    let fleet = Fleet::start();
    (0..CRASHES).for_each(|endpoint| fleet.crash(endpoint));
    fleet
}

const TRIAL_MS: u64 = 3_000;

/// Guards against holding a sound part for minutes because two probes in a row
/// had no result: their nodes ended, or their callers left.
#[tokio::test]
async fn probes_without_a_result_are_repeated() {
    let fleet = held();
    for number in 0..4 {
        fleet.advance_ms(TRIAL_MS);
        assert!(fleet.admits(number % 2, with_part()).await, "{number}");
        assert!(!fleet.admits(number % 2, with_part()).await, "{number}");
    }
}

/// Guards against holding a sound part for minutes because the writes of two
/// probes took effect late, when their requests had been refused.
#[tokio::test]
async fn probes_that_are_recorded_late_are_repeated() {
    let fleet = held();
    for number in 0..3 {
        fleet.advance_ms(TRIAL_MS);
        fleet.lose_probe(number % 2).await;
    }
    fleet.advance_ms(TRIAL_MS);
    assert!(fleet.admits(0, with_part()).await);
}

/// Guards against counting a probe that is never sent: the service records it
/// and its response is lost, or it is recorded during the next attempt.
#[parameterized(
    part_without_response = { with_part(), WriteFault::ResponseLost },
    request_without_response = { request().into(), WriteFault::ResponseLost },
    part_after_lost_request = { with_part(), WriteFault::RequestLost },
)]
#[test_macro(tokio::test)]
async fn a_recorded_probe_is_sent(keys: EvidenceKeys, fault: WriteFault) {
    let fleet = held();
    fleet.advance_ms(600_000);
    fleet.kv.script_write_faults([fault]);
    assert!(fleet.admits(0, keys.clone()).await);
    assert!(!fleet.admits(0, keys.clone()).await, "once");
    assert!(!fleet.admits(1, keys).await, "once");
}

/// Guards against a probe that is lost because its request was not run, and
/// against one that is sent twice: it is left to the next request at its node.
#[parameterized(
    of_a_part = { with_part() },
    of_a_request = { request().into() },
    of_an_item = { EvidenceKeys::from(request()).of_item() },
)]
#[test_macro(tokio::test)]
async fn a_withdrawn_probe_is_left_to_one_request(keys: EvidenceKeys) {
    let fleet = held();
    fleet.advance_ms(600_000);
    let node = &fleet.nodes[0];
    for _ in 0..3 {
        let permit = node.admit(|| keys.clone()).await.expect("a probe");
        node.withdraw(&permit);
    }
    assert!(node.admit(|| keys.clone()).await.is_ok(), "sent");
    assert!(node.admit(|| keys).await.is_err(), "once");
}

/// Guards against a withdrawn probe that is sent although a later one crashed
/// its endpoint.
#[tokio::test]
async fn a_withdrawn_probe_is_void_after_a_crash() {
    let fleet = held();
    fleet.advance_ms(TRIAL_MS);
    let permit = fleet.nodes[0].admit(with_part).await.expect("a probe");
    fleet.nodes[0].withdraw(&permit);
    fleet.advance_ms(TRIAL_MS);
    fleet.read().await;
    assert!(fleet.admits(1, with_part()).await, "the next probe");
    assert!(!fleet.admits(0, with_part()).await, "the later one counts");
    fleet.crash(90);
    assert!(!fleet.admits(0, with_part()).await);
}

/// Guards against a withdrawn probe that a request with another suspected part
/// uses up: it crashes its endpoint by that one.
#[tokio::test]
async fn a_withdrawn_probe_is_left_to_a_request_without_other_suspects() {
    let fleet = held();
    let bad = RequestDigest::of_group("prompt part", &["llm", "bad"]);
    let ended_at = fleet.clock.unix();
    let crash = Crash {
        endpoint: CrashedEndpoint::new(80),
        began_at: ended_at.saturating_sub_ms(100),
        ended_at,
        resumed_after: 0,
        reached: 0,
    };
    fleet.nodes[0].record_part_crash(&[bad], &crash, Some(50));
    fleet.advance_ms(TRIAL_MS);
    let permit = fleet.nodes[0].admit(with_part).await.expect("a probe");
    fleet.nodes[0].withdraw(&permit);
    let with_both = with_part().with_part(bad);
    assert!(fleet.nodes[0].admit(|| with_both).await.is_err());
    assert!(fleet.nodes[0].admit(with_part).await.is_ok());
}

/// Guards against two nodes that send one probe each, since one takes the
/// other's record for its own.
#[tokio::test]
async fn a_probe_of_another_node_is_not_taken_for_the_own() {
    let fleet = held();
    fleet.advance_ms(TRIAL_MS);
    assert!(fleet.nodes[0].admit(with_part).await.is_ok());
    // Node 1 has not read the record, which is of the same millisecond.
    assert!(fleet.nodes[1].admit(with_part).await.is_err());
}

/// Guards against repeating a poison part's probe after seconds: a probe
/// without a result changes nothing about those that crashed their endpoints.
#[tokio::test]
async fn failed_probes_lengthen_the_hold_whatever_is_lost_between_them() {
    let options = QuarantineOptions::default();
    let fleet = held();
    fleet.advance_ms(TRIAL_MS);
    fleet.lose_probe(0).await;
    fleet.advance_ms(TRIAL_MS);
    assert!(fleet.admits(0, with_part()).await, "a probe");
    fleet.crash(90);
    for hold_ms in [options.part_hold_ms(1), options.part_hold_ms(1)] {
        fleet.advance_ms(hold_ms - 1_000);
        assert!(!fleet.admits(0, with_part()).await, "held");
        fleet.advance_ms(1_000);
        assert!(fleet.admits(1, with_part()).await, "a probe without result");
    }
    fleet.crash(91);
    fleet.advance_ms(options.part_hold_ms(2) - 1_000);
    assert!(!fleet.admits(0, with_part()).await, "held");
}
