//! `stand-in kv`: the key-value service.

use pomeloslip::args::Args;
use standin::kv::{KvService, KvServiceHandle, KvServiceSettings};

use super::serve::StandIn;
use crate::{command::Command, context::Context, error::CommandResult};

pub(crate) const COMMAND: Command = Command {
    name: "kv",
    summary: "Serve as the key-value service (etcd v3 JSON gateway)",
    help: "\
Serves in place of the key-value service: etcd v3's JSON gateway with
transactions, leases and watches, and faults that can be switched on.
It prints one line with its address when it is ready, and runs until SIGTERM
or SIGINT. Nothing is kept.

Usage: pomeloslip stand-in kv [--listen IP:PORT] [--set NAME=VALUE]...

  --listen IP:PORT  address [127.0.0.1:0]; port 0 picks one
  --set NAME=VALUE  change a setting, repeatable; JSON, a.b for nested ones
  --show-settings   print the settings with their values and end

Example:
  pomeloslip stand-in kv --listen 127.0.0.1:2379 --set faults.slow_ms=20
",
    run,
};

fn run(args: Args, context: &Context) -> CommandResult {
    let stand_in = StandIn {
        name: "kv",
        start: KvService::start,
        address: KvServiceHandle::address,
    };
    stand_in.run::<KvServiceSettings>(args, context)
}
