//! `stand-in`: small servers in place of the platform and the endpoints.

mod engine;
mod kv;
mod serve;
mod service;
mod vms;
mod weights;

use crate::command::{Group, Node};

pub(crate) const GROUP: Group = Group {
    name: "stand-in",
    summary: "Serve in place of the platform or an endpoint",
    children: &[
        Node::Command(&kv::COMMAND),
        Node::Command(&vms::COMMAND),
        Node::Command(&engine::COMMAND),
        Node::Command(&service::COMMAND),
        Node::Command(&weights::COMMAND),
    ],
};
