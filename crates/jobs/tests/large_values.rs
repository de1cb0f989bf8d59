//! Jobs whose inputs, results or manifests exceed one value of the key-value
//! service, which rejects larger values.

mod common;

use common::{VALUE_BYTES, items, job, key, ledger};
use indexmap::IndexMap;
use kv::{Kv, Memory, mvcc::Limits};
use pomeloslip_jobs::{
    CounterId, FailedAttempts, ItemInput, ItemResult, ItemState, JobError,
    Ledger, NewJob, ProcessAttempts, StoredManifest,
};

/// Maximum number of operations of a transaction.
const TXN_OPS: usize = 32;

fn limited_kv() -> Memory {
    Memory::with_limits(Limits {
        value_max_bytes: VALUE_BYTES,
        txn_max_ops: TXN_OPS,
        ..Limits::default()
    })
}

fn result(number: u32, output_bytes: usize) -> ItemResult {
    let letter = char::from(b'a' + (number % 26) as u8);
    ItemResult {
        id: format!("item-{number}"),
        state: ItemState::Complete,
        output: letter.to_string().repeat(output_bytes),
    }
}

/// Lists results until the job is closed, as a worker does with the results
/// that have waited for the key-value service. Returns the number of writes.
async fn list_all(
    ledger: &Ledger,
    mut stored: StoredManifest,
    results: &[ItemResult],
) -> (StoredManifest, usize) {
    let job = key("j");
    let no_attempts = (CounterId::new(0), &ProcessAttempts::default());
    let mut writes = 0;
    while !stored.manifest.is_closed() {
        let listed = stored.manifest.listed.len();
        let numbers: Vec<u32> = (0..results.len() as u32).collect();
        let written = ledger.list(
            &job,
            &stored,
            &numbers[listed..],
            &results[listed..],
            no_attempts,
        );
        let written = written.await.expect("not rejected");
        stored = written.expect("no other writer");
        assert!(stored.manifest.listed.len() > listed, "some are listed");
        writes += 1;
    }
    (stored, writes)
}

/// Reads all results at another node.
async fn read_all(kv: &Memory, stored: &StoredManifest) -> Vec<ItemResult> {
    let other = ledger(kv);
    let manifest = &stored.manifest;
    let mut all = Vec::new();
    for first in &manifest.output_chunks {
        let chunk = other.results(&key("j"), manifest, *first).await;
        all.extend(chunk.expect("a listed chunk is there"));
    }
    all
}

/// Guards against results that are never listed: those that pile up during an
/// outage were written as one value, which the key-value service rejects each
/// time.
#[tokio::test]
async fn results_that_exceed_one_value_are_listed() {
    let kv = limited_kv();
    let ledger = ledger(&kv);
    let stored = ledger.accept(job("j", 30)).await.expect("accepted");
    let results: Vec<_> = (0..30).map(|n| result(n, 500)).collect();
    let (stored, writes) = list_all(&ledger, stored, &results).await;
    assert_eq!(writes, 1);
    assert_eq!(read_all(&kv, &stored).await, results);
}

/// Guards against a transaction with more values than the key-value service
/// accepts.
#[tokio::test]
async fn results_that_exceed_one_transaction_are_listed_by_several() {
    let kv = limited_kv();
    let ledger = ledger(&kv);
    let stored = ledger.accept(job("j", 30)).await.expect("accepted");
    let results: Vec<_> = (0..30).map(|n| result(n, 3_000)).collect();
    let (stored, writes) = list_all(&ledger, stored, &results).await;
    assert_eq!(writes, 2);
    assert_eq!(read_all(&kv, &stored).await, results);
}

