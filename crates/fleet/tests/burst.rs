//! Simulates a burst of requests from many nodes to engines that are nearly
//! full, with a stepped clock and without a network. It uses the real endpoint
//! choice, delayed knowledge of other nodes' load, and queues at the engines.
//!
//! Load: seventeen nodes send 355 streams a second for 2.4 s to 38 engines
//! with seven slots each. A stream holds a slot for 0.75 s on average, so all
//! slots are needed. What a node knows of the others is up to a tenth of a
//! second old. A first event is in time if it waits at most 240 ms for a slot.

use std::collections::{HashSet, VecDeque};

use base::Millis;
use pomeloslip_fleet::{
    Endpoint, EndpointQuery, EndpointRecord, EndpointState, EndpointTable,
    IncarnationKey, Selection,
};

const SLOTS: u32 = 7;
const BURST_MS: u64 = 2_400;
const UPDATE_MS: u64 = 50;
const MAX_WAIT_MS: u64 = 240;

/// A fleet and its load.
#[derive(Clone, Copy)]
struct Fleet {
    nodes: usize,
    engines: usize,
    /// Arrivals per second.
    rate: u64,
}

/// The fleet in which the failure was first observed.
const SMALL: Fleet = Fleet {
    nodes: 17,
    engines: 38,
    rate: 355,
};

/// Ten times as many nodes, engines and requests.
const LARGE: Fleet = Fleet {
    nodes: 170,
    engines: 380,
    rate: 3_550,
};

/// Deterministic pseudo-random numbers.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = base::mix(self.0.wrapping_add(1));
        self.0 % bound
    }
}

#[derive(Default)]
struct Engine {
    /// Node and end time of each running stream.
    running: Vec<(usize, u64)>,
    /// Node and arrival time of each waiting request.
    waiting: VecDeque<(usize, u64)>,
}

#[derive(Debug, Default)]
struct Outcome {
    in_time: u32,
    late: u32,
    refused: u32,
    longest_queue: usize,
}

/// Simulates one burst.
fn simulate_burst(fleet: Fleet, seed: u64) -> Outcome {
    let Fleet {
        nodes,
        engines: engine_count,
        rate,
    } = fleet;
    let mut random = Random(seed);
    let mut engines: Vec<Engine> =
        (0..engine_count).map(|_| Engine::default()).collect();
    let views: Vec<Vec<Endpoint>> =
        (0..nodes).map(|_| view(engine_count)).collect();
    let tables: Vec<EndpointTable> = views
        .iter()
        .map(|view| EndpointTable::new(view.iter().cloned()))
        .collect();
    let selections: Vec<Selection> = (0..nodes)
        .map(|node| {
            let is_own = |endpoint: &Endpoint| {
                let index: usize =
                    endpoint.record().id.parse().expect("number");
                index % nodes == node
            };
            Selection::new(&format!("node-{node}"), &tables[node], is_own)
        })
        .collect();
    let mut counts = vec![vec![0_u32; nodes]; engine_count];
    let mut outcome = Outcome::default();
    for now in 1..BURST_MS + 2_000 {
        for (index, engine) in engines.iter_mut().enumerate() {
            engine.running.retain(|(node, ends)| {
                if *ends <= now {
                    views[*node][index].end_request();
                }
                *ends > now
            });
            while engine.running.len() < SLOTS as usize {
                let Some((node, arrived)) = engine.waiting.pop_front() else {
                    break;
                };
                match now - arrived <= MAX_WAIT_MS {
                    true => outcome.in_time += 1,
                    false => outcome.late += 1,
                }
                let ends = now + 500 + random.below(500);
                engine.running.push((node, ends));
            }
        }
        if now % UPDATE_MS == 0 {
            // The counts that the nodes receive now are one update interval
            // old.
            report(&views, &selections, &counts, now);
            count(&views, &mut counts);
        }
        if now > BURST_MS {
            continue;
        }
        // The integer part of the arrivals of each millisecond, and the
        // fraction at random.
        let fraction = u64::from(random.below(1_000) < rate % 1_000);
        for _ in 0..rate / 1_000 + fraction {
            let node = random.below(nodes as u64) as usize;
            let query = EndpointQuery {
                service: "engines",
                failure_domain: "east",
                affinity: random.below(1_000),
                tried: &[],
                under_way: &[],
                queue_allowance: 1,
                binding: None,
            };
            let selection = &selections[node];
            match tables[node].choose(selection, &query, Millis::new(now)) {
                Ok(choice) => {
                    choice.endpoint.begin_request();
                    let id = &choice.endpoint.record().id;
                    let index: usize = id.parse().expect("a number");
                    engines[index].waiting.push_back((node, now));
                    let queue = engines[index].waiting.len();
                    outcome.longest_queue = outcome.longest_queue.max(queue);
                }
                Err(_) => outcome.refused += 1,
            }
        }
    }
    outcome
}

