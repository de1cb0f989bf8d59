//! `job cancel`: stop a job.

use base::JobId;
use error_stack::ResultExt;
use pomeloslip::{args::Args, render};

use crate::{
    command::Command,
    context::Context,
    error::{CommandError, CommandResult, UsageExt},
};

pub(crate) const COMMAND: Command = Command {
    name: "cancel",
    summary: "Stop a job; what is completed stays readable",
    help: "\
Cancels a job: none of its items starts any more. Results that are complete
stay readable with `job results`. Cancelling twice does nothing more.

Usage: pomeloslip job cancel JOB [options]

Example:
  pomeloslip job cancel batch_7f3a --key KEY
",
    run,
};

fn run(mut args: Args, context: &Context) -> CommandResult {
    let id: JobId = args.word("JOB").usage()?;
    args.finish().usage()?;
    let client = context.client()?;
    let job = context
        .block_on(client.cancel_job(&id))?
        .change_context(CommandError::Failed("cannot cancel the job"))?;
    context.show(&job, || render::job(&job))
}
