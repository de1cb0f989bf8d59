//! `rules explain`: which rule a request meets, and why.

use std::path::PathBuf;

use base::{Clock, Revision, SystemClock, UnixMillis};
use error_stack::Report;
use jiff::Timestamp;
use pomeloslip::args::{Args, ArgsError};
use rules::{CompiledConfig, Config, Explanation, SampleBuf};

use super::{check, source};
use crate::{
    command::Command,
    context::Context,
    error::{CommandError, CommandResult, UsageExt},
};

const LIVE: &str = "configuration in force";

pub(crate) const COMMAND: Command = Command {
    name: "explain",
    summary: "Tell which rule a sample request meets and why",
    help: "\
Tells for each rule in order whether a sample request meets it, and if not,
which conditions fail; the first rule that holds decides. Without a server, a
file is explained; with --live, the configuration in force.

Usage: pomeloslip rules explain FILE|--live [--sample KEY=VALUE]... [options]

  --live              explain the configuration in force
  --sample KEY=VALUE  what the request has, repeatable. Keys: class [online],
                      tenant, model, service, path [/], method [POST],
                      prompt_bytes, due_in_ms, header.NAME, pool_load.POOL
  --at TIME           moment of the request, RFC 3339 [now]

Example:
  pomeloslip rules explain rules.yaml --sample class=batch \\
    --sample tenant=alama --sample model=alama-llm
",
    run,
};

fn run(mut args: Args, context: &Context) -> CommandResult {
    let words: Vec<String> = args.repeated("--sample").usage()?;
    let at: Option<Timestamp> = args.option("--at").usage()?;
    let live = args.flag("--live");
    let path: Option<PathBuf> = args.optional_word("FILE").usage()?;
    args.finish().usage()?;
    let sample = sample(&words).usage()?;
    let compiled = match (path, live) {
        (Some(path), false) => read(context, &path)?,
        (None, true) => fetch(context)?,
        _ => return Err(one_source()),
    };
    let explanation = compiled.explain(&sample.as_sample(), moment(at));
    context.show(&explanation, || text(&explanation, live))
}

fn sample(words: &[String]) -> Result<SampleBuf, ArgsError> {
    let mut sample = SampleBuf::default();
    for word in words {
        sample.set(word).map_err(|error| ArgsError::BadValue {
            what: "--sample".to_owned(),
            value: word.clone(),
            cause: error.to_string(),
        })?;
    }
    Ok(sample)
}

fn one_source() -> Report<CommandError> {
    CommandError::usage(ArgsError::Combination {
        message: "give either a FILE or --live",
    })
}

fn read(
    context: &Context,
    path: &std::path::Path,
) -> Result<CompiledConfig, Report<CommandError>> {
    let text = source::read(path)?;
    let file = path.display().to_string();
    let config = check::parse(context, &file, &text)?;
    Ok(config.compile(Revision::default()))
}

fn fetch(context: &Context) -> Result<CompiledConfig, Report<CommandError>> {
    let live = source::fetch(context, None)?;
    let config: Config = check::parse(context, LIVE, &live.text)?;
    Ok(config.compile(Revision::new(live.revision)))
}

fn moment(at: Option<Timestamp>) -> UnixMillis {
    match at {
        Some(at) => {
            let ms = u64::try_from(at.as_millisecond());
            UnixMillis::new(ms.unwrap_or(0))
        }
        None => SystemClock::new().unix(),
    }
}

/// Shows an explanation; a file has no revision to show.
fn text(explanation: &Explanation, live: bool) -> String {
    let text = explanation.to_string();
    match text.split_once(": ") {
        Some((_, rest)) if !live => rest.to_owned(),
        _ => text,
    }
}
