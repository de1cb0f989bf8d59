//! `trace`: what several processes logged about one id.

use std::{fs, io::Read};

use error_stack::{Report, ResultExt};
use pomeloslip::{args::Args, trace};

use crate::{
    command::Command,
    context::Context,
    error::{CommandError, CommandResult, UsageExt},
};

pub(crate) const COMMAND: Command = Command {
    name: "trace",
    summary: "Gather the log lines about one request, job or item",
    help: "\
Reads the JSON lines that processes wrote and prints those about one id, the
oldest first: what was decided, by what, and how it ended. docs/OPERATIONS.md
takes three failed requests from their id to their cause.

Usage: pomeloslip trace ID FILE...
       pomeloslip trace ID -          (reads standard input)

Example:
  pomeloslip trace 9c41d07be2a35f68 logs/front-*.log logs/worker-*.log
",
    run,
};

fn run(mut args: Args, context: &Context) -> CommandResult {
    let id: String = args.word("ID").usage()?;
    let texts = read_files(args)?;
    let lines = trace::select(&id, texts.iter().map(String::as_str));
    if lines.is_empty() {
        context.note(&format!("no line is about {id}\n"));
    }
    for line in lines {
        context.print(&format!("{line}\n"))?;
    }
    Ok(())
}

/// Reads the files that the rest of the arguments name, one at least.
pub(crate) fn read_files(
    mut args: Args,
) -> Result<Vec<String>, Report<CommandError>> {
    let mut paths = vec![args.word::<String>("FILE").usage()?];
    while let Some(path) = args.optional_word("FILE").usage()? {
        paths.push(path);
    }
    args.finish().usage()?;
    let mut texts = Vec::new();
    for path in &paths {
        texts.push(read(path).change_context(CommandError::Failed(
            "cannot read a file of logs",
        ))?);
    }
    Ok(texts)
}

fn read(path: &str) -> Result<String, std::io::Error> {
    let mut bytes = Vec::new();
    match path {
        "-" => std::io::stdin().read_to_end(&mut bytes)?,
        path => fs::File::open(path)?.read_to_end(&mut bytes)?,
    };
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
