//! The choice of a worker for a new job by the backlogs that workers report.

use base::Millis;
use indexmap::IndexMap;
use pomeloslip_jobs::{JobKey, Members, NodeRecord, ReportedBacklogs};
use yare::parameterized;

fn workers(count: usize) -> Members {
    Members::new((0..count).map(|number| NodeRecord {
        node: format!("worker-{number}"),
        failure_domain: "east".to_owned(),
        runs_items: true,
        address: None,
        limits: None,
        origins: None,
        lease_s: 0,
        spool: Default::default(),
    }))
}

fn job(number: usize) -> JobKey {
    format!("job-{number}").parse().expect("a key")
}

/// Guards against one worker getting all jobs submitted at the same moment:
/// many jobs arrive at once at many fronts, and each front knows some of the
/// workers by reports of the same moment.
#[parameterized(
    one_front = { 1, 26 },
    forty_fronts = { 40, 26 },
    all_known = { 40, 72 },
)]
fn jobs_of_one_moment_are_spread(fronts: usize, known: usize) {
    const JOBS: usize = 144;
    let members = workers(72);
    let now = Millis::new(10_000);
    let backlogs: Vec<ReportedBacklogs> = (0..fronts)
        .map(|front| {
            let backlogs = ReportedBacklogs::default();
            for nth in 0..known {
                let at = (front * 7 + nth) % members.len();
                backlogs.report(&members.nodes()[at].node, 20, now);
            }
            backlogs
        })
        .collect();
    let mut given: IndexMap<String, usize> = IndexMap::new();
    for number in 0..JOBS {
        let front = &backlogs[number % fronts];
        let worker = front.choose(&job(number), 10, &members, now);
        *given.entry(worker.expect("a worker")).or_default() += 1;
    }
    let reached = known.min(72).max(fronts.min(2) * known).min(72);
    let mean = JOBS as f64 / reached as f64;
    let max = given.values().max().copied().unwrap_or(0) as f64;
    assert!(max <= 4.0 * mean.max(1.5), "{max} of {mean} on average");
}

/// Guards against jobs that are assigned to busy workers or to workers that
/// are no longer members.
#[test]
fn the_least_loaded_of_those_that_report_gets_a_job() {
    let members = workers(3);
    let backlogs = ReportedBacklogs::default();
    let now = Millis::new(10_000);
    backlogs.report("worker-0", 50, now);
    backlogs.report("worker-1", 5, now);
    backlogs.report("gone", 0, now);
    let chosen = backlogs.choose(&job(1), 1, &members, now);
    assert_eq!(chosen.as_deref(), Some("worker-1"));
    let later = now.saturating_add_ms(60_000);
    assert!(backlogs.choose(&job(1), 1, &members, later).is_some());
    assert!(backlogs.choose(&job(1), 1, &workers(0), later).is_none());
}