fn view(engines: usize) -> Vec<Endpoint> {
    let endpoint = |index: usize| {
        Endpoint::new(EndpointRecord {
            id: index.to_string(),
            started_at: None,
            version: None,
            address: ([127, 0, 0, 1], 80).into(),
            service: "engines".to_owned(),
            failure_domain: "east".to_owned(),
            slots: SLOTS,
            state: EndpointState::Ready,
        })
    };
    (0..engines).map(endpoint).collect()
}

fn count(views: &[Vec<Endpoint>], counts: &mut [Vec<u32>]) {
    for (index, counts) in counts.iter_mut().enumerate() {
        for (node, view) in views.iter().enumerate() {
            counts[node] = view[index].in_flight();
        }
    }
}

/// Records at each node the load of the others at its selected endpoints; it
/// learns nothing of other endpoints.
fn report(
    views: &[Vec<Endpoint>],
    selections: &[Selection],
    counts: &[Vec<u32>],
    now: u64,
) {
    for (node, selection) in selections.iter().enumerate() {
        let selected: HashSet<IncarnationKey> = selection.iter().collect();
        for (index, endpoint) in views[node].iter().enumerate() {
            if selected.contains(&endpoint.incarnation_key()) {
                let all: u32 = counts[index].iter().sum();
                let others = all - counts[index][node];
                endpoint.record_remote_load(others, Millis::new(now));
            }
        }
    }
}

/// Guards against first events that are a second late in a burst while most
/// engines have no queue: when each node took the least loaded of all engines,
/// every node saw the one with a free slot, and ten requests arrived there
/// before any node learned of the others.
///
/// With that choice 1,149 of 8,600 first events were late, and 17 requests
/// waited at one engine.
#[test]
fn nodes_do_not_all_send_to_the_one_engine_with_a_free_slot() {
    let mut all = Outcome::default();
    for seed in 1..=10 {
        let one = simulate_burst(SMALL, seed);
        all.in_time += one.in_time;
        all.late += one.late;
        all.refused += one.refused;
        all.longest_queue = all.longest_queue.max(one.longest_queue);
    }
    println!("ten bursts: {all:?}");
    let share_late = f64::from(all.late) / f64::from(all.in_time + all.late);
    assert!(share_late < 0.1, "{all:?}");
    assert!(all.longest_queue <= 10, "{all:?}");
    assert_eq!(all.refused, 0, "{all:?}");
}

/// A node of a large fleet receives the load of a few endpoints only, and
/// knows just its own requests at the others. Ten times the fleet and the load
/// must perform as well as the small fleet, where a selection covers half of
/// all endpoints.
#[test]
fn a_large_fleet_does_as_well_with_a_selection() {
    let outcome = simulate_burst(LARGE, 1);
    println!("one burst: {outcome:?}");
    let ended = f64::from(outcome.in_time + outcome.late);
    let share_late = f64::from(outcome.late) / ended;
    assert!(share_late < 0.1, "{outcome:?}");
    assert!(outcome.longest_queue <= 10, "{outcome:?}");
    assert_eq!(outcome.refused, 0, "{outcome:?}");
}
