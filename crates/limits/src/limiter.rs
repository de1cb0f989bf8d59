use base::{Customer, Millis};

use crate::{OverLimit, QuotaPermit, RateLimit, TokenRequest, TokenResponse};

/// Names a request that waits for a decision.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Whether a request is within its customer's limit.
#[derive(Debug)]
pub enum LimitDecision {
    /// It is, and is counted.
    Admitted(QuotaPermit),
    /// It is not.
    OverLimit(OverLimit),
    /// Nobody who could count it answers.
    Unavailable,
}

/// What a limiter demands done.
#[derive(Debug)]
pub enum LimitAction {
    /// Send a message to a node.
    Send {
        /// Name of the node.
        to: String,
        /// The message.
        request: TokenRequest,
    },
    /// Go on with a request.
    Decide {
        /// The request.
        ticket: Ticket,
        /// What became of it.
        decision: LimitDecision,
    },
}

/// The nodes that hold limits together.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LimitNodes {
    /// Those that take callers' requests.
    pub fronts: Vec<String>,
    /// Those that do not, and count for the fronts before others do.
    pub workers: Vec<String>,
}

/// A way of holding limits over all fronts, seen from one of them.
///
/// It does no I/O: its owner carries out the actions, hands in what arrives
/// and calls [`tick`](Self::tick) at the time that it names.
pub trait FleetLimiter: Send {
    /// Takes the nodes that are listed now.
    fn set_nodes(&mut self, nodes: &LimitNodes, now: Millis);

    /// Asks for one request; the decision comes as an action.
    fn request(
        &mut self,
        ticket: Ticket,
        customer: &Customer,
        limit: RateLimit,
        now: Millis,
    );

    /// Takes the answer of another node.
    fn receive(&mut self, from: &str, reply: &TokenResponse, now: Millis);

    /// Does what is due.
    fn tick(&mut self, now: Millis);

    /// Returns when something is due.
    fn next_tick(&self) -> Option<Millis>;

    /// Returns what is to be done, in order.
    fn take_actions(&mut self) -> Vec<LimitAction>;
}
