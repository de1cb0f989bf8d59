//! Jobs in the key-value service, including its faults.

mod common;

use std::sync::Arc;

use base::UnixMillis;
use common::{VALUE_BYTES, items, job, key, ledger, result};
use fleet::VersionBinding;
use kv::{Kv, Memory, WriteFault};
use pomeloslip_jobs::{
    BulkFuture, BulkPeers, CounterId, FailedAttempts, ItemCheckpoint,
    ItemResult, JobCheckpoint, JobError, JobKey, JobManifest, NewJob,
    ProcessAttempts, encode_inputs,
};
use yare::parameterized;

#[tokio::test]
async fn a_job_is_kept_with_all_its_inputs() {
    let kv = Memory::default();
    let ledger = ledger(&kv);
    let new = NewJob {
        items: items(50, 500),
        ..job("j", 0)
    };
    let stored = ledger.accept(new.clone()).await.expect("accepted");
    assert!(stored.manifest.input_chunks > 1);
    assert_eq!(stored.manifest.total, 50);
    let read = ledger.read(&key("j")).await.expect("read");
    assert_eq!(read.manifest, stored.manifest);
    let inputs = ledger
        .inputs(&key("j"), &read.manifest)
        .await
        .expect("inputs");
    assert_eq!(inputs, new.items);
}

/// Guards against a job that runs twice. After a lost response the caller
/// submits the job again, to another node, and the second copy is taken for a
/// new job.
#[tokio::test]
async fn a_job_that_is_sent_again_is_the_same_job() {
    let kv = Memory::default();
    let (one, two) = (ledger(&kv), ledger(&kv));
    let first = one.accept(job("j", 3)).await.expect("accepted");
    let again = NewJob {
        submitted_at: base::UnixMillis::new(9_999),
        ..job("j", 3)
    };
    let second = two.accept(again).await.expect("accepted");
    assert_eq!(first.manifest, second.manifest);
}

/// Guards against two faults: a job that was accepted before there were
/// customers is refused when it is submitted again, or one customer gets the
/// job of another. A new job meets a manifest without a customer, and one of
/// another customer, under its id. A missing customer must not count as a
/// difference, and a different one must not be ignored.
#[tokio::test]
async fn a_job_sent_again_has_to_be_of_the_same_customer() {
    let kv = Memory::default();
    let ledger = ledger(&kv);
    let of = |name: &str| Some(name.parse().expect("a name"));
    let old = ledger.accept(job("old", 1)).await.expect("accepted");
    let text = serde_json::to_string(&old.manifest).expect("json");
    assert!(
        !text.contains("customer"),
        "as manifests were before: {text}"
    );
    let again = NewJob {
        customer: of("alama"),
        ..job("old", 1)
    };
    assert!(ledger.accept(again).await.is_ok());
    let owned = NewJob {
        customer: of("alama"),
        ..job("owned", 1)
    };
    ledger.accept(owned.clone()).await.expect("accepted");
    let other = NewJob {
        customer: of("taevakorv"),
        ..owned
    };
    let report = ledger.accept(other).await.expect_err("refused");
    assert_eq!(*report.current_context(), JobError::Conflict);
}

/// An accepted job is stored, whatever happens to the write.
#[parameterized(
    lost_after = { WriteFault::ResponseLost },
    lost_before = { WriteFault::RequestLost },
    refused_once = { WriteFault::Refused },
)]
#[test_macro(tokio::test)]
async fn an_accepted_job_is_there(fault: WriteFault) {
    let kv = Memory::default();
    kv.script_write_faults([fault]);
    let ledger = ledger(&kv);
    ledger.accept(job("j", 3)).await.expect("accepted");
    assert_eq!(
        ledger.read(&key("j")).await.expect("read").manifest.total,
        3
    );
}

/// A refusal reporting that nothing was stored must be true.
#[tokio::test]
async fn nothing_is_stored_without_the_key_value_service() {
    let kv = Memory::default();
    let ledger = ledger(&kv);
    kv.set_down(true);
    let refused = ledger.accept(job("j", 3)).await.expect_err("refused");
    assert_eq!(*refused.current_context(), JobError::NotDone);
    kv.set_down(false);
    let missing = ledger.read(&key("j")).await.expect_err("missing");
    assert_eq!(*missing.current_context(), JobError::Unknown);
}

