//! Slopes over requests a second and over open streams.

use std::time::Duration;

use error_stack::{Report, ResultExt};
use load::{Arrivals, Plan};
use pomeloslip_bench::{
    BenchError, CUSTOMER_KEY, Fleet, FleetOptions, Options, Table,
};

use crate::window::{Seen, Window, figure, slope};

const MODEL: &str = "korv-lm";

/// Tokens of each answer at the sweep over requests.
const TOKENS: u32 = 16;

/// Tokens that each stream gets a second at the sweep over streams.
const STREAM_TOKENS_PER_S: u32 = 5;

/// Sends a load to both entries and measures amid it.
async fn under_load(
    fleet: &Fleet,
    plan: &Plan,
    seconds: u64,
) -> Result<Seen, Report<BenchError>> {
    let mut runs = tokio::task::JoinSet::new();
    for entry in &fleet.entries {
        let plan = plan.clone().target(&entry.url());
        runs.spawn(async move { load::run(&plan, |_| {}).await });
    }
    // A second to get up, the same before the load ends.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let window = Window::begin(fleet).await?;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let seen = window.end(fleet).await?;
    while let Some(ended) = runs.join_next().await {
        let report = ended.change_context(BenchError::Call)?;
        let report = report.change_context(BenchError::Call)?;
        if !report.is_clean() || report.online.right == 0 {
            return Err(Report::new(BenchError::Promise)
                .attach(format!("not all answers are right\n{report}")));
        }
    }
    Ok(seen)
}

fn row(sweep: &str, at: f64, seen: &Seen) -> [String; 7] {
    [
        sweep.to_owned(),
        figure(at),
        figure(seen.entries.cpu_ms_per_s),
        figure(seen.companions.cpu_ms_per_s),
        figure(seen.entries.rss_mib),
        figure(seen.companions.rss_mib),
        figure(seen.kv_per_s("calls")),
    ]
}

fn slope_row(sweep: &str, points: &[(f64, Seen)]) -> [String; 7] {
    let of = |pick: fn(&Seen) -> f64| {
        let all = points.iter().map(|(at, seen)| (*at, pick(seen)));
        figure(slope(&all.collect::<Vec<_>>()))
    };
    [
        format!("{sweep}: slope"),
        "per 1".to_owned(),
        of(|seen| seen.entries.cpu_ms_per_s),
        of(|seen| seen.companions.cpu_ms_per_s),
        of(|seen| seen.entries.rss_mib),
        of(|seen| seen.companions.rss_mib),
        of(|seen| seen.kv_per_s("calls")),
    ]
}

pub(crate) async fn measure(
    options: Options,
) -> Result<Table, Report<BenchError>> {
    let mut table = Table::new(
        "Online, two entries and three companions: processor time of each \
         role together in ms/s, memory of its largest process in MiB",
        &[
            "sweep",
            "at",
            "entries cpu",
            "companions cpu",
            "entry rss",
            "companion rss",
            "kv calls/s",
        ],
    );
    let seconds = if options.small { 2 } else { 8 };
    let plan = Plan::new("http://unused", MODEL)
        .key(CUSTOMER_KEY)
        .seed(options.seed)
        .duration_ms((seconds + 2) * 1_000);
    let rates: &[u32] = match options.small {
        true => &[50, 200],
        false => &[50, 100, 200, 400],
    };
    let streams: &[u32] = match options.small {
        true => &[50, 400],
        false => &[50, 200, 400, 800, 1_600],
    };
    for (sweep, sizes) in [("requests/s", rates), ("streams", streams)] {
        let by_streams = sweep == "streams";
        let fleet = Fleet::start(fleet_options(by_streams)).await?;
        let mut points = Vec::new();
        for &size in sizes {
            // Half of it goes to each entry.
            let (arrivals, tokens) = match by_streams {
                true => {
                    let tokens = STREAM_TOKENS_PER_S * (seconds as u32 + 2);
                    (Arrivals::Streams(size / 2), tokens)
                }
                false => {
                    let rate = f64::from(size) / 2.0;
                    (Arrivals::PerSecond(rate), TOKENS)
                }
            };
            let plan = plan.clone().arrivals(arrivals).max_tokens(tokens);
            let plan = match by_streams {
                // Each stream sends one request that fills the time.
                true => plan.duration_ms(1),
                false => plan,
            };
            let seen = under_load(&fleet, &plan, seconds).await?;
            table.row(row(sweep, f64::from(size), &seen));
            points.push((f64::from(size), seen));
        }
        table.row(slope_row(sweep, &points));
    }
    Ok(table)
}

fn fleet_options(slow: bool) -> FleetOptions {
    let options = FleetOptions::default().instant_engines().adjust(|all| {
        if let Some(endpoint) = &mut all.endpoint {
            endpoint.max_running = 4_096;
        }
    });
    match slow {
        true => {
            let step_ms = 1_000 / STREAM_TOKENS_PER_S;
            options.engine_setting(&format!("base_step_ms={step_ms}"))
        }
        false => options,
    }
}
