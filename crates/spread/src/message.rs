use std::net::SocketAddr;

use base::{FailureDomain, Revision, VmId};
use serde::{Deserialize, Serialize};

use crate::{Delta, Document, Hint, Stamp};

/// What a message is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// It compares.
    Ask,
    /// It tells a change.
    Tell,
    /// It brings what an answer showed to be missing; no other follows, so
    /// that two processes that cannot agree do not talk without end.
    FollowUp,
}

/// What two processes tell each other; question and answer look alike, so
/// each comparison brings the newer revision in either direction.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub(crate) vm: VmId,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) step: Step,
    /// In force at the sender.
    pub(crate) revision: Revision,
    /// Digest over the text of that revision.
    pub(crate) digest: u64,
    /// The newest that the sender has heard of.
    pub(crate) heard: Revision,
    /// What a delta for the sender may be based on; 0 asks for the whole.
    pub(crate) base: Revision,
    #[serde(default)]
    pub(crate) wants_hints: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) delta: Option<Delta>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) hints: Vec<Hint>,
}

impl Message {
    /// Returns the revision in force at the sender.
    #[inline]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns what the message is for; an answer repeats that of its
    /// question.
    #[inline]
    pub fn step(&self) -> Step {
        self.step
    }

    /// Returns the change that comes with it.
    #[inline]
    pub fn delta(&self) -> Option<&Delta> {
        self.delta.as_ref()
    }
}

/// What happened at a process.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time went on; wanted every 50 ms or so.
    Tick,
    /// The service holds this configuration.
    Found {
        /// Its revision.
        revision: Revision,
        /// Its text.
        text: String,
        /// When it was accepted.
        stamp: Stamp,
    },
    /// The service has accepted this edit of this process.
    Accepted {
        /// Its revision.
        revision: Revision,
        /// Its text.
        text: String,
        /// When it was accepted.
        stamp: Stamp,
    },
    /// The watch at the service delivered a change.
    Changed(Delta),
    /// The watch delivered that a revision exists, without the change.
    RevisionAnnounced(Revision),
    /// Another process asks or tells.
    Request(Message),
    /// A neighbour answers.
    Response {
        /// The neighbour.
        peer: SocketAddr,
        /// What it says.
        message: Message,
    },
    /// A neighbour does not answer.
    Failed {
        /// The neighbour.
        peer: SocketAddr,
    },
}

/// What a process has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Put this in force; its revision is higher than all before.
    Apply(Document),
    /// Send a message and report the answer or the failure.
    Send {
        /// To whom.
        peer: SocketAddr,
        /// What.
        message: Box<Message>,
    },
    /// Answer the question of this event.
    Reply(Box<Message>),
    /// Start or end the watch at the service.
    Watch(bool),
    /// Read the whole configuration at the service.
    Read,
}
