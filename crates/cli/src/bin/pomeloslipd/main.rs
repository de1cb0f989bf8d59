//! The daemon `pomeloslipd`: one process of any role.

mod fleet;

use std::{
    io::{self, Write},
    ops::RangeInclusive,
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
};

use base::{SystemClock, timer::Timer};
use conf::settings::Settings;
use error_stack::{Report, ResultExt};
use fleet::{FleetCommand, FleetRole, Toggle};
use node::{BodyPace, EndpointSpeed, LingerLimits};
use obs::{LogSettings, Metrics, MetricsSettings};
use pomeloslip::daemon::{Daemon, DaemonError};
use tokio::signal::unix::{Signal, SignalKind, signal};

const USAGE: u8 = 2;

const HELP: &str = "\
The daemon of pomeloslip: an entry, a companion or a data VM.

Usage: pomeloslipd --settings FILE [--check]
       pomeloslipd fleet front|worker [--metrics-port PORT]
                   [--endpoint-speed reported|always|off]
                   [--fair-shares on|off] [--customers FILE]
                   [--body-timeout-ms MS] [--body-min-bytes-per-s BYTES]
                   [--linger-ms MS] [--linger-bytes BYTES]
       pomeloslipd --help | --version

  --settings FILE  the settings of this process (YAML, docs/SETTINGS.md)
  --check          read and check the settings, start nothing
  fleet ROLE       a role on the users' platform, with the settings that the
                   platform writes (docs/design/platform.md)
  --metrics-port   where the role serves its metrics as text
  --endpoint-speed
                   whether requests prefer faster endpoints: `reported` (the
                   default) for services whose endpoints report a slowdown,
                   `always`, or `off`
  --fair-shares    whether customers are limited to their shares while a
                   service has no free slot (default off)
  --customers      weights and pauses of customers (YAML, docs/SETTINGS.md),
                   read again at SIGHUP
  --body-timeout-ms, --body-min-bytes-per-s
                   the time for the body of a request, and the rate at which
                   its bytes extend that time (docs/SETTINGS.md)
  --linger-ms, --linger-bytes
                   how long, and how much, a caller that was refused may go on
                   sending (docs/SETTINGS.md)

SIGTERM and SIGINT are a planned stop: nothing new is taken and what runs
ends. A second one ends the process at once.

Exit status: 0 done, 1 failed, 2 wrong usage or settings.

Example: pomeloslipd --settings examples/settings/entry-1.yaml --check
";

/// What the command line asks for.
enum Command {
    Help,
    Version,
    Check(PathBuf),
    Run(PathBuf),
    Fleet(FleetCommand),
}

fn main() -> ExitCode {
    let command = match parse(pico_args::Arguments::from_env()) {
        Ok(command) => command,
        Err(why) => {
            say(io::stderr(), &format!("pomeloslipd: {why}; see --help\n"));
            return ExitCode::from(USAGE);
        }
    };
    match command {
        Command::Help => say(io::stdout(), HELP),
        Command::Version => {
            let version = env!("CARGO_PKG_VERSION");
            say(io::stdout(), &format!("pomeloslipd {version}\n"));
        }
        Command::Check(path) => return check(&path),
        Command::Run(path) => return run(&path),
        Command::Fleet(command) => {
            return finish(fleet::run(command));
        }
    }
    ExitCode::SUCCESS
}

/// Writes for a person; a reader that has gone away is no fault of ours.
fn say(mut to: impl Write, text: &str) {
    let _ = to.write_all(text.as_bytes());
}

fn parse(mut args: pico_args::Arguments) -> Result<Command, String> {
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if args.contains("--version") {
        return Ok(Command::Version);
    }
    if let Some(word) = args.subcommand().map_err(|error| error.to_string())? {
        return parse_fleet(&word, args).map(Command::Fleet);
    }
    let check = args.contains("--check");
    let path: PathBuf = args
        .opt_value_from_str("--settings")
        .map_err(|error| error.to_string())?
        .ok_or("--settings FILE is missing")?;
    let rest = args.finish();
    if let Some(unknown) = rest.first() {
        return Err(format!("{} is unknown", unknown.to_string_lossy()));
    }
    Ok(match check {
        true => Command::Check(path),
        false => Command::Run(path),
    })
}

