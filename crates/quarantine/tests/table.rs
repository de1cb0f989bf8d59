//! Tests of which crashes count as evidence against a request.

use base::{RequestContent, RequestDigest, UnixMillis};
use pomeloslip_quarantine::{
    Crash, CrashRecord, CrashRecordTable, CrashedEndpoint, QuarantineOptions,
    StoredRecord, Verdict,
};
use yare::parameterized;

fn digest(body: &str) -> RequestDigest {
    RequestDigest::of(RequestContent {
        customer: "alama",
        method: "POST",
        host: "a.example",
        target: "/chat/1",
        body: body.as_bytes(),
    })
}

fn at(ms: u64) -> UnixMillis {
    UnixMillis::new(1_000_000 + ms)
}

/// Returns a crash after a run of `ran_ms` without progress.
fn crash(endpoint: u64, ended_ms: u64, ran_ms: u64) -> Crash {
    Crash {
        endpoint: CrashedEndpoint::new(endpoint),
        began_at: at(ended_ms).saturating_sub_ms(ran_ms),
        ended_at: at(ended_ms),
        resumed_after: 0,
        reached: 0,
    }
}

fn table() -> CrashRecordTable {
    CrashRecordTable::new(QuarantineOptions::default())
}

/// Adds crashes of different endpoints, one second apart.
fn add_crashes(
    table: &mut CrashRecordTable,
    digest: RequestDigest,
    count: u64,
) {
    for number in 1..=count {
        let ended_ms = number * 1_000;
        table.add_crash(digest, crash(number, ended_ms, 100));
    }
}

fn is_quarantined(
    table: &CrashRecordTable,
    digest: RequestDigest,
    now_ms: u64,
) -> bool {
    matches!(
        table.verdict_at(digest, at(now_ms)),
        Verdict::Quarantined { .. }
    )
}

#[parameterized(
    none = { 0, false },
    one = { 1, false },
    two = { 2, false },
    three = { 3, true },
    four = { 4, true },
)]
fn a_request_is_quarantined_after_three_crashes(crashes: u64, expected: bool) {
    let mut table = table();
    add_crashes(&mut table, digest("bad"), crashes);
    assert_eq!(is_quarantined(&table, digest("bad"), 5_000), expected);
    assert!(!is_quarantined(&table, digest("good"), 5_000));
}

/// Guards against quarantining a request because many endpoints that each ran
/// a copy of it were lost at the same time.
#[test]
fn crashes_at_the_same_time_count_once() {
    let mut table = table();
    for endpoint in 0..8 {
        let ended_ms = 1_000 + endpoint * 20;
        table.add_crash(digest("popular"), crash(endpoint, ended_ms, 300));
    }
    assert!(!is_quarantined(&table, digest("popular"), 1_200));
    assert_eq!(table.crashes(digest("popular")), 1);
}

/// Guards against quarantining a request for crashes that its next run got
/// well past, such as those of a long item that runs next to a poison request.
#[test]
fn a_longer_run_refutes_a_crash() {
    let mut table = table();
    for number in 1..=6 {
        let reached = number * 20;
        let run = Crash {
            resumed_after: reached - 20,
            reached,
            ..crash(number, 4_000 * number, 100 * (1 << number))
        };
        table.add_crash(digest("item"), run);
    }
    assert!(!is_quarantined(&table, digest("item"), 24_100));
}

/// Guards against a poison request that is never quarantined because each run
/// of its stream resumes after the previous one and gets a little further.
#[test]
fn little_progress_between_crashes_refutes_nothing() {
    let mut table = table();
    for number in 1..=6 {
        let run = Crash {
            resumed_after: number * 3 - 3,
            reached: number * 3,
            ..crash(number, 1_000 * number, 100 + 10 * number)
        };
        table.add_crash(digest("bad"), run);
    }
    assert!(is_quarantined(&table, digest("bad"), 6_100));
}

/// Guards against quarantining a request for crashes at various points of its
/// response; a poison request always crashes at the same point.
#[test]
fn a_longer_run_refutes_crashes_before_and_after_it() {
    let mut table = table();
    for (number, reached) in (1..).zip([3, 40, 2, 5, 1, 4, 2]) {
        let run = Crash {
            reached,
            ..crash(number, 1_000 * number, 10 * reached)
        };
        table.add_crash(digest("popular"), run);
    }
    assert_eq!(table.crashes(digest("popular")), 1);
}

