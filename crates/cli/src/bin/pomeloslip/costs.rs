//! `costs`: what the nodes of a fleet send, receive and call.

use pomeloslip::{args::Args, costs::Costs};

use crate::{
    command::Command, context::Context, error::CommandResult,
    trace::read_files,
};

pub(crate) const COMMAND: Command = Command {
    name: "costs",
    summary: "Show what nodes send, receive and call, by role, from logs",
    help: "\
Reads the JSON lines that fronts and workers wrote and shows, for each of
their counters and each role, the mean of the nodes and the node with the most,
a second. Tables of fleets of different sizes show what grows with the size.

Usage: pomeloslip costs FILE...
       pomeloslip costs -           (reads standard input)

Example:
  pomeloslip costs logs/front-*.log logs/worker-*.log
",
    run,
};

fn run(args: Args, context: &Context) -> CommandResult {
    let texts = read_files(args)?;
    let costs = Costs::of(texts.iter().map(String::as_str));
    let mut head = format!("{:<26}", "a second, mean / most");
    for role in costs.roles() {
        let title = format!("{role} ({})", costs.nodes(role));
        head += &format!("{title:>24}");
    }
    context.print(&format!("{head}\n"))?;
    for counter in costs.counters() {
        let mut row = format!("{counter:<26}");
        for role in costs.roles() {
            let rate = costs.of_role(role, counter);
            let cell = rate.map_or_else(String::new, |rate| {
                format!("{:.2} / {:.2}", rate.mean_per_s, rate.most_per_s)
            });
            row += &format!("{cell:>24}");
        }
        context.print(&format!("{row}\n"))?;
    }
    Ok(())
}