fn check(path: &std::path::Path) -> ExitCode {
    match Settings::read(path) {
        Ok(_) => {
            say(io::stdout(), &format!("{}: ok\n", path.display()));
            ExitCode::SUCCESS
        }
        Err(report) => {
            say(io::stderr(), &format!("{}\n", report.current_context()));
            ExitCode::from(USAGE)
        }
    }
}

fn run(path: &std::path::Path) -> ExitCode {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(report) => {
            say(io::stderr(), &format!("{}\n", report.current_context()));
            return ExitCode::from(USAGE);
        }
    };
    finish(serve(&settings))
}

fn parse_fleet(
    word: &str,
    mut args: pico_args::Arguments,
) -> Result<FleetCommand, String> {
    if word != "fleet" {
        return Err(format!("{word} is unknown"));
    }
    let role = args.subcommand().map_err(|error| error.to_string())?;
    let role = role.ok_or("fleet needs a role: front or worker")?;
    let role = FleetRole::parse(&role)
        .ok_or_else(|| format!("{role} is no role: front or worker"))?;
    let metrics_port = args
        .opt_value_from_str("--metrics-port")
        .map_err(|error| error.to_string())?;
    let endpoint_speed = parse_endpoint_speed(&mut args)?;
    let fair_shares: Option<String> = args
        .opt_value_from_str("--fair-shares")
        .map_err(|error| error.to_string())?;
    let fair_shares = match fair_shares {
        Some(word) => word.parse().map_err(|cause| {
            format!("--fair-shares cannot be {word:?}: {cause}")
        })?,
        None => Toggle::default(),
    };
    let customers_file = args
        .opt_value_from_str("--customers")
        .map_err(|error| error.to_string())?;
    let (body_pace, linger) = parse_caller_limits(&mut args)?;
    let rest = args.finish();
    match rest.first() {
        Some(unknown) => {
            Err(format!("{} is unknown", unknown.to_string_lossy()))
        }
        None => Ok(FleetCommand {
            role,
            metrics_port,
            endpoint_speed,
            fair_shares,
            customers_file,
            body_pace,
            linger,
        }),
    }
}

fn parse_caller_limits(
    args: &mut pico_args::Arguments,
) -> Result<(BodyPace, LingerLimits), String> {
    const MINUTE_MS: u64 = 60_000;
    let pace = BodyPace::default();
    let pace = BodyPace {
        timeout_ms: parse_number(
            args,
            "--body-timeout-ms",
            pace.timeout_ms,
            1_000..=10 * MINUTE_MS,
        )?,
        min_bytes_per_s: parse_number(
            args,
            "--body-min-bytes-per-s",
            pace.min_bytes_per_s,
            1..=1 << 30,
        )?,
    };
    let linger = LingerLimits::default();
    let linger = LingerLimits {
        timeout_ms: parse_number(
            args,
            "--linger-ms",
            linger.timeout_ms,
            0..=MINUTE_MS,
        )?,
        bytes: parse_number(
            args,
            "--linger-bytes",
            linger.bytes,
            0..=1 << 40,
        )?,
    };
    Ok((pace, linger))
}

/// Returns the number of an option, which has to be in a range.
fn parse_number(
    args: &mut pico_args::Arguments,
    flag: &'static str,
    default: u64,
    range: RangeInclusive<u64>,
) -> Result<u64, String> {
    let number: Option<u64> = args
        .opt_value_from_str(flag)
        .map_err(|error| format!("{flag}: {error}"))?;
    match number.unwrap_or(default) {
        number if range.contains(&number) => Ok(number),
        number => {
            let (from, to) = range.into_inner();
            Err(format!("{flag} is {number}, not in {from} to {to}"))
        }
    }
}

