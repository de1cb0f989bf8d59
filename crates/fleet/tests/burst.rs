//! A burst of many nodes before engines that are nearly full, by a stepped
//! clock and without a network: the shipped choice, old views, queues.
//!
//! The pattern: seventeen nodes send 355 streams a second for 2.4 s to 38
//! engines of seven slots; a stream holds a slot for 0.75 s on average, so
//! that all slots are wanted. What a node knows of the others is up to a
//! tenth of a second old. A first event is in time if it waits 240 ms at the
//! most for a slot.

use std::collections::VecDeque;

use base::Millis;
use pomeloslip_fleet::{
    Endpoint, EndpointRecord, EndpointState, EndpointTable, Need, Selection,
};

const NODES: usize = 17;
const ENGINES: usize = 38;
const SLOTS: u32 = 7;
const BURST_MS: u64 = 2_400;
const UPDATE_MS: u64 = 50;
const PATIENCE_MS: u64 = 240;
/// Arrivals in a thousand milliseconds.
const RATE: u64 = 355;

/// Numbers that look random and are the same each time.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = base::mix(self.0.wrapping_add(1));
        self.0 % bound
    }
}

#[derive(Default)]
struct Engine {
    /// Node and end of each stream that runs.
    running: Vec<(usize, u64)>,
    /// Node and arrival of each that waits.
    waiting: VecDeque<(usize, u64)>,
}

#[derive(Debug, Default)]
struct Outcome {
    in_time: u32,
    late: u32,
    refused: u32,
    longest_queue: usize,
}

/// Plays a burst.
fn play(seed: u64) -> Outcome {
    let mut random = Random(seed);
    let mut engines: Vec<Engine> =
        (0..ENGINES).map(|_| Engine::default()).collect();
    let views: Vec<Vec<Endpoint>> = (0..NODES).map(|_| view()).collect();
    let tables: Vec<EndpointTable> = views
        .iter()
        .map(|view| EndpointTable::new(view.iter().cloned()))
        .collect();
    let selections: Vec<Selection> = (0..NODES)
        .map(|node| {
            let is_own = |endpoint: &Endpoint| {
                let at: usize = endpoint.record().id.parse().expect("number");
                at % NODES == node
            };
            Selection::new(&format!("node-{node}"), &tables[node], is_own)
        })
        .collect();
    let mut counts = vec![[0_u32; NODES]; ENGINES];
    let mut outcome = Outcome::default();
    for now in 1..BURST_MS + 2_000 {
        for (at, engine) in engines.iter_mut().enumerate() {
            engine.running.retain(|(node, ends)| {
                if *ends <= now {
                    views[*node][at].end();
                }
                *ends > now
            });
            while engine.running.len() < SLOTS as usize {
                let Some((node, arrived)) = engine.waiting.pop_front() else {
                    break;
                };
                match now - arrived <= PATIENCE_MS {
                    true => outcome.in_time += 1,
                    false => outcome.late += 1,
                }
                let ends = now + 500 + random.below(500);
                engine.running.push((node, ends));
            }
        }
        if now % UPDATE_MS == 0 {
            // What the nodes hear now was sent one update before.
            report(&views, &counts, now);
            count(&views, &mut counts);
        }
        if now > BURST_MS || random.below(1_000) >= RATE {
            continue;
        }
        let node = random.below(NODES as u64) as usize;
        let need = Need {
            service: "engines",
            failure_domain: "east",
            affinity: random.below(1_000),
            tried: &[],
            queue_allowance: 1,
        };
        let selection = &selections[node];
        match tables[node].choose(selection, &need, Millis::new(now)) {
            Ok(choice) => {
                choice.endpoint.begin();
                let id = &choice.endpoint.record().id;
                let at: usize = id.parse().expect("a number");
                engines[at].waiting.push_back((node, now));
                let queue = engines[at].waiting.len();
                outcome.longest_queue = outcome.longest_queue.max(queue);
            }
            Err(_) => outcome.refused += 1,
        }
    }
    outcome
}

fn view() -> Vec<Endpoint> {
    let endpoint = |at: usize| {
        Endpoint::new(EndpointRecord {
            id: at.to_string(),
            started_at: None,
            address: ([127, 0, 0, 1], 80).into(),
            service: "engines".to_owned(),
            failure_domain: "east".to_owned(),
            slots: SLOTS,
            state: EndpointState::Ready,
        })
    };
    (0..ENGINES).map(endpoint).collect()
}

fn count(views: &[Vec<Endpoint>], counts: &mut [[u32; NODES]]) {
    for (at, counts) in counts.iter_mut().enumerate() {
        for (node, view) in views.iter().enumerate() {
            counts[node] = view[at].in_flight();
        }
    }
}

fn report(views: &[Vec<Endpoint>], counts: &[[u32; NODES]], now: u64) {
    for (at, counts) in counts.iter().enumerate() {
        let all: u32 = counts.iter().sum();
        for (node, view) in views.iter().enumerate() {
            view[at].report_remote(all - counts[node], Millis::new(now));
        }
    }
}

/// Symptom: first events come a second late in a burst while most engines
/// have no queue. Events: nearly all engines are full; one gets a free slot,
/// every node sees it, and ten requests arrive there before any node hears
/// of the others. Cause: each node took the least loaded of all.
///
/// With the least loaded of all 1,149 of 8,600 were late, and 17 requests
/// waited at one engine.
#[test]
fn nodes_do_not_all_send_to_the_one_engine_with_a_free_slot() {
    let mut all = Outcome::default();
    for seed in 1..=10 {
        let one = play(seed);
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
