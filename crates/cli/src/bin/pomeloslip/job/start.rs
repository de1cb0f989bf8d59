//! `job start`: upload an input and start a job of it.

use std::path::PathBuf;

use error_stack::{Report, ResultExt};
use indexmap::IndexMap;
use jiff::Timestamp;
use pomeloslip::{
    args::{Args, ArgsError, Pair},
    client::{Batch, Client, ClientError, JobRequest},
    render,
};

use crate::{
    command::Command,
    context::Context,
    error::{CommandError, CommandResult, UsageExt},
};

const ENDPOINT: &str = "/v1/chat/completions";
const WINDOW: &str = "24h";
const DUE_AT: &str = "due_at";

pub(crate) const COMMAND: Command = Command {
    name: "start",
    summary: "Start a job of the items in a JSONL file",
    help: "\
Uploads a JSONL file (one item a line, each with its own `custom_id`) and
starts a job of it. An input with a broken line or a doubled `custom_id` is
refused, naming the line. Starting the same file again returns the first
job; `--idempotency-key` makes that identity explicit.

Usage: pomeloslip job start FILE [--due TIME | --window 24h]
         [--endpoint PATH] [--idempotency-key KEY] [--set NAME=VALUE]...

  --due TIME             due time, RFC 3339
  --window DURATION      time until it is due [24h]
  --endpoint PATH        endpoint of the items [/v1/chat/completions]
  --idempotency-key KEY  the same key always names the same job
  --set NAME=VALUE       metadata kept with the job, repeatable

Example:
  pomeloslip job start briefings.jsonl --due 2030-05-01T04:30:00Z --key KEY
",
    run,
};

fn run(mut args: Args, context: &Context) -> CommandResult {
    let job = take(&mut args)?;
    let path: PathBuf = args.word("FILE").usage()?;
    args.finish().usage()?;
    let client = context.client()?;
    let started = context.block_on(start(&client, &path, job))?;
    let job = started
        .change_context(CommandError::Failed("cannot start the job"))?;
    context.show(&job, || render::job(&job))
}

fn take(args: &mut Args) -> Result<JobRequest, Report<CommandError>> {
    let due: Option<Timestamp> = args.option("--due").usage()?;
    let window: Option<String> = args.option("--window").usage()?;
    if due.is_some() && window.is_some() {
        return Err(CommandError::usage(ArgsError::Combination {
            message: "--due and --window do not go together",
        }));
    }
    let mut metadata: IndexMap<String, String> = args
        .repeated("--set")
        .usage()?
        .into_iter()
        .map(|Pair { name, value }| (name, value))
        .collect();
    if let Some(due) = due {
        metadata.insert(DUE_AT.to_owned(), due.to_string());
    }
    let endpoint = args.option("--endpoint").usage()?;
    Ok(JobRequest {
        input_file_id: String::new(),
        endpoint: endpoint.unwrap_or_else(|| ENDPOINT.to_owned()),
        completion_window: window.unwrap_or_else(|| WINDOW.to_owned()),
        metadata,
        idempotency_key: args.option("--idempotency-key").usage()?,
    })
}

async fn start(
    client: &Client,
    path: &std::path::Path,
    mut job: JobRequest,
) -> Result<Batch, Report<ClientError>> {
    job.input_file_id = client.upload(path).await?.id;
    client.start_job(&job).await
}
