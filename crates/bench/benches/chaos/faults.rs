//! What goes wrong, one after the other.

use std::{fs, time::Duration};

use error_stack::{Report, ResultExt};
use pomeloslip_bench::{BenchError, Fleet, get_json, post_json};
use serde_json::json;

/// Share of writes whose answer is lost, all the time.
const LOSE_ANSWER: f64 = 0.05;

/// Time that a killed process is away.
const AWAY: Duration = Duration::from_secs(1);

/// How a lost data VM comes back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DataVm {
    WithItsFolder,
    Empty,
}

/// One fault.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    KillOwner,
    KillData(DataVm),
    KillCompanions,
    PauseOwner { pause: Duration },
    Outage { outage: Duration },
}

impl Fault {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Fault::KillOwner => "an owner entry killed",
            Fault::KillData(DataVm::WithItsFolder) => {
                "a data VM killed, back with its folder"
            }
            Fault::KillData(DataVm::Empty) => "a data VM killed, back empty",
            Fault::KillCompanions => "two companions killed",
            Fault::PauseOwner { .. } => "an owner paused past its lease",
            Fault::Outage { .. } => "an outage of the key-value service",
        }
    }

    /// Lets it happen and returns when all runs again.
    pub(crate) async fn happen(
        self,
        fleet: &mut Fleet,
        seed: u64,
    ) -> Result<(), Report<BenchError>> {
        match self {
            Fault::KillOwner => {
                let at = owner(fleet).await;
                fleet.entries[at].kill()?;
                tokio::time::sleep(AWAY).await;
                fleet.entries[at].restart()
            }
            Fault::KillData(back) => {
                fleet.data[0].kill()?;
                if back == DataVm::Empty {
                    fs::remove_dir_all(fleet.data_folder(0))
                        .change_context(BenchError::Process)?;
                }
                tokio::time::sleep(AWAY).await;
                fleet.data[0].restart()
            }
            Fault::KillCompanions => {
                for companion in &mut fleet.companions[..2] {
                    companion.kill()?;
                }
                tokio::time::sleep(AWAY).await;
                for companion in &mut fleet.companions[..2] {
                    companion.restart()?;
                }
                Ok(())
            }
            Fault::PauseOwner { pause } => {
                let at = owner(fleet).await;
                fleet.entries[at].pause()?;
                tokio::time::sleep(pause).await;
                fleet.entries[at].resume()
            }
            Fault::Outage { outage } => {
                lose_answers(fleet, seed, outage).await?;
                tokio::time::sleep(outage).await;
                Ok(())
            }
        }
    }
}

/// Finds the entry that owns the most partitions.
async fn owner(fleet: &Fleet) -> usize {
    let mut owned = Vec::new();
    for entry in &fleet.entries {
        let status = get_json(&format!("{}/status", entry.url())).await;
        let count = status
            .ok()
            .and_then(|status| status["partitions"].as_array().map(Vec::len));
        owned.push(count.unwrap_or(0));
    }
    let most = owned.iter().enumerate().max_by_key(|(_, count)| **count);
    most.map_or(0, |(at, _)| at)
}

/// Lets the key-value service lose answers, after an outage of this length.
pub(crate) async fn lose_answers(
    fleet: &Fleet,
    seed: u64,
    outage: Duration,
) -> Result<(), Report<BenchError>> {
    let faults = json!({
        "lose_answer": LOSE_ANSWER,
        "seed": seed,
        "down_ms": outage.as_millis() as u64,
    });
    post_json(&format!("{}/faults", fleet.kv.url()), &faults).await
}
