//! Cutting a stream at the ends of events.

use bytes::Bytes;
use pomeloslip_pass::EventSplitter;
use yare::parameterized;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata:\n\n";

#[parameterized(
    byte_by_byte = { 1 },
    threes = { 3 },
    sevens = { 7 },
    whole = { 1_000 },
)]
fn events_are_the_same_however_they_arrive(size: usize) {
    let mut splitter = EventSplitter::new(None);
    let mut all = Vec::new();
    let mut count = 0;
    for chunk in STREAM.chunks(size) {
        let split = splitter.push(Bytes::copy_from_slice(chunk));
        assert!(split.events.is_empty() || split.events.ends_with(b"\n\n"));
        all.extend_from_slice(&split.events);
        count += split.count;
    }
    assert_eq!(all, STREAM);
    assert_eq!(count, 3);
    assert_eq!(splitter.last_id(), Some(3));
    assert!(!splitter.is_inside_event());
}

/// Symptom: a caller gets one event twice. Events: a stream breaks, another
/// endpoint takes it up and begins with an event that was passed on already.
/// Cause: the endpoint counted from another place.
#[test]
fn events_that_were_passed_on_are_left_out() {
    let mut splitter = EventSplitter::new(Some(2));
    let split = splitter.push(Bytes::from_static(STREAM));
    assert_eq!(&split.events[..], b"id: 3\ndata:\n\n");
    assert_eq!(split.count, 1);
}

/// Symptom: a caller gets half an event, then the start of another. Events:
/// an endpoint stops inside an event, another one goes on. Cause: what
/// arrived of the event was passed on at once.
#[test]
fn half_an_event_is_never_passed_on() {
    let mut splitter = EventSplitter::new(None);
    let first =
        splitter.push(Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda"));
    assert_eq!(&first.events[..], b"id: 1\ndata: a\n\n");
    assert!(splitter.is_inside_event());
    splitter.drop_partial();
    let next = splitter.push(Bytes::from_static(b"id: 2\ndata: b\n\n"));
    assert_eq!(&next.events[..], b"id: 2\ndata: b\n\n");
}
