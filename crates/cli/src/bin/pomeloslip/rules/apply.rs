//! `rules apply`: replace the configuration.

use std::path::PathBuf;

use error_stack::ResultExt;
use pomeloslip::{
    args::Args,
    client::{NewConfig, Problem},
    render,
};
use serde::Serialize;

use super::{check, source};
use crate::{
    command::Command,
    context::Context,
    error::{self, CommandError, CommandResult, UsageExt},
};

pub(crate) const COMMAND: Command = Command {
    name: "apply",
    summary: "Put a file in force, if nobody was faster",
    help: "\
Checks a file and puts it in force, if the expected revision is still the one
in force. Otherwise nothing changes, and the difference to the newer revision
is shown. It is accepted once the command ends with status 0, and is in force
everywhere within seconds.

If the answer is lost, the command asks again under the same operation id,
which never takes effect twice. If that fails too, it prints the id; give it
with --operation-id to find out.

Usage: pomeloslip rules apply FILE --expect REV [--operation-id ID] [options]

  --expect REV       revision that the file was made from
  --operation-id ID  identity of an earlier attempt

Example:
  pomeloslip rules apply rules.yaml --expect 41 --key ADMIN_KEY
",
    run,
};

#[derive(Serialize)]
struct Applied {
    revision: u64,
}

fn run(mut args: Args, context: &Context) -> CommandResult {
    let expect_revision = args.required("--expect").usage()?;
    let operation_id: Option<String> =
        args.option("--operation-id").usage()?;
    let path: PathBuf = args.word("FILE").usage()?;
    args.finish().usage()?;
    let text = source::read(&path)?;
    let file = path.display().to_string();
    check::parse(context, &file, &text)?;

    let new = NewConfig {
        expect_revision,
        operation_id: operation_id.unwrap_or_else(new_operation_id),
        text,
    };
    let client = context.client()?;
    let applied = context.block_on(client.apply_config(&new))?;
    if let Err(report) = &applied {
        if let Some(problem) = error::problem(report) {
            explain(context, &file, problem);
        }
        if report.current_context().may_have_run() {
            context.note(&format!("operation id {}", new.operation_id));
        }
    }
    let revision = applied.change_context(CommandError::Failed(
        "cannot apply the configuration",
    ))?;
    context.show(&Applied { revision }, || {
        format!("revision {revision} is accepted\n")
    })
}

/// Shows what a refusal says beside its line.
fn explain(context: &Context, file: &str, problem: &Problem) {
    for fault in &problem.errors {
        context.note(&render::fault(file, fault));
    }
    for line in &problem.diff {
        context.note(line);
    }
}

fn new_operation_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}