#[tokio::test]
async fn an_item_that_fits_no_value_is_refused() {
    let kv = Memory::default();
    let large = NewJob {
        items: items(1, common::VALUE_BYTES),
        ..job("j", 0)
    };
    let refused = ledger(&kv).accept(large).await.expect_err("refused");
    assert_eq!(*refused.current_context(), JobError::TooLarge);
}

#[tokio::test]
async fn results_keep_their_positions() {
    let kv = Memory::default();
    let ledger = ledger(&kv);
    let mut stored = ledger.accept(job("j", 4)).await.expect("accepted");
    let none = (CounterId::new(0), &ProcessAttempts::default());
    for numbers in [[2, 0], [3, 1]] {
        let results = numbers.map(result);
        let listed = ledger
            .list(&key("j"), &stored, &numbers, &results, none)
            .await;
        stored = listed.expect("written").expect("no other writer");
    }
    assert_eq!(stored.manifest.listed, [2, 0, 3, 1]);
    assert!(stored.manifest.is_closed());
    // The ledger of another node, with an empty cache.
    let other = common::ledger(&kv);
    let second = other.results(&key("j"), &stored.manifest, 2).await;
    let second = second.expect("results");
    assert_eq!(second, [result(3), result(1)]);
    assert_eq!(stored.manifest.chunk_of(3), Some(2));
    assert_eq!(stored.manifest.chunk_of(4), None);
}

/// Guards against an item listed at two positions. Two nodes that both
/// consider themselves the owner of a job list the same item, and the second
/// write is not compared with the change of the first one.
#[tokio::test]
async fn a_writer_with_a_stale_manifest_gets_the_current_one() {
    let kv = Memory::default();
    let (one, two) = (ledger(&kv), ledger(&kv));
    let before = one.accept(job("j", 2)).await.expect("accepted");
    let none = (CounterId::new(0), &ProcessAttempts::default());
    let first = one.list(&key("j"), &before, &[0], &[result(0)], none).await;
    first.expect("written").expect("listed");
    let second = two.list(&key("j"), &before, &[0], &[result(0)], none).await;
    let now = second.expect("written").expect_err("superseded");
    assert_eq!(now.manifest.listed, [0]);
}

/// Guards against a result listed twice. A write takes effect, its response is
/// lost, and the writer takes this for a write that was not executed and tries
/// again.
#[tokio::test]
async fn a_listing_whose_answer_is_lost_is_found_again() {
    let kv = Memory::default();
    let ledger = ledger(&kv);
    let before = ledger.accept(job("j", 2)).await.expect("accepted");
    kv.script_write_faults([WriteFault::ResponseLost]);
    let none = (CounterId::new(0), &ProcessAttempts::default());
    let listed = ledger
        .list(&key("j"), &before, &[1], &[result(1)], none)
        .await;
    let stored = listed.expect("known").expect("its own write");
    assert_eq!(stored.manifest.listed, [1]);
}

#[tokio::test]
async fn failed_attempts_survive_the_loss_of_a_node() {
    let kv = Memory::default();
    let ledger = ledger(&kv);
    let before = ledger.accept(job("j", 2)).await.expect("accepted");
    let errors = FailedAttempts {
        errors: 2,
        rejections: 0,
    };
    let mut attempts = ProcessAttempts::default();
    attempts.add_failed(1, errors);
    attempts.open(1);
    let counted = (CounterId::new(1), &attempts);
    let listed = ledger.list(&key("j"), &before, &[], &[], counted).await;
    listed.expect("written").expect("listed");
    let read = ledger.read(&key("j")).await.expect("read");
    let stored = read.manifest.attempts.of(CounterId::new(1));
    assert_eq!(stored, Some(&attempts));
    assert_eq!(read.manifest.failed_attempts_at(1), errors);
    assert_eq!(
        read.manifest.failed_attempts_at(0),
        FailedAttempts::default()
    );
    assert!(read.manifest.output_chunks.is_empty());
}

#[tokio::test]
async fn cancelling_a_job_twice_changes_nothing() {
    let kv = Memory::default();
    let ledger = ledger(&kv);
    ledger.accept(job("j", 2)).await.expect("accepted");
    ledger.cancel(&key("j"), None).await.expect("ended");
    let once = ledger.read(&key("j")).await.expect("read");
    ledger.cancel(&key("j"), None).await.expect("ended again");
    let twice = ledger.read(&key("j")).await.expect("read");
    assert_eq!(once, twice);
    assert!(twice.manifest.is_closed());
    let unknown = ledger.cancel(&key("k"), None).await.expect_err("unknown");
    assert_eq!(*unknown.current_context(), JobError::Unknown);
}

