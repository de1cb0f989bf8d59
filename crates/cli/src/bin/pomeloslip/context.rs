//! What all subcommands share: the options everywhere and the output.

use std::{
    env,
    future::Future,
    io::{self, Write},
};

use error_stack::{Report, ResultExt};
use pomeloslip::{
    args::{Args, ArgsError},
    client::{Client, ClientSettings},
};
use serde::Serialize;

use crate::error::{CommandError, CommandResult};

const SERVER_VARIABLE: &str = "POMELOSLIP_SERVER";
const KEY_VARIABLE: &str = "POMELOSLIP_KEY";
const SILENCE_TIMEOUT_S: u64 = 30;

/// Options that are valid everywhere.
#[derive(Debug, Default)]
pub(crate) struct Context {
    pub(crate) help: bool,
    pub(crate) version: bool,
    pub(crate) json: bool,
    pub(crate) verbose: bool,
    pub(crate) server: Option<String>,
    pub(crate) key: Option<String>,
    silence_timeout_ms: u64,
}

impl Context {
    /// Takes the options from the command line, else the environment.
    pub(crate) fn take(args: &mut Args) -> Result<Self, Report<CommandError>> {
        let take = |args: &mut Args| -> Result<Self, ArgsError> {
            // Options come before flags: "--key --json" would otherwise
            // lose its flag and take the next word as the key.
            let server = args.option("--server")?;
            let key = args.option("--key")?;
            let timeout_s = args.option("--timeout-s")?;
            let short_help = args.flag("-h");
            let silence_timeout_ms = timeout_s
                .unwrap_or(SILENCE_TIMEOUT_S)
                .max(1)
                .saturating_mul(1_000);
            Ok(Self {
                help: args.flag("--help") || short_help,
                version: args.flag("--version"),
                json: args.flag("--json"),
                verbose: args.flag("--verbose"),
                server: server.or_else(from(SERVER_VARIABLE)),
                key: key.or_else(from(KEY_VARIABLE)),
                silence_timeout_ms,
            })
        };
        take(args).map_err(CommandError::usage)
    }

    /// Returns the address of the entry.
    pub(crate) fn server(&self) -> Result<&str, Report<CommandError>> {
        self.server.as_deref().ok_or_else(|| {
            CommandError::usage(ArgsError::MissingOption {
                option: "--server (or the variable POMELOSLIP_SERVER)",
            })
        })
    }

    /// Makes a client of the entry.
    pub(crate) fn client(&self) -> Result<Client, Report<CommandError>> {
        let settings = ClientSettings {
            server: self.server()?.to_owned(),
            key: self.key.clone(),
            silence_timeout_ms: self.silence_timeout_ms,
        };
        Client::try_new(&settings)
            .change_context(CommandError::Failed("cannot call the entry"))
    }

    /// Runs a future to its end.
    pub(crate) fn block_on<T>(
        &self,
        future: impl Future<Output = T>,
    ) -> Result<T, Report<CommandError>> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()
            .change_context(CommandError::Failed("cannot start threads"))?;
        Ok(runtime.block_on(future))
    }

    /// Prints text to the standard output.
    pub(crate) fn print(&self, text: &str) -> CommandResult {
        let mut output = io::stdout().lock();
        output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush())
            .or_else(ignore_closed)
            .change_context(CommandError::Failed("cannot print"))
    }

    /// Prints a value as JSON with `--json`, else as text.
    pub(crate) fn show(
        &self,
        value: &impl Serialize,
        text: impl FnOnce() -> String,
    ) -> CommandResult {
        if !self.json {
            return self.print(&text());
        }
        let json = serde_json::to_string_pretty(value)
            .change_context(CommandError::Failed("cannot print"))?;
        self.print(&format!("{json}\n"))
    }

    /// Tells people something beside the output.
    pub(crate) fn note(&self, text: &str) {
        if !self.json {
            // A note that cannot be written has no other way out.
            let _ = writeln!(io::stderr().lock(), "{text}");
        }
    }
}

fn from(variable: &'static str) -> impl FnOnce() -> Option<String> {
    move || env::var(variable).ok().filter(|value| !value.is_empty())
}

/// A reader that has seen enough, for example `head`, is no failure.
fn ignore_closed(error: io::Error) -> io::Result<()> {
    match error.kind() {
        io::ErrorKind::BrokenPipe => Ok(()),
        _ => Err(error),
    }
}
