//! `demo`: the whole system in one process on an embedded platform.

use std::net::{Ipv4Addr, SocketAddr};

use error_stack::Report;
use pomeloslip::args::Args;

use crate::{
    command::Command,
    context::Context,
    error::{CommandError, CommandResult, UsageExt},
};

pub(crate) const COMMAND: Command = Command {
    name: "demo",
    summary: "Serve on an embedded platform in one process",
    help: "\
Starts stand-ins of the platform and the engines, an entry, two data stores
in different failure domains and companions, all in this process over
loopback sockets, and prints one line with the address and curls to paste.

Usage: pomeloslip demo [--listen IP:PORT] [--for-s N] [--selftest] [options]

  --listen IP:PORT  address of the entry [127.0.0.1:0]; port 0 picks one
  --for-s N         end after N seconds [at SIGTERM or SIGINT]
  --selftest        run a chat, a batch, a burst, a cancel and the loss of a
                    companion, print a table, and end with status 0 only if
                    all held

Examples:
  pomeloslip demo --listen 127.0.0.1:8080
  pomeloslip demo --selftest
",
    run,
};

/// What to run and for how long.
#[derive(Clone, Copy, Debug)]
#[expect(dead_code, reason = "read once the library has a demo")]
struct DemoArgs {
    listen: SocketAddr,
    for_s: Option<u64>,
    selftest: bool,
}

fn run(mut args: Args, _context: &Context) -> CommandResult {
    let _demo = take(&mut args)?;
    args.finish().usage()?;
    Err(Report::new(CommandError::Failed(
        "this build has no demo yet",
    )))
}

fn take(args: &mut Args) -> Result<DemoArgs, Report<CommandError>> {
    let listen = args.option("--listen").usage()?;
    Ok(DemoArgs {
        listen: listen.unwrap_or((Ipv4Addr::LOCALHOST, 0).into()),
        for_s: args.option("--for-s").usage()?,
        selftest: args.flag("--selftest"),
    })
}
