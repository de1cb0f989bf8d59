//! `stand-in vms`: the platform's list of VMs.

use pomeloslip::args::Args;
use standin::vms::{VmListHandle, VmListService, VmListSettings};

use super::serve::StandIn;
use crate::{command::Command, context::Context, error::CommandResult};

pub(crate) const COMMAND: Command = Command {
    name: "vms",
    summary: "Serve as the platform's list of VMs, with its lag",
    help: "\
Serves in place of the platform's list of live and leaving VMs, which is late
by a setting.
It prints one line with its address when it is ready, and runs until SIGTERM
or SIGINT. Nothing is kept.

Usage: pomeloslip stand-in vms [--listen IP:PORT] [--set NAME=VALUE]...

  --listen IP:PORT  address [127.0.0.1:0]; port 0 picks one
  --set NAME=VALUE  change a setting, repeatable; JSON, a.b for nested ones
  --show-settings   print the settings with their values and end

Example:
  pomeloslip stand-in vms --listen 127.0.0.1:7001 --set lag_ms=3000
",
    run,
};

fn run(args: Args, context: &Context) -> CommandResult {
    let stand_in = StandIn {
        name: "vms",
        start: VmListService::start,
        address: VmListHandle::address,
    };
    stand_in.run::<VmListSettings>(args, context)
}
