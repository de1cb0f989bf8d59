//! `rules diff`: a file against the configuration in force.

use std::path::PathBuf;

use pomeloslip::{args::Args, render::diff_lines};
use serde::Serialize;

use super::source;
use crate::{
    command::Command,
    context::Context,
    error::{CommandResult, UsageExt},
};

pub(crate) const COMMAND: Command = Command {
    name: "diff",
    summary: "Show what a file would change",
    help: "\
Shows line by line what turns the configuration in force into the file. The
exit status is 0 whether or not there are changes.

Usage: pomeloslip rules diff FILE [--revision REV] [options]

  --revision REV  compare with an earlier revision

Example:
  pomeloslip rules diff rules.yaml --server http://127.0.0.1:8080
",
    run,
};

#[derive(Serialize)]
struct Difference {
    revision: u64,
    changed: bool,
    diff: String,
}

fn run(mut args: Args, context: &Context) -> CommandResult {
    let revision = args.option("--revision").usage()?;
    let path: PathBuf = args.word("FILE").usage()?;
    args.finish().usage()?;
    let text = source::read(&path)?;
    let config = source::fetch(context, revision)?;
    let diff = diff_lines(&config.text, &text);
    let difference = Difference {
        revision: config.revision,
        changed: !diff.is_empty(),
        diff,
    };
    context.show(&difference, || difference.diff.clone())?;
    context.note(&note(&difference));
    Ok(())
}

fn note(difference: &Difference) -> String {
    let revision = difference.revision;
    if difference.changed {
        format!("changes revision {revision}")
    } else {
        format!("same as revision {revision}")
    }
}
