//! Tests of the changes that a feed passes on.

use base::Millis;
use kv::{GetReply, KeyValue};

use super::{Feed, Scope};

fn entry(number: usize, state: &str, revision: u64) -> KeyValue {
    KeyValue {
        key: format!("endpoints/{number}"),
        value: format!("{state} {revision}").into_bytes(),
        create_revision: 1,
        mod_revision: revision,
        lease: None,
    }
}

/// Creates a feed whose entries are equivalent if they differ only in the
/// heartbeat after the space.
fn feed() -> Feed {
    Feed::new("endpoints/", Scope::All, "reader", |before, after| {
        let state = |kv: &KeyValue| {
            kv.value
                .split(|byte| *byte == b' ')
                .next()
                .map(<[u8]>::to_vec)
        };
        state(before) == state(after)
    })
}

fn listing(all: Vec<KeyValue>, revision: u64) -> GetReply {
    GetReply { revision, kvs: all }
}

/// Guards against heartbeats that are passed on: every endpoint renews its
/// entry each second and a reader lists them. When each write counted as a
/// change, each node received 600 kilobytes a second with three thousand
/// unchanged endpoints.
#[test]
fn heartbeats_of_endpoints_are_not_passed_on() {
    for size in [10, 1_000] {
        let feed = feed();
        let all = |revision| {
            (0..size).map(|at| entry(at, "ready", revision)).collect()
        };
        feed.replace(listing(all(5), 5), Millis::new(100));
        let content_version = feed.status().content_version;
        feed.replace(listing(all(9), 9), Millis::new(200));
        let delta = feed.changes_since(5);
        assert_eq!(delta.items.len(), 0, "of {size}");
        assert_eq!(delta.revision, 9);
        assert_eq!(delta.fresh_at, Some(Millis::new(200)));
        assert_eq!(feed.status().content_version, content_version);
    }
}

#[test]
fn a_change_among_heartbeats_is_passed_on_alone() {
    let feed = feed();
    let mut all: Vec<KeyValue> =
        (0..10).map(|at| entry(at, "ready", 5)).collect();
    feed.replace(listing(all.clone(), 5), Millis::new(100));
    all = (0..9).map(|at| entry(at, "ready", 9)).collect();
    all[3] = entry(3, "draining", 9);
    feed.replace(listing(all, 9), Millis::new(200));
    let delta = feed.changes_since(5);
    let keys: Vec<&str> =
        delta.items.iter().map(|kv| kv.key.as_str()).collect();
    assert_eq!(keys, ["endpoints/3"]);
    assert_eq!(delta.deleted, [("endpoints/9".to_owned(), 9)]);
}

/// Guards against a node that queries two readers alternately and misses a
/// change: one reader started later and saw an unchanged entry at a later
/// write, so the two name different revisions for the same state.
#[test]
fn readers_with_different_histories_agree_on_changes() {
    let (early, late, node) = (feed(), feed(), feed());
    early.replace(listing(vec![entry(1, "ready", 5)], 5), Millis::new(1));
    node.merge(early.all());
    late.replace(listing(vec![entry(1, "ready", 7)], 7), Millis::new(2));
    node.merge(late.changes_since(node.status().revision));
    let drains = vec![entry(1, "draining", 8)];
    early.replace(listing(drains.clone(), 9), Millis::new(3));
    late.replace(listing(drains, 9), Millis::new(3));
    node.merge(early.changes_since(node.status().revision));
    assert_eq!(node.all().items[0].value, b"draining 8");
    node.merge(late.changes_since(node.status().revision));
    assert_eq!(node.all().items[0].value, b"draining 8");
}

#[test]
fn an_older_response_does_not_restore_deleted_keys() {
    let feed = feed();
    feed.replace(listing(vec![entry(1, "ready", 5)], 5), Millis::new(1));
    let before = feed.all();
    feed.replace(listing(Vec::new(), 6), Millis::new(2));
    feed.merge(before);
    assert!(feed.all().items.is_empty());
}

/// Guards against a copy of a job that stays on a worker's disk long after the
/// job is entered and done. One of its two readers is disconnected, and the
/// worker reads the key-value service itself once, at a revision that writes
/// of other keys have reached. The other reader stays at an earlier revision
/// while none of the followed keys changes, and its confirmations were
/// ignored.
#[test]
fn a_reader_at_an_earlier_revision_confirms_what_is_known() {
    let (reader, node) = (feed(), feed());
    reader.replace(listing(vec![entry(1, "ready", 5)], 5), Millis::new(10));
    node.replace(listing(vec![entry(1, "ready", 5)], 9), Millis::new(20));
    reader.apply(Vec::new(), 5, Millis::new(900));
    node.merge(reader.changes_since(node.status().revision));
    assert_eq!(node.status().fresh_at, Some(Millis::new(900)));
    assert_eq!(node.status().revision, 9);
    assert_eq!(node.all().items.len(), 1);
}

/// Guards against changes that are skipped because this node has written a key
/// after them, and against an own write that an older read reverts.
#[test]
fn an_own_write_is_passed_on_and_ends_no_page() {
    let feed = feed();
    feed.replace(listing(vec![entry(1, "ready", 5)], 5), Millis::new(100));
    feed.record_put(entry(2, "held", 9));
    for max_changes in [1, 2, 10] {
        let delta = feed.page(0, max_changes, Scope::All);
        assert_eq!(delta.revision, 5, "pages of {max_changes}");
    }
    let delta = feed.changes_since(5);
    assert_eq!((delta.revision, delta.items.len()), (5, 1));
    let older = vec![entry(1, "ready", 5), entry(3, "ready", 7)];
    feed.replace(listing(older, 7), Millis::new(200));
    let keys: Vec<String> = feed
        .changes_since(5)
        .items
        .into_iter()
        .map(|kv| kv.key)
        .collect();
    assert_eq!(keys, ["endpoints/3", "endpoints/2"]);
    feed.record_delete("endpoints/2".to_owned(), 11);
    assert_eq!(
        feed.changes_since(7).deleted,
        [("endpoints/2".to_owned(), 11)]
    );
}
