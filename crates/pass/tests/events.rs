//! Splitting a stream at event boundaries.

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

/// Guards against duplicate events: a stream is interrupted, and the endpoint
/// that resumes it starts with an event that was already forwarded, because
/// it counts events from a different position.
#[test]
fn events_that_were_already_forwarded_are_skipped() {
    let mut splitter = EventSplitter::new(Some(2));
    let split = splitter.push(Bytes::from_static(STREAM));
    assert_eq!(&split.events[..], b"id: 3\ndata:\n\n");
    assert_eq!(split.count, 1);
}

/// Guards against a partial event followed by the start of another: an
/// endpoint stops within an event, another endpoint resumes the stream, and
/// the partial event was forwarded as soon as it arrived.
#[test]
fn a_partial_event_is_never_forwarded() {
    let mut splitter = EventSplitter::new(None);
    let first =
        splitter.push(Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda"));
    assert_eq!(&first.events[..], b"id: 1\ndata: a\n\n");
    assert!(splitter.is_inside_event());
    splitter.drop_partial();
    let next = splitter.push(Bytes::from_static(b"id: 2\ndata: b\n\n"));
    assert_eq!(&next.events[..], b"id: 2\ndata: b\n\n");
}
