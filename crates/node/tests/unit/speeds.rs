//! Exchange of estimates between fronts and workers, without a network.

use base::Millis;
use fleet::{
    Endpoint, EndpointRecord, EndpointSpeed, EndpointState, EndpointTable,
    Selection, ServiceSpeeds, SpeedEstimate, SpeedSample,
};
use jobs::{
    Assignment, FrontUpdate, Members, NodeRecord, OnlineLoad, ReportVersion,
};
use pass::Counters;
use yare::parameterized;

use super::{
    super::speed_wire::SpeedUpdate, Estimates, FrontSpeeds, WorkerSpeeds,
};

const NOW: Millis = Millis::new(50_000);

fn endpoints() -> Vec<Endpoint> {
    let endpoint = |number: usize| {
        Endpoint::new(EndpointRecord {
            id: number.to_string(),
            started_at: None,
            version: None,
            address: ([127, 0, 0, 1], 80).into(),
            service: "engines".to_owned(),
            failure_domain: "east".to_owned(),
            slots: 8,
            state: EndpointState::Ready,
        })
    };
    (0..3).map(endpoint).collect()
}

/// Adds samples of an interval to an endpoint.
fn measure(endpoint: &Endpoint, interval_us: u64, samples: u32) {
    for _ in 0..samples {
        let sample = SpeedSample::of_stream(11, interval_us * 10, 1, None);
        endpoint.record_sample(sample.expect("enough events"), NOW);
    }
}

fn workers(node: &str, names: &[&str], all: &[Endpoint]) -> Assignment {
    let record = |name: &&str| NodeRecord {
        node: (*name).to_owned(),
        failure_domain: "east".to_owned(),
        runs_items: true,
        address: Some(([127, 0, 0, 1], 9_000).into()),
        limits: None,
        origins: None,
        lease_s: 0,
        spool: Default::default(),
    };
    let members = Members::new(names.iter().map(record));
    Assignment::new(node, members, all)
}

/// A front with its view of the endpoints.
struct Front {
    endpoints: Vec<Endpoint>,
    table: EndpointTable,
    selection: Selection,
    speeds: FrontSpeeds,
}

fn front(mode: EndpointSpeed) -> Front {
    let endpoints = endpoints();
    let table = EndpointTable::new(endpoints.iter().cloned());
    let speeds = ServiceSpeeds::new(mode);
    let selection =
        Selection::new("front", &table, |_| true).with_speeds(&speeds);
    Front {
        endpoints,
        table,
        selection,
        speeds: FrontSpeeds::new(speeds),
    }
}

impl Front {
    /// Returns what the front sends to its only worker, if it sends anything.
    fn message(&mut self, now: Millis) -> Option<Estimates> {
        if !self.speeds.is_due(now) {
            return None;
        }
        let counters = Counters::default();
        self.speeds
            .refresh(&self.table, &self.selection, &counters, now);
        let workers = workers("worker", &["worker"], &self.endpoints);
        let sent =
            self.speeds
                .messages(&self.table, &self.selection, &workers, now);
        assert!(sent.len() <= 1);
        sent.into_values().next()
    }

    fn apply(&mut self, update: &SpeedUpdate, workers: &Assignment) {
        self.speeds.apply(update, &self.table, workers, NOW);
    }

    fn interval_us(&self, index: usize) -> Option<u32> {
        self.endpoints[index].expected_interval_us(NOW)
    }
}

fn update(node: &str, number: u64, estimates: &Estimates) -> SpeedUpdate {
    let version = ReportVersion {
        number,
        ..ReportVersion::default()
    };
    SpeedUpdate::new(node, version, estimates)
}

/// Subscribes a front to all endpoints of a worker.
fn subscribe(online: &OnlineLoad, front: &str, endpoints: &[Endpoint]) {
    let counts: Vec<_> = endpoints
        .iter()
        .map(|endpoint| (endpoint.incarnation_key(), 0))
        .collect();
    let update = FrontUpdate {
        front,
        version: ReportVersion {
            number: 1,
            ..ReportVersion::default()
        },
        is_full: true,
        counts: &counts,
    };
    assert!(online.apply(update, NOW));
}

/// Guards against a front without own samples that learns nothing from the
/// others, and against one node that determines what all use.
#[test]
fn a_front_learns_the_median_of_the_others() {
    let mode = EndpointSpeed::Always;
    let all = endpoints();
    let own = workers("worker", &["worker"], &all);
    let table = EndpointTable::new(all.iter().cloned());
    let (online, _changes) = OnlineLoad::new();
    let mut worker = WorkerSpeeds::new(ServiceSpeeds::new(mode));
    for (name, interval_us) in [("1", 20_000), ("2", 21_000), ("3", 900)] {
        let mut other = front(mode);
        measure(&other.endpoints[0], interval_us, 10);
        let message = other.message(NOW).expect("a message");
        assert_eq!(message.len(), 1, "only endpoints with new samples");
        worker.record(&update(name, 1, &message), &own, NOW);
    }
    let mut learner = front(mode);
    let request = learner.message(NOW).expect("a message");
    assert!(request.is_empty());
    subscribe(&online, "learner", &all);
    worker.record(&update("learner", 1, &request), &own, NOW);
    let answers = worker.answers(&online, &table, NOW);
    let answer = answers.iter().find(|(front, _)| front == "learner");
    let (_, estimates) = answer.expect("an answer");
    learner.apply(&update("worker", 1, estimates), &own);
    assert_eq!(learner.interval_us(0), Some(20_000));
    assert_eq!(learner.interval_us(1), None);
}