#[parameterized(
    empty = { "" },
    slash = { "a/b" },
    space = { "a b" },
    control = { "a\nb" },
    long = { "x123456789x123456789x123456789x123456789x123456789x123456789\
              x123456789x123456789x123456789x123456789x123456789x123456789\
              x123456789" },
)]
fn an_id_that_cannot_be_part_of_a_key_is_refused(text: &str) {
    assert!(text.parse::<pomeloslip_jobs::JobKey>().is_err());
}

#[tokio::test]
async fn a_removed_job_leaves_nothing() {
    let kv = Memory::default();
    let ledger = ledger(&kv);
    let new = NewJob {
        items: items(50, 500),
        ..job("j", 0)
    };
    let accepted = ledger.accept(new).await.expect("accepted");
    let none = (CounterId::new(0), &ProcessAttempts::default());
    let listed = ledger
        .list(&key("j"), &accepted, &[0], &[result(0)], none)
        .await;
    let stored = listed.expect("written").expect("listed");
    ledger.accept(job("other", 1)).await.expect("accepted");
    let stale = ledger.remove(&key("j"), &accepted).await;
    assert!(stale.is_err(), "the manifest has changed since");
    ledger.remove(&key("j"), &stored).await.expect("removed");
    let left = kv.get_prefix("", 0).await.expect("read").kvs;
    let left: Vec<&str> = left.iter().map(|kv| kv.key.as_str()).collect();
    assert_eq!(left, ["bulk/in/other/1000/000000", "jobs/h/other"]);
}

fn checkpoint(number: u32, output: &str) -> ItemCheckpoint {
    ItemCheckpoint {
        number,
        last_id: 7,
        events: 7,
        ran_ms: 900,
        binding: Arc::new(VersionBinding::new(
            "engines",
            "v1".parse().expect("a version"),
        )),
        output: output.to_owned(),
    }
}

fn saved(text: &str, items: Vec<ItemCheckpoint>) -> JobCheckpoint {
    JobCheckpoint {
        job: key(text),
        submitted_at: UnixMillis::new(1_000),
        items,
    }
}

#[tokio::test]
async fn checkpoints_are_read_as_saved_last() {
    let kv = Memory::default();
    let ledger = ledger(&kv);
    let manifest =
        ledger.accept(job("j", 3)).await.expect("accepted").manifest;
    let none = ledger
        .checkpoints(&key("j"), &manifest)
        .await
        .expect("read");
    assert_eq!(none, []);
    for output in ["a", "a\nb"] {
        let items = vec![checkpoint(0, output), checkpoint(2, "")];
        let jobs = [saved("j", items)];
        ledger.save_checkpoints(&jobs).await.expect("saved");
    }
    let read = ledger
        .checkpoints(&key("j"), &manifest)
        .await
        .expect("read");
    assert_eq!(read, [checkpoint(0, "a\nb"), checkpoint(2, "")]);
    let again = JobManifest {
        submitted_at: UnixMillis::new(200_000),
        ..manifest
    };
    let other = ledger.checkpoints(&key("j"), &again).await.expect("read");
    assert_eq!(other, [], "of a job that was sent again after its removal");
}

/// Guards against a node that saves no checkpoint of any job. One job has more
/// unfinished output than a value holds, or all jobs together have more than a
/// call carries, and the key-value service refuses such a call as a whole.
#[tokio::test]
async fn checkpoints_that_do_not_fit_do_not_affect_others() {
    let kv = Memory::default();
    let ledger = ledger(&kv);
    let manifest =
        ledger.accept(job("j", 3)).await.expect("accepted").manifest;
    let long = "x".repeat(VALUE_BYTES / 2);
    let many = |job: usize| {
        let items = (0..3).map(|number| checkpoint(number, &long));
        saved(&format!("j{job}"), items.collect())
    };
    let jobs: Vec<_> = (0..40).map(many).collect();
    ledger.save_checkpoints(&jobs).await.expect("saved");
    for JobCheckpoint { job, items, .. } in &jobs {
        let read = ledger.checkpoints(job, &manifest).await.expect("read");
        assert_eq!(read, items[..1], "{job}");
    }
}

