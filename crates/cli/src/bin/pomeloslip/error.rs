//! Errors of the subcommands and their exit statuses.

use std::{
    fmt,
    io::{self, Write},
    process::ExitCode,
};

use error_stack::Report;
use pomeloslip::{
    args::ArgsError,
    client::{ClientError, Problem},
    render,
};
use serde::Serialize;

use crate::context::Context;

const FAILED: u8 = 1;
const USAGE: u8 = 2;

/// What a subcommand returns.
pub(crate) type CommandResult = Result<(), Report<CommandError>>;

/// Says why a subcommand did not do its work.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum CommandError {
    /// The command line is wrong.
    Usage(ArgsError),
    /// The work failed; the text says what was being done.
    Failed(&'static str),
}

impl CommandError {
    /// Makes a report of a wrong command line.
    pub(crate) fn usage(error: ArgsError) -> Report<Self> {
        Report::new(CommandError::Usage(error))
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Usage(error) => error.fmt(f),
            CommandError::Failed(doing) => f.write_str(doing),
        }
    }
}

impl std::error::Error for CommandError {}

/// Turns errors of the command line into those of a subcommand.
pub(crate) trait UsageExt<T> {
    /// Maps the error.
    fn usage(self) -> Result<T, Report<CommandError>>;
}

impl<T> UsageExt<T> for Result<T, ArgsError> {
    fn usage(self) -> Result<T, Report<CommandError>> {
        self.map_err(CommandError::usage)
    }
}

#[derive(Serialize)]
struct JsonError<'a> {
    error: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    problem: Option<&'a Problem>,
}

/// Writes a report to stderr and returns the exit status.
pub(crate) fn exit(
    report: &Report<CommandError>,
    context: &Context,
) -> ExitCode {
    let usage = matches!(report.current_context(), CommandError::Usage(_));
    let line = render::one_line(report);
    let text = if context.json {
        json(line, problem(report))
    } else {
        let mut text = format!("error: {line}\n");
        if usage {
            text.push_str("Try --help after the same words.\n");
        }
        if context.verbose {
            text.push_str(&render::chain(report));
        }
        text
    };
    // An error that cannot be written is still told by the status.
    let _ = io::stderr().lock().write_all(text.as_bytes());
    ExitCode::from(if usage { USAGE } else { FAILED })
}

/// Finds the refusal of the entry in a report.
pub(crate) fn problem<C>(report: &Report<C>) -> Option<&Problem> {
    report.frames().find_map(|frame| {
        match frame.downcast_ref::<ClientError>()? {
            ClientError::Refused(problem) => Some(&**problem),
            _ => None,
        }
    })
}

fn json(error: String, problem: Option<&Problem>) -> String {
    let error = JsonError { error, problem };
    let json = serde_json::to_string(&error).unwrap_or_default();
    format!("{json}\n")
}
