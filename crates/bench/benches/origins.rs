//! Ways in which a front learns which version began a stream that a client
//! resumes there, in a model of a fleet without a network: what they cost per
//! stream and per resumed stream, what a node stores, and how many streams can
//! go on after nodes were killed.
//!
//! The holders are those of the shipped code. Bytes are those of the messages
//! between nodes of the shipped format.

use std::process::ExitCode;

use base::{Millis, stable_hash};
use bench::{BenchError, Options, Table, run};
use error_stack::Report;
use origins::{HolderNode, HolderRing, Origin, OriginTable, StreamKey};
use pomeloslip_bench as bench;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Numbers of fronts and workers of the fleets.
const FLEETS: [(usize, usize); 3] = [(5, 3), (25, 7), (275, 70)];

const DOMAINS: usize = 6;

/// Streams a second at one front.
const STREAMS_PER_FRONT: usize = 4;

/// Time for which an origin is stored.
const LIFETIME_MS: u64 = 10_000;

/// Bytes of a record of an origin, of a question and of its answer.
const RECORD_BYTES: usize = 222;
const QUESTION_BYTES: usize = 110;
const ANSWER_BYTES: usize = 165;

/// Bytes of one stored origin: key, binding, expiry and index, twice.
const STORED_BYTES: usize = 160;

/// Share of datagrams that are lost.
const LOSS: f64 = 0.002;

/// One way between two failure domains.
const ONE_WAY_MS: f64 = 0.9;

/// Time after which a silent node is asked again.
const RESEND_MS: f64 = 40.0;

#[derive(Clone, Copy)]
enum Way {
    /// Stored at this many holders when the stream begins.
    Holders(usize),
    /// Kept by the front that began the stream; all fronts are asked.
    AskAllFronts,
    /// Kept likewise; the fronts of the own failure domain are asked.
    AskOwnDomain,
}

const WAYS: [(&str, Way); 5] = [
    ("1 holder", Way::Holders(1)),
    ("2 holders", Way::Holders(2)),
    ("3 holders", Way::Holders(3)),
    ("ask all fronts", Way::AskAllFronts),
    ("ask fronts of domain", Way::AskOwnDomain),
];

/// Which nodes are killed before clients resume their streams.
#[derive(Clone, Copy)]
enum Killed {
    Nothing,
    Front,
    FrontAndWorker,
    Half,
}

const KILLS: [Killed; 4] = [
    Killed::Nothing,
    Killed::Front,
    Killed::FrontAndWorker,
    Killed::Half,
];

fn main() -> ExitCode {
    run(measure)
}

async fn measure(options: Options) -> Result<(), Report<BenchError>> {
    let streams = if options.small { 5_000 } else { 50_000 };
    let mut tables = Vec::new();
    for (fronts, workers) in FLEETS {
        let title = format!("{fronts} fronts, {workers} workers");
        let columns = [
            "way",
            "messages a stream",
            "bytes a stream",
            "messages a resume",
            "bytes a resume",
            "stored KB a node",
            "ms a resume, p99",
            "found: no kill",
            "front killed",
            "front, worker",
            "half of all",
        ];
        let mut table = Table::new(&title, &columns);
        for (name, way) in WAYS {
            let fleet = Fleet::new(fronts, workers, way);
            table.row(fleet.row(name, streams, options.seed));
        }
        tables.push(table);
    }
    Table::print_all("origins", options, &tables);
    Ok(())
}

struct Fleet {
    fronts: usize,
    workers: usize,
    way: Way,
    ring: HolderRing,
}

/// One resumed stream.
struct Resumed {
    is_found: bool,
    messages: usize,
    bytes: usize,
    ms: f64,
}

impl Fleet {
    fn new(fronts: usize, workers: usize, way: Way) -> Self {
        let nodes: Vec<HolderNode> = (0..workers)
            .map(|number| HolderNode {
                name_hash: stable_hash(&["worker", &number.to_string()]),
                domain_hash: (number % DOMAINS) as u64,
            })
            .collect();
        let count = match way {
            Way::Holders(count) => count,
            _ => 0,
        };
        Self {
            fronts,
            workers,
            way,
            ring: HolderRing::new(&nodes).with_count(count),
        }
    }

