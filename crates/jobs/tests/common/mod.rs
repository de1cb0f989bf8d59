//! Test helpers: a ledger over an in-memory key-value service.

use std::sync::Arc;

use base::{SystemClock, UnixMillis, timer::Timer};
use fleet::BatchDeadlines;
use kv::Memory;
use pomeloslip_jobs::{
    ItemInput, ItemResult, ItemState, JobKey, Ledger, NewJob,
};

/// Maximum size of a value in bytes; small, so that inputs take several
/// chunks.
pub(crate) const VALUE_BYTES: usize = 4_096;

pub(crate) fn ledger(kv: &Memory) -> Ledger {
    let timer = Timer::new(Arc::new(SystemClock::new()));
    tokio::spawn(timer.clone().drive());
    Ledger::new(Arc::new(kv.clone()), timer, VALUE_BYTES)
}

pub(crate) fn key(text: &str) -> JobKey {
    text.parse().expect("a key")
}

pub(crate) fn items(count: usize, body_bytes: usize) -> Vec<ItemInput> {
    (0..count)
        .map(|number| ItemInput {
            id: format!("item-{number}"),
            path: "/batch/1".to_owned(),
            headers: vec![("x-model".to_owned(), "m".to_owned())],
            body: vec![number as u8; body_bytes],
            tokens: 100,
            config_version: Some(3),
        })
        .collect()
}

pub(crate) fn job(text: &str, count: usize) -> NewJob {
    NewJob {
        key: key(text),
        host: "a.example".to_owned(),
        path: "/batch/".to_owned(),
        submitted_at: UnixMillis::new(1_000),
        terms: BatchDeadlines {
            due_in_ms: 10_000,
            give_up_in_ms: 60_000,
        },
        owner: "worker-1".to_owned(),
        customer: None,
        items: items(count, 100),
    }
}

#[allow(dead_code)]
pub(crate) fn result(number: u32) -> ItemResult {
    ItemResult {
        id: format!("item-{number}"),
        state: ItemState::Complete,
        output: format!("output {number}"),
    }
}
