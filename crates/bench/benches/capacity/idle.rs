//! What is used at rest: companions, endpoints, customers.

use std::{
    fmt::Write,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use base::KeyDigest;
use conf::settings::Role;
use error_stack::{Report, ResultExt};
use pomeloslip_bench::{BenchError, Fleet, FleetOptions, Options, Table};
use serde_json::json;

use crate::{
    relay::{Relayed, relay},
    window::{Window, figure, slope},
};

/// Measures one entry with idle companions of engines.
pub(crate) async fn companions(
    options: Options,
) -> Result<Table, Report<BenchError>> {
    let mut table = Table::new(
        "At rest, one entry: each idle companion of an engine",
        &[
            "companions",
            "entry cpu ms/s",
            "companions cpu ms/s",
            "entry rss",
            "companion rss",
            "pieces/s",
            "bytes/s",
            "kv calls/s",
        ],
    );
    let (sizes, seconds): (&[usize], u64) = match options.small {
        true => (&[1, 8], 2),
        false => (&[1, 8, 24], 10),
    };
    let mut points = Vec::new();
    for &size in sizes {
        let relayed = Arc::new(Relayed::default());
        let counted = relayed.clone();
        let fleet = FleetOptions::default()
            .entries(1)
            .services(0)
            .engines(size)
            .adjust(move |settings| {
                if settings.role != Role::Companion {
                    return;
                }
                for entry in &mut settings.entries {
                    // Without a relay the companion pulls uncounted.
                    if let Ok(relay) = relay(*entry, counted.clone()) {
                        *entry = relay;
                    }
                }
            });
        let fleet = Fleet::start(fleet).await?;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let before = counts(&relayed);
        let window = Window::begin(&fleet).await?;
        tokio::time::sleep(Duration::from_secs(seconds)).await;
        let seen = window.end(&fleet).await?;
        let after = counts(&relayed);
        let values = [
            seen.entries.cpu_ms_per_s,
            seen.companions.cpu_ms_per_s,
            seen.entries.rss_mib,
            seen.companions.rss_mib,
            (after[0] - before[0]) as f64 / seen.seconds,
            (after[1] - before[1]) as f64 / seen.seconds,
            seen.kv_per_s("calls"),
        ];
        table.row(row(&size.to_string(), &values));
        points.push((size as f64, values));
    }
    table.row(slopes("slope per 1", &points));
    Ok(table)
}

fn counts(relayed: &Relayed) -> [u64; 2] {
    [&relayed.pieces, &relayed.bytes].map(|n| n.load(Ordering::Relaxed))
}

fn row(name: &str, values: &[f64]) -> Vec<String> {
    let mut row = vec![name.to_owned()];
    row.extend(values.iter().map(|value| figure(*value)));
    row
}

fn slopes<const N: usize>(
    name: &str,
    points: &[(f64, [f64; N])],
) -> Vec<String> {
    let of = |at: usize| {
        let all = points.iter().map(|(size, values)| (*size, values[at]));
        slope(&all.collect::<Vec<_>>())
    };
    row(name, &(0..N).map(of).collect::<Vec<_>>())
}

fn key_of(customer: usize) -> String {
    format!("capacity-key-{customer}")
}

fn configuration(customers: usize) -> String {
    let mut text = "tenants:\n".to_owned();
    for customer in 0..customers {
        let digest = KeyDigest::of_key(&key_of(customer));
        let _ = writeln!(
            text,
            "  - {{tenant: t{customer}, key_sha256: {digest}, \
             limits: {{concurrent: 100}}}}"
        );
    }
    text + "\
pools: [{pool: korv-lm, kind: engine, models: korv-lm}]
rules: [{when: {model: korv-lm}, then: {pool: korv-lm}}]
"
}

/// Measures an entry that knows so many customers and has served each.
pub(crate) async fn customers(
    options: Options,
) -> Result<Table, Report<BenchError>> {
    let mut table = Table::new(
        "Tenants: memory of one entry and one companion in MiB, before and \
         after a call of each tenant",
        &[
            "tenants",
            "entry",
            "entry after",
            "companion",
            "companion after",
            "entry cpu ms/s at rest after",
        ],
    );
    let sizes: &[usize] = match options.small {
        true => &[1, 1_400],
        false => &[1, 200, 700, 1_400],
    };
    let mut points = Vec::new();
    for &size in sizes {
        let fleet = FleetOptions::default()
            .entries(1)
            .services(0)
            .engines(1)
            .instant_engines()
            .configuration(configuration(size));
        let fleet = Fleet::start(fleet).await?;
        let before = rss(&fleet)?;
        call_each(&fleet, size).await?;
        let window = Window::begin(&fleet).await?;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let seen = window.end(&fleet).await?;
        let after = rss(&fleet)?;
        let values = [
            before[0],
            after[0],
            before[1],
            after[1],
            seen.entries.cpu_ms_per_s,
        ];
        table.row(row(&size.to_string(), &values));
        points.push((size as f64, values));
    }
    table.row(slopes("slope per 1", &points));
    Ok(table)
}

fn rss(fleet: &Fleet) -> Result<[f64; 2], Report<BenchError>> {
    let entry = fleet.entries[0].usage()?;
    let companion = fleet.companions[0].usage()?;
    Ok([entry.rss_mib(), companion.rss_mib()])
}

async fn call_each(
    fleet: &Fleet,
    customers: usize,
) -> Result<(), Report<BenchError>> {
    let client = reqwest::Client::builder().no_proxy().build();
    let client = client.change_context(BenchError::Call)?;
    let url = format!("{}/v1/chat/completions", fleet.entries[0].url());
    for customer in 0..customers {
        let body = json!({
            "model": "korv-lm",
            "max_tokens": 2,
            "messages": [{"role": "user", "content": "hello"}],
        });
        let call = client.post(&url).bearer_auth(key_of(customer)).json(&body);
        let answer = call.send().await.change_context(BenchError::Call)?;
        let status = answer.status();
        let text = answer.text().await.change_context(BenchError::Call)?;
        if !status.is_success() {
            let why = format!("tenant {customer}: {status}: {text}");
            return Err(Report::new(BenchError::Call).attach(why));
        }
    }
    Ok(())
}
