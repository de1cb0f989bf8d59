//! What the roles use during a stretch of time.

use std::time::Instant;

use error_stack::Report;
use pomeloslip_bench::{BenchError, Fleet, Process, Usage, get_json};
use serde_json::Value;

/// Use of all processes of a role during a window.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RoleUse {
    /// Processor time a second, of all processes of the role.
    pub(crate) cpu_ms_per_s: f64,
    /// Memory of the largest process at the end.
    pub(crate) rss_mib: f64,
}

/// A stretch of time that has begun.
pub(crate) struct Window {
    start: Instant,
    entries: Usage,
    companions: Usage,
    data: Usage,
    kv: Value,
}

/// A stretch of time that has ended.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) entries: RoleUse,
    pub(crate) companions: RoleUse,
    pub(crate) data: RoleUse,
    pub(crate) seconds: f64,
    kv_before: Value,
    kv_after: Value,
}

impl Window {
    pub(crate) async fn begin(
        fleet: &Fleet,
    ) -> Result<Self, Report<BenchError>> {
        Ok(Self {
            start: Instant::now(),
            entries: Fleet::usage(&fleet.entries)?,
            companions: Fleet::usage(&fleet.companions)?,
            data: Fleet::usage(&fleet.data)?,
            kv: kv_counts(fleet).await?,
        })
    }

    pub(crate) async fn end(
        self,
        fleet: &Fleet,
    ) -> Result<Seen, Report<BenchError>> {
        let seconds = self.start.elapsed().as_secs_f64();
        let role = |processes: &[Process], before: Usage| {
            let now = Fleet::usage(processes)?;
            let mut largest = 0.0_f64;
            for process in processes {
                largest = largest.max(process.usage()?.rss_mib());
            }
            Ok::<_, Report<BenchError>>(RoleUse {
                cpu_ms_per_s: (now - before).cpu_ms as f64 / seconds,
                rss_mib: largest,
            })
        };
        Ok(Seen {
            entries: role(&fleet.entries, self.entries)?,
            companions: role(&fleet.companions, self.companions)?,
            data: role(&fleet.data, self.data)?,
            seconds,
            kv_before: self.kv,
            kv_after: kv_counts(fleet).await?,
        })
    }
}

impl Seen {
    /// Returns how often a kind of call came a second.
    pub(crate) fn kv_per_s(&self, kind: &str) -> f64 {
        let count = |counts: &Value| counts[kind].as_f64().unwrap_or(0.0);
        (count(&self.kv_after) - count(&self.kv_before)) / self.seconds
    }

    /// Returns the watches that wait at the end.
    pub(crate) fn watches(&self) -> u64 {
        self.kv_after["watches_open"].as_u64().unwrap_or(0)
    }
}

async fn kv_counts(fleet: &Fleet) -> Result<Value, Report<BenchError>> {
    get_json(&format!("{}/counts", fleet.kv.url())).await
}

/// Returns the slope of the line through points, by least squares.
pub(crate) fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let product = |(x, y): &(f64, f64)| (x - mean_x) * (y - mean_y);
    let square = |(x, _): &(f64, f64)| (x - mean_x).powi(2);
    let squares = points.iter().map(square).sum::<f64>();
    points.iter().map(product).sum::<f64>() / squares
}

/// Prints a figure with three decimals at most.
pub(crate) fn figure(value: f64) -> String {
    format!("{value:.3}")
}
