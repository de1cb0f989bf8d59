use base::Millis;

/// Slots that the window is cut into.
const SLOTS: usize = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    requests: u64,
    retries: u64,
}

/// Bounds retries to a share of the requests.
///
/// In a brown-out every request fails; with three attempts each, a service
/// that could serve half of the load gets three times of it and serves
/// nothing. One would notice by attempts that grow while answers fall. The
/// budget bounds what retries add to the load, whatever fails; a small
/// minimum lets quiet hours retry at all.
///
/// # Example
///
/// ```
/// use base::Millis;
/// use pomeloslip_limits::RetryBudget;
///
/// let now = Millis::new(0);
/// let mut budget = RetryBudget::new(0.2, 1, 10_000);
/// for _ in 0..10 {
///     budget.record_request(now);
/// }
/// let allowed = (0..10).filter(|_| budget.try_retry(now)).count();
/// assert_eq!(allowed, 3); // 2 of 10 requests and the minimum of 1
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    minimum: u32,
    slot_ms: u64,
    slots: [Slot; SLOTS],
    /// Number of the slot that time is in, counted from time 0.
    current: u64,
}

impl RetryBudget {
    /// Allows `ratio` retries per request and `minimum` more, within a
    /// sliding window.
    pub fn new(ratio: f64, minimum: u32, window_ms: u64) -> Self {
        Self {
            ratio: ratio.max(0.0),
            minimum,
            slot_ms: (window_ms / SLOTS as u64).max(1),
            slots: [Slot::default(); SLOTS],
            current: 0,
        }
    }

    /// Counts a request; its retries do not count.
    pub fn record_request(&mut self, now: Millis) {
        self.slot(now).requests += 1;
    }

    /// Takes a retry out of the budget and tells whether there was one.
    pub fn try_retry(&mut self, now: Millis) -> bool {
        self.slot(now);
        let sum = |count: fn(&Slot) -> u64| -> u64 {
            self.slots.iter().map(count).sum()
        };
        let earned = sum(|slot| slot.requests) as f64 * self.ratio;
        // Sums of tenths fall just short of whole numbers.
        let earned = (earned + 1e-9) as u64;
        let allowed = earned.saturating_add(u64::from(self.minimum));
        if sum(|slot| slot.retries) >= allowed {
            return false;
        }
        self.slot(now).retries += 1;
        true
    }

    /// Returns the slot of now and empties those that have left the window.
    fn slot(&mut self, now: Millis) -> &mut Slot {
        let number = (now.as_ms() / self.slot_ms).max(self.current);
        let passed = (number - self.current).min(SLOTS as u64);
        for offset in 0..passed {
            let old = (number - offset) % SLOTS as u64;
            self.slots[old as usize] = Slot::default();
        }
        self.current = number;
        &mut self.slots[(number % SLOTS as u64) as usize]
    }
}
