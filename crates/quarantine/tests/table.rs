//! What speaks against a request, and what does not.

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

/// A run of `ran_ms` that ended without progress.
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

/// Adds crashes one second apart, each of another endpoint.
fn crash_times(
    table: &mut CrashRecordTable,
    digest: RequestDigest,
    times: u64,
) {
    for number in 1..=times {
        let ended_ms = number * 1_000;
        table.add_crash(digest, crash(number, ended_ms, 100));
    }
}

fn is_held(
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
fn a_request_is_held_after_three_crashes(crashes: u64, held: bool) {
    let mut table = table();
    crash_times(&mut table, digest("bad"), crashes);
    assert_eq!(is_held(&table, digest("bad"), 5_000), held);
    assert!(!is_held(&table, digest("good"), 5_000));
}

/// Guards against requests that are held since many endpoints were lost at
/// the same time while each ran a copy of them.
#[test]
fn crashes_at_the_same_time_count_once() {
    let mut table = table();
    for endpoint in 0..8 {
        let ended_ms = 1_000 + endpoint * 20;
        table.add_crash(digest("popular"), crash(endpoint, ended_ms, 300));
    }
    assert!(!is_held(&table, digest("popular"), 1_200));
    assert_eq!(table.crashes(digest("popular")), 1);
}

/// Guards against a request that is held for crashes that its next run got
/// well past, as that of a long item does next to one that crashes endpoints.
#[test]
fn a_run_that_goes_on_for_longer_refutes_a_crash() {
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
    assert!(!is_held(&table, digest("item"), 24_100));
}

/// Guards against a request that is never held since each run of its stream
/// begins behind the one before, and gets a little further.
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
    assert!(is_held(&table, digest("bad"), 6_100));
}

/// Guards against a request that is held for crashes at all points of its
/// answer, of which a request that crashes endpoints has one.
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

/// Guards against a request that is blamed for a crash as one of its copies
/// had just begun, while another one had run there for long.
#[test]
fn the_copy_that_got_furthest_counts() {
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
    assert!(!is_held(&table, digest("popular"), 3_100));
}

/// Guards against an item that is held since it ran next to one that crashes
/// endpoints, each time for a moment in which it did get on.
#[test]
fn three_crashes_before_which_a_request_got_on_do_not_hold_it() {
    let mut table = table();
    crash_times(&mut table, digest("bad"), 3);
    for number in 1..=3 {
        let run = Crash {
            resumed_after: 10 * number - 10,
            reached: 10 * number,
            ..crash(number, 1_000 * number, 100)
        };
        table.add_crash(digest("near"), run);
    }
    assert!(is_held(&table, digest("bad"), 3_100));
    assert!(!is_held(&table, digest("near"), 3_100));
}

/// Guards against sound requests that are held: a whole answer is proof.
#[test]
fn an_answer_clears_a_request() {
    let mut table = table();
    crash_times(&mut table, digest("sound"), 3);
    table.record_answer(digest("sound"), 0);
    assert_eq!(table.verdict_at(digest("sound"), at(3_100)), Verdict::Clear);
    assert!(table.is_empty());
}

/// Guards against a request that is cleared by the rest of an answer, though
/// the part that crashes endpoints was not run again.
#[test]
fn the_rest_of_an_answer_clears_nothing_before_it() {
    let mut table = table();
    crash_times(&mut table, digest("bad"), 3);
    assert!(!table.record_answer(digest("bad"), 5).0);
    assert!(is_held(&table, digest("bad"), 3_100));
}