/// Guards against counting a crash at full weight because one copy of the
/// request had just started, while another copy had made progress there.
#[test]
fn the_copy_with_most_progress_counts() {
    let mut table = table();
    for number in 1..=3 {
        let just_begun = crash(number, 1_000 * number, 10);
        let far = Crash {
            reached: 30,
            ..crash(number, 1_000 * number + 1, 300)
        };
        table.add_crash(digest("popular"), just_begun);
        table.add_crash(digest("popular"), far);
    }
    assert!(!is_quarantined(&table, digest("popular"), 3_100));
}

/// Guards against quarantining an item that ran next to a poison request and
/// made progress before each crash.
#[test]
fn three_crashes_with_progress_do_not_quarantine() {
    let mut table = table();
    add_crashes(&mut table, digest("bad"), 3);
    for number in 1..=3 {
        let run = Crash {
            resumed_after: 10 * number - 10,
            reached: 10 * number,
            ..crash(number, 1_000 * number, 100)
        };
        table.add_crash(digest("near"), run);
    }
    assert!(is_quarantined(&table, digest("bad"), 3_100));
    assert!(!is_quarantined(&table, digest("near"), 3_100));
}

/// Guards against quarantining harmless requests: a complete response refutes
/// all crashes.
#[test]
fn a_complete_response_releases_a_request() {
    let mut table = table();
    add_crashes(&mut table, digest("sound"), 3);
    table.record_response(digest("sound"), 0);
    assert_eq!(table.verdict_at(digest("sound"), at(3_100)), Verdict::Clear);
    assert!(table.is_empty());
}

/// Guards against a poison request that is released by the remainder of a
/// response, although the part that crashes endpoints did not run again.
#[test]
fn a_resumed_response_refutes_no_earlier_crash() {
    let mut table = table();
    add_crashes(&mut table, digest("bad"), 3);
    assert!(!table.record_response(digest("bad"), 5).0);
    assert!(is_quarantined(&table, digest("bad"), 3_100));
}

#[test]
fn each_crash_and_each_probe_lengthens_the_quarantine() {
    let options = QuarantineOptions::default();
    let mut table = table();
    add_crashes(&mut table, digest("bad"), 3);
    let first = at(3_000).saturating_add_ms(options.initial_hold_ms);
    assert_eq!(table.verdict_at(digest("bad"), first), Verdict::ProbeDue);
    table.begin_probe(digest("bad"), first);
    let second = options.hold_ms(1);
    assert!(second > options.initial_hold_ms);
    assert_eq!(
        table.verdict_at(digest("bad"), first),
        Verdict::Quarantined { for_ms: second },
    );
    let crashed = Crash {
        endpoint: CrashedEndpoint::new(9),
        began_at: first,
        ended_at: first.saturating_add_ms(100),
        resumed_after: 0,
        reached: 0,
    };
    table.add_crash(digest("bad"), crashed);
    assert_eq!(
        table.verdict_at(digest("bad"), crashed.ended_at),
        Verdict::Quarantined { for_ms: second },
    );
}

/// Skew of a clock that was never set, in milliseconds.
const LARGE_SKEW_MS: u64 = 3 * 3_600_000;

/// Returns a table with three crashes that another node reported with times
/// from `dated_ms` on.
fn table_with_reported(dated_ms: u64, now_ms: u64) -> CrashRecordTable {
    let mut table = table();
    let crashes =
        [0, 1_000, 2_000].map(|after| crash(after, dated_ms + after, 100));
    table.apply_stored(digest("bad"), stored(&crashes, 7), at(now_ms));
    table
}

/// Guards against a quarantine of hours and a record that never expires,
/// because the clock of the node that detected the crashes was hours ahead.
#[test]
fn a_clock_hours_ahead_does_not_extend_the_quarantine() {
    let options = QuarantineOptions::default();
    let mut table = table_with_reported(LARGE_SKEW_MS, 5_000);
    let due_ms = 5_000 + options.initial_hold_ms;
    assert!(is_quarantined(&table, digest("bad"), due_ms - 1));
    assert_eq!(
        table.verdict_at(digest("bad"), at(due_ms)),
        Verdict::ProbeDue
    );
    table.expire(at(5_000 + options.retention_ms));
    assert!(table.is_empty());
}

/// Guards against sends without a pause because the clock of the node that
/// recorded a probe was hours behind.
#[test]
fn a_clock_hours_behind_does_not_end_the_quarantine() {
    let options = QuarantineOptions::default();
    let now_ms = 2 * LARGE_SKEW_MS;
    let mut table = table_with_reported(LARGE_SKEW_MS, now_ms);
    let Some((Some(StoredRecord { mut record, .. }), _)) =
        table.stored_and_unsaved(digest("bad"))
    else {
        panic!("the record is stored");
    };
    record.begin_probe(at(LARGE_SKEW_MS));
    let stored = StoredRecord {
        record,
        revision: 8,
    };
    table.apply_stored(digest("bad"), stored, at(now_ms));
    let quarantined_ms = options.hold_ms(1) - 10_000;
    assert!(is_quarantined(
        &table,
        digest("bad"),
        now_ms + quarantined_ms - 1
    ));
}

