//! The `pomeloslip` binary: rules, jobs, status, demo, stand-ins and load.
//!
//! One module for each subcommand; its help text stands beside it.

mod command;
mod context;
mod costs;
mod demo;
mod error;
mod job;
mod load;
mod losses;
mod rules;
mod signal;
mod stand_in;
mod status;
mod trace;
mod vm;

use std::process::ExitCode;

use pomeloslip::args::Args;

use crate::{
    command::{Group, Node},
    context::Context,
    error::CommandResult,
};

const ROOT: Group = Group {
    name: "pomeloslip",
    summary: "Drives a pomeloslip fleet: rules, jobs, VMs, status.",
    children: &[
        Node::Group(&rules::GROUP),
        Node::Group(&job::GROUP),
        Node::Group(&vm::GROUP),
        Node::Command(&status::COMMAND),
        Node::Command(&losses::COMMAND),
        Node::Command(&costs::COMMAND),
        Node::Command(&trace::COMMAND),
        Node::Command(&demo::COMMAND),
        Node::Group(&stand_in::GROUP),
        Node::Command(&load::COMMAND),
    ],
};

fn main() -> ExitCode {
    let mut args = Args::from_env();
    let context = match Context::take(&mut args) {
        Ok(context) => context,
        Err(report) => return error::exit(&report, &Context::default()),
    };
    match run(args, &context) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => error::exit(&report, &context),
    }
}

fn run(args: Args, context: &Context) -> CommandResult {
    if context.version {
        let version = env!("CARGO_PKG_VERSION");
        return context.print(&format!("pomeloslip {version}\n"));
    }
    ROOT.dispatch("", args, context)
}
