//! Messages and events of the simulation.

use std::cmp::Ordering;

use pomeloslip_limits::{TokenRequest, TokenResponse};

#[derive(Clone, Debug)]
pub(crate) enum Message {
    Request(TokenRequest),
    Response(TokenResponse),
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    Deliver {
        from: usize,
        to: usize,
        message: Message,
    },
    Wake {
        node: usize,
        process: u64,
    },
    Arrive {
        customer: usize,
    },
    /// A refused caller sends its request again, to the same front.
    Retry {
        customer: usize,
        node: usize,
        first_ms: u64,
    },
    Poll {
        node: usize,
    },
    Kill {
        node: usize,
        back_in_ms: u64,
    },
    Start {
        node: usize,
    },
    CutOff {
        node: usize,
        all: bool,
        for_ms: u64,
    },
    Heal {
        node: usize,
    },
    Freeze {
        node: usize,
        for_ms: u64,
    },
    Thaw {
        node: usize,
    },
    LoseServers {
        customer: usize,
        replicas: usize,
        back_in_ms: u64,
    },
    LowerLimits,
    Repartition,
}

/// Orders events by time and number only.
#[derive(Clone, Debug)]
pub(crate) struct QueuedEvent(pub(crate) Event);

impl PartialEq for QueuedEvent {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    fn cmp(&self, _: &Self) -> Ordering {
        Ordering::Equal
    }
}
