//! The cases of the review. Each returns what the rule forbids and was seen.

use std::{
    io,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::Pace,
    fleet::Node,
    kv::Late,
    record::Record,
    world::{BATCH, Fleet, Plan, Route},
};

/// The violations of a run; an error if the case could not run.
pub type Verdict = io::Result<Vec<String>>;

pub fn run(case: &str, trouble: bool, record: &Record) -> Verdict {
    match case {
        "accepted-and-not-found" => accepted_and_not_found(trouble, record),
        "unlisted-workers" => unlisted_workers(trouble, record),
        "retired-in-the-dark" => retired_in_the_dark(trouble, record),
        "refused-end" => refused_end(trouble, record),
        "uncounted-attempts" => uncounted_attempts(trouble, record),
        _ => Err(io::Error::other("unknown case")),
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Time after the last request in which all items have to be listed.
const FINISH: Duration = Duration::from_secs(18);

const USUAL_PACE: Pace = Pace {
    events: 20,
    first: Duration::from_millis(40),
    gap: Duration::from_millis(25),
};

/// Waits until all results of some jobs are listed, or the time is up, and
/// returns those that are not, if the engines are idle at the end.
fn unfinished(fleet: &Fleet, jobs: &[String], time: Duration) -> Verdict {
    let until = Instant::now() + time;
    let mut left: Vec<String> = jobs.to_vec();
    let mut idle_since = Instant::now();
    let mut next_read = Instant::now();
    while Instant::now() < until && !left.is_empty() {
        sleep_ms(100);
        if fleet.running() > 0 {
            idle_since = Instant::now();
        }
        if Instant::now() < next_read {
            continue;
        }
        next_read = Instant::now() + Duration::from_secs(3);
        left.retain(|job| {
            let (status, total, results) = fleet.results(0, job);
            status != 200 || (results.len() as u64) < total
        });
    }
    let mut broken = Vec::new();
    let idle = idle_since.elapsed();
    for job in &left {
        let (status, total, results) = fleet.results(1, job);
        if status == 200 && results.len() as u64 >= total {
            continue;
        }
        broken.push(format!(
            "LOST: job {job}: status {status}, {} of {total} items are \
             listed {} s after the last request; the replicas have had \
             nothing for {} s",
            results.len(),
            time.as_secs(),
            idle.as_secs()
        ));
    }
    // The rule excuses items while replicas are at work.
    match idle < Duration::from_secs(5) && !broken.is_empty() {
        true => Err(io::Error::other("the replicas are still at work")),
        false => Ok(broken),
    }
}

fn name_jobs(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("c0ffee{n:010x}")).collect()
}

/// All workers lose power and start again while answers of the store are lost.
/// The late write of the entry of a node binds the entry to a lease that the
/// node does not renew.
fn unlisted_workers(trouble: bool, record: &Record) -> Verdict {
    let mut fleet = Fleet::start(Plan::usual(USUAL_PACE), record)?;
    for worker in &mut fleet.workers {
        worker.kill();
    }
    sleep_ms(3_600);
    if trouble {
        let delay = Duration::from_millis(2_000);
        fleet.store.lose_first("jobs/n/worker-", delay);
    }
    for worker in &mut fleet.workers {
        worker.start()?;
    }
    let during = name_jobs(12);
    for job in &during {
        fleet.submit(job, 2);
        sleep_ms(300);
    }
    sleep_ms(500);
    if trouble {
        let (lost, writes) = fleet.store.stop_losing();
        record.line(&format!("platform: {lost} of {writes} writes were lost"));
        if lost * 100 > writes * 35 {
            return Err(io::Error::other("too many writes were lost"));
        }
    }
    // Well beyond the time in which the fleet has to recover.
    sleep_ms(15_000);
    let mut jobs = during;
    for number in 0..3 {
        let job = format!("decade{number:010x}");
        fleet.submit_or_fail(&job, 4)?;
        jobs.push(job);
    }
    unfinished(&fleet, &jobs, FINISH + Duration::from_secs(12))
}

/// Submits jobs at the same time while the store is down, and returns those that
/// are accepted.
fn submit_in_outage(
    fleet: &Fleet,
    jobs: Vec<String>,
    record: &Record,
) -> io::Result<Vec<String>> {
    let accepted: Vec<bool> = thread::scope(|scope| {
        let sent: Vec<_> = jobs
            .iter()
            .enumerate()
            .map(|(n, job)| scope.spawn(move || fleet.submit_at(n, job, 2)))
            .collect();
        sent.into_iter()
            .map(|sent| sent.join().unwrap_or_default())
            .collect()
    });
    let jobs = jobs.into_iter().zip(accepted);
    let jobs = jobs.filter_map(|(job, accepted)| accepted.then_some(job));
    let jobs: Vec<String> = jobs.collect();
    record.line(&format!("client: {} jobs are accepted", jobs.len()));
    match jobs.is_empty() {
        true => Err(io::Error::other("no job is accepted")),
        false => Ok(jobs),
    }
}

/// Accepted jobs are not in the store yet when the workers that keep them lose
/// power. The fronts say that there are no such jobs.
fn accepted_and_not_found(trouble: bool, record: &Record) -> Verdict {
    let mut fleet = Fleet::start(Plan::usual(USUAL_PACE), record)?;
    let down_at = Instant::now();
    fleet.store.set_down(trouble);
    let jobs = submit_in_outage(&fleet, name_jobs(12), record)?;
    sleep_until(down_at + Duration::from_millis(4_300));
    if trouble {
        fleet.workers.iter_mut().for_each(Node::kill);
    }
    let dark_at = Instant::now();
    sleep_ms(100);
    fleet.store.set_down(false);
    // The store and the storage machines have been as they are for contact_ms
    // (3 s): the fronts are in touch.
    sleep_until(dark_at + Duration::from_millis(3_300));
    let mut broken = Vec::new();
    while dark_at.elapsed() < Duration::from_millis(4_700) {
        for (number, job) in jobs.iter().enumerate() {
            let (status, ..) = fleet.results(number, job);
            let text = format!(
                "LOST: job {job} was answered 202, and a read of it is \
                 answered {status}"
            );
            if matches!(status, 404 | 410) && !broken.contains(&text) {
                broken.push(text);
            }
        }
        sleep_ms(400);
    }
    if trouble {
        let back: io::Result<Vec<()>> =
            fleet.workers.iter_mut().map(Node::start).collect();
        back?;
    }
    // The jobs exist.
    sleep_ms(5_000);
    for job in &jobs {
        fleet.results(0, job);
    }
    Ok(broken)
}

/// Two workers that keep accepted jobs lose power, and are to be emptied. A
/// third one reports both as empty, and the platform removes them.
fn retired_in_the_dark(trouble: bool, record: &Record) -> Verdict {
    let mut fleet = Fleet::start(Plan::usual(USUAL_PACE), record)?;
    let jobs = name_jobs(12);
    if !trouble {
        for job in &jobs {
            fleet.submit_or_fail(job, 2)?;
        }
        fleet.retire(&["worker-1"]);
        fleet.remove_retired(Duration::from_secs(10));
        return unfinished(&fleet, &jobs, FINISH);
    }
    // The store is down for 4.4 s, and the two workers for about 5 s.
    let down_at = Instant::now();
    fleet.store.set_down(true);
    let jobs = submit_in_outage(&fleet, jobs, record)?;
    sleep_until(down_at + Duration::from_millis(4_300));
    let dark_at = Instant::now();
    fleet.workers[0].kill();
    fleet.workers[1].kill();
    sleep_ms(100);
    fleet.store.set_down(false);
    sleep_ms(100);
    fleet.retire(&["worker-1", "worker-2"]);
    let dark = Duration::from_millis(4_950);
    fleet.remove_retired(dark.saturating_sub(dark_at.elapsed()));
    let back: io::Result<Vec<()>> = fleet
        .workers
        .iter_mut()
        .filter(|worker| worker.is_down() && !worker.is_removed)
        .map(|worker| worker.start())
        .collect();
    back?;
    sleep_ms(4_000);
    unfinished(&fleet, &jobs, FINISH)
}

/// Number of times that the store loses answers, and of the jobs that are ended
/// each time.
const ROUNDS: usize = 3;
const ENDS: usize = 100;

/// A client ends a job and gets a 503, which promises that this has not been
/// done and never will be. The job ends all the same.
fn refused_end(trouble: bool, record: &Record) -> Verdict {
    let pace = Pace {
        events: 60,
        first: Duration::from_millis(40),
        gap: Duration::from_millis(150),
    };
    let fleet = Arc::new(Fleet::start(Plan::usual(pace), record)?);
    let jobs = name_jobs(ROUNDS * ENDS);
    for job in &jobs {
        fleet.submit_or_fail(job, 2)?;
    }
    let mut refused = Vec::new();
    for round in jobs.chunks(ENDS) {
        if trouble {
            fleet.store.set_late(Some(Late {
                share_percent: 35,
                delay: Duration::from_millis(4_000),
            }));
        }
        // All ends are sent in the first 1.8 s of the 4.5 s of the disruption.
        let ends: Vec<_> = round
            .iter()
            .cloned()
            .enumerate()
            .map(|(number, job)| {
                let fleet = fleet.clone();
                thread::spawn(move || {
                    sleep_ms(18 * number as u64);
                    (fleet.end(number, &job), job)
                })
            })
            .collect();
        sleep_ms(4_500);
        if trouble {
            fleet.store.set_late(None);
        }
        for end in ends {
            let (status, job) = end.join().map_err(|_| io::Error::other("x"))?;
            if status == Some(503) {
                refused.push(job);
            }
        }
        sleep_ms(3_000);
    }
    record.line(&format!("client: {} ends are refused", refused.len()));
    let broken = unfinished(&fleet, &refused, Duration::from_secs(30))?;
    Ok(broken
        .into_iter()
        .map(|text| format!("{text}; its end was refused with 503"))
        .collect())
}

/// All workers are killed three times while an item waits in the queue of a
/// replica. It has never failed, and never runs again.
fn uncounted_attempts(trouble: bool, record: &Record) -> Verdict {
    let pace = Pace {
        events: 20,
        first: Duration::from_millis(3_500),
        gap: Duration::from_millis(25),
    };
    let mut plan = Plan::usual(pace);
    plan.routes = vec![Route {
        max_attempts: 1,
        ..BATCH
    }];
    let mut fleet = Fleet::start(plan, record)?;
    let jobs = name_jobs(2);
    for job in &jobs {
        fleet.submit_or_fail(job, 3)?;
    }
    // Each process has sent the items, and none has had an event.
    for up_ms in [2_000, 2_500, 5_500] {
        if !trouble {
            break;
        }
        sleep_ms(up_ms);
        for worker in &mut fleet.workers {
            worker.kill();
        }
        sleep_ms(500);
        for worker in &mut fleet.workers {
            worker.start()?;
        }
    }
    sleep_ms(5_000);
    unfinished(&fleet, &jobs, FINISH + Duration::from_secs(15))
}
