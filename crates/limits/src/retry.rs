use base::Millis;

/// Number of slots in the window.
const SLOTS: usize = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    requests: u64,
    retries: u64,
}

/// Limits retries to a fraction of the requests.
///
/// In a brown-out every request fails. With three attempts each, a service
/// that can serve half of the load receives three times the load and serves
/// nothing; the symptom is a rising number of attempts while responses
/// decline. The budget bounds the load that retries add, whatever fails. A
/// small minimum permits retries at low traffic.
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
    /// Index of the current slot, counted from time 0.
    current: u64,
}

impl RetryBudget {
    /// Permits `ratio` retries per request and `minimum` more, within a
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

    /// Counts a request, but not its retries.
    pub fn record_request(&mut self, now: Millis) {
        self.slot(now).requests += 1;
    }

    /// Takes a retry from the budget and returns whether one was available.
    pub fn try_retry(&mut self, now: Millis) -> bool {
        self.slot(now);
        let sum = |count: fn(&Slot) -> u64| -> u64 {
            self.slots.iter().map(count).sum()
        };
        let earned = sum(|slot| slot.requests) as f64 * self.ratio;
        // Floating-point sums of tenths fall just short of whole numbers.
        let earned = (earned + 1e-9) as u64;
        let allowed = earned.saturating_add(u64::from(self.minimum));
        if sum(|slot| slot.retries) >= allowed {
            return false;
        }
        self.slot(now).retries += 1;
        true
    }

    /// Returns the current slot and clears those that have left the window.
    fn slot(&mut self, now: Millis) -> &mut Slot {
        let number = (now.as_ms() / self.slot_ms).max(self.current);
        let elapsed_slots = (number - self.current).min(SLOTS as u64);
        for offset in 0..elapsed_slots {
            let expired = (number - offset) % SLOTS as u64;
            self.slots[expired as usize] = Slot::default();
        }
        self.current = number;
        &mut self.slots[(number % SLOTS as u64) as usize]
    }
}