#[test]
fn each_crash_and_each_trial_lengthens_the_hold() {
    let options = QuarantineOptions::default();
    let mut table = table();
    crash_times(&mut table, digest("bad"), 3);
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

/// How far off the clock of a node that was never set may be.
const HOURS_MS: u64 = 3 * 3_600_000;

/// Learns three crashes of another node whose clock shows `dated_ms`.
fn learned(dated_ms: u64, now_ms: u64) -> CrashRecordTable {
    let mut table = table();
    let crashes =
        [0, 1_000, 2_000].map(|after| crash(after, dated_ms + after, 100));
    table.apply_stored(digest("bad"), stored(&crashes, 7), at(now_ms));
    table
}

/// Guards against a hold of hours, and a case that never ends, since the
/// clock of the node that saw the crashes was hours ahead.
#[test]
fn a_clock_that_is_hours_ahead_holds_no_request_for_hours() {
    let options = QuarantineOptions::default();
    let mut table = learned(HOURS_MS, 5_000);
    let due_ms = 5_000 + options.initial_hold_ms;
    assert!(is_held(&table, digest("bad"), due_ms - 1));
    assert_eq!(
        table.verdict_at(digest("bad"), at(due_ms)),
        Verdict::ProbeDue
    );
    table.expire(at(5_000 + options.retention_ms));
    assert!(table.is_empty());
}

/// Guards against sends without a pause since the clock of the node that
/// entered a trial was hours behind.
#[test]
fn a_clock_that_is_hours_behind_ends_no_hold() {
    let options = QuarantineOptions::default();
    let now_ms = 2 * HOURS_MS;
    let mut table = learned(HOURS_MS, now_ms);
    let Some((Some(StoredRecord { mut record, .. }), _)) =
        table.stored_and_unsaved(digest("bad"))
    else {
        panic!("learned");
    };
    record.begin_probe(at(HOURS_MS));
    let stored = StoredRecord {
        record,
        revision: 8,
    };
    table.apply_stored(digest("bad"), stored, at(now_ms));
    let held_ms = options.hold_ms(1) - 10_000;
    assert!(is_held(&table, digest("bad"), now_ms + held_ms - 1));
}

/// Guards against a hold without end by the clock of another node.
#[test]
fn a_crash_in_the_future_is_held_against_a_request_from_now_on() {
    let mut table = table();
    crash_times(&mut table, digest("bad"), 3);
    let held = table.verdict_at(digest("bad"), at(0));
    let for_ms = QuarantineOptions::default().initial_hold_ms;
    assert_eq!(held, Verdict::Quarantined { for_ms });
}

#[test]
fn what_is_remembered_is_bounded_and_runs_out() {
    let options = QuarantineOptions {
        max_records: 10,
        ..QuarantineOptions::default()
    };
    let mut table = CrashRecordTable::new(options);
    crash_times(&mut table, digest("first"), 3);
    for number in 0..50 {
        let name = format!("request {number}");
        let crash = crash(100 + number, 10_000 + number, 100);
        table.add_crash(digest(&name), crash);
    }
    assert_eq!(table.len(), 10);
    assert!(!table.contains(digest("first")), "the quietest goes first");
    assert!(table.contains(digest("request 49")));
    table.expire(at(10_049 + options.retention_ms - 1));
    assert!(table.contains(digest("request 49")));
    table.expire(at(10_049 + options.retention_ms));
    assert!(table.is_empty());
}

/// Guards against a case of a few bytes for each of a thousand crashes.
#[test]
fn a_case_keeps_few_crashes_and_those_that_count() {
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
fn what_other_nodes_saw_counts_together_with_what_this_one_saw() {
    let mut table = table();
    table.add_crash(digest("bad"), crash(1, 1_000, 100));
    let others = [crash(2, 2_000, 100), crash(3, 3_000, 100)];
    table.apply_stored(digest("bad"), stored(&others, 7), at(3_000));
    assert!(is_held(&table, digest("bad"), 3_100));
    // An older write that arrives late brings nothing back.
    table.apply_stored(digest("bad"), stored(&others[..1], 6), at(3_100));
    assert!(is_held(&table, digest("bad"), 3_100));
}

#[test]
fn a_case_that_is_gone_from_the_service_leaves_what_was_seen_here() {
    let mut table = table();
    let others = [crash(2, 2_000, 100), crash(3, 3_000, 100)];
    table.apply_stored(digest("bad"), stored(&others, 7), at(3_000));
    table.add_crash(digest("bad"), crash(4, 4_000, 100));
    assert!(is_held(&table, digest("bad"), 4_100));
    table.remove_stored(digest("bad"), 8);
    assert_eq!(table.crashes(digest("bad")), 1);
    table.apply_stored(digest("gone"), stored(&others, 9), at(4_100));
    table.retain_stored(10, |kept| *kept == digest("bad"));
    assert!(!table.contains(digest("gone")));
}
