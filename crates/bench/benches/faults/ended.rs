//! How one call ended, over all of its sends.

use std::{net::SocketAddr, time::Duration};

use crate::calls::{Kind, Learned, Reply, Sender};

/// Sends of one call with an idempotency key.
const SENDS_MAX: u32 = 4;

/// Pause before a call is sent again.
const SEND_AGAIN: Duration = Duration::from_millis(500);

/// How one call ended.
#[derive(Clone, Debug)]
pub(crate) struct Ended {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    /// What was learned of each send.
    pub(crate) sends: Vec<Learned>,
    /// What the last send was answered, for people.
    pub(crate) detail: String,
}

impl Ended {
    /// Sends a call, with an idempotency key again if that can help.
    pub(crate) async fn of(
        number: u64,
        sender: &Sender,
        entries: &[SocketAddr],
    ) -> Self {
        let kind = Kind::of(number);
        let mut ended = Self {
            id: format!("call-{number}"),
            kind,
            sends: Vec::new(),
            detail: String::new(),
        };
        for send in 0..SENDS_MAX {
            // Each send goes to another entry, as through a balancer.
            let at = (number + u64::from(send)) as usize;
            let entry = entries[at % entries.len()];
            let reply = sender.send(entry, number, &ended.id, kind).await;
            let again = kind == Kind::Keyed && may_help(&reply);
            ended.sends.push(reply.learned);
            ended.detail = reply.detail;
            if !again {
                break;
            }
            tokio::time::sleep(SEND_AGAIN).await;
        }
        ended
    }

    /// Returns what the caller learned in the end.
    pub(crate) fn last(&self) -> Learned {
        self.sends.last().copied().unwrap_or(Learned::Nothing)
    }
}

fn may_help(reply: &Reply) -> bool {
    reply.learned == Learned::NotRun || reply.detail.contains("still-running")
}
