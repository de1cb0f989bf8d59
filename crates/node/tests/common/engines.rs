//! Engines of one service that are replaced when they crash.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use kv::{Kv, Memory, Op, Txn};
use tokio::time::{Instant, sleep};

use super::{Engine, put};

/// Delay between the crash of an engine and the start of its replacement.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(150);

/// Interval between two checks for crashed engines.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Engines that are replaced after a crash: the crashed engine is removed from
/// the endpoints and a new one with a new id is listed after a delay.
#[derive(Clone)]
pub(crate) struct Engines {
    kv: Memory,
    started: Arc<Mutex<Vec<Arc<Engine>>>>,
    crashes: Arc<Mutex<Vec<Instant>>>,
}

impl Engines {
    pub(crate) async fn start(kv: &Memory, count: usize) -> Self {
        let engines = Self {
            kv: kv.clone(),
            started: Arc::default(),
            crashes: Arc::default(),
        };
        for _ in 0..count {
            let (engine, key) = engines.add().await;
            tokio::spawn(engines.clone().replace(engine, key));
        }
        engines
    }

    async fn add(&self) -> (Arc<Engine>, String) {
        let engine = Arc::new(Engine::start().await);
        let id = {
            let mut started = self.started.lock().expect("lock");
            started.push(engine.clone());
            format!("engine-{}", started.len())
        };
        let key = format!("endpoints/{id}");
        let record = serde_json::to_vec(&engine.record(&id)).expect("json");
        put(&self.kv, &key, record).await;
        (engine, key)
    }

    async fn replace(self, mut engine: Arc<Engine>, mut key: String) {
        loop {
            while !engine.has_crashed() {
                sleep(POLL_INTERVAL).await;
            }
            self.crashes.lock().expect("lock").push(Instant::now());
            sleep(REPLACEMENT_DELAY).await;
            let txn = Txn {
                success: vec![Op::Delete { key }],
                ..Txn::default()
            };
            self.kv.txn(txn).await.expect("deleted");
            (engine, key) = self.add().await;
        }
    }

    /// Returns the engines that have not crashed, oldest first.
    pub(crate) fn alive(&self) -> Vec<Arc<Engine>> {
        let started = self.started.lock().expect("lock");
        let alive = started.iter().filter(|engine| !engine.has_crashed());
        alive.cloned().collect()
    }

    /// Returns the times of the crashes.
    pub(crate) fn crashes(&self) -> Vec<Instant> {
        self.crashes.lock().expect("lock").clone()
    }

    /// Returns the number of started runs of requests whose ids have a prefix.
    pub(crate) fn runs_of(&self, id: &str) -> usize {
        let started = self.started.lock().expect("lock");
        let runs = started.iter().map(|engine| {
            let runs = engine.runs.lock().expect("lock");
            runs.iter().filter(|run| run.starts_with(id)).count()
        });
        runs.sum()
    }
}
