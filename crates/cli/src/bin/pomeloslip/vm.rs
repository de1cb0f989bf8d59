//! `vm stop`: planned stop of the endpoint on a VM.

use base::VmId;
use error_stack::ResultExt;
use pomeloslip::args::Args;

use crate::{
    command::{Command, Group, Node},
    context::Context,
    error::{CommandError, CommandResult, UsageExt},
};

pub(crate) const GROUP: Group = Group {
    name: "vm",
    summary: "Stop work on VMs",
    children: &[Node::Command(&STOP)],
};

const STOP: Command = Command {
    name: "stop",
    summary: "Let the endpoint on a VM finish its work and take no more",
    help: "\
Stops the endpoint on a VM as planned: it gets no new work after a few
seconds, and what runs is finished. The command returns when the stop is
accepted; `pomeloslip status` shows how far it is.

Usage: pomeloslip vm stop VM [options]

Example:
  pomeloslip vm stop vm-17 --server http://127.0.0.1:8080
",
    run: stop,
};

fn stop(mut args: Args, context: &Context) -> CommandResult {
    let vm: VmId = args.word("VM").usage()?;
    args.finish().usage()?;
    let client = context.client()?;
    let answer = context
        .block_on(client.stop_vm(&vm))?
        .change_context(CommandError::Failed("cannot stop the VM"))?;
    context.show(&answer, || format!("{vm} is stopping\n"))
}
