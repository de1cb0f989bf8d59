//! What a choice of an endpoint costs with and without speeds, in fleets of 54
//! and 2,200 endpoints. Each front has its share of them, with a random load.
//!
//! Promise checked: with speeds, a choice costs at most twice as much in the
//! large fleet as in the small one.

use std::{hint::black_box, process::ExitCode, time::Instant};

use base::{Millis, mix};
use bench::{BenchError, Options, Table};
use error_stack::{Report, ensure};
use fleet::{
    Endpoint, EndpointQuery, EndpointRecord, EndpointSpeed, EndpointState,
    EndpointTable, LoadReport, Selection, ServiceSpeeds, SpeedSample,
};
use pomeloslip_bench as bench;

const SERVICE: &str = "engines";
const SLOTS: u32 = 7;

/// Endpoints and fronts of the fleets.
const FLEETS: [(usize, usize); 2] = [(54, 18), (2_200, 200)];

/// Rounds of which the fastest counts: others share the machine.
const ROUNDS: usize = 7;

const NOW: Millis = Millis::new(100_000);

fn main() -> ExitCode {
    bench::run(measure)
}

async fn measure(options: Options) -> Result<(), Report<BenchError>> {
    let choices = if options.small { 2_000 } else { 50_000 };
    let mut table = Table::new(
        "Time of a choice in ns",
        &["endpoints", "no speeds", "off", "active"],
    );
    let mut active_ns = Vec::new();
    for (endpoints, fronts) in FLEETS {
        let fleet = Fleet::new(endpoints, fronts);
        let plain = fleet.selection.clone();
        let times = [
            fleet.time_ns(&plain, choices),
            fleet.time_ns(&fleet.with_mode(EndpointSpeed::Off), choices),
            fleet.time_ns(&fleet.with_mode(EndpointSpeed::Always), choices),
        ];
        active_ns.push(times[2]);
        let numbers = times.iter().map(|ns| format!("{ns:.0}"));
        let row: Vec<String> =
            [endpoints.to_string()].into_iter().chain(numbers).collect();
        table.row(row);
    }
    Table::print_all("endpoint_speed", options, &[table]);
    ensure!(active_ns[1] <= 2.0 * active_ns[0], BenchError::Promise);
    Ok(())
}

struct Fleet {
    endpoints: Vec<Endpoint>,
    table: EndpointTable,
    selection: Selection,
}

impl Fleet {
    fn new(count: usize, fronts: usize) -> Self {
        let endpoints: Vec<Endpoint> = (0..count).map(endpoint).collect();
        let table = EndpointTable::new(endpoints.iter().cloned());
        let is_own = |endpoint: &Endpoint| {
            let number: usize = endpoint.record().id.parse().unwrap_or(0);
            number.is_multiple_of(fronts)
        };
        let selection = Selection::new("front", &table, is_own);
        Self {
            endpoints,
            table,
            selection,
        }
    }

    fn with_mode(&self, mode: EndpointSpeed) -> Selection {
        let speeds = ServiceSpeeds::new(mode);
        let selection = self.selection.clone().with_speeds(&speeds);
        for (speed, keys) in selection.speeds() {
            let used = keys.filter_map(|key| self.table.get(key));
            speed.refresh(used, NOW);
        }
        selection
    }

    /// Returns the time of one choice.
    fn time_ns(&self, selection: &Selection, choices: u64) -> f64 {
        for endpoint in &self.endpoints {
            endpoint.record_remote_load(
                (mix(endpoint.id_hash()) % u64::from(SLOTS + 2)) as u32,
                NOW,
            );
        }
        let round = |_| {
            let began = Instant::now();
            for affinity in 0..choices {
                let query = EndpointQuery {
                    service: SERVICE,
                    failure_domain: "east",
                    affinity: mix(affinity),
                    tried: &[],
                    under_way: &[],
                    queue_allowance: 1,
                    binding: None,
                };
                let choice = self.table.choose(selection, &query, NOW);
                let _ = black_box(choice);
            }
            began.elapsed().as_nanos() as f64 / choices as f64
        };
        (0..ROUNDS).map(round).fold(f64::MAX, f64::min)
    }
}

/// Creates an endpoint of known speed: 0.6, 1 or 1.6 times the usual interval.
fn endpoint(number: usize) -> Endpoint {
    let endpoint = Endpoint::new(EndpointRecord {
        id: number.to_string(),
        started_at: None,
        version: None,
        address: ([127, 0, 0, 1], 80).into(),
        service: SERVICE.to_owned(),
        failure_domain: "east".to_owned(),
        slots: SLOTS,
        state: EndpointState::Ready,
    });
    let interval_us = [12_000, 20_000, 32_000][number % 3];
    let sample = SpeedSample::of_stream(11, interval_us * 10, 1, None);
    for sample in std::iter::repeat_n(sample, 10).flatten() {
        endpoint.record_sample(sample, NOW);
    }
    endpoint.record_load(
        LoadReport {
            running: 1,
            waiting: 0,
            slots: SLOTS,
            slowdown_percent: Some(100),
        },
        NOW,
    );
    endpoint
}
