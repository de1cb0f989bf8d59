//! `load`: open-loop load with verification of every answer.

use std::{
    io::{self, IsTerminal, Write},
    ops::RangeInclusive,
    str::FromStr,
};

use ::load::{Arrivals, LoadReport, Plan, Progress, direct, run as run_load};
use error_stack::{Report, ResultExt};
use pomeloslip::args::{Args, ArgsError};

use crate::{
    command::Command,
    context::Context,
    error::{CommandError, CommandResult, UsageExt},
};

const MS_PER_S: f64 = 1_000.0;

pub(crate) const COMMAND: Command = Command {
    name: "load",
    summary: "Send online requests and batch jobs, verify every answer",
    help: "\
Sends online requests at random moments whether or not earlier ones are
answered (open loop), and batch jobs beside them, to an entry before stand-in
engines. Each answer is compared byte for byte with what it must be. A latency
counts from the moment at which the request was meant to be sent.

The exit status is 1 if an answer was wrong, missing or doubled; refusals and
lost connections are counted in the report and do not fail.

Usage: pomeloslip load --model NAME [--rate N | --streams N] [options]

  --model NAME            model to ask for
  --rate N                online requests a second
  --streams N             instead: so many callers, each waits for its answer
  --for-s N               length of the online load [10]
  --prompt-bytes A..B     length of the prompts [64..512]
  --max-tokens N          tokens of an answer [16]
  --jobs N                batch jobs [0]
  --items N               items of each job [100]
  --fail-percent N        share of the items that must fail [0]
  --seed N                seed of prompts and arrivals [1]
  --request-timeout-ms N  longest wait for an online answer [60000]
  --batch-timeout-ms N    longest wait for a job [600000]
  --direct                send batch items as plain requests, straight to an
                          engine, for comparison

Example:
  pomeloslip load --model korv-lm --rate 20 --for-s 30 --jobs 2 --items 500
",
    run,
};

/// A range `A..B` of a command line, both ends included.
struct Bytes(RangeInclusive<usize>);

impl FromStr for Bytes {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, &'static str> {
        let bad = "it is no range A..B";
        let (from, to) = text.split_once("..").ok_or(bad)?;
        let from: usize = from.parse().map_err(|_| bad)?;
        let to: usize = to.parse().map_err(|_| bad)?;
        if from > to {
            return Err("it is empty");
        }
        Ok(Self(from..=to))
    }
}

fn run(mut args: Args, context: &Context) -> CommandResult {
    let server = context.server()?.to_owned();
    let plan = take(&mut args, &server).usage()?;
    let straight = args.flag("--direct");
    args.finish().usage()?;
    let plan = match &context.key {
        Some(key) => plan.key(key),
        None => plan,
    };
    plan.check()
        .change_context(CommandError::Failed("the load cannot be sent"))?;
    let report = context
        .block_on(async {
            let progress = show_progress(context);
            if straight {
                direct(&plan, &server, progress).await
            } else {
                run_load(&plan, progress).await
            }
        })?
        .change_context(CommandError::Failed("the load ended early"))?;
    context.show(&report, || report.to_string())?;
    verdict(&report)
}

/// Reads the plan. Each option is taken once, whether or not the load has
/// a use for it.
fn take(args: &mut Args, server: &str) -> Result<Plan, ArgsError> {
    let model: String = args.required("--model")?;
    let arrivals = take_arrivals(args)?;
    let seconds: f64 = args.option("--for-s")?.unwrap_or(10.0);
    let mut plan = Plan::new(server, &model)
        .arrivals(arrivals)
        .duration_ms((seconds.max(0.0) * MS_PER_S) as u64)
        .batch(
            args.option("--jobs")?.unwrap_or(0),
            args.option("--items")?.unwrap_or(100),
        );
    if let Some(Bytes(bytes)) = args.option("--prompt-bytes")? {
        plan = plan.prompt_bytes(bytes);
    }
    if let Some(tokens) = args.option("--max-tokens")? {
        plan = plan.max_tokens(tokens);
    }
    if let Some(percent) = args.option("--fail-percent")? {
        plan = plan.fail_percent(percent);
    }
    if let Some(seed) = args.option("--seed")? {
        plan = plan.seed(seed);
    }
    if let Some(timeout_ms) = args.option("--request-timeout-ms")? {
        plan = plan.request_timeout_ms(timeout_ms);
    }
    if let Some(timeout_ms) = args.option("--batch-timeout-ms")? {
        plan = plan.batch_timeout_ms(timeout_ms);
    }
    Ok(plan)
}

fn take_arrivals(args: &mut Args) -> Result<Arrivals, ArgsError> {
    let rate = args.option("--rate")?;
    let streams = args.option("--streams")?;
    match (rate, streams) {
        (Some(_), Some(_)) => Err(ArgsError::Combination {
            message: "--rate and --streams do not go together",
        }),
        (Some(rate), None) => Ok(Arrivals::PerSecond(rate)),
        (None, Some(streams)) => Ok(Arrivals::Streams(streams)),
        (None, None) => Ok(Arrivals::None),
    }
}

fn verdict(report: &LoadReport) -> CommandResult {
    if report.is_clean() {
        return Ok(());
    }
    Err(Report::new(CommandError::Failed(
        "some answers are wrong, missing or doubled",
    )))
}

/// Shows how far the load is, on one line, if somebody watches.
fn show_progress(context: &Context) -> impl FnMut(Progress) {
    let shown = !context.json && io::stderr().is_terminal();
    move |progress| {
        if !shown {
            return;
        }
        let line = format!(
            "\r{:>6.1} s: {} sent, {} running, {} right, {} items known ",
            progress.elapsed_ms as f64 / MS_PER_S,
            progress.sent,
            progress.in_flight,
            progress.right,
            progress.items_known,
        );
        // Progress that cannot be shown does not stop the load.
        let _ = io::stderr().lock().write_all(line.as_bytes());
    }
}