/// Guards against an endless quarantine because of another node's clock.
#[test]
fn a_crash_in_the_future_counts_from_now() {
    let mut table = table();
    add_crashes(&mut table, digest("bad"), 3);
    let verdict = table.verdict_at(digest("bad"), at(0));
    let for_ms = QuarantineOptions::default().initial_hold_ms;
    assert_eq!(verdict, Verdict::Quarantined { for_ms });
}

#[test]
fn records_are_bounded_and_expire() {
    let options = QuarantineOptions {
        max_records: 10,
        ..QuarantineOptions::default()
    };
    let mut table = CrashRecordTable::new(options);
    add_crashes(&mut table, digest("first"), 2);
    for number in 0..50 {
        let name = format!("request {number}");
        let crash = crash(100 + number, 10_000 + number, 100);
        table.add_crash(digest(&name), crash);
    }
    assert_eq!(table.len(), 10);
    assert!(
        !table.contains(digest("first")),
        "the oldest record is evicted first"
    );
    assert!(table.contains(digest("request 49")));
    table.expire(at(10_049 + options.retention_ms - 1));
    assert!(table.contains(digest("request 49")));
    table.expire(at(10_049 + options.retention_ms));
    assert!(table.is_empty());
}

/// Guards against a poison request that is forgotten because many other
/// requests were interrupted once.
#[test]
fn records_of_interrupted_requests_evict_no_quarantined_one() {
    let options = QuarantineOptions {
        max_records: 10,
        ..QuarantineOptions::default()
    };
    let mut table = CrashRecordTable::new(options);
    add_crashes(&mut table, digest("bad"), 3);
    for number in 0..50 {
        let name = format!("request {number}");
        let crash = crash(100 + number, 10_000 + number, 100);
        table.add_crash(digest(&name), crash);
    }
    assert_eq!(table.len(), 10);
    assert_ne!(table.verdict_at(digest("bad"), at(10_100)), Verdict::Clear);
    for number in 0..50 {
        add_crashes(&mut table, digest(&format!("bad {number}")), 3);
    }
    assert_eq!(table.len(), 10, "quarantined records are bounded too");
}

/// Guards against a record that grows with each of a thousand crashes.
#[test]
fn a_record_keeps_few_crashes_and_all_evidence() {
    let mut record = CrashRecord::default();
    for number in 1..=3 {
        record.add(crash(number, 1_000 * number, 100));
    }
    for endpoint in 10..60 {
        record.add(crash(endpoint, 3_000 + endpoint, 200));
    }
    assert!(record.crashes().len() <= 8);
    assert_eq!(record.evidence().len(), 3);
}

fn stored(crashes: &[Crash], revision: u64) -> StoredRecord {
    let mut record = CrashRecord::default();
    for crash in crashes {
        record.add(*crash);
    }
    StoredRecord { record, revision }
}

#[test]
fn crashes_of_other_nodes_and_of_this_one_add_up() {
    let mut table = table();
    table.add_crash(digest("bad"), crash(1, 1_000, 100));
    let others = [crash(2, 2_000, 100), crash(3, 3_000, 100)];
    table.apply_stored(digest("bad"), stored(&others, 7), at(3_000));
    assert!(is_quarantined(&table, digest("bad"), 3_100));
    // A delayed older write changes nothing.
    table.apply_stored(digest("bad"), stored(&others[..1], 6), at(3_100));
    assert!(is_quarantined(&table, digest("bad"), 3_100));
}

#[test]
fn deleting_a_stored_record_keeps_unsaved_crashes() {
    let mut table = table();
    let others = [crash(2, 2_000, 100), crash(3, 3_000, 100)];
    table.apply_stored(digest("bad"), stored(&others, 7), at(3_000));
    table.add_crash(digest("bad"), crash(4, 4_000, 100));
    assert!(is_quarantined(&table, digest("bad"), 4_100));
    table.remove_stored(digest("bad"), 8);
    assert_eq!(table.crashes(digest("bad")), 1);
    table.apply_stored(digest("gone"), stored(&others, 9), at(4_100));
    table.retain_stored(10, |kept| *kept == digest("bad"));
    assert!(!table.contains(digest("gone")));
}
