//! `rules diff`: a file against the configuration in force.

use std::path::PathBuf;

use error_stack::{Report, ResultExt};
use pomeloslip::{args::Args, render::diff_lines};
use rules::Config;
use serde::Serialize;

use super::{check, source};
use crate::{
    command::Command,
    context::Context,
    error::{CommandError, CommandResult, UsageExt},
};

pub(crate) const COMMAND: Command = Command {
    name: "diff",
    summary: "Show what a file would change",
    help: "\
Shows what a file would change in the configuration in force, by tenant, pool
and rule: `+` is new, `-` is gone, `~` is changed and `>` has moved. A change
of comments or layout only shows with --text, which compares line by line. The
exit status is 0 whether or not there are changes.

Usage: pomeloslip rules diff FILE [--text] [--revision REV] [options]

  --text          compare the texts line by line
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
    diff: Vec<String>,
}

fn run(mut args: Args, context: &Context) -> CommandResult {
    let revision = args.option("--revision").usage()?;
    let by_line = args.flag("--text");
    let path: PathBuf = args.word("FILE").usage()?;
    args.finish().usage()?;
    let text = source::read(&path)?;
    let old = source::fetch(context, revision)?;
    let diff = if by_line {
        let diff = diff_lines(&old.text, &text);
        diff.lines().map(str::to_owned).collect()
    } else {
        let file = path.display().to_string();
        let new = check::parse(context, &file, &text)?;
        in_force(&old.text)?.diff(&new)
    };
    let difference = Difference {
        revision: old.revision,
        changed: !diff.is_empty(),
        diff,
    };
    context.show(&difference, || lines(&difference.diff))?;
    context.note(&note(&difference));
    Ok(())
}

fn in_force(text: &str) -> Result<Config, Report<CommandError>> {
    Config::parse("configuration in force", text).change_context(
        CommandError::Failed(
            "this command line cannot read the configuration in force, \
             try --text",
        ),
    )
}

fn lines(lines: &[String]) -> String {
    lines.iter().map(|line| format!("{line}\n")).collect()
}

fn note(difference: &Difference) -> String {
    let revision = difference.revision;
    if difference.changed {
        format!("changes revision {revision}")
    } else {
        format!("same as revision {revision}")
    }
}
