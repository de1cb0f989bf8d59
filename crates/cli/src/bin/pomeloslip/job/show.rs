//! `job show`: one job.

use base::JobId;
use error_stack::ResultExt;
use pomeloslip::{args::Args, render};

use crate::{
    command::Command,
    context::Context,
    error::{CommandError, CommandResult, UsageExt},
};

pub(crate) const COMMAND: Command = Command {
    name: "show",
    summary: "Show the state and counts of a job",
    help: "\
Shows the state of a job, the counts of its items, its due time and files.

Usage: pomeloslip job show JOB [options]

Example:
  pomeloslip job show batch_7f3a --key KEY
",
    run,
};

fn run(mut args: Args, context: &Context) -> CommandResult {
    let id: JobId = args.word("JOB").usage()?;
    args.finish().usage()?;
    let client = context.client()?;
    let job = context
        .block_on(client.job(&id))?
        .change_context(CommandError::Failed("cannot show the job"))?;
    context.show(&job, || render::job(&job))
}
