//! What happens in a fleet, one thing after the other.

use std::cmp::Ordering;

use pomeloslip_limits::{TokenRequest, TokenResponse};

#[derive(Clone, Debug)]
pub(crate) enum Message {
    Ask(TokenRequest),
    Reply(TokenResponse),
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
    Look {
        node: usize,
    },
    Kill {
        node: usize,
        back_in_ms: u64,
    },
    Start {
        node: usize,
    },
    Cut {
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
    LowerCap,
    Split,
}

/// Events order by time and number only.
#[derive(Clone, Debug)]
pub(crate) struct EventBox(pub(crate) Event);

impl PartialEq for EventBox {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}
impl Eq for EventBox {}
impl PartialOrd for EventBox {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for EventBox {
    fn cmp(&self, _: &Self) -> Ordering {
        Ordering::Equal
    }
}
