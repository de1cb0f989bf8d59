//! Unit-level tests of grants, attempts, due times and the lease.

use base::{Millis, UnixMillis, VmId};
use pomeloslip_ledger::{
    Ack, Action, Event, Granted, JobRecord, Ledger, Moment, OpenJobMarker,
    Options, PartitionOwner, PullRequest, PullResponse, RunOutcome,
    VersionedRecord,
};
use yare::parameterized;

const MEMBER: &str = "m";
const LEASE: i64 = 9;
const FENCE: u64 = 4;
const HOUR_MS: u64 = 3_600_000;

fn at(ms: u64) -> Moment {
    Moment {
        now: Millis::new(ms),
        unix: UnixMillis::new(ms),
        random: ms,
    }
}

fn record(id: &str, customer: &str, items: u32, due_ms: u64) -> JobRecord {
    serde_json::from_value(serde_json::json!({
        "id": id, "tenant": customer, "content": "", "input": "file-1",
        "path": "/v1/completions", "window": "1h", "metadata": null,
        "created": 0, "due": due_ms, "ended": null, "state": "in_progress",
        "items": items, "done": [], "failed": [], "output": [],
        "errors": [], "operation": 0,
    }))
    .expect("a record")
}

fn options() -> Options {
    Options::default().partitions(1).attempts_max(3)
}

/// Creates a ledger that owns its only partition and has loaded these jobs.
fn owner(options: Options, jobs: Vec<JobRecord>) -> Ledger {
    let mut ledger = Ledger::new(MEMBER, 77, options);
    ledger.handle(at(0), Event::Tick);
    let sent_at = Millis::new(0);
    let lease = Some(LEASE);
    ledger.handle(at(0), Event::Joined { sent_at, lease });
    ledger.handle(at(0), membership_read(5));
    let markers = jobs.iter().map(|job| OpenJobMarker {
        job: job.id.clone(),
        revision: 1,
    });
    let markers = Some(markers.collect());
    let listed = Event::Listed {
        partition: 0,
        fence: FENCE,
        markers,
    };
    ledger.handle(at(0), listed);
    for record in jobs {
        load(&mut ledger, record, 1);
    }
    ledger
}

fn membership_read(revision: u64) -> Event {
    Event::MembershipRead {
        revision: Some(revision),
        members: vec![MEMBER.to_owned()],
        owners: vec![PartitionOwner {
            partition: 0,
            member: MEMBER.to_owned(),
            lease: LEASE,
            fence: FENCE,
        }],
    }
}

fn load(ledger: &mut Ledger, record: JobRecord, revision: u64) {
    let job = record.id.clone();
    let found = Ok(Some(Box::new(VersionedRecord { record, revision })));
    let loaded = Event::Loaded {
        partition: 0,
        fence: FENCE,
        job,
        marker: revision,
        found,
    };
    ledger.handle(at(0), loaded);
}

fn pull_as(
    ledger: &mut Ledger,
    ms: u64,
    vm: &str,
    capacity: u32,
    running: &[u64],
) -> PullResponse {
    let vm: VmId = vm.parse().expect("a vm");
    let request = PullRequest {
        vm: &vm,
        incarnation: 1,
        models: &[],
        capacity,
        running,
    };
    ledger.pull(at(ms), &request)
}

fn pull(
    ledger: &mut Ledger,
    ms: u64,
    vm: &str,
    capacity: u32,
) -> Vec<Granted> {
    pull_as(ledger, ms, vm, capacity, &[]).items
}

fn end(ledger: &mut Ledger, ms: u64, item: &Granted, end: RunOutcome) -> Ack {
    ledger.result(at(ms), &item.job, item.index, item.grant, end)
}

fn completed() -> RunOutcome {
    RunOutcome::Completed("line\n".into())
}

fn failed() -> RunOutcome {
    RunOutcome::Failed("error\n".into())
}

#[test]
fn a_failed_item_goes_to_an_endpoint_that_has_not_attempted_it() {
    let mut ledger = owner(options(), vec![record("j", "t", 1, HOUR_MS)]);
    let item = pull(&mut ledger, 0, "vm-1", 1).remove(0);
    assert_eq!(end(&mut ledger, 1, &item, failed()), Ack::Reopened);
    assert_eq!(pull(&mut ledger, 500, "vm-1", 1), []);
    let again = pull(&mut ledger, 500, "vm-2", 1).remove(0);
    assert_eq!((again.index, again.attempt), (0, 1));
    end(&mut ledger, 501, &again, failed());
    // Both endpoints have attempted the item; the first may attempt it again
    // after a delay, since there may be no third endpoint.
    assert_eq!(pull(&mut ledger, 1_500, "vm-1", 1), []);
    let last = pull(&mut ledger, 6_000, "vm-1", 1).remove(0);
    assert_eq!(end(&mut ledger, 6_001, &last, failed()), Ack::Settled);
}

