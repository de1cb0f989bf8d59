use std::collections::HashMap;

use base::{Customer, Millis};
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::{ConcurrencyLimit, LimitShare, OverLimit, Permit, TokenBucket};

new_key_type! {
    /// Identifies a customer in a [`LimitTable`] across configuration changes.
    pub struct LimitKey;
}

/// Fleet-wide limits of a customer; an omitted one does not apply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetLimits {
    /// Requests per second.
    pub requests_per_s: Option<f64>,
    /// Requests at once after a pause; defaults to those of one second.
    pub burst: Option<u32>,
    /// Concurrent requests.
    pub concurrent: Option<u32>,
}

impl FleetLimits {
    fn burst(&self, rate_per_s: f64) -> u32 {
        self.burst.unwrap_or(rate_per_s.ceil().max(1.0) as u32)
    }
}

#[derive(Debug)]
struct Row {
    bucket: Option<TokenBucket>,
    concurrent: Option<ConcurrencyLimit>,
}

/// Limits of all customers at one entry.
///
/// Each customer has a row in an arena; a request holds its small key. A row
/// exists as long as its customer is configured, so that a configuration
/// change neither refills buckets nor loses track of running requests.
///
/// # Example
///
/// ```
/// use base::Millis;
/// use pomeloslip_limits::{FleetLimits, LimitShare, LimitTable};
///
/// let now = Millis::new(0);
/// let customer = "taevakorv".parse()?;
/// let limits = FleetLimits { concurrent: Some(1), ..Default::default() };
/// let mut table = LimitTable::new(LimitShare::new(1));
/// table.configure([(&customer, limits)], now);
/// let key = table.key(&customer).unwrap();
/// let permit = table.try_admit(key, now).unwrap();
/// assert!(table.try_admit(key, now).is_err());
/// drop(permit);
/// assert!(table.try_admit(key, now).is_ok());
/// # Ok::<(), base::IdError>(())
/// ```
#[derive(Debug)]
pub struct LimitTable {
    share: LimitShare,
    rows: SlotMap<LimitKey, Row>,
    keys: HashMap<Customer, (LimitKey, FleetLimits)>,
}

/// Admission of a request; its slot is freed on drop.
#[derive(Debug)]
#[must_use = "the slot is freed when the admission is dropped"]
pub struct Admission {
    _permit: Option<Permit>,
}

impl LimitTable {
    /// Creates an empty table.
    pub fn new(share: LimitShare) -> Self {
        Self {
            share,
            rows: SlotMap::with_key(),
            keys: HashMap::new(),
        }
    }

    /// Applies the customers of a configuration and removes all others.
    pub fn configure<'a>(
        &mut self,
        customers: impl IntoIterator<Item = (&'a Customer, FleetLimits)>,
        now: Millis,
    ) {
        let mut keys = HashMap::new();
        for (customer, limits) in customers {
            let key = match self.keys.remove(customer) {
                Some((key, _)) => key,
                None => self.rows.insert(Row {
                    bucket: None,
                    concurrent: None,
                }),
            };
            keys.insert(customer.clone(), (key, limits));
        }
        for (key, _) in self.keys.values() {
            self.rows.remove(*key);
        }
        self.keys = keys;
        self.apply(now);
    }

    /// Applies a new number of live entries.
    pub fn set_share(&mut self, share: LimitShare, now: Millis) {
        if share != self.share {
            self.share = share;
            self.apply(now);
        }
    }

    /// Returns the key of a customer.
    pub fn key(&self, customer: &Customer) -> Option<LimitKey> {
        self.keys.get(customer).map(|(key, _)| *key)
    }

    /// Returns the number of running requests of a customer at this entry, if
    /// that is limited.
    pub fn running(&self, key: LimitKey) -> Option<u32> {
        let limit = self.rows.get(key)?.concurrent.as_ref()?;
        Some(limit.running())
    }

    /// Admits or refuses a request at once.
    ///
    /// # Errors
    ///
    /// [`OverLimit`] if a limit is reached, or the customer is no longer
    /// configured; no token or slot is taken then.
    pub fn try_admit(
        &mut self,
        key: LimitKey,
        now: Millis,
    ) -> Result<Admission, OverLimit> {
        // The customer was just removed; its next call is refused by its key.
        let row = self.rows.get_mut(key).ok_or(OverLimit::new(1_000))?;
        // The slot is acquired first: dropping the permit frees it, while a
        // token taken in vain would cost the customer one request.
        let limit = row.concurrent.as_ref();
        let permit = limit.map(ConcurrencyLimit::try_acquire).transpose()?;
        if let Some(bucket) = &mut row.bucket {
            bucket.try_take(now)?;
        }
        Ok(Admission { _permit: permit })
    }

    fn apply(&mut self, now: Millis) {
        for (key, limits) in self.keys.values() {
            if let Some(row) = self.rows.get_mut(*key) {
                row.apply(limits, self.share, now);
            }
        }
    }
}

impl Row {
    fn apply(&mut self, limits: &FleetLimits, share: LimitShare, now: Millis) {
        match limits.requests_per_s {
            None => self.bucket = None,
            Some(total) => {
                let rate = share.rate(total);
                let burst = share.count(limits.burst(total));
                match &mut self.bucket {
                    Some(bucket) => bucket.set(rate, burst, now),
                    None => {
                        let bucket = TokenBucket::new(rate, burst, now);
                        self.bucket = Some(bucket);
                    }
                }
            }
        }
        match limits.concurrent.map(|total| share.count(total)) {
            None => self.concurrent = None,
            Some(limit) => match &self.concurrent {
                Some(concurrent) => concurrent.set(limit),
                None => self.concurrent = Some(ConcurrencyLimit::new(limit)),
            },
        }
    }
}
