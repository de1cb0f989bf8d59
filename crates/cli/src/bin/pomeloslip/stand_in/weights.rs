//! `stand-in weights`: the weight store.

use pomeloslip::args::Args;
use standin::weights::{WeightStore, WeightStoreHandle, WeightStoreSettings};

use super::serve::StandIn;
use crate::{command::Command, context::Context, error::CommandResult};

pub(crate) const COMMAND: Command = Command {
    name: "weights",
    summary: "Serve as the weight store with its rate limit",
    help: "\
Serves in place of the weight store: HTTP GET, with status 429 and Retry-After
over its rate.
It prints one line with its address when it is ready, and runs until SIGTERM
or SIGINT. Nothing is kept.

Usage: pomeloslip stand-in weights [--listen IP:PORT] [--set NAME=VALUE]...

  --listen IP:PORT  address [127.0.0.1:0]; port 0 picks one
  --set NAME=VALUE  change a setting, repeatable; JSON, a.b for nested ones
  --show-settings   print the settings with their values and end

Example:
  pomeloslip stand-in weights --set calls_per_minute=6
",
    run,
};

fn run(args: Args, context: &Context) -> CommandResult {
    let stand_in = StandIn {
        name: "weights",
        start: WeightStore::start,
        address: WeightStoreHandle::address,
    };
    stand_in.run::<WeightStoreSettings>(args, context)
}