/// Guards against running an item twice when its first result is late: the
/// grant expires, the item goes to another companion, then the first
/// companion's result arrives.
#[test]
fn a_late_result_is_used_and_never_doubled() {
    let mut ledger = owner(options(), vec![record("j", "t", 1, HOUR_MS)]);
    let first = pull(&mut ledger, 0, "vm-1", 1).remove(0);
    for ms in (0..=10_500).step_by(500) {
        ledger.handle(at(ms), Event::Tick);
        let sent_at = Millis::new(ms);
        let (lease, alive) = (LEASE, Some(true));
        let renewed = Event::Renewed {
            sent_at,
            lease,
            alive,
        };
        ledger.handle(at(ms), renewed);
    }
    let second = pull(&mut ledger, 10_800, "vm-2", 1).remove(0);
    assert_eq!(end(&mut ledger, 10_801, &first, completed()), Ack::Settled);
    let running = [second.grant];
    let response = pull_as(&mut ledger, 10_802, "vm-2", 0, &running);
    assert_eq!(response.revoked, running);
    assert_eq!(end(&mut ledger, 10_803, &second, completed()), Ack::Ignored);
}

/// Guards against granting an item that another owner grants too: the owner is
/// paused past its lease and still considers it valid afterwards.
#[test]
fn an_owner_grants_nothing_once_its_lease_may_have_ended() {
    let mut ledger = owner(options(), vec![record("j", "t", 9, HOUR_MS)]);
    assert_eq!(pull(&mut ledger, 9_400, "vm-1", 1).len(), 1);
    assert_eq!(pull(&mut ledger, 9_500, "vm-1", 1), []);
    assert_eq!(pull(&mut ledger, 60_000, "vm-1", 1), []);
}

#[test]
fn a_cancelled_job_grants_nothing_and_revokes_what_runs() {
    let mut job = record("j", "t", 9, HOUR_MS);
    let mut ledger = owner(options(), vec![job.clone()]);
    let item = pull(&mut ledger, 0, "vm-1", 1).remove(0);
    job.state = pomeloslip_ledger::JobState::Cancelling;
    load(&mut ledger, job, 2);
    let response = pull_as(&mut ledger, 1, "vm-1", 4, &[item.grant]);
    assert_eq!(response.items, []);
    assert_eq!(response.revoked, [item.grant]);
}

#[test]
fn the_earliest_due_goes_first_and_customers_share_within() {
    let jobs = vec![
        record("late", "a", 40, 9 * HOUR_MS),
        record("large", "a", 40, HOUR_MS),
        record("small", "b", 40, HOUR_MS + 60_000),
    ];
    let mut ledger = owner(options(), jobs);
    let items = pull(&mut ledger, 0, "vm-1", 8);
    let of = |id: &str| items.iter().filter(|i| i.job.as_str() == id).count();
    assert_eq!((of("late"), of("large"), of("small")), (0, 4, 4));
}

#[test]
fn an_item_that_crashes_its_companions_is_given_up() {
    let mut ledger = owner(options(), vec![record("j", "t", 1, HOUR_MS)]);
    let mut give_ups = Vec::new();
    for ms in (0..60_000).step_by(500) {
        let actions = ledger.handle(at(ms), Event::Tick);
        let gives_up = |a: &Action| matches!(a, Action::GiveUp { .. });
        give_ups.extend(actions.into_iter().filter(gives_up));
        let sent_at = Millis::new(ms);
        let (lease, alive) = (LEASE, Some(true));
        let renewed = Event::Renewed {
            sent_at,
            lease,
            alive,
        };
        ledger.handle(at(ms), renewed);
        let vm = format!("vm-{}", ms / 500);
        pull(&mut ledger, ms, &vm, 1);
    }
    assert!(
        matches!(&give_ups[..], [Action::GiveUp { attempts: 3, .. }]),
        "{give_ups:?}"
    );
}

/// Guards against expiring all grants of working companions: the owner is
/// paused for longer than the grant TTL and could not receive renewals.
#[test]
fn a_pause_of_the_owner_ends_no_grants() {
    let mut ledger = owner(options(), vec![record("j", "t", 1, HOUR_MS)]);
    pull(&mut ledger, 0, "vm-1", 1);
    ledger.handle(at(30_000), Event::Tick);
    assert_eq!(ledger.status().grants, 1);
}

#[parameterized(
    on_time = { 10, false },
    late = { 2_000, true },
)]
fn a_job_is_at_risk_before_it_is_late(items: u32, at_risk: bool) {
    let mut ledger = owner(options(), vec![record("j", "t", items, 60_000)]);
    // One item per second.
    for second in 0..8 {
        let ms = second * 1_000;
        let item = pull(&mut ledger, ms, "vm-1", 1).remove(0);
        end(&mut ledger, ms + 1, &item, completed());
        ledger.handle(at(ms + 1_000), Event::Tick);
    }
    assert_eq!(ledger.status().jobs_at_risk, usize::from(at_risk));
}