fn parse_endpoint_speed(
    args: &mut pico_args::Arguments,
) -> Result<EndpointSpeed, String> {
    const FLAG: &str = "--endpoint-speed";
    let word: Option<String> = args
        .opt_value_from_str(FLAG)
        .map_err(|error| format!("{FLAG}: {error}"))?;
    let Some(word) = word else {
        return Ok(EndpointSpeed::default());
    };
    EndpointSpeed::parse(&word).ok_or_else(|| {
        format!("{FLAG} {word} is unknown: reported, always or off")
    })
}

fn finish(result: Result<(), Report<DaemonError>>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            say(io::stderr(), &format!("pomeloslipd: {report:?}\n"));
            ExitCode::FAILURE
        }
    }
}

fn serve(settings: &Settings) -> Result<(), Report<DaemonError>> {
    let _logs = obs::logs::start(&log_settings(settings))
        .change_context(DaemonError)?;
    obs::logs::log_panics();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()
        .change_context(DaemonError)?;
    runtime.block_on(live(settings))
}

/// Threads for requests. Two keep a small VM busy without the memory and
/// the switching of one for each core of a large host.
const WORKERS: usize = 2;

async fn live(settings: &Settings) -> Result<(), Report<DaemonError>> {
    let mut signals = Signals::listen().change_context(DaemonError)?;
    let metrics = metrics(settings)?;
    let timer = Timer::new(Arc::new(SystemClock::new()));
    tokio::spawn(timer.clone().drive());
    tokio::spawn(metrics.clone().drive(timer));
    let daemon = Daemon::start(settings, metrics).await?;
    announce(&daemon, settings);
    signals.next().await;
    log::info!("planned stop");
    tokio::select! {
        () = daemon.drain() => {}
        () = signals.next() => log::warn!("stopped at once"),
    }
    Ok(())
}

/// Prints the addresses, which port 0 in the settings leaves open.
fn announce(daemon: &Daemon, settings: &Settings) {
    let ready = serde_json::json!({
        "ready": settings.vm,
        "http": daemon.http_address(),
        "peer": daemon.peer_address(),
    });
    say(io::stdout(), &format!("{ready}\n"));
}

struct Signals {
    term: Signal,
    int: Signal,
}

impl Signals {
    fn listen() -> io::Result<Self> {
        let term = signal(SignalKind::terminate())?;
        let int = signal(SignalKind::interrupt())?;
        Ok(Self { term, int })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }
}

fn log_settings(settings: &Settings) -> LogSettings {
    let mut log = LogSettings::default();
    log.level = level(settings.log.level);
    for (module, level_of) in &settings.log.modules {
        log.targets.insert(module.clone(), level(*level_of));
    }
    let role = serde_json::json!(settings.role);
    let role = role.as_str().unwrap_or_default().to_owned();
    log.fields.insert("vm".to_owned(), settings.vm.to_string());
    log.fields.insert("role".to_owned(), role);
    log
}

fn level(level: conf::settings::LogLevel) -> obs::LogLevel {
    use conf::settings::LogLevel as Set;
    match level {
        Set::Off => obs::LogLevel::Off,
        Set::Error => obs::LogLevel::Error,
        Set::Warn => obs::LogLevel::Warn,
        Set::Info => obs::LogLevel::Info,
        Set::Debug => obs::LogLevel::Debug,
        Set::Trace => obs::LogLevel::Trace,
    }
}

fn metrics(settings: &Settings) -> Result<Metrics, Report<DaemonError>> {
    let mut metrics = MetricsSettings {
        statsd_addr: settings.metrics.statsd,
        prefix: settings.metrics.prefix.clone(),
        ..MetricsSettings::default()
    };
    let vm = settings.vm.to_string();
    metrics.tags.insert("vm".to_owned(), vm);
    Metrics::try_new(metrics).change_context(DaemonError)
}
