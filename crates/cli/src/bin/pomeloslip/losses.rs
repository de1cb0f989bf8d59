//! `losses`: what a fleet lost, by cause and time.

use std::collections::BTreeMap;

use pomeloslip::{
    args::Args,
    losses::{Cause, Losses},
};

use crate::{
    command::Command, context::Context, error::CommandResult,
    trace::read_files,
};

pub(crate) const COMMAND: Command = Command {
    name: "losses",
    summary: "Count what was lost, by cause and time, from logs",
    help: "\
Reads the JSON lines that fronts and workers wrote and counts the requests and
items that missed what their route asks for, each once: refused, failed, late
for want of an endpoint, at its endpoint, by a pause, late items after cuts.
Below the table by time it lists the worst tenth of the customers, by the part
that was missed of what was within their limits.

Usage: pomeloslip losses FILE...
       pomeloslip losses -          (reads standard input)

Example:
  pomeloslip losses logs/front-*.log logs/worker-*.log
",
    run,
};

/// Seconds of one row of the table by time.
const ROW_S: u64 = 2;

fn run(args: Args, context: &Context) -> CommandResult {
    let texts = read_files(args)?;
    let losses = Losses::of(texts.iter().map(String::as_str));
    context.print(&format!(
        "{} requests, {} items\n",
        losses.requests(),
        losses.items()
    ))?;
    for (cause, count) in losses.totals() {
        context.print(&format!("{count:>7}  {cause}\n"))?;
    }
    print_by_time(&losses, context)?;
    print_customers(&losses, context)
}

/// Prints the worst tenth of the customers, one at least.
fn print_customers(losses: &Losses, context: &Context) -> CommandResult {
    let worst = losses.worst_customers();
    if worst.is_empty() {
        return Ok(());
    }
    context.print(
        "\nworst customers: requests, over the limit, missed of the rest\n",
    )?;
    for (name, lost) in worst.iter().take(worst.len().div_ceil(10)) {
        let percent = f64::from(lost.missed_permille()) / 10.0;
        context.print(&format!(
            "{name:>20}  {:>6}  {:>6}  {percent:>5.1} %\n",
            lost.requests, lost.over_limit,
        ))?;
    }
    Ok(())
}

fn print_by_time(losses: &Losses, context: &Context) -> CommandResult {
    let Some(first) = losses.by_second().keys().next().copied() else {
        return Ok(());
    };
    context.print("\nfrom second (of the first loss)\n")?;
    let mut rows: BTreeMap<u64, BTreeMap<Cause, u32>> = BTreeMap::new();
    for (second, causes) in losses.by_second() {
        let row = rows.entry((second - first) / ROW_S * ROW_S).or_default();
        for (cause, count) in causes {
            *row.entry(*cause).or_default() += count;
        }
    }
    for (from, causes) in rows {
        let causes: Vec<String> = causes
            .iter()
            .map(|(cause, count)| format!("{count} {cause}"))
            .collect();
        context.print(&format!("{from:>5}  {}\n", causes.join(", ")))?;
    }
    Ok(())
}
