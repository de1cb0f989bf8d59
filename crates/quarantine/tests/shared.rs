//! Tests of processes that share crash records through the key-value service.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base::{Clock, Millis, RequestContent, RequestDigest, UnixMillis};
use kv::{Event, Kv, Memory, WriteFault};
use pomeloslip_quarantine::{
    Crash, CrashedEndpoint, Quarantine, QuarantineOptions,
};
use tokio::time::{sleep, timeout};

/// A clock that the test sets.
#[derive(Default)]
struct SetClock(AtomicU64);

impl Clock for SetClock {
    fn now(&self) -> Millis {
        Millis::new(self.0.load(Ordering::Relaxed))
    }

    fn unix(&self) -> UnixMillis {
        UnixMillis::new(self.0.load(Ordering::Relaxed))
    }
}

struct Fleet {
    kv: Memory,
    clock: Arc<SetClock>,
    nodes: Vec<Quarantine>,
}

const PREFIX: &str = "t/";

/// Watches the key-value service for a node, as the feeds of a fleet do.
async fn watch(kv: Memory, node: Quarantine) {
    loop {
        let Ok(read) = kv.get_prefix(PREFIX, 0).await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        node.apply(&read.kvs, &[], read.revision, true);
        let from = read.revision + 1;
        let Ok(mut watcher) = kv.watch(PREFIX, from).await else {
            continue;
        };
        while let Ok(batch) = watcher.next().await {
            let mut changed = Vec::new();
            let mut deleted = Vec::new();
            for event in batch.events {
                match event {
                    Event::Put(kv) => changed.push(kv),
                    Event::Delete { key, mod_revision } => {
                        deleted.push((key, mod_revision));
                    }
                }
            }
            node.apply(&changed, &deleted, batch.revision, false);
        }
    }
}

impl Fleet {
    fn start(count: usize) -> Self {
        let mut fleet = Self {
            kv: Memory::default(),
            clock: Arc::new(SetClock(AtomicU64::new(1_000_000))),
            nodes: Vec::new(),
        };
        for _ in 0..count {
            fleet.add();
        }
        fleet
    }

    fn add(&mut self) -> Quarantine {
        let node = self.unwatched();
        tokio::spawn(node.clone().run());
        tokio::spawn(watch(self.kv.clone(), node.clone()));
        self.nodes.push(node.clone());
        node
    }

    /// Creates a process without a watch of the key-value service.
    fn unwatched(&self) -> Quarantine {
        let kv: Arc<dyn Kv> = Arc::new(self.kv.clone());
        let options = QuarantineOptions::default();
        Quarantine::new(kv, PREFIX, self.clock.clone(), options)
    }

    fn advance_ms(&self, ms: u64) {
        self.clock.0.fetch_add(ms, Ordering::Relaxed);
    }

    /// Records a crash at one node, after a run of 100 ms that ends now.
    fn crash(&self, node: usize, endpoint: u64) {
        self.advance_ms(1_000);
        let ended_at = self.clock.unix();
        let crash = Crash {
            endpoint: CrashedEndpoint::new(endpoint),
            began_at: ended_at.saturating_sub_ms(100),
            ended_at,
            resumed_after: 0,
            reached: 0,
        };
        self.nodes[node].record_crash(bad(), crash);
    }

    async fn is_quarantined(&self, node: usize) -> bool {
        self.nodes[node].admit(bad).await.is_err()
    }

    async fn wait_until_all_quarantine(&self) {
        let wait = async {
            for node in 0..self.nodes.len() {
                while !self.is_quarantined(node).await {
                    sleep(Duration::from_millis(5)).await;
                }
            }
        };
        let wait = timeout(Duration::from_secs(10), wait).await;
        wait.expect("all nodes quarantine the request");
    }

