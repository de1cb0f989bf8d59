//! The roles on the users' platform: `pomeloslipd fleet front|worker`.

use std::{
    io,
    path::{Path, PathBuf},
    str::FromStr,
    sync::Arc,
    time::Duration,
};

use base::{SystemClock, timer::Timer};
use error_stack::{Report, ResultExt};
use kv::paths::Paths;
use node::{
    BodyPace, CallerLimits, ClusterState, EndpointSpeed, Front, LingerLimits,
    NodeContext, NodeSettings, Signals, Worker,
};
use obs::LogSettings;
use pass::Counters;
use platform::{MachineSettings, PlatformDialect, PlatformKv};
use pomeloslip::daemon::DaemonError;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    time,
};

/// A role of the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FleetRole {
    /// Takes callers' requests.
    Front,
    /// Runs the items of batch jobs.
    Worker,
}

impl FleetRole {
    pub(crate) fn parse(word: &str) -> Option<Self> {
        match word {
            "front" => Some(FleetRole::Front),
            "worker" => Some(FleetRole::Worker),
            _ => None,
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            FleetRole::Front => "front",
            FleetRole::Worker => "worker",
        }
    }
}

/// How a process of the fleet is started.
#[derive(Clone, Debug)]
pub(crate) struct FleetCommand {
    pub(crate) role: FleetRole,
    pub(crate) metrics_port: Option<u16>,
    pub(crate) endpoint_speed: EndpointSpeed,
    pub(crate) fair_shares: Toggle,
    pub(crate) customers_file: Option<PathBuf>,
    pub(crate) body_pace: BodyPace,
    pub(crate) linger: LingerLimits,
}

/// The value of an option that is on or off.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Toggle {
    On,
    #[default]
    Off,
}

impl FromStr for Toggle {
    type Err = &'static str;

    fn from_str(word: &str) -> Result<Self, Self::Err> {
        match word {
            "on" => Ok(Toggle::On),
            "off" => Ok(Toggle::Off),
            _ => Err("must be on or off"),
        }
    }
}

/// Time between two looks at the settings file, which may also change
/// without a signal.
const SETTINGS_LOOK: Duration = Duration::from_secs(1);

/// Runs a role until its planned stop.
pub(crate) fn run(command: FleetCommand) -> Result<(), Report<DaemonError>> {
    let path = MachineSettings::path().change_context(DaemonError)?;
    let machine = MachineSettings::read(&path).change_context(DaemonError)?;
    let settings = machine.node_settings(command.metrics_port);
    let settings = NodeSettings {
        endpoint_speed: command.endpoint_speed,
        fair_shares: command.fair_shares == Toggle::On,
        customers_file: command.customers_file,
        caller_limits: CallerLimits {
            body_pace: command.body_pace,
            linger: command.linger,
            ..settings.caller_limits
        },
        ..settings
    };
    let logs = log_settings(&settings, command.role);
    let _logs = obs::logs::start_to(&logs, Box::new(io::stdout()))
        .change_context(DaemonError)?;
    obs::logs::log_panics();
    // One thread: these machines have a part of one core, and a second
    // thread would only add switches between the two.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(DaemonError)?;
    runtime.block_on(live(command.role, machine, path, settings))
}

async fn live(
    role: FleetRole,
    machine: MachineSettings,
    path: PathBuf,
    settings: NodeSettings,
) -> Result<(), Report<DaemonError>> {
    let (stop, stopped) = watch::channel(false);
    listen_for_stop(stop).change_context(DaemonError)?;
    let signals = Signals { stop: stopped };
    let clock = Arc::new(SystemClock::new());
    let timer = Timer::new(clock.clone());
    tokio::spawn(timer.clone().drive());
    let paths = Arc::new(Paths::new(settings.kv));
    let counters = Arc::new(Counters::default());
    let kv = PlatformKv::new(
        paths.clone(),
        clock.clone(),
        counters.clone(),
        settings.watch_wait_ms(),
    );
    let kv = kv.change_context(DaemonError)?;
    let outside = NodeContext {
        dialect: Arc::new(PlatformDialect),
        kv: Arc::new(kv),
        paths,
        cluster: ClusterState::new(clock)
            .with_bounds(settings.config_bounds()),
        timer,
        counters,
    };
    tokio::spawn(follow_settings(path, machine));
    log::info!(version = env!("CARGO_PKG_VERSION"); "the process starts");
    match role {
        FleetRole::Front => {
            let front = Front::start(&settings, outside).await;
            front.change_context(DaemonError)?.run(signals).await;
        }
        FleetRole::Worker => {
            let worker = Worker::start(&settings, outside).await;
            worker.change_context(DaemonError)?.run(signals).await;
        }
    }
    log::info!("the process stops");
    Ok(())
}

fn listen_for_stop(stop: watch::Sender<bool>) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        stop.send_replace(true);
        // The receivers live as long as the roles.
        stop.closed().await;
    });
    Ok(())
}

/// Reads the settings again at a signal and when the file changes.
///
/// Addresses and bounds of a running process do not change with them: the
/// platform starts a process anew for that. What changed is logged, and
/// text that cannot be read is refused without harm to what is in force.
async fn follow_settings(path: PathBuf, mut current: MachineSettings) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        log::warn!("the signal to read settings again is not heard");
        return;
    };
    let mut seen = modified(&path);
    loop {
        let signalled = time::timeout(SETTINGS_LOOK, hangup.recv());
        let signalled = signalled.await.is_ok();
        let now = modified(&path);
        if !signalled && now == seen {
            continue;
        }
        seen = now;
        match MachineSettings::read(&path) {
            Ok(new) => {
                let changed = new != current;
                log::info!(signalled, changed; "the settings are read again");
                current = new;
            }
            Err(error) => {
                log::error!(signalled, error:%;
                    "the new settings are refused, the old stay in force");
            }
        }
    }
}

fn modified(path: &Path) -> Option<std::time::SystemTime> {
    std::fs::metadata(path)
        .and_then(|data| data.modified())
        .ok()
}

fn log_settings(settings: &NodeSettings, role: FleetRole) -> LogSettings {
    let mut logs = LogSettings::default();
    let fields = &mut logs.fields;
    fields.insert("vm".to_owned(), settings.node.clone());
    fields.insert("role".to_owned(), role.as_str().to_owned());
    logs
}
