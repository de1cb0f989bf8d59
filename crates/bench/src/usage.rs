use std::{fs, ops::Sub};

use error_stack::{Report, ResultExt};
use rustix::param::clock_ticks_per_second;

use crate::BenchError;

/// Fields of `/proc/PID/stat` after the name that stand before the user
/// time.
const FIELDS_BEFORE_TIMES: usize = 11;

const MS_PER_S: u64 = 1_000;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Memory now, in bytes.
    pub rss_bytes: u64,
    /// Most memory so far, in bytes.
    pub rss_max_bytes: u64,
    /// Processor time so far, in the system and outside.
    pub cpu_ms: u64,
    /// Threads now.
    pub threads: u64,
}

impl Usage {
    /// Reads what a process has used.
    ///
    /// # Errors
    ///
    /// [`BenchError::Process`] if there is no such process.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_bench::Usage;
    ///
    /// let usage = Usage::of(std::process::id()).unwrap();
    /// assert!(usage.rss_bytes > 0 && usage.threads > 0);
    /// assert!(usage.rss_max_bytes >= usage.rss_bytes);
    /// ```
    pub fn of(pid: u32) -> Result<Self, Report<BenchError>> {
        let read = |name: &str| {
            fs::read_to_string(format!("/proc/{pid}/{name}"))
                .change_context(BenchError::Process)
        };
        let status = read("status")?;
        let stat = read("stat")?;
        Ok(Self {
            rss_bytes: status_field(&status, "VmRSS:") * 1_024,
            rss_max_bytes: status_field(&status, "VmHWM:") * 1_024,
            cpu_ms: cpu_ticks(&stat) * MS_PER_S / clock_ticks_per_second(),
            threads: status_field(&status, "Threads:"),
        })
    }

    /// Returns the memory in MiB.
    pub fn rss_mib(&self) -> f64 {
        self.rss_bytes as f64 / f64::from(1 << 20)
    }
}

/// Leaves the processor time since an earlier look.
impl Sub for Usage {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        let cpu_ms = self.cpu_ms.saturating_sub(earlier.cpu_ms);
        Self { cpu_ms, ..self }
    }
}

fn status_field(status: &str, name: &str) -> u64 {
    let mut values = status.lines().filter_map(|line| {
        let value = line.strip_prefix(name)?;
        value.split_whitespace().next()?.parse().ok()
    });
    values.next().unwrap_or(0)
}

/// The name of a process, in parentheses, may hold blanks.
fn cpu_ticks(stat: &str) -> u64 {
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let times = fields.split_whitespace().skip(FIELDS_BEFORE_TIMES).take(2);
    times.filter_map(|time| time.parse::<u64>().ok()).sum()
}
