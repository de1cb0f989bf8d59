use std::process::ExitCode;

use error_stack::{Report, ResultExt};
use tokio::signal::unix::{SignalKind, signal};

use crate::BenchError;

/// Seed when none is given.
const SEED_DEFAULT: u64 = 1;

/// What the command line of a measurement asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// Ends within 40 seconds, for a first look.
    pub small: bool,
    /// Prints one JSON object in place of a table.
    pub json: bool,
    /// Seed of everything drawn.
    pub seed: u64,
}

impl Options {
    /// Reads the words of a command line after the name.
    ///
    /// # Errors
    ///
    /// [`BenchError::Usage`] with the word that is unknown.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_bench::Options;
    ///
    /// let words = ["--small", "--seed", "7", "--bench"];
    /// let options = Options::parse(words).unwrap();
    /// assert!(options.small && !options.json);
    /// assert_eq!(options.seed, 7);
    /// assert!(Options::parse(["--smal"]).is_err());
    /// ```
    pub fn parse<'a>(
        words: impl IntoIterator<Item = &'a str>,
    ) -> Result<Self, Report<BenchError>> {
        let words = words.into_iter().map(Into::into).collect();
        let mut args = pico_args::Arguments::from_vec(words);
        // Cargo adds this to what the person gave.
        let _ = args.contains("--bench");
        let options = Self {
            small: args.contains("--small"),
            json: args.contains("--json"),
            seed: args
                .opt_value_from_str("--seed")
                .change_context(BenchError::Usage)?
                .unwrap_or(SEED_DEFAULT),
        };
        let rest = args.finish();
        match rest.first() {
            None => Ok(options),
            Some(word) => Err(Report::new(BenchError::Usage)
                .attach(format!("{word:?} is unknown"))
                .attach("[--small] [--json] [--seed N]")),
        }
    }
}

/// Runs a measurement as the whole of a program.
///
/// SIGTERM and SIGINT drop the measurement, so that its processes end with
/// it: a killed bench would otherwise leave a fleet behind.
pub fn run(
    measure: impl AsyncFnOnce(Options) -> Result<(), Report<BenchError>>,
) -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let ended =
        Options::parse(words.iter().map(String::as_str)).and_then(|options| {
            runtime()?.block_on(until_signal(options, measure))
        });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            println!("FAILED: {report:?}");
            ExitCode::FAILURE
        }
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, Report<BenchError>> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .change_context(BenchError::Process)
}

async fn until_signal(
    options: Options,
    measure: impl AsyncFnOnce(Options) -> Result<(), Report<BenchError>>,
) -> Result<(), Report<BenchError>> {
    let listen = |kind| signal(kind).change_context(BenchError::Process);
    let mut term = listen(SignalKind::terminate())?;
    let mut int = listen(SignalKind::interrupt())?;
    tokio::select! {
        ended = measure(options) => ended,
        _ = term.recv() => Err(stopped()),
        _ = int.recv() => Err(stopped()),
    }
}

fn stopped() -> Report<BenchError> {
    Report::new(BenchError::Process).attach("stopped by a signal")
}
