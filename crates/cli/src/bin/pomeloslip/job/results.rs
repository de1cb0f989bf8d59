//! `job results`: the results or the failed items of a job.

use std::path::PathBuf;

use base::{FileId, JobId};
use error_stack::{Report, ResultExt};
use pomeloslip::{
    args::Args,
    client::{Batch, Client},
};
use tokio::{
    fs::File,
    io::{AsyncWrite, stdout},
};

use crate::{
    command::Command,
    context::Context,
    error::{CommandError, CommandResult, UsageExt},
};

pub(crate) const COMMAND: Command = Command {
    name: "results",
    summary: "Print or save the results of a job",
    help: "\
Prints the results of a job as JSONL, one line for each completed item, each
item once. With --errors it prints the items that can never complete, with
the reason. A job without such a file yet is a failure (status 1).

Usage: pomeloslip job results JOB [--errors] [--out FILE] [options]

  --errors    the error file instead of the results
  --out FILE  write to a file that does not exist yet

Example:
  pomeloslip job results batch_7f3a --out briefings-done.jsonl --key KEY
",
    run,
};

fn run(mut args: Args, context: &Context) -> CommandResult {
    let out: Option<PathBuf> = args.option("--out").usage()?;
    let errors = args.flag("--errors");
    let id: JobId = args.word("JOB").usage()?;
    args.finish().usage()?;
    let client = context.client()?;
    let job = context.block_on(async {
        let job = client
            .job(&id)
            .await
            .change_context(CommandError::Failed("cannot find the job"))?;
        let file_id = file(&job, errors)?;
        save(&client, &file_id, out).await?;
        Ok::<Batch, Report<CommandError>>(job)
    })??;
    let counts = job.request_counts;
    context.note(&format!(
        "{}: {} done, {} failed, {} in all",
        job.status, counts.completed, counts.failed, counts.total
    ));
    Ok(())
}

fn file(job: &Batch, errors: bool) -> Result<FileId, Report<CommandError>> {
    let (id, missing) = if errors {
        (&job.error_file_id, "the job has no failed items yet")
    } else {
        (&job.output_file_id, "the job has no results yet")
    };
    id.as_deref()
        .ok_or_else(|| {
            Report::new(CommandError::Failed(missing))
                .attach(format!("the job is {}", job.status))
        })?
        .parse()
        .change_context(CommandError::Failed("the entry names no valid file"))
}

async fn save(
    client: &Client,
    file_id: &FileId,
    out: Option<PathBuf>,
) -> CommandResult {
    let failed = CommandError::Failed("cannot save the results");
    let mut output: Box<dyn AsyncWrite + Send + Unpin> = match &out {
        None => Box::new(stdout()),
        Some(path) => {
            let file = File::create_new(path)
                .await
                .change_context_lazy(|| failed.clone())
                .attach_with(|| path.display().to_string())?;
            Box::new(file)
        }
    };
    client
        .download(file_id, &mut *output)
        .await
        .change_context(failed)?;
    Ok(())
}
