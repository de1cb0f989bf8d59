//! `rules edit`: write the configuration to a file for an editor.

use std::path::PathBuf;

use pomeloslip::args::Args;
use serde::Serialize;

use super::source;
use crate::{
    command::Command,
    context::Context,
    error::{CommandResult, UsageExt},
};

pub(crate) const COMMAND: Command = Command {
    name: "edit",
    summary: "Write the configuration to a file and say how to apply it",
    help: "\
Writes the configuration in force to a file and prints the command that
applies it after the edit. It starts no editor: open the file in your own.
If somebody else changes the configuration meanwhile, the apply is refused
and shows the difference.

Usage: pomeloslip rules edit --out FILE [--replace] [options]

  --out FILE  file to write; it must not exist
  --replace   write it even if it exists

Example:
  pomeloslip rules edit --out rules.yaml --server http://127.0.0.1:8080
",
    run,
};

#[derive(Serialize)]
struct Edit {
    revision: u64,
    file: PathBuf,
    next: [String; 2],
}

fn run(mut args: Args, context: &Context) -> CommandResult {
    let out: PathBuf = args.required("--out").usage()?;
    let replace = args.flag("--replace");
    args.finish().usage()?;
    let config = source::fetch(context, None)?;
    source::write(&out, &config.text, replace)?;
    let revision = config.revision;
    let file = out.display();
    let edit = Edit {
        revision,
        next: [
            format!("pomeloslip rules diff {file}"),
            format!("pomeloslip rules apply {file} --expect {revision}"),
        ],
        file: out.clone(),
    };
    context.show(&edit, || text(&edit))
}

fn text(edit: &Edit) -> String {
    format!(
        "revision {} is in {}\nedit it, then:\n  {}\n",
        edit.revision,
        edit.file.display(),
        edit.next.join("\n  ")
    )
}
