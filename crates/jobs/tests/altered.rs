//! Altered records of jobs, as read from the key-value service, from disks and
//! from other nodes.
//!
//! Guards against a node that panics, or lists results that are none, because
//! a record is truncated or was written by another program.

use std::sync::Arc;

use base::UnixMillis;
use fleet::{BatchDeadlines, VersionBinding};
use fuzz::{altered_bytes, altered_json, config};
use indexmap::IndexMap;
use pomeloslip_jobs::{
    AttemptCounts, CounterId, FailedAttempts, ItemCheckpoint, ItemInput,
    ItemResult, ItemState, JobManifest, NewJob, ProcessAttempts,
    decode_checkpoints, decode_inputs, decode_manifest, decode_new_job,
    decode_results, encode_checkpoints, encode_inputs, encode_manifest,
    encode_new_job, encode_results,
};
use proptest::prelude::*;

fn manifest() -> Vec<u8> {
    let manifest = JobManifest {
        submitted_at: UnixMillis::new(1_000),
        host: "a.example".to_owned(),
        path: "/batch/1".to_owned(),
        total: 5,
        input_chunks: 1,
        listed: vec![2, 0, 4],
        output_chunks: vec![0, 2],
        output_parts: IndexMap::from([(2, 3)]),
        failed_attempts: IndexMap::from([(1, FailedAttempts::default())]),
        attempts: counted(),
        reassigned: true,
        cancelled: false,
        owner: "worker-1".to_owned(),
        due_at: UnixMillis::new(19_000),
        give_up_at: UnixMillis::new(61_000),
        customer: None,
    };
    encode_manifest(&manifest).expect("encoded")
}

fn counted() -> AttemptCounts {
    let mut attempts = ProcessAttempts::default();
    attempts.add_failed(
        3,
        FailedAttempts {
            errors: 2,
            rejections: 0,
        },
    );
    attempts.open(1);
    let mut counts = AttemptCounts::default();
    counts.set(CounterId::new(7), attempts);
    counts
}

fn items() -> Vec<ItemInput> {
    let item = |id: &str, body: &[u8]| ItemInput {
        id: id.to_owned(),
        path: "/p".to_owned(),
        headers: vec![("x-model".to_owned(), "m".to_owned())],
        body: body.to_vec(),
        tokens: 9,
        config_version: Some(3),
    };
    vec![item("a", &[0, 255]), item("b", b""), item("c", b"hello")]
}

fn new_job() -> Vec<u8> {
    let job = NewJob {
        key: "7c41".parse().expect("a key"),
        host: "a.example".to_owned(),
        path: "/batch/1".to_owned(),
        submitted_at: UnixMillis::new(1_000),
        terms: BatchDeadlines {
            due_in_ms: 18_000,
            give_up_in_ms: 60_000,
        },
        owner: "worker-1".to_owned(),
        customer: None,
        items: items(),
    };
    encode_new_job(&job).expect("encoded")
}

fn results() -> Vec<u8> {
    let result = |id: &str, output: &str| ItemResult {
        id: id.to_owned(),
        state: ItemState::Complete,
        output: output.to_owned(),
    };
    let results = [result("a", "x\ny"), result("b", ""), result("c", "ä")];
    encode_results(&results).expect("encoded")
}

fn checkpoints() -> Vec<u8> {
    let items = [1, 4].map(|number| ItemCheckpoint {
        number,
        last_id: 12,
        events: 12,
        ran_ms: 300,
        binding: Arc::new(VersionBinding::new(
            "engines",
            "v1".parse().expect("a version"),
        )),
        output: "one\ntwo".to_owned(),
    });
    encode_checkpoints(&items).expect("encoded")
}

/// Returns manifests altered as JSON and as bytes.
fn altered_manifest() -> impl Strategy<Value = Vec<u8>> {
    let text = String::from_utf8(manifest()).expect("text");
    prop_oneof![
        3 => altered_json(&text),
        1 => altered_bytes(text.as_bytes()),
    ]
}

proptest! {
    #![proptest_config(config(3_000))]

    #[test]
    fn altered_manifests_can_be_used_or_are_refused(
        bytes in altered_manifest(),
        after in any::<u32>(),
    ) {
        let Ok(manifest) = decode_manifest(&bytes) else {
            return Ok(());
        };
        manifest.is_closed();
        prop_assert!(manifest.open_items() <= manifest.total);
        for position in [0, 1, 2, 3, after, u32::MAX] {
            if let Some(first) = manifest.chunk_of(position) {
                prop_assert!(first <= position, "{manifest:?}");
            }
        }
    }

    #[test]
    fn altered_inputs_are_refused_or_keep_their_bytes(
        bytes in altered_bytes(&encode_inputs(&items()).expect("encoded")),
    ) {
        if let Ok(items) = decode_inputs(&bytes) {
            let body_bytes: usize =
                items.iter().map(|item| item.body.len()).sum();
            prop_assert!(body_bytes <= bytes.len());
        }
    }

    #[test]
    fn altered_new_jobs_are_decoded_or_refused(
        bytes in altered_bytes(&new_job()),
    ) {
        let _ = decode_new_job(&bytes);
    }

    #[test]
    fn altered_results_are_decoded_or_refused(
        bytes in altered_bytes(&results()),
    ) {
        let _ = decode_results(&bytes);
    }

    #[test]
    fn altered_checkpoints_are_decoded_or_refused(
        bytes in altered_bytes(&checkpoints()),
    ) {
        let _ = decode_checkpoints(&bytes);
    }

    /// Guards against results of which the last is short because the record
    /// was truncated.
    #[test]
    fn truncated_records_are_refused(share in 0.0..1.0_f64) {
        let cut = |bytes: Vec<u8>| {
            let length = (bytes.len() as f64 * share) as usize;
            bytes[..length].to_vec()
        };
        prop_assert!(decode_results(&cut(results())).is_err());
        prop_assert!(decode_checkpoints(&cut(checkpoints())).is_err());
        prop_assert!(decode_new_job(&cut(new_job())).is_err());
        let inputs = encode_inputs(&items()).expect("encoded");
        prop_assert!(decode_inputs(&cut(inputs)).is_err());
    }
}
