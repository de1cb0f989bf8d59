use fleet::LoadReport;

/// Limits of the batch work at one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct GateOptions {
    /// Maximum number of items started in one pass, so that the next pass sees
    /// their effect.
    pub max_starts: u32,
}

impl Default for GateOptions {
    /// Four starts in each pass fill an idle engine within a tenth of a
    /// second.
    fn default() -> Self {
        Self { max_starts: 4 }
    }
}

/// The load of one endpoint in one pass.
#[derive(Clone, Copy, Debug, Default)]
pub struct GateInput {
    /// Slots of the endpoint.
    pub slots: u32,
    /// Running requests of all callers.
    pub running: u32,
    /// Waiting requests of all callers.
    pub waiting: u32,
    /// Running items of this node that the load report already counts.
    pub own_reported: u32,
    /// Running items of this node.
    pub own_running: u32,
    /// Those of this node's running items that must not be preempted, since
    /// they would miss their due time.
    pub own_urgent: u32,
}

impl GateInput {
    /// Sets the fields that a load report contains.
    #[must_use]
    pub fn with_report(mut self, report: LoadReport) -> Self {
        self.slots = report.slots;
        self.running = report.running;
        self.waiting = report.waiting;
        self
    }
}

/// What to do at one endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GateDecision {
    /// Number of items that may start.
    pub start: u32,
    /// Number of items to preempt.
    pub preempt: u32,
}

/// Decides how many batch items start or are preempted at one endpoint.
///
/// Engines have no priorities: a batch item that occupies a slot delays the
/// next online request. Batch work therefore uses only the slots that online
/// requests leave free and is preempted as soon as a request waits. No slots
/// are reserved for the next request, since batch work is notified when that
/// request is sent.
///
/// # Example
///
/// ```
/// use pomeloslip_jobs::{GateInput, GateOptions, decide};
///
/// let busy = GateInput {
///     slots: 8,
///     running: 8,
///     waiting: 1,
///     own_reported: 3,
///     own_running: 3,
///     ..GateInput::default()
/// };
/// let order = decide(&busy, &GateOptions::default());
/// assert_eq!((order.start, order.preempt), (0, 1));
/// ```
pub fn decide(input: &GateInput, options: &GateOptions) -> GateDecision {
    let other_running = input.running.saturating_sub(input.own_reported);
    let demand = other_running + input.waiting;
    let allowed = input.slots.saturating_sub(demand);
    if input.own_running > allowed {
        let excess = input.own_running - allowed;
        let preemptible = input.own_running.saturating_sub(input.own_urgent);
        return GateDecision {
            start: 0,
            preempt: excess.min(preemptible),
        };
    }
    let free = allowed - input.own_running;
    GateDecision {
        start: free.min(options.max_starts),
        preempt: 0,
    }
}
