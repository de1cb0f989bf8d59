//! `demo`: the whole system in one process on an embedded platform.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use error_stack::{Report, ResultExt};
use obs::{LogLevel, LogSettings};
use pomeloslip::{
    args::Args,
    demo::{self, Demo},
};

use crate::{
    command::Command,
    context::Context,
    error::{CommandError, CommandResult, UsageExt},
    signal::StopSignals,
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
struct DemoArgs {
    listen: SocketAddr,
    for_s: Option<u64>,
    selftest: bool,
}

/// What a failed demo means for the command.
const CANNOT_RUN: CommandError = CommandError::Failed("the demo cannot run");

fn run(mut args: Args, context: &Context) -> CommandResult {
    let demo = take(&mut args)?;
    args.finish().usage()?;
    // The server library takes the process's logger if nobody else has it.
    let logs = LogSettings {
        level: LogLevel::Error,
        ..LogSettings::default()
    };
    let _logs = obs::logs::start(&logs).change_context(CANNOT_RUN)?;
    match demo.selftest {
        true => test(demo, context),
        false => serve(demo, context),
    }
}

fn test(args: DemoArgs, context: &Context) -> CommandResult {
    let found = context
        .block_on(demo::selftest(args.listen))?
        .change_context(CANNOT_RUN)?;
    context.show(&found, || found.to_string())?;
    match found.held() {
        true => Ok(()),
        false => {
            let what = CommandError::Failed("the self-test found a fault");
            Err(Report::new(what))
        }
    }
}

fn serve(args: DemoArgs, context: &Context) -> CommandResult {
    context.block_on(async {
        let demo = Demo::start(args.listen).await;
        let demo = demo.change_context(CANNOT_RUN)?;
        let stop = StopSignals::listen()?;
        context.print(&demo.instructions())?;
        let end = async {
            match args.for_s {
                Some(s) => tokio::time::sleep(Duration::from_secs(s)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = end => {}
            () = stop.stopped() => {}
        }
        demo.stop().await;
        Ok(())
    })?
}

fn take(args: &mut Args) -> Result<DemoArgs, Report<CommandError>> {
    let listen = args.option("--listen").usage()?;
    Ok(DemoArgs {
        listen: listen.unwrap_or((Ipv4Addr::LOCALHOST, 0).into()),
        for_s: args.option("--for-s").usage()?,
        selftest: args.flag("--selftest"),
    })
}
