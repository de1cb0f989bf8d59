//! `stand-in engine`: a model engine.

use pomeloslip::args::Args;
use standin::engine::{Engine, EngineHandle, EngineSettings};

use super::serve::StandIn;
use crate::{command::Command, context::Context, error::CommandResult};

pub(crate) const COMMAND: Command = Command {
    name: "engine",
    summary: "Serve as a model engine with continuous batching",
    help: "\
Serves in place of a model engine: the OpenAI API with streaming, a batch that
slows down with load, a prefix cache of bounded memory, a late load report.
The answer is a function of the prompt, so that it can be verified.
It prints one line with its address when it is ready, and runs until SIGTERM
or SIGINT. Nothing is kept.

Usage: pomeloslip stand-in engine [--listen IP:PORT] [--set NAME=VALUE]...

  --listen IP:PORT  address [127.0.0.1:0]; port 0 picks one
  --set NAME=VALUE  change a setting, repeatable; JSON, a.b for nested ones
  --show-settings   print the settings with their values and end

Example:
  pomeloslip stand-in engine --set max_running=8
",
    run,
};

fn run(args: Args, context: &Context) -> CommandResult {
    let stand_in = StandIn {
        name: "engine",
        start: Engine::start,
        address: EngineHandle::address,
    };
    stand_in.run::<EngineSettings>(args, context)
}