#[tokio::test]
async fn checkpoints_are_removed_with_their_job() {
    let kv = Memory::default();
    let ledger = ledger(&kv);
    let stored = ledger.accept(job("j", 1)).await.expect("accepted");
    let jobs = [saved("j", vec![checkpoint(0, "a")])];
    ledger.save_checkpoints(&jobs).await.expect("saved");
    ledger.remove(&key("j"), &stored).await.expect("removed");
    let left = ledger.checkpoints(&key("j"), &stored.manifest).await;
    assert_eq!(left.expect("read"), []);
}

/// Guards against a job that shows results at other positions than before when
/// it is submitted again long after its removal. A node has cached a chunk of
/// the old job, the new one lists its items in another order, and the key of
/// the chunk contains only the job and the position.
#[tokio::test]
async fn cached_values_of_a_removed_job_are_not_used_for_a_new_one() {
    let kv = Memory::default();
    let ledger = ledger(&kv);
    let none = (CounterId::new(0), &ProcessAttempts::default());
    let mut manifests = Vec::new();
    for (submitted_ms, number) in [(1_000, 0), (200_000, 1)] {
        let new = NewJob {
            submitted_at: UnixMillis::new(submitted_ms),
            ..job("j", 2)
        };
        let stored = ledger.accept(new).await.expect("accepted");
        let results = [result(number)];
        let listed = ledger
            .list(&key("j"), &stored, &[number], &results, none)
            .await;
        let stored = listed.expect("written").expect("listed");
        let read = ledger.results(&key("j"), &stored.manifest, 0).await;
        assert_eq!(read.expect("results"), results);
        ledger.remove(&key("j"), &stored).await.expect("removed");
        manifests.push(stored.manifest);
    }
    assert_eq!(manifests.len(), 2);
}

/// A peer that has one value.
struct OneValue(&'static str, Vec<u8>);

impl BulkPeers for OneValue {
    fn read(&self, _: &JobKey, _: &JobManifest, key: &str) -> BulkFuture {
        let value = Arc::new(self.1.clone());
        let found = key.starts_with(self.0).then_some(value);
        Box::pin(std::future::ready(found))
    }
}

#[tokio::test]
async fn values_are_read_from_a_peer_before_the_key_value_service() {
    let kv = Memory::default();
    let stored = ledger(&kv).accept(job("j", 2)).await.expect("accepted");
    let inputs = encode_inputs(&items(2, 100)).expect("encoded");
    for (prefix, calls) in [("bulk/in/", 0), ("bulk/out/", 1)] {
        let other = Arc::new(OneValue(prefix, inputs.clone()));
        let ledger = ledger(&kv).with_peers(Arc::default(), other);
        let before = kv.counts().reads;
        for _ in 0..2 {
            let read = ledger.inputs(&key("j"), &stored.manifest).await;
            assert_eq!(read.expect("inputs"), items(2, 100));
        }
        assert_eq!(kv.counts().reads - before, calls, "{prefix}");
    }
}

/// Guards against a position of a job that shows one output at one front and
/// another output at the next. A write of results is lost before it takes
/// effect; meanwhile another node lists the same items with the outputs of its
/// own runs. The first node reads the manifest back, finds the expected one
/// and caches its own outputs for its peers. Two manifests that list the same
/// items are equal, so that a manifest alone does not prove whose results were
/// written.
#[tokio::test]
async fn results_listed_by_another_writer_are_not_cached_as_own() {
    let kv = Memory::default();
    let (one, two) = (ledger(&kv), ledger(&kv));
    let stored = one.accept(job("j", 2)).await.expect("accepted");
    let job = key("j");
    let none = (CounterId::new(0), &ProcessAttempts::default());
    let by = |node: &str| {
        let output = format!("by {node}");
        [ItemResult {
            output,
            ..result(0)
        }]
    };
    let (by_one, by_two) = (by("one"), by("two"));
    kv.script_write_faults([WriteFault::RequestLost]);
    let lost = two.list(&job, &stored, &[0], &by_two, none);
    let faster = one.list(&job, &stored, &[0], &by_one, none);
    let (lost, faster) = tokio::join!(lost, faster);
    let manifest = faster.expect("written").expect("the first").manifest;
    assert_eq!(lost.expect("read back").expect("found").manifest, manifest);
    for reader in [one, two, ledger(&kv)] {
        let read = reader.results(&job, &manifest, 0).await.expect("results");
        assert_eq!(read, by_one);
    }
}