    async fn wait_until_all_release(&self) {
        let wait = async {
            while self.nodes.iter().any(|node| !node.is_empty()) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        let wait = timeout(Duration::from_secs(10), wait).await;
        wait.expect("all nodes release the request");
    }

    async fn stored(&self) -> usize {
        let found = self.kv.get_prefix(PREFIX, 0).await.expect("read");
        found.kvs.len()
    }
}

fn bad() -> RequestDigest {
    RequestDigest::of(RequestContent {
        customer: "",
        method: "POST",
        host: "a.example",
        target: "/chat/1",
        body: b"bad",
    })
}

/// Guards against a fleet in which each node loses three endpoints before it
/// quarantines a request.
#[tokio::test]
async fn crashes_at_three_nodes_quarantine_a_request_on_all() {
    let fleet = Fleet::start(5);
    for node in 0..3 {
        fleet.crash(node, node as u64);
    }
    fleet.wait_until_all_quarantine().await;
    assert_eq!(fleet.stored().await, 1);
}

/// Guards against poison requests that crash three endpoints again after each
/// restart of the fleet.
#[tokio::test]
async fn a_process_that_starts_later_quarantines_the_request() {
    let mut fleet = Fleet::start(1);
    for endpoint in 0..3 {
        fleet.crash(0, endpoint);
    }
    fleet.wait_until_all_quarantine().await;
    while fleet.stored().await == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    fleet.add();
    fleet.wait_until_all_quarantine().await;
}

/// Guards against crashes that are lost or counted twice because a response of
/// the key-value service is lost.
#[tokio::test]
async fn writes_whose_responses_are_lost_count_once() {
    let fleet = Fleet::start(2);
    // The first write is the grant of the lease.
    fleet.kv.script_write_faults([
        WriteFault::None,
        WriteFault::ResponseLost,
        WriteFault::RequestLost,
        WriteFault::Refused,
    ]);
    for endpoint in 0..2 {
        fleet.crash(0, endpoint);
    }
    sleep(Duration::from_millis(300)).await;
    assert!(!fleet.is_quarantined(1).await);
    fleet.crash(1, 2);
    fleet.wait_until_all_quarantine().await;
}

/// Guards against a fleet in which each node loses an endpoint when a
/// quarantine ends.
#[tokio::test]
async fn only_one_node_probes_a_quarantined_request() {
    let fleet = Fleet::start(4);
    for endpoint in 0..3 {
        fleet.crash(0, endpoint);
    }
    fleet.wait_until_all_quarantine().await;
    fleet.advance_ms(QuarantineOptions::default().initial_hold_ms);
    let attempts = fleet.nodes.iter().map(|node| node.admit(bad));
    let mut admitted = 0;
    for attempt in attempts {
        admitted += u32::from(attempt.await.is_ok());
    }
    assert_eq!(admitted, 1);
    fleet.crash(2, 7);
    fleet.wait_until_all_quarantine().await;
}

/// Guards against a harmless request that stays quarantined although its probe
/// completed.
#[tokio::test]
async fn a_completed_probe_releases_the_request_everywhere() {
    let fleet = Fleet::start(3);
    for endpoint in 0..3 {
        fleet.crash(0, endpoint);
    }
    fleet.wait_until_all_quarantine().await;
    fleet.advance_ms(QuarantineOptions::default().initial_hold_ms);
    assert!(!fleet.is_quarantined(1).await);
    fleet.nodes[1].record_response(bad, 0);
    fleet.wait_until_all_release().await;
    assert_eq!(fleet.stored().await, 0);
}

/// Guards against probes that other nodes do not know of.
#[tokio::test]
async fn a_request_stays_quarantined_without_the_key_value_service() {
    let fleet = Fleet::start(2);
    for endpoint in 0..3 {
        fleet.crash(0, endpoint);
    }
    fleet.wait_until_all_quarantine().await;
    fleet.kv.set_down(true);
    fleet.advance_ms(QuarantineOptions::default().initial_hold_ms);
    assert!(fleet.is_quarantined(0).await);
    assert!(fleet.is_quarantined(1).await);
}

/// Guards against losing a crash that occurred during an outage of the
/// key-value service.
#[tokio::test]
async fn crashes_during_an_outage_are_written_after_it() {
    let fleet = Fleet::start(2);
    fleet.kv.set_down(true);
    for endpoint in 0..3 {
        fleet.crash(0, endpoint);
    }
    assert!(fleet.is_quarantined(0).await, "by the node's own crashes");
    fleet.kv.set_down(false);
    fleet.wait_until_all_quarantine().await;
}

/// Guards against a write for each request that the loss of a rack
/// interrupts.
#[tokio::test]
async fn the_loss_of_many_endpoints_at_once_writes_nothing() {
    let fleet = Fleet::start(1);
    let ended_at = fleet.clock.unix();
    for endpoint in 0..6 {
        let digest = RequestDigest::of(RequestContent {
            customer: "",
            method: "POST",
            host: "",
            target: "/",
            body: &[endpoint],
        });
        let crash = Crash {
            endpoint: CrashedEndpoint::new(u64::from(endpoint)),
            began_at: ended_at.saturating_sub_ms(500),
            ended_at,
            resumed_after: 0,
            reached: 0,
        };
        fleet.nodes[0].record_crash(digest, crash);
    }
    sleep(Duration::from_millis(400)).await;
    assert_eq!(fleet.stored().await, 0);
}

/// Guards against processes without a watch that lose three endpoints each.
#[tokio::test]
async fn peers_share_quarantined_requests() {
    let fleet = Fleet::start(1);
    for endpoint in 0..3 {
        fleet.crash(0, endpoint);
    }
    while fleet.nodes[0].updates().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    let [near, far] = [0, 1].map(|_| fleet.unwatched());
    near.apply_updates(fleet.nodes[0].updates());
    far.apply_updates(near.updates());
    assert!(far.admit(bad).await.is_err());
    // After the release, stale updates of peers do not restore the record.
    let stale = far.updates();
    fleet.nodes[0].record_response(bad, 0);
    while fleet.stored().await > 0 {
        sleep(Duration::from_millis(5)).await;
    }
    near.apply_updates(fleet.nodes[0].updates());
    near.apply_updates(stale);
    assert!(near.admit(bad).await.is_ok());
    far.apply_updates(near.updates());
    assert!(far.admit(bad).await.is_ok());
}

/// Guards against two processes that restore each other's expired records.
#[tokio::test]
async fn expired_updates_are_ignored() {
    let fleet = Fleet::start(1);
    for endpoint in 0..3 {
        fleet.crash(0, endpoint);
    }
    while fleet.nodes[0].updates().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    let old = fleet.nodes[0].updates();
    fleet.advance_ms(QuarantineOptions::default().retention_ms);
    let other = fleet.unwatched();
    other.apply_updates(old);
    assert!(other.is_empty());
}

/// Guards against poison requests that crash endpoints again after an outage
/// of the key-value service in which leases expire.
#[tokio::test]
async fn a_request_stays_quarantined_when_leases_expire() {
    let mut fleet = Fleet::start(1);
    for endpoint in 0..3 {
        fleet.crash(0, endpoint);
    }
    while fleet.stored().await == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    fleet.kv.step_ms(3_600_000);
    fleet.add();
    fleet.wait_until_all_quarantine().await;
}

/// Guards against records that are never removed.
#[tokio::test(start_paused = true)]
async fn expired_records_are_removed_from_the_key_value_service() {
    let fleet = Fleet::start(3);
    for endpoint in 0..3 {
        fleet.crash(0, endpoint);
    }
    while fleet.stored().await == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    fleet.advance_ms(QuarantineOptions::default().retention_ms);
    while fleet.stored().await > 0 {
        sleep(Duration::from_millis(5)).await;
    }
    fleet.wait_until_all_release().await;
}

/// Guards against a crash that counts only at the node that detected it,
/// because it was correlated with crashes of other endpoints.
#[tokio::test]
async fn a_correlated_crash_is_shared_with_further_evidence() {
    let fleet = Fleet::start(2);
    let ended_at = fleet.clock.unix();
    for endpoint in 10..16 {
        let crash = Crash {
            endpoint: CrashedEndpoint::new(endpoint),
            began_at: ended_at.saturating_sub_ms(100),
            ended_at,
            resumed_after: 0,
            reached: 0,
        };
        fleet.nodes[0].record_crash(bad(), crash);
    }
    sleep(Duration::from_millis(300)).await;
    assert_eq!(fleet.stored().await, 0);
    fleet.crash(1, 1);
    fleet.crash(1, 2);
    fleet.wait_until_all_quarantine().await;
}
