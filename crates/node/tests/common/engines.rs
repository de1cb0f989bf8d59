//! Engines of one service, each of which is replaced when it crashes.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use kv::{Kv, Memory, Op, Txn};
use tokio::time::{Instant, sleep};

use super::{Engine, put};

/// Time between the crash of an engine and the start of its successor.
const REPLACED_AFTER: Duration = Duration::from_millis(150);

/// Time between two looks for engines that have crashed.
const LOOK: Duration = Duration::from_millis(10);

/// Engines under changing ids; each one that crashes is gone from the list
/// of endpoints, and another one is listed, after a moment.
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
                sleep(LOOK).await;
            }
            self.crashes.lock().expect("lock").push(Instant::now());
            sleep(REPLACED_AFTER).await;
            let txn = Txn {
                success: vec![Op::Delete { key }],
                ..Txn::default()
            };
            self.kv.txn(txn).await.expect("deleted");
            (engine, key) = self.add().await;
        }
    }

    /// Returns the engines that have not crashed, the oldest first.
    pub(crate) fn alive(&self) -> Vec<Arc<Engine>> {
        let started = self.started.lock().expect("lock");
        let alive = started.iter().filter(|engine| !engine.has_crashed());
        alive.cloned().collect()
    }

    /// Returns when engines have crashed.
    pub(crate) fn crashes(&self) -> Vec<Instant> {
        self.crashes.lock().expect("lock").clone()
    }

    /// Returns how many runs began of requests whose ids start so.
    pub(crate) fn runs_of(&self, id: &str) -> usize {
        let started = self.started.lock().expect("lock");
        let runs = started.iter().map(|engine| {
            let runs = engine.runs.lock().expect("lock");
            runs.iter().filter(|run| run.starts_with(id)).count()
        });
        runs.sum()
    }
}
