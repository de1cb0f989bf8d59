//! The tree of subcommands and their help texts.

use error_stack::Report;
use pomeloslip::args::{Args, ArgsError};

use crate::{
    context::Context,
    error::{CommandError, CommandResult},
};

/// Options and exit statuses that all subcommands share.
const COMMON_HELP: &str = "\
Options everywhere:
  --server URL    entry to call, http://IP:PORT [env POMELOSLIP_SERVER]
  --key KEY       key of a tenant or operator [env POMELOSLIP_KEY]
  --timeout-s N   longest silence of the entry before giving up [30]
  --json          print JSON for machines, errors too
  --verbose       print the whole chain of causes of an error
  --help          print this text
  --version       print the version

Exit status: 0 done, 1 failed, 2 wrong usage.
";

/// A subcommand that does something.
pub(crate) struct Command {
    /// Last word of its name.
    pub(crate) name: &'static str,
    /// One line for the list in its group.
    pub(crate) summary: &'static str,
    /// Usage, options and an example.
    pub(crate) help: &'static str,
    /// Reads its arguments and does it.
    pub(crate) run: fn(Args, &Context) -> CommandResult,
}

/// A subcommand that has subcommands.
pub(crate) struct Group {
    /// Last word of its name.
    pub(crate) name: &'static str,
    /// One line for the list in its group.
    pub(crate) summary: &'static str,
    /// Its subcommands.
    pub(crate) children: &'static [Node],
}

/// A subcommand of either sort.
#[derive(Clone, Copy)]
pub(crate) enum Node {
    /// Does something.
    Command(&'static Command),
    /// Has subcommands.
    Group(&'static Group),
}

impl Node {
    const fn name(self) -> &'static str {
        match self {
            Node::Command(command) => command.name,
            Node::Group(group) => group.name,
        }
    }

    const fn summary(self) -> &'static str {
        match self {
            Node::Command(command) => command.summary,
            Node::Group(group) => group.summary,
        }
    }

    fn dispatch(
        self,
        before: &str,
        args: Args,
        context: &Context,
    ) -> CommandResult {
        match self {
            Node::Command(command) => command.dispatch(args, context),
            Node::Group(group) => group.dispatch(before, args, context),
        }
    }
}

impl Command {
    fn dispatch(&self, args: Args, context: &Context) -> CommandResult {
        if context.help {
            return context.print(&format!("{}\n{COMMON_HELP}", self.help));
        }
        (self.run)(args, context)
    }
}

impl Group {
    /// Runs the subcommand that the arguments name.
    pub(crate) fn dispatch(
        &self,
        before: &str,
        mut args: Args,
        context: &Context,
    ) -> CommandResult {
        let path = format!("{before}{}", self.name);
        let names: Vec<&str> =
            self.children.iter().map(|node| node.name()).collect();
        let name = args.subcommand(&names).map_err(CommandError::usage)?;
        let node = self.children.iter().find(|n| Some(n.name()) == name);
        match node {
            Some(node) => node.dispatch(&format!("{path} "), args, context),
            None if context.help => context.print(&self.help(&path)),
            None => {
                args.finish().map_err(CommandError::usage)?;
                Err(self.missing(&path))
            }
        }
    }

    fn missing(&self, path: &str) -> Report<CommandError> {
        let names: Vec<&str> =
            self.children.iter().map(|node| node.name()).collect();
        let missing = ArgsError::MissingWord { what: "SUBCOMMAND" };
        let text = format!("{path} takes one of: {}", names.join(", "));
        CommandError::usage(missing).attach(text)
    }

    fn help(&self, path: &str) -> String {
        let mut text = format!(
            "{}\n\nUsage: {path} SUBCOMMAND [options]\n\nSubcommands:\n",
            self.summary
        );
        for node in self.children {
            let line = format!("  {:<10} {}\n", node.name(), node.summary());
            text.push_str(&line);
        }
        let example = format!("\nMore: {path} SUBCOMMAND --help\n\n");
        text.push_str(&example);
        text.push_str(COMMON_HELP);
        text
    }
}
