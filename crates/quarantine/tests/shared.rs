//! Several processes that share what they know through the key-value
//! service.

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

/// A clock that a test sets.
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

/// Follows the service for a node, as the feeds of a fleet do.
async fn follow(kv: Memory, node: Quarantine) {
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
        let node = self.alone();
        tokio::spawn(node.clone().run());
        tokio::spawn(follow(self.kv.clone(), node.clone()));
        self.nodes.push(node.clone());
        node
    }

    /// Makes a process that nobody follows the service for.
    fn alone(&self) -> Quarantine {
        let kv: Arc<dyn Kv> = Arc::new(self.kv.clone());
        let options = QuarantineOptions::default();
        Quarantine::new(kv, PREFIX, self.clock.clone(), options)
    }

    fn pass(&self, ms: u64) {
        self.clock.0.fetch_add(ms, Ordering::Relaxed);
    }

    /// Has one node see a crash after a run of 100 ms, now.
    fn crash(&self, node: usize, endpoint: u64) {
        self.pass(1_000);
        let ended_at = self.clock.unix();
        let crash = Crash {
            endpoint: CrashedEndpoint::new(endpoint),
            began_at: ended_at.saturating_sub_ms(100),
            ended_at,
            resumed_after: 0,
            reached: 0,
        };
        self.nodes[node].crashed(bad(), crash);
    }

    async fn is_held(&self, node: usize) -> bool {
        self.nodes[node].admit(bad).await.is_err()
    }

    async fn until_all_hold(&self) {
        let wait = async {
            for node in 0..self.nodes.len() {
                while !self.is_held(node).await {
                    sleep(Duration::from_millis(5)).await;
                }
            }
        };
        let wait = timeout(Duration::from_secs(10), wait).await;
        wait.expect("all nodes hold the request");
    }

    async fn until_all_forget(&self) {
        let wait = async {
            while self.nodes.iter().any(|node| !node.is_empty()) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        let wait = timeout(Duration::from_secs(10), wait).await;
        wait.expect("all nodes forget the request");
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
/// holds a request.
#[tokio::test]
async fn crashes_that_three_nodes_see_hold_a_request_on_all() {
    let fleet = Fleet::start(5);
    for node in 0..3 {
        fleet.crash(node, node as u64);
    }
    fleet.until_all_hold().await;
    assert_eq!(fleet.stored().await, 1);
}

/// Guards against requests that crash three endpoints again after each
/// restart of the fleet.
#[tokio::test]
async fn a_process_that_starts_later_holds_it_too() {
    let mut fleet = Fleet::start(1);
    for endpoint in 0..3 {
        fleet.crash(0, endpoint);
    }
    fleet.until_all_hold().await;
    while fleet.stored().await == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    fleet.add();
    fleet.until_all_hold().await;
}

/// Guards against crashes that are forgotten, or counted twice, as the
/// answer of the service is lost.
#[tokio::test]
async fn writes_whose_answers_are_lost_count_once() {
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
    assert!(!fleet.is_held(1).await);
    fleet.crash(1, 2);
    fleet.until_all_hold().await;
}

/// Guards against a fleet that loses one endpoint a node when a hold ends.
#[tokio::test]
async fn one_node_alone_tries_a_held_request_again() {
    let fleet = Fleet::start(4);
    for endpoint in 0..3 {
        fleet.crash(0, endpoint);
    }
    fleet.until_all_hold().await;
    fleet.pass(QuarantineOptions::default().first_hold_ms);
    let tries = fleet.nodes.iter().map(|node| node.admit(bad));
    let mut admitted = 0;
    for tried in tries {
        admitted += u32::from(tried.await.is_ok());
    }
    assert_eq!(admitted, 1);
    fleet.crash(2, 7);
    fleet.until_all_hold().await;
}

/// Guards against a sound request that stays held though a trial has shown
/// that it is.
#[tokio::test]
async fn an_answer_to_a_trial_clears_the_request_everywhere() {
    let fleet = Fleet::start(3);
    for endpoint in 0..3 {
        fleet.crash(0, endpoint);
    }
    fleet.until_all_hold().await;
    fleet.pass(QuarantineOptions::default().first_hold_ms);
    assert!(!fleet.is_held(1).await);
    fleet.nodes[1].answered(bad, 0);
    fleet.until_all_forget().await;
    assert_eq!(fleet.stored().await, 0);
}

/// Guards against trials that nobody else hears of.
#[tokio::test]
async fn without_the_service_a_held_request_stays_held() {
    let fleet = Fleet::start(2);
    for endpoint in 0..3 {
        fleet.crash(0, endpoint);
    }
    fleet.until_all_hold().await;
    fleet.kv.set_down(true);
    fleet.pass(QuarantineOptions::default().first_hold_ms);
    assert!(fleet.is_held(0).await);
    assert!(fleet.is_held(1).await);
}

/// Guards against a crash that is lost as the service was away when it
/// happened.
#[tokio::test]
async fn what_was_seen_in_an_outage_is_written_after_it() {
    let fleet = Fleet::start(2);
    fleet.kv.set_down(true);
    for endpoint in 0..3 {
        fleet.crash(0, endpoint);
    }
    assert!(fleet.is_held(0).await, "by what the node has seen itself");
    fleet.kv.set_down(false);
    fleet.until_all_hold().await;
}

/// Guards against a write for each request that is cut off when a rack is
/// lost.
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
        fleet.nodes[0].crashed(digest, crash);
    }
    sleep(Duration::from_millis(400)).await;
    assert_eq!(fleet.stored().await, 0);
}

