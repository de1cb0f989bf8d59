use std::sync::Arc;

use base::Clock;
use budget::{BodyPace, MemoryBudget, MemoryOptions, MemoryShares};
use http::Request;
use hyper::body::Incoming;
use pass::{BodyTerms, ReceivedBody, Refusal, receive_body};

/// Reads the messages of other nodes, within the memory for all of them.
#[derive(Clone, Debug)]
pub(crate) struct PeerBodies {
    budget: MemoryBudget,
}

/// Copies of a message that exist at the same time: the message and what is
/// decoded from it.
const COPIES: u64 = 2;

impl PeerBodies {
    /// Creates the reader of a node. A node that serves no callers has the
    /// memory of their connections for other nodes.
    pub(crate) fn new(
        shares: &MemoryShares,
        serves_callers: bool,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let limit_bytes = match serves_callers {
            true => shares.peers_bytes,
            false => shares.peers_bytes + shares.connections_bytes,
        };
        let options = MemoryOptions::new(limit_bytes);
        Self {
            budget: MemoryBudget::new(options, clock),
        }
    }

    /// Returns the memory for messages.
    pub(crate) fn budget(&self) -> &MemoryBudget {
        &self.budget
    }

    /// Reads the complete body of a message.
    ///
    /// # Errors
    ///
    /// The [`Refusal`] of a message that was not read; nothing was done then.
    pub(crate) async fn receive(
        &self,
        request: Request<Incoming>,
        max_bytes: usize,
    ) -> Result<ReceivedBody, Refusal> {
        let (parts, body) = request.into_parts();
        let terms = BodyTerms {
            max_bytes,
            copies: COPIES,
            ends_at: None,
            pace: BodyPace::default(),
        };
        receive_body(body, &self.budget, terms, &parts.extensions).await
    }
}
