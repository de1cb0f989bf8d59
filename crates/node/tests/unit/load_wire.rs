//! Which datagrams are heeded.

use fleet::{Endpoint, EndpointRecord, EndpointState, IncarnationKey};
use jobs::ReportVersion;
use yare::parameterized;

use super::{COUNTS_MOST, Kind, LoadUpdate, VERSION};

fn life() -> IncarnationKey {
    let endpoint = Endpoint::new(EndpointRecord {
        id: "e".to_owned(),
        started_at: None,
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
    let sent = update(vec![(life(), 3)]);
    let read = LoadUpdate::decode(&sent.encode()).expect("an update");
    assert_eq!(read, sent);
}

#[test]
fn the_largest_update_fits_a_packet() {
    let sent = update(vec![(life(), 99); COUNTS_MOST]);
    assert!(sent.encode().len() < 1_400);
}

/// Symptom: a worker's counts are wrong, or it ends, after a datagram that
/// no node has sent. Cause: what arrived was taken as it was.
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
fn what_is_no_update_is_refused(bytes: &[u8]) {
    assert!(LoadUpdate::decode(bytes).is_err());
}

#[test]
fn more_counts_than_a_datagram_holds_are_refused() {
    let sent = update(vec![(life(), 1); COUNTS_MOST + 1]);
    assert!(LoadUpdate::decode(&sent.encode()).is_err());
}

/// Every cut and every changed byte of an update is refused or read as
/// another update; none ends the process.
#[test]
fn damaged_updates_do_no_harm() {
    let bytes = update(vec![(life(), 3)]).encode();
    for end in 0..bytes.len() {
        assert!(LoadUpdate::decode(&bytes[..end]).is_err());
    }
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut damaged = bytes.clone();
            damaged[at] ^= 1 << bit;
            if let Ok(read) = LoadUpdate::decode(&damaged) {
                assert!(read.counts().len() <= COUNTS_MOST);
                assert_eq!(read.version, VERSION);
            }
        }
    }
}
