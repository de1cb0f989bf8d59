//! A seeded model: several writers list the results of one job while writes
//! are refused, or lost before or after they take effect. The test checks the
//! guarantees to callers: each item is at one position, and a position never
//! shows another result than the one it was first seen with.

mod common;

use std::sync::Arc;

use common::{job, key, ledger, result};
use kv::{Memory, WriteFault};
use pomeloslip_jobs::{
    CounterId, ItemResult, Ledger, NoPeers, ProcessAttempts, StoredManifest,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const ITEMS: u32 = 12;
const SEEDS: u64 = 400;

/// A writer with the manifest that it knows, which may be stale.
struct Writer {
    ledger: Ledger,
    known: StoredManifest,
}

fn fault(random: &mut StdRng) -> WriteFault {
    match random.random_range(0..10) {
        0 => WriteFault::Refused,
        1 => WriteFault::RequestLost,
        2 | 3 => WriteFault::ResponseLost,
        _ => WriteFault::None,
    }
}

async fn read_all(
    ledger: &Ledger,
    manifest: &StoredManifest,
) -> Vec<ItemResult> {
    let mut all = Vec::new();
    for first in &manifest.manifest.output_chunks {
        let chunk =
            ledger.results(&key("j"), &manifest.manifest, *first).await;
        all.extend(chunk.expect("a listed chunk is there"));
    }
    all
}

/// Runs one seed; returns an error if the listing violates a guarantee.
async fn play(seed: u64, fenced: bool) -> Result<(), String> {
    let mut random = StdRng::seed_from_u64(seed);
    let kv = Memory::default();
    let first = ledger(&kv);
    let known = first.accept(job("j", ITEMS as usize)).await;
    let known = known.expect("accepted");
    let mut writers: Vec<Writer> = (0..3)
        .map(|_| Writer {
            ledger: ledger(&kv),
            known: known.clone(),
        })
        .collect();
    let mut seen: Vec<ItemResult> = Vec::new();
    for _ in 0..40 {
        let at = random.random_range(0..writers.len());
        let writer = &mut writers[at];
        if random.random_bool(0.3) {
            let read = writer.ledger.read(&key("j")).await;
            writer.known = read.expect("read");
        }
        let numbers: Vec<u32> = (0..ITEMS)
            .filter(|n| !writer.known.manifest.listed.contains(n))
            .filter(|_| random.random_bool(0.3))
            .collect();
        if numbers.is_empty() {
            continue;
        }
        if !fenced {
            // The injected fault: the write is compared with the current
            // revision, not with the revision that the writer's decision is
            // based on.
            let now = writer.ledger.read(&key("j")).await.expect("read");
            writer.known.revision = now.revision;
        }
        // Two runs of one item may produce different outputs.
        let by_writer = |number: &u32| {
            let plain = result(*number);
            let output = format!("{} by writer {at}", plain.output);
            ItemResult { output, ..plain }
        };
        let results: Vec<ItemResult> = numbers.iter().map(by_writer).collect();
        kv.script_write_faults([fault(&mut random)]);
        let listed = writer
            .ledger
            .list(
                &key("j"),
                &writer.known,
                &numbers,
                &results,
                (CounterId::new(at as u32), &ProcessAttempts::default()),
            )
            .await;
        if let Ok(Ok(stored) | Err(stored)) = listed {
            writer.known = stored;
        }
        // A reader with an empty cache sees the content of the key-value
        // service.
        let reader =
            first.clone().with_peers(Arc::default(), Arc::new(NoPeers));
        let now = check(&reader, &mut seen).await?;
        for writer in &writers {
            let kept = read_all(&writer.ledger, &now).await;
            if kept != seen {
                return Err(
                    "a writer caches values that were not written".to_owned()
                );
            }
        }
    }
    Ok(())
}

async fn check(
    ledger: &Ledger,
    seen: &mut Vec<ItemResult>,
) -> Result<StoredManifest, String> {
    let now = ledger.read(&key("j")).await.expect("read");
    let all = read_all(ledger, &now).await;
    if all.len() != now.manifest.listed.len() {
        return Err("manifest and chunks disagree".to_owned());
    }
    if !all.starts_with(seen) {
        return Err("the result of a position has changed".to_owned());
    }
    let mut ids: Vec<&str> = all.iter().map(|r| r.id.as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    if ids.len() != all.len() {
        return Err("an item is listed at two positions".to_owned());
    }
    *seen = all;
    Ok(now)
}

#[tokio::test]
async fn writers_that_race_and_lose_answers_list_each_item_once() {
    for seed in 0..SEEDS {
        if let Err(wrong) = play(seed, true).await {
            panic!("seed {seed}: {wrong}");
        }
    }
}

/// Checks that the model detects the fault that it is made for.
#[tokio::test]
async fn a_write_without_its_condition_is_found() {
    let mut found = 0;
    for seed in 0..20 {
        found += u32::from(play(seed, false).await.is_err());
    }
    assert!(found > 0, "no seed of 20 shows the planted fault");
}
