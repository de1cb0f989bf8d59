//! `stand-in service`: a plain service.

use pomeloslip::args::Args;
use standin::service::{
    PlainService, PlainServiceHandle, PlainServiceSettings,
};

use super::serve::StandIn;
use crate::{command::Command, context::Context, error::CommandResult};

pub(crate) const COMMAND: Command = Command {
    name: "service",
    summary: "Serve as a plain service that counts its calls",
    help: "\
Serves in place of a plain service. It counts how often each call has run, so
that a checker sees whether one ran twice.
It prints one line with its address when it is ready, and runs until SIGTERM
or SIGINT. Nothing is kept.

Usage: pomeloslip stand-in service [--listen IP:PORT] [--set NAME=VALUE]...

  --listen IP:PORT  address [127.0.0.1:0]; port 0 picks one
  --set NAME=VALUE  change a setting, repeatable; JSON, a.b for nested ones
  --show-settings   print the settings with their values and end

Example:
  pomeloslip stand-in service --set faults.latency_ms=15
",
    run,
};

fn run(args: Args, context: &Context) -> CommandResult {
    let stand_in = StandIn {
        name: "service",
        start: PlainService::start,
        address: PlainServiceHandle::address,
    };
    stand_in.run::<PlainServiceSettings>(args, context)
}
