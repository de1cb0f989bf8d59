use std::net::SocketAddr;

use base::{FailureDomain, Revision, VmId};
use serde::{Deserialize, Serialize};

use crate::{Delta, Document, Hint, Stamp};

/// Purpose of a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MessageKind {
    /// Compares revisions.
    #[serde(rename = "ask")]
    Compare,
    /// Pushes a change.
    #[serde(rename = "tell")]
    Push,
    /// Sends the delta that a response showed to be missing. It triggers no
    /// further message, so that two processes that cannot agree do not
    /// exchange messages endlessly.
    FollowUp,
}

/// Message between two processes. Requests and responses have the same form,
/// so each exchange transfers the newer revision in either direction.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub(crate) vm: VmId,
    pub(crate) failure_domain: FailureDomain,
    #[serde(rename = "step")]
    pub(crate) kind: MessageKind,
    /// Revision in force at the sender.
    pub(crate) revision: Revision,
    /// Digest of the text of that revision.
    pub(crate) digest: u64,
    /// Newest revision that the sender knows of.
    #[serde(rename = "heard")]
    pub(crate) newest_known: Revision,
    /// Revision on which a delta for the sender may be based; 0 requests the
    /// full document.
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

    /// Returns the purpose of the message; a response repeats that of its
    /// request.
    #[inline]
    pub fn kind(&self) -> MessageKind {
        self.kind
    }

    /// Returns the delta in the message.
    #[inline]
    pub fn delta(&self) -> Option<&Delta> {
        self.delta.as_ref()
    }
}

/// Input event of a process.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; expected about every 50 ms.
    Tick,
    /// A read of the key-value service returned this configuration.
    ConfigRead {
        /// Its revision.
        revision: Revision,
        /// Its text.
        text: String,
        /// Its acceptance time and edit id.
        stamp: Stamp,
    },
    /// The key-value service accepted this edit of this process.
    EditAccepted {
        /// Its revision.
        revision: Revision,
        /// Its text.
        text: String,
        /// Its acceptance time and edit id.
        stamp: Stamp,
    },
    /// The watch of the key-value service delivered a change.
    Changed(Delta),
    /// The watch delivered the number of a new revision without the change.
    RevisionAnnounced(Revision),
    /// Another process sent a request.
    Request(Message),
    /// A peer responded.
    Response {
        /// Address of the peer.
        peer: SocketAddr,
        /// The response.
        message: Message,
    },
    /// A peer did not respond.
    PeerFailed {
        /// Address of the peer.
        peer: SocketAddr,
    },
}

/// Output action of a process.
#[derive(Clone, Debug)]
pub enum Action {
    /// Put this in force; its revision is higher than all before.
    Apply(Document),
    /// Send a message and pass in the response or the failure.
    Send {
        /// Address of the peer.
        peer: SocketAddr,
        /// The message.
        message: Box<Message>,
    },
    /// Respond to the request of this event.
    Reply(Box<Message>),
    /// Start or stop watching the key-value service.
    Watch(bool),
    /// Read the full configuration from the key-value service.
    Read,
}
