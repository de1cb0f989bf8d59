//! `job list`: the customer's jobs.

use base::JobId;
use error_stack::ResultExt;
use pomeloslip::{args::Args, render};

use crate::{
    command::Command,
    context::Context,
    error::{CommandError, CommandResult, UsageExt},
};

const LIMIT: u32 = 20;

pub(crate) const COMMAND: Command = Command {
    name: "list",
    summary: "List the tenant's jobs, newest first",
    help: "\
Lists the jobs of the tenant whose key is used, newest first.

Usage: pomeloslip job list [--limit N] [--after JOB] [options]

  --limit N    jobs to list at most [20]
  --after JOB  go on after this job

Example:
  pomeloslip job list --limit 5 --key KEY
",
    run,
};

fn run(mut args: Args, context: &Context) -> CommandResult {
    let limit = args.option("--limit").usage()?.unwrap_or(LIMIT);
    let after: Option<JobId> = args.option("--after").usage()?;
    args.finish().usage()?;
    let client = context.client()?;
    let page = context
        .block_on(client.jobs(limit, after.as_ref()))?
        .change_context(CommandError::Failed("cannot list the jobs"))?;
    context.show(&page, || render::jobs(&page.data))?;
    if let Some(last) = page.data.last().filter(|_| page.has_more) {
        context.note(&format!("more: --after {}", last.id));
    }
    Ok(())
}
