//! Validation of load datagrams.

use fleet::{Endpoint, EndpointRecord, EndpointState, IncarnationKey};
use fuzz::{altered_bytes, altered_json, config};
use jobs::ReportVersion;
use proptest::prelude::*;
use yare::parameterized;

use super::{Kind, LoadUpdate, MAX_COUNTS, VERSION};

fn incarnation() -> IncarnationKey {
    let endpoint = Endpoint::new(EndpointRecord {
        id: "e".to_owned(),
        started_at: None,
        version: None,
        address: ([127, 0, 0, 1], 80).into(),
        service: "engines".to_owned(),
        failure_domain: "east".to_owned(),
        slots: 8,
        state: EndpointState::Ready,
    });
    endpoint.incarnation_key()
}

fn update(counts: Vec<(IncarnationKey, u32)>) -> LoadUpdate {
    LoadUpdate::new(
        Kind::Own,
        "front-1",
        ReportVersion::default(),
        true,
        counts,
    )
}

#[test]
fn an_update_is_read_as_it_was_written() {
    let sent = update(vec![(incarnation(), 3)]);
    let read = LoadUpdate::decode(&sent.encode()).expect("an update");
    assert_eq!(read, sent);
}

#[test]
fn the_largest_update_fits_a_packet() {
    let sent = update(vec![(incarnation(), 99); MAX_COUNTS]);
    assert!(sent.encode().len() < 1_400);
}

/// Guards against unvalidated datagrams, which could corrupt a worker's counts
/// or crash it.
#[parameterized(
    empty = { b"" },
    no_json = { b"\xff\x00load" },
    another_message = { br#"{"hello":1}"# },
    cut_off = { br#"{"version":2,"kind":"own","node":"f"# },
    a_field_too_many = {
        br#"{"version":2,"kind":"own","node":"f","stamp":{"started_at":1,
        "number":1},"whole":true,"counts":[],"more":1}"#
    },
    a_negative_count = {
        br#"{"version":2,"kind":"own","node":"f","stamp":{"started_at":1,
        "number":1},"whole":true,"counts":[[1,-1]]}"#
    },
    a_count_out_of_range = {
        br#"{"version":2,"kind":"own","node":"f","stamp":{"started_at":1,
        "number":1},"whole":true,"counts":[[1,4294967295]]}"#
    },
    a_later_version = {
        br#"{"version":3,"kind":"own","node":"f","stamp":{"started_at":1,
        "number":1},"whole":true,"counts":[]}"#
    },
    an_unknown_kind = {
        br#"{"version":2,"kind":"all","node":"f","stamp":{"started_at":1,
        "number":1},"whole":true,"counts":[]}"#
    },
)]
fn invalid_updates_are_refused(bytes: &[u8]) {
    assert!(LoadUpdate::decode(bytes).is_err());
}

#[test]
fn more_counts_than_a_datagram_holds_are_refused() {
    let sent = update(vec![(incarnation(), 1); MAX_COUNTS + 1]);
    assert!(LoadUpdate::decode(&sent.encode()).is_err());
}

/// Truncated updates are refused; updates with a flipped bit are refused or
/// decoded as another valid update. None causes a panic.
#[test]
fn damaged_updates_do_no_harm() {
    let bytes = update(vec![(incarnation(), 3)]).encode();
    for end in 0..bytes.len() {
        assert!(LoadUpdate::decode(&bytes[..end]).is_err());
    }
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut damaged = bytes.clone();
            damaged[at] ^= 1 << bit;
            if let Ok(read) = LoadUpdate::decode(&damaged) {
                assert!(read.counts().len() <= MAX_COUNTS);
                assert_eq!(read.version, VERSION);
            }
        }
    }
}

fn altered_update() -> impl Strategy<Value = Vec<u8>> {
    let valid = update(vec![(incarnation(), 3)]).encode();
    let text = String::from_utf8(valid).expect("text");
    prop_oneof![
        3 => altered_json(&text),
        1 => altered_bytes(text.as_bytes()),
    ]
}

proptest! {
    #![proptest_config(config(3_000))]

    /// Guards against a datagram of another program that crashes a worker, or
    /// claims more requests than a front can have.
    #[test]
    fn altered_updates_are_within_bounds_or_refused(bytes in altered_update()) {
        if let Ok(update) = LoadUpdate::decode(&bytes) {
            prop_assert!(update.counts().len() <= MAX_COUNTS);
            let max = update.counts().iter().map(|(_, count)| *count).max();
            prop_assert!(max.unwrap_or(0) <= super::MAX_COUNT);
        }
    }
}
