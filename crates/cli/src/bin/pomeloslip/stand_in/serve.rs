//! Runs any stand-in until a signal.

use std::net::SocketAddr;

use error_stack::{Report, ResultExt};
use pomeloslip::args::{Args, Pair, override_settings};
use serde::{Serialize, de::DeserializeOwned};
use standin::StandinError;

use crate::{
    context::Context,
    error::{CommandError, CommandResult, UsageExt},
    signal::StopSignals,
};

/// A stand-in with its name, start and address.
pub(super) struct StandIn<Start, Handle> {
    pub(super) name: &'static str,
    pub(super) start: Start,
    pub(super) address: fn(&Handle) -> SocketAddr,
}

#[derive(Serialize)]
struct Ready {
    ready: &'static str,
    address: SocketAddr,
}

impl<Start, Handle> StandIn<Start, Handle> {
    /// Starts it with the settings of the command line, prints one line
    /// with its address, and stops it at SIGTERM or SIGINT.
    pub(super) fn run<Settings>(
        self,
        mut args: Args,
        context: &Context,
    ) -> CommandResult
    where
        Settings: Default + Serialize + DeserializeOwned,
        Start: AsyncFnOnce(Settings) -> Result<Handle, Report<StandinError>>,
    {
        let settings = take::<Settings>(&mut args)?;
        let show = args.flag("--show-settings");
        args.finish().usage()?;
        if show {
            return show_settings(context, &settings);
        }
        context.block_on(async {
            let handle = (self.start)(settings).await.change_context(
                CommandError::Failed("cannot start the stand-in"),
            )?;
            let ready = Ready {
                ready: self.name,
                address: (self.address)(&handle),
            };
            let stop = StopSignals::listen()?;
            print_ready(context, &ready)?;
            // The handle stops the server when it is dropped.
            stop.stopped().await;
            Ok(())
        })?
    }
}

fn take<S>(args: &mut Args) -> Result<S, Report<CommandError>>
where
    S: Default + Serialize + DeserializeOwned,
{
    let mut pairs: Vec<Pair> = args.repeated("--set").usage()?;
    let listen: Option<SocketAddr> = args.option("--listen").usage()?;
    pairs.extend(listen.map(|listen| Pair {
        name: "listen".to_owned(),
        value: listen.to_string(),
    }));
    override_settings(&pairs).usage()
}

fn show_settings(
    context: &Context,
    settings: &impl Serialize,
) -> CommandResult {
    let json = serde_json::to_string_pretty(settings)
        .change_context(CommandError::Failed("cannot print the settings"))?;
    context.print(&format!("{json}\n"))
}

fn print_ready(context: &Context, ready: &Ready) -> CommandResult {
    if !context.json {
        let Ready { ready, address } = ready;
        return context.print(&format!("{ready} ready at http://{address}\n"));
    }
    let json = serde_json::to_string(ready)
        .change_context(CommandError::Failed("cannot print"))?;
    context.print(&format!("{json}\n"))
}
