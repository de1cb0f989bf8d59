use base::{Customer, Millis};

use crate::{OverLimit, QuotaPermit, RateLimit, TokenRequest, TokenResponse};

/// Identifies a request that waits for a decision.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Whether a request is within its customer's limit.
#[derive(Debug)]
pub enum LimitDecision {
    /// The request is within the limit and was counted.
    Admitted(QuotaPermit),
    /// The request is over the limit.
    OverLimit(OverLimit),
    /// No node that could count the request responds.
    Unavailable,
}

/// An action that the owner of a limiter has to carry out.
#[derive(Debug)]
pub enum LimitAction {
    /// Send a message to a node.
    Send {
        /// Name of the node.
        to: String,
        /// The message.
        request: TokenRequest,
    },
    /// Continue with a request.
    Decide {
        /// The request.
        ticket: Ticket,
        /// Whether it is admitted.
        decision: LimitDecision,
    },
}

/// The nodes that enforce limits together.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LimitNodes {
    /// Nodes that accept callers' requests.
    pub fronts: Vec<String>,
    /// Nodes that do not, and are preferred as token servers.
    pub workers: Vec<String>,
}

/// Enforces limits over all fronts, from the point of view of one front.
///
/// A limiter does no I/O: its owner carries out the actions, passes in the
/// responses that arrive, and calls [`tick`](Self::tick) at the time that
/// [`next_tick`](Self::next_tick) returns.
pub trait FleetLimiter: Send {
    /// Updates the listed nodes.
    fn set_nodes(&mut self, nodes: &LimitNodes, now: Millis);

    /// Requests admission of one request; the decision follows as an action.
    fn request(
        &mut self,
        ticket: Ticket,
        customer: &Customer,
        limit: RateLimit,
        now: Millis,
    );

    /// Handles the response of another node.
    fn receive(&mut self, from: &str, reply: &TokenResponse, now: Millis);

    /// Does the work that is due.
    fn tick(&mut self, now: Millis);

    /// Returns when the next work is due.
    fn next_tick(&self) -> Option<Millis>;

    /// Returns the pending actions, in order.
    fn take_actions(&mut self) -> Vec<LimitAction>;
}
