//! State of the nodes and slots of a front's allotments.

use base::Millis;

use crate::pool::ServerTimestamp;

/// State of a node that shares are allotted to.
#[derive(Debug, Default)]
pub(super) struct Server {
    pub(super) timestamp: Option<(ServerTimestamp, Millis)>,
    pub(super) last_sent: Option<Millis>,
    /// When the oldest message without a response was sent.
    pub(super) unanswered_since: Option<Millis>,
    /// Sequence number of the last message with a report.
    pub(super) reported_in: Option<u64>,
    /// Process that has answered a message with a report.
    pub(super) reads_reports: Option<u64>,
}

/// State of one slot of this front.
#[derive(Debug, Default)]
pub(super) struct Slot {
    /// Server that requests are sent to, and that gets the slot as soon as
    /// possible.
    pub(super) server: Option<String>,
    /// Server that last had the slot; unknown after a start.
    pub(super) allotted_to: Option<String>,
    /// Until when that server may count the slot.
    pub(super) allotted_until: Millis,
    /// Sequence number of the message that released the slot.
    pub(super) released_in: Option<u64>,
}

impl Server {
    pub(super) fn is_up_to_date(&self) -> bool {
        self.timestamp.is_some_and(|(timestamp, _)| {
            self.reads_reports == Some(timestamp.incarnation)
        })
    }
}

impl Slot {
    /// Returns the server that may count the slot now.
    pub(super) fn counting_server(&self, now: Millis) -> Option<&str> {
        let is_counted = now < self.allotted_until;
        self.allotted_to.as_deref().filter(|_| is_counted)
    }

    pub(super) fn needs_release(&self, now: Millis) -> bool {
        now < self.allotted_until
            && self.allotted_to.is_some()
            && self.allotted_to != self.server
    }
}
