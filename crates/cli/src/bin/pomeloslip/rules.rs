//! `rules`: the operators' configuration.

mod apply;
mod check;
mod diff;
mod edit;
mod explain;
mod show;
mod source;

use crate::command::{Group, Node};

pub(crate) const GROUP: Group = Group {
    name: "rules",
    summary: "Check, compare and change the configuration",
    children: &[
        Node::Command(&check::COMMAND),
        Node::Command(&show::COMMAND),
        Node::Command(&diff::COMMAND),
        Node::Command(&edit::COMMAND),
        Node::Command(&apply::COMMAND),
        Node::Command(&explain::COMMAND),
    ],
};
