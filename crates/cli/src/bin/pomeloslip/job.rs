//! `job`: batch jobs through the OpenAI shapes.

mod cancel;
mod list;
mod results;
mod show;
mod start;

use crate::command::{Group, Node};

pub(crate) const GROUP: Group = Group {
    name: "job",
    summary: "Start, follow and cancel batch jobs",
    children: &[
        Node::Command(&start::COMMAND),
        Node::Command(&list::COMMAND),
        Node::Command(&show::COMMAND),
        Node::Command(&cancel::COMMAND),
        Node::Command(&results::COMMAND),
    ],
};