/// Guards against the loss of a result that is larger than a value by itself,
/// and against values that stay when its job is removed.
#[tokio::test]
async fn a_result_that_exceeds_one_value_is_listed_and_removed() {
    let kv = limited_kv();
    let ledger = ledger(&kv);
    let stored = ledger.accept(job("j", 3)).await.expect("accepted");
    let results = [result(0, 10), result(1, 3 * VALUE_BYTES), result(2, 10)];
    let (stored, _) = list_all(&ledger, stored, &results).await;
    assert_eq!(stored.manifest.output_parts, IndexMap::from([(1, 4)]));
    assert_eq!(read_all(&kv, &stored).await, results);
    let removed = ledger.remove(&key("j"), &stored).await;
    removed.expect("removed");
    assert!(kv.get_prefix("", 0).await.expect("read").kvs.is_empty());
}

/// Guards against a result that is written again and again although no
/// transaction holds it.
#[tokio::test]
async fn a_result_that_exceeds_a_transaction_is_refused_with_its_size() {
    let kv = limited_kv();
    let ledger = ledger(&kv);
    let stored = ledger.accept(job("j", 1)).await.expect("accepted");
    let writes = kv.counts().writes;
    let large = result(0, ledger.max_result_bytes());
    let none = (CounterId::new(0), &ProcessAttempts::default());
    let listed = ledger.list(&key("j"), &stored, &[0], &[large], none).await;
    let report = listed.expect_err("refused");
    assert_eq!(*report.current_context(), JobError::TooLarge);
    assert!(format!("{report:?}").contains("bytes"), "{report:?}");
    assert_eq!(kv.counts().writes, writes);
}

/// Guards against inputs whose encoding is larger than their text: quotation
/// marks take two bytes.
#[tokio::test]
async fn inputs_are_split_by_their_encoded_size() {
    let kv = limited_kv();
    let quotes = |number: usize| ItemInput {
        id: format!("item-{number}"),
        headers: vec![("x-note".to_owned(), "\"".repeat(900))],
        ..ItemInput::default()
    };
    let new = NewJob {
        items: (0..8).map(quotes).collect(),
        ..job("j", 0)
    };
    let items = new.items.clone();
    let ledger = ledger(&kv);
    let stored = ledger.accept(new).await.expect("accepted");
    let read = ledger.inputs(&key("j"), &stored.manifest).await;
    assert_eq!(read.expect("read"), items);
}

/// Guards against a job that is accepted and can never be closed, since the
/// list of its results outgrows a value: all items of the largest job that is
/// accepted fail, and each result is listed by itself.
#[tokio::test]
async fn a_job_whose_manifest_would_exceed_a_value_is_refused() {
    let kv = limited_kv();
    let ledger = ledger(&kv);
    let mut total = 1;
    while ledger.check_size(&job("j", total + 1)).is_ok() {
        total += 1;
    }
    let refused = ledger.accept(job("j", total + 1)).await;
    let report = refused.expect_err("refused");
    assert_eq!(*report.current_context(), JobError::TooLarge);
    assert!(kv.get_prefix("", 0).await.expect("read").kvs.is_empty());
    let mut stored = ledger.accept(job("j", total)).await.expect("accepted");
    let attempts = FailedAttempts {
        errors: u32::MAX,
        rejections: u32::MAX,
    };
    let mut all = ProcessAttempts::default();
    for number in 0..total as u32 {
        all.add_failed(number, attempts);
        all.open(number);
    }
    let counted = (CounterId::new(u32::MAX), &all);
    let job = key("j");
    for number in 0..total as u32 {
        let (numbers, results) = ([number], [result(number, 1)]);
        let written = ledger.list(&job, &stored, &numbers, &results, counted);
        stored = written.await.expect("not rejected").expect("listed");
    }
    assert!(stored.manifest.is_closed());
}

/// Guards against a job that workers keep on disk although the key-value
/// service will reject it: the check needs no call.
#[tokio::test]
async fn the_size_of_a_job_is_checked_without_the_key_value_service() {
    let kv = limited_kv();
    kv.set_down(true);
    let ledger = ledger(&kv);
    let large = NewJob {
        items: items(1, VALUE_BYTES),
        ..job("j", 0)
    };
    let report = ledger.check_size(&large).expect_err("too large");
    assert_eq!(*report.current_context(), JobError::TooLarge);
    ledger.check_size(&job("j", 30)).expect("fits");
}
