//! Renewals of grants beside an entry that is silent.
#![allow(clippy::unwrap_used)]

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use base::{Incarnation, Revision, VmId};
use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use obs::Metrics;
use pomeloslip_companion::Companion;
use serde_json::json;
use standin::engine::{Engine, EngineSettings};
use wire::{
    EntryHandler, Handlers, Secrets, Server,
    message::{ConfigText, Identity, Item, ItemResult, Pull, PullReply},
};

/// Time to live of the grants.
const TTL: Duration = Duration::from_millis(1_500);

/// Time for which the renewals are observed.
const OBSERVED: Duration = Duration::from_millis(4_500);

/// Timeout for expected events, long enough for slow machines.
const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

/// An entry that grants items.
struct Granting {
    /// Grants of its items that are not granted yet.
    open: Mutex<VecDeque<u64>>,
    /// Whether it answers no pull that renews a grant.
    is_silent: bool,
    /// When the first grant was made and renewed.
    renewed: Mutex<Vec<Instant>>,
}

impl Granting {
    fn new(grants: std::ops::Range<u64>, is_silent: bool) -> Arc<Self> {
        Arc::new(Self {
            open: Mutex::new(grants.collect()),
            is_silent,
            renewed: Mutex::default(),
        })
    }

    fn renewals(&self) -> usize {
        self.renewed.lock().unwrap().len()
    }

    fn longest_gap(&self) -> Duration {
        let mut times = self.renewed.lock().unwrap().clone();
        times.push(Instant::now());
        let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
        gaps.max().unwrap()
    }
}

struct FakeEntry(Arc<Granting>);

impl EntryHandler for FakeEntry {
    fn pull(&self, pull: Pull) -> BoxFuture<'static, PullReply> {
        let mut open = self.0.open.lock().unwrap();
        let count = open.len().min(pull.capacity as usize);
        let items: Vec<Item> = open.drain(..count).map(item).collect();
        let is_renewed = !items.is_empty() || !pull.running.is_empty();
        if is_renewed {
            self.0.renewed.lock().unwrap().push(Instant::now());
        }
        let is_answered = !self.0.is_silent || pull.running.is_empty();
        async move {
            if !is_answered {
                std::future::pending::<()>().await;
            }
            PullReply {
                items,
                revoked: vec![],
                next_in_ms: 50,
            }
        }
        .boxed()
    }

    fn results(&self, results: Vec<ItemResult>) -> BoxFuture<'static, u32> {
        let count = results.len() as u32;
        async move { count }.boxed()
    }

    fn leaving(&self, _: VmId, _: Incarnation) {}

    fn config(&self, _: Revision) -> Option<ConfigText> {
        None
    }
}

/// Returns an item that runs for longer than the test.
fn item(grant: u64) -> Item {
    let body = json!({
        "model": "korv-lm",
        "max_tokens": 1_000,
        "messages": [{"role": "user", "content": "[[slow 1000]]"}],
    });
    Item {
        grant,
        partition: 1,
        fence: 1,
        job: "job-1".parse().unwrap(),
        index: grant as u32,
        attempt: 0,
        customer: "taevakorv".parse().unwrap(),
        path: "/v1/chat/completions".to_owned(),
        body: Bytes::from(body.to_string()),
        expires_in_ms: TTL.as_millis() as u32,
        due_unix_ms: u64::MAX,
    }
}

async fn serve(entry: &Arc<Granting>) -> Server {
    let handlers = Handlers {
        entry: Some(Arc::new(FakeEntry(entry.clone()))),
        ..Handlers::default()
    };
    let identity = Identity {
        role: "entry".to_owned(),
        vm: "entry-1".parse().unwrap(),
        incarnation: Incarnation::new(1),
        failure_domain: "domain-1".parse().unwrap(),
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = wire::serve(any, identity, Secrets::default(), handlers);
    server.await.unwrap()
}

async fn until(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(EVENT_TIMEOUT, wait).await.unwrap();
}

/// Guards against items that run twice because another entry was silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_entry_delays_no_renewal_at_another() {
    let sound = Granting::new(0..0, false);
    let silent = Granting::new(100..101, true);
    let servers = [serve(&sound).await, serve(&silent).await];
    let engine = Engine::start(EngineSettings::default()).await.unwrap();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = serde_json::from_value(json!({
        "role": "companion",
        "vm": "engine-1",
        "failure_domain": "domain-1",
        "listen": any,
        "peer_listen": any,
        "entries": servers.each_ref().map(Server::address),
        "endpoint": {
            "name": "korv-lm-1",
            "pool": "korv-lm",
            "kind": "engine",
            "address": engine.url(),
            "models": ["korv-lm"],
            "max_running": 2,
            "batch_max_running": 2,
        },
    }))
    .unwrap();
    let companion = Companion::start(&settings, Metrics::default());
    let companion = companion.await.unwrap();
    until(|| silent.renewals() > 0).await;
    // More than the companion asks for: with free capacity its pulls renew
    // the grants as well.
    sound.open.lock().unwrap().extend(1..100);
    until(|| sound.renewals() > 0 && silent.renewals() > 1).await;
    tokio::time::sleep(OBSERVED).await;
    let gap = sound.longest_gap();
    assert!(gap < TTL, "{gap:?}");
    companion.stop().await;
    engine.stop().await;
}
