//! `rules check`: check a file without an entry.

use std::path::PathBuf;

use conf::Problem;
use error_stack::Report;
use pomeloslip::args::Args;
use rules::{Config, error_list};
use serde::Serialize;

use super::source;
use crate::{
    command::Command,
    context::Context,
    error::{CommandError, CommandResult, UsageExt},
};

pub(crate) const COMMAND: Command = Command {
    name: "check",
    summary: "Check a file, without an entry",
    help: "\
Checks the configuration in a file. Each fault is shown with file, line,
column, key and the nearest right word. No entry is called.

Usage: pomeloslip rules check FILE [options]

Example:
  pomeloslip rules check rules.yaml
",
    run,
};

#[derive(Serialize)]
struct Invalid<'a> {
    file: &'a str,
    valid: bool,
    errors: &'a [Problem],
}

fn run(mut args: Args, context: &Context) -> CommandResult {
    let path: PathBuf = args.word("FILE").usage()?;
    args.finish().usage()?;
    let text = source::read(&path)?;
    let file = path.display().to_string();
    parse(context, &file, &text)?;
    context.show(&serde_json::json!({"file": file, "valid": true}), || {
        format!("{file} is valid\n")
    })
}

/// Parses a text; its faults are shown, one a line.
pub(super) fn parse(
    context: &Context,
    file: &str,
    text: &str,
) -> Result<Config, Report<CommandError>> {
    let report = match Config::parse(file, text) {
        Ok(config) => return Ok(config),
        Err(report) => report,
    };
    let errors = error_list(&report);
    let lines = errors.iter().map(|error| format!("{error}\n"));
    let invalid = Invalid {
        file,
        valid: false,
        errors: &errors,
    };
    if context.json {
        context.show(&invalid, String::new)?;
    } else {
        context.note(lines.collect::<String>().trim_end());
    }
    Err(Report::new(CommandError::Failed(
        "the configuration is not valid",
    )))
}