/// Guards against messages of fronts for which speed does not matter.
#[parameterized(
    off = { EndpointSpeed::Off },
    nothing_reported = { EndpointSpeed::Reported },
)]
fn nothing_is_sent_while_inactive(mode: EndpointSpeed) {
    let mut front = front(mode);
    measure(&front.endpoints[0], 20_000, 10);
    assert_eq!(front.message(NOW), None);
}

/// Guards against more than one message per second.
#[test]
fn messages_are_sent_once_per_second() {
    let mut front = front(EndpointSpeed::Always);
    let times = (0..100).map(|step| NOW.saturating_add_ms(step * 50));
    let sent = times.filter(|now| front.message(*now).is_some());
    assert_eq!(sent.count(), 5);
}

/// Guards against an answer for each message of a front that sends more often
/// than once per second.
#[test]
fn a_front_is_answered_about_once_per_second() {
    let all = endpoints();
    let own = workers("worker", &["worker"], &all);
    let table = EndpointTable::new(all);
    let (online, _changes) = OnlineLoad::new();
    let speeds = ServiceSpeeds::new(EndpointSpeed::Always);
    let mut worker = WorkerSpeeds::new(speeds);
    let answers = (1..=200).map(|step| {
        let now = NOW.saturating_add_ms(step * 50);
        worker.record(&update("1", step, &Estimates::new()), &own, now);
        worker.answers(&online, &table, now).len()
    });
    // Every 800 ms in 10 s.
    assert_eq!(answers.sum::<usize>(), 13);
}

/// Guards against a worker that sends estimates of endpoints that are not
/// assigned to it.
#[test]
fn estimates_of_foreign_endpoints_are_ignored() {
    let mut front = front(EndpointSpeed::Always);
    let names = ["worker-1", "worker-2", "worker-3"];
    let workers = workers("worker-1", &names, &front.endpoints);
    let estimate = SpeedEstimate {
        low_us: Some(20_000),
        high_us: None,
        samples: 5,
    };
    let keys = front.endpoints.iter().map(Endpoint::incarnation_key);
    let estimates: Estimates = keys.map(|key| (key, estimate)).collect();
    front.apply(&update("worker-1", 1, &estimates), &workers);
    let known = (0..3).filter(|index| front.interval_us(*index).is_some());
    assert_eq!(known.count(), 1);
}

/// Guards against late and repeated datagrams that replace newer estimates.
#[test]
fn reordered_estimates_are_ignored() {
    let mut front = front(EndpointSpeed::Always);
    let workers = workers("worker", &["worker"], &front.endpoints);
    let key = front.endpoints[0].incarnation_key();
    let estimates = |low_us: u32| -> Estimates {
        let estimate = SpeedEstimate {
            low_us: Some(low_us),
            high_us: None,
            samples: 5,
        };
        vec![(key, estimate)]
    };
    front.apply(&update("worker", 5, &estimates(20_000)), &workers);
    front.apply(&update("worker", 4, &estimates(90_000)), &workers);
    front.apply(&update("worker", 5, &estimates(90_000)), &workers);
    assert_eq!(front.interval_us(0), Some(20_000));
}

/// Guards against a worker that starts items by its own few samples while
/// fronts know the speed of its endpoints.
#[test]
fn a_worker_uses_what_it_combines() {
    let mode = EndpointSpeed::Always;
    let all = endpoints();
    let own = workers("worker", &["worker"], &all);
    let table = EndpointTable::new(all.iter().cloned());
    let speeds = ServiceSpeeds::new(mode);
    let mut worker = WorkerSpeeds::new(speeds.clone());
    let mut other = front(mode);
    for (endpoint, interval_us) in
        other.endpoints.iter().zip([20_000, 21_000, 60_000])
    {
        measure(endpoint, interval_us, 10);
    }
    let message = other.message(NOW).expect("a message");
    worker.record(&update("1", 1, &message), &own, NOW);
    worker.refresh(&table, &own, &Counters::default(), NOW);
    let speed = speeds.of("engines");
    let slow = &all[2];
    let ratio_permille = speed.ratio_permille(slow, 1, NOW);
    assert_eq!(ratio_permille, Some(60_000_000 / 21_000));
}
