//! Calls of the key-value service, by kind, at rest and under load.

use std::{sync::Arc, time::Duration};

use error_stack::{Report, ResultExt};
use pomeloslip_bench::{
    BenchError, Caller, Fleet, FleetOptions, Options, Table,
};
use serde_json::json;
use tokio::task::JoinSet;

use crate::window::{Seen, Window, figure};

const KINDS: [&str; 9] = [
    "calls",
    "range",
    "txn",
    "put",
    "lease_grant",
    "lease_keep_alive",
    "watch",
    "bytes_in",
    "bytes_out",
];

fn row(entries: usize, what: &str, items: f64, seen: &Seen) -> Vec<String> {
    let mut row = vec![entries.to_string(), what.to_owned(), figure(items)];
    row.extend(KINDS.map(|kind| figure(seen.kv_per_s(kind))));
    row.push(seen.watches().to_string());
    row.push(figure(seen.data.cpu_ms_per_s));
    row.push(figure(seen.data.rss_mib));
    row
}

pub(crate) async fn measure(
    options: Options,
) -> Result<Table, Report<BenchError>> {
    let mut columns = vec!["entries", "at", "items/s"];
    columns.extend(KINDS);
    columns.extend(["watches", "data cpu ms/s", "data rss"]);
    let mut table = Table::new(
        "Key-value service: calls and bytes a second, three engines",
        &columns,
    );
    // Entries that have just started still share out the partitions.
    let (jobs, items, seconds, settle_s) = match options.small {
        true => (4, 150, 2, 1),
        false => (20, 1_000, 10, 15),
    };
    for entries in [1, 2] {
        let fleet = FleetOptions::default()
            .entries(entries)
            .services(0)
            .instant_engines();
        let fleet = Fleet::start(fleet).await?;
        tokio::time::sleep(Duration::from_secs(settle_s)).await;
        let window = Window::begin(&fleet).await?;
        tokio::time::sleep(Duration::from_secs(seconds)).await;
        let seen = window.end(&fleet).await?;
        table.row(row(entries, "rest", 0.0, &seen));

        let window = Window::begin(&fleet).await?;
        batch(&fleet, jobs, items).await?;
        let seen = window.end(&fleet).await?;
        let rate = f64::from(jobs * items) / seen.seconds;
        let what = format!("{jobs} jobs");
        table.row(row(entries, &what, rate, &seen));
    }
    Ok(table)
}

/// Runs jobs to their end.
async fn batch(
    fleet: &Fleet,
    jobs: u32,
    items: u32,
) -> Result<(), Report<BenchError>> {
    let urls = fleet.entries.iter().map(|entry| entry.url()).collect();
    let limit = Duration::from_secs(60);
    let caller = Arc::new(Caller::try_new(urls, limit)?);
    let mut running = JoinSet::new();
    for job in 0..jobs {
        let caller = caller.clone();
        running.spawn(async move {
            let file = caller.upload(&input(job, items)).await?;
            let id = caller.start(&file, &format!("job-{job}")).await?;
            caller.ended(&id).await
        });
    }
    while let Some(ended) = running.join_next().await {
        ended.change_context(BenchError::Call)??;
    }
    Ok(())
}

fn input(job: u32, items: u32) -> String {
    let line = |item: u32| {
        let content = format!("capacity {job} {item}");
        let line = json!({
            "custom_id": item.to_string(),
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": {
                "model": "korv-lm",
                "max_tokens": 16,
                "messages": [{"role": "user", "content": content}],
            },
        });
        format!("{line}\n")
    };
    (0..items).map(line).collect()
}
