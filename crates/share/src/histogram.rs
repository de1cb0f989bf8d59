use serde::{Deserialize, Serialize};

/// Number of buckets of a [`UseHistogram`].
pub const BUCKET_COUNT: usize = 12;

/// The largest sum in a bucket of a valid message: more than any fleet has.
const MAX_SUM: u64 = 1_000_000_000;

/// Sums of the weights and of the demands of some customers.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
struct Bucket(u64, u64);

/// The customers of one service by demand per unit of weight. The demand is the
/// number of slots that a customer uses or waits for.
///
/// Bucket 0 has ratios below 1, bucket `i` those from 2^(i-1) to 2^i, and the
/// last one all above. The size is the same for any number of customers.
///
/// # Example
///
/// ```
/// use pomeloslip_share::UseHistogram;
///
/// let mut all = UseHistogram::default();
/// all.add(60, 1);
/// all.add(10, 1);
/// all.add(10, 1);
/// let level = all.level(50).expect("more demand than slots");
/// assert!(level.is_exceeded_by(60, 1), "its share is 30");
/// assert!(!level.is_exceeded_by(10, 1));
/// assert!(all.level(80).is_none(), "enough slots for all");
/// ```
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UseHistogram([Bucket; BUCKET_COUNT]);

/// The largest number of slots per unit of weight that each customer can have
/// without exceeding the slots of the service (weighted max-min fairness).
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct ShareLevel(f64);

/// Factor by which a customer may exceed its share. Within a bucket, ratios
/// differ by up to a factor of 2, so that the level is not exact.
const TOLERANCE: f64 = 1.25;

impl ShareLevel {
    /// Returns the number of slots per unit of weight.
    #[inline]
    pub fn slots_per_weight(self) -> f64 {
        self.0
    }

    /// Reports whether a customer uses more than its share.
    #[inline]
    pub fn is_exceeded_by(self, slots: u32, weight: u32) -> bool {
        f64::from(slots) > TOLERANCE * self.0 * f64::from(weight)
    }
}

impl UseHistogram {
    /// Adds a customer; one without demand has no effect.
    pub fn add(&mut self, slots: u32, weight: u32) {
        if slots > 0 {
            let bucket = &mut self.0[bucket_of(slots, weight)];
            bucket.0 += u64::from(weight);
            bucket.1 += u64::from(slots);
        }
    }

    /// Removes a customer that was added with the same numbers.
    pub fn remove(&mut self, slots: u32, weight: u32) {
        if slots > 0 {
            let bucket = &mut self.0[bucket_of(slots, weight)];
            bucket.0 = bucket.0.saturating_sub(weight.into());
            bucket.1 = bucket.1.saturating_sub(slots.into());
        }
    }

    /// Adds several customers of weight 1 with a common demand, as if each had
    /// the mean.
    pub fn add_rest(&mut self, slots: u32, customers: u32) {
        if let Some(bucket) = self.rest_bucket(slots, customers) {
            bucket.0 += u64::from(customers);
            bucket.1 += u64::from(slots);
        }
    }

    /// Removes customers that were added by [`Self::add_rest`] with the same
    /// numbers.
    pub fn remove_rest(&mut self, slots: u32, customers: u32) {
        if let Some(bucket) = self.rest_bucket(slots, customers) {
            bucket.0 = bucket.0.saturating_sub(customers.into());
            bucket.1 = bucket.1.saturating_sub(slots.into());
        }
    }

    /// Adds all customers of another histogram.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, other) in self.0.iter_mut().zip(&other.0) {
            bucket.0 += other.0;
            bucket.1 += other.1;
        }
    }

    /// Returns the sum of the demands.
    pub fn demand(&self) -> u64 {
        self.0.iter().map(|bucket| bucket.1).sum()
    }

    /// Returns the sum of the weights.
    pub fn weight(&self) -> u64 {
        self.0.iter().map(|bucket| bucket.0).sum()
    }

    /// Returns the level at which all customers together get `slots`; `None` if
    /// these suffice for all, so that nobody is over its share.
    pub fn level(&self, slots: u64) -> Option<ShareLevel> {
        let mut left = slots as f64;
        let mut weight = self.weight();
        for bucket in self.0.iter().filter(|bucket| bucket.0 > 0) {
            let level = left / weight as f64;
            if bucket.1 as f64 / bucket.0 as f64 > level {
                return Some(ShareLevel(level));
            }
            left -= bucket.1 as f64;
            weight -= bucket.0;
        }
        None
    }

    pub(crate) fn is_valid(&self) -> bool {
        let valid = |b: &Bucket| b.0 <= MAX_SUM && b.1 <= MAX_SUM;
        // A demand without a weight belongs to no customer.
        self.0.iter().all(|b| valid(b) && (b.0 > 0 || b.1 == 0))
    }

    fn rest_bucket(
        &mut self,
        slots: u32,
        customers: u32,
    ) -> Option<&mut Bucket> {
        (slots > 0 && customers > 0)
            .then(|| &mut self.0[bucket_of(slots, customers)])
    }
}

fn bucket_of(slots: u32, weight: u32) -> usize {
    match slots / weight.max(1) {
        0 => 0,
        ratio => (ratio.ilog2() as usize + 1).min(BUCKET_COUNT - 1),
    }
}
