//! `status`: what an entry knows.

use error_stack::ResultExt;
use pomeloslip::{args::Args, render};

use crate::{
    command::Command,
    context::Context,
    error::{CommandError, CommandResult, UsageExt},
};

pub(crate) const COMMAND: Command = Command {
    name: "status",
    summary: "Show revision, endpoints, queues and latencies of an entry",
    help: "\
Shows what an entry knows: the revision in force, endpoints, queues, and
histograms per tenant and class (the last minutes; `total` is the count since
its start). The unit is the end of the name of each series.

Usage: pomeloslip status [options]

Example:
  pomeloslip status --server http://127.0.0.1:8080
",
    run,
};

fn run(args: Args, context: &Context) -> CommandResult {
    args.finish().usage()?;
    let client = context.client()?;
    let page = context
        .block_on(client.status())?
        .change_context(CommandError::Failed("cannot get the status"))?;
    context.show(&page, || render::status(&page))
}
