//! `rules show`: the configuration in force, an earlier one, or the list.

use error_stack::ResultExt;
use pomeloslip::{args::Args, render};

use super::source;
use crate::{
    command::Command,
    context::Context,
    error::{CommandError, CommandResult, UsageExt},
};

pub(crate) const COMMAND: Command = Command {
    name: "show",
    summary: "Show the configuration in force, or an earlier one",
    help: "\
Prints the configuration in force to the standard output and its revision to
stderr. `--history N` lists the newest revisions instead.

Usage: pomeloslip rules show [--revision REV | --history N] [options]

  --revision REV  an earlier revision
  --history N     list the newest N revisions

Example:
  pomeloslip rules show --server http://127.0.0.1:8080 > rules.yaml
",
    run,
};

fn run(mut args: Args, context: &Context) -> CommandResult {
    let revision = args.option("--revision").usage()?;
    let history = args.option("--history").usage()?;
    args.finish().usage()?;
    if let Some(limit) = history {
        return show_history(context, limit);
    }
    let config = source::fetch(context, revision)?;
    context.show(&config, || config.text.clone())?;
    context.note(&format!("revision {}", config.revision));
    Ok(())
}

fn show_history(context: &Context, limit: u32) -> CommandResult {
    let client = context.client()?;
    let items = context
        .block_on(client.config_history(limit))?
        .change_context(CommandError::Failed("cannot list the revisions"))?;
    context.show(&items, || render::history(&items))
}