    fn row(&self, name: &str, streams: usize, seed: u64) -> Vec<String> {
        let pushed = match self.way {
            Way::Holders(count) => count.min(self.workers),
            _ => 0,
        };
        let mut cells = vec![
            name.to_owned(),
            pushed.to_string(),
            (pushed * RECORD_BYTES).to_string(),
        ];
        let (mut found, mut calm) = (Vec::new(), Vec::new());
        for killed in KILLS {
            let mut random = StdRng::seed_from_u64(seed);
            let resumed: Vec<Resumed> = (0..streams)
                .map(|stream| self.resume(stream, killed, &mut random))
                .collect();
            let count = resumed.iter().filter(|one| one.is_found).count();
            found.push(count as f64 / streams as f64);
            if calm.is_empty() {
                calm = resumed;
            }
        }
        let mean = |of: fn(&Resumed) -> usize| {
            let sum: usize = calm.iter().map(of).sum();
            sum as f64 / calm.len() as f64
        };
        let mut times: Vec<f64> = calm.iter().map(|one| one.ms).collect();
        times.sort_by(f64::total_cmp);
        let p99 = times[times.len() * 99 / 100];
        cells.push(format!("{:.1}", mean(|one| one.messages)));
        cells.push(format!("{:.0}", mean(|one| one.bytes)));
        cells.push(format!("{:.1}", self.stored_kb(pushed)));
        cells.push(format!("{p99:.1}"));
        cells.extend(found.iter().map(|share| format!("{share:.3}")));
        cells
    }

    /// Returns what the busiest kind of node stores, checked with the shipped
    /// table for its number of entries.
    fn stored_kb(&self, pushed: usize) -> f64 {
        let streams =
            self.fronts * STREAMS_PER_FRONT * LIFETIME_MS as usize / 1_000;
        let at_worker = streams * pushed / self.workers;
        let at_front = streams / self.fronts;
        let count = at_worker.max(at_front);
        let mut table = OriginTable::default();
        let version = "v1.2".parse();
        let origin =
            version.map_or(Origin::Uncertain, |v| Origin::began_at("llm", v));
        for number in 0..count {
            let key = StreamKey::of_attempt("", &number.to_string());
            table.record(key, origin.clone(), LIFETIME_MS, Millis::new(0));
        }
        (table.len() * STORED_BYTES) as f64 / 1_000.0
    }

    /// Resumes a stream that a front began before nodes were killed.
    fn resume(
        &self,
        stream: usize,
        killed: Killed,
        random: &mut StdRng,
    ) -> Resumed {
        let began_at = random.random_range(0..self.fronts);
        let lost_worker = random.random_range(0..self.workers);
        let key = StreamKey::of_attempt("", &stream.to_string());
        let domain = began_at % DOMAINS;
        let asked: Vec<usize> = match self.way {
            Way::Holders(_) => self.ring.holders(key).collect(),
            Way::AskAllFronts => (0..self.fronts).collect(),
            Way::AskOwnDomain => (0..self.fronts)
                .filter(|front| front % DOMAINS == domain)
                .collect(),
        };
        let mut answers = Vec::new();
        for node in &asked {
            let knows = match self.way {
                Way::Holders(_) => {
                    let is_alive = match killed {
                        Killed::Nothing | Killed::Front => true,
                        Killed::FrontAndWorker => *node != lost_worker,
                        Killed::Half => random.random_bool(0.5),
                    };
                    is_alive && !random.random_bool(LOSS)
                }
                _ => *node == began_at && matches!(killed, Killed::Nothing),
            };
            if knows {
                answers.push(answer_ms(random));
            }
        }
        let first = answers.into_iter().min_by(f64::total_cmp);
        Resumed {
            is_found: first.is_some(),
            messages: 2 * asked.len(),
            bytes: asked.len() * (QUESTION_BYTES + ANSWER_BYTES),
            ms: first.unwrap_or(4.0 * RESEND_MS),
        }
    }
}

/// Returns the time until a node has answered, with lost datagrams.
fn answer_ms(random: &mut StdRng) -> f64 {
    let mut ms = 2.0 * ONE_WAY_MS;
    while random.random_bool(2.0 * LOSS) {
        ms += RESEND_MS;
    }
    ms
}
