//! `rules explain`: which rule a request meets, and why.

use error_stack::Report;
use pomeloslip::args::Args;

use crate::{
    command::Command,
    context::Context,
    error::{CommandError, CommandResult},
};

pub(crate) const COMMAND: Command = Command {
    name: "explain",
    summary: "Tell which rule a sample request meets and why",
    help: "\
Tells for each rule in order whether a sample request meets it, and if not,
which condition fails; the first that is met decides.

Usage: pomeloslip rules explain FILE|--live --sample KEY=VALUE... [options]

Example:
  pomeloslip rules explain rules.yaml --sample class=online
",
    run,
};

fn run(_args: Args, _context: &Context) -> CommandResult {
    Err(Report::new(CommandError::Failed("not in this build yet")))
}