/// Guards against processes that follow nothing and lose three endpoints
/// each.
#[tokio::test]
async fn neighbours_tell_each_other_of_held_requests() {
    let fleet = Fleet::start(1);
    for endpoint in 0..3 {
        fleet.crash(0, endpoint);
    }
    while fleet.nodes[0].news().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    let [near, far] = [0, 1].map(|_| fleet.alone());
    near.take_news(fleet.nodes[0].news());
    far.take_news(near.news());
    assert!(far.admit(bad).await.is_err());
    // Once it is cleared, what others still tell brings it back nowhere.
    let stale = far.news();
    fleet.nodes[0].answered(bad, 0);
    while fleet.stored().await > 0 {
        sleep(Duration::from_millis(5)).await;
    }
    near.take_news(fleet.nodes[0].news());
    near.take_news(stale);
    assert!(near.admit(bad).await.is_ok());
    far.take_news(near.news());
    assert!(far.admit(bad).await.is_ok());
}

/// Guards against two processes that keep a request held for each other
/// after its time.
#[tokio::test]
async fn news_of_what_has_run_out_is_not_taken() {
    let fleet = Fleet::start(1);
    for endpoint in 0..3 {
        fleet.crash(0, endpoint);
    }
    while fleet.nodes[0].news().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    let old = fleet.nodes[0].news();
    fleet.pass(QuarantineOptions::default().kept_ms);
    let other = fleet.alone();
    other.take_news(old);
    assert!(other.is_empty());
}

/// Guards against requests that crash endpoints again after an outage of the
/// service in which leases run out.
#[tokio::test]
async fn a_request_stays_held_when_leases_run_out() {
    let mut fleet = Fleet::start(1);
    for endpoint in 0..3 {
        fleet.crash(0, endpoint);
    }
    while fleet.stored().await == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    fleet.kv.step_ms(3_600_000);
    fleet.add();
    fleet.until_all_hold().await;
}

/// Guards against keys that nobody removes.
#[tokio::test(start_paused = true)]
async fn what_has_run_out_is_removed_from_the_service() {
    let fleet = Fleet::start(3);
    for endpoint in 0..3 {
        fleet.crash(0, endpoint);
    }
    while fleet.stored().await == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    fleet.pass(QuarantineOptions::default().kept_ms);
    while fleet.stored().await > 0 {
        sleep(Duration::from_millis(5)).await;
    }
    fleet.until_all_forget().await;
}

/// Guards against a crash that only the node counts that has seen it, as it
/// came with those of other endpoints.
#[tokio::test]
async fn a_crash_that_came_with_others_is_shared_once_there_is_more() {
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
        fleet.nodes[0].crashed(bad(), crash);
    }
    sleep(Duration::from_millis(300)).await;
    assert_eq!(fleet.stored().await, 0);
    fleet.crash(1, 1);
    fleet.crash(1, 2);
    fleet.until_all_hold().await;
}
