use fleet::LoadReport;

/// Bounds of the batch work at one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct GateOptions {
    /// Items started at one look, so that two looks see their effect.
    pub max_starts: u32,
}

impl Default for GateOptions {
    /// Four starts a look fill an idle engine in a tenth of a second.
    fn default() -> Self {
        Self { max_starts: 4 }
    }
}

/// What is known of one endpoint at one look.
#[derive(Clone, Copy, Debug, Default)]
pub struct GateInput {
    /// Slots of the endpoint.
    pub slots: u32,
    /// Requests that run, of all callers.
    pub running: u32,
    /// Requests that wait, of all callers.
    pub waiting: u32,
    /// Items of this node that run, and that the report counts.
    pub mine_reported: u32,
    /// Items of this node that run now.
    pub mine: u32,
    /// Those of them that must not give way, as they would be late.
    pub mine_urgent: u32,
}

impl GateInput {
    /// Takes the part of a load report.
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
pub struct GateOrder {
    /// Items that may start.
    pub start: u32,
    /// Items that give way.
    pub preempt: u32,
}

/// Decides what batch work does at one endpoint.
///
/// Engines know no priorities: a batch item that holds a slot holds up the
/// online request that comes next. So batch work uses the slots that online
/// work leaves and gives way at once when a request waits. Slots kept free
/// for the next request were rejected: batch work hears of it as it is sent.
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
///     mine_reported: 3,
///     mine: 3,
///     ..GateInput::default()
/// };
/// let order = decide(&busy, &GateOptions::default());
/// assert_eq!((order.start, order.preempt), (0, 1));
/// ```
pub fn decide(input: &GateInput, options: &GateOptions) -> GateOrder {
    let others = input.running.saturating_sub(input.mine_reported);
    let wanted = others + input.waiting;
    let allowed = input.slots.saturating_sub(wanted);
    if input.mine > allowed {
        let over = input.mine - allowed;
        let may_go = input.mine.saturating_sub(input.mine_urgent);
        return GateOrder {
            start: 0,
            preempt: over.min(may_go),
        };
    }
    let room = allowed - input.mine;
    GateOrder {
        start: room.min(options.max_starts),
        preempt: 0,
    }
}
