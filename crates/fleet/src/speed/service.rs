//! The speed of the endpoints of a service relative to each other.

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU32, AtomicU64, Ordering},
};

use base::Millis;
use indexmap::IndexMap;

use super::{
    EndpointSpeed, SpeedClass, average::Stamped, endpoint::USUAL_PERCENT,
};
use crate::{Endpoint, MAX_SPILL_ENDPOINTS, selection::MAX_OWN_ENDPOINTS};

/// Maximum number of endpoints from whose intervals a median is computed.
pub const MAX_MEDIAN_ENDPOINTS: usize =
    MAX_SPILL_ENDPOINTS + MAX_OWN_ENDPOINTS;

/// Time after the last valid slowdown of its endpoints for which a service is
/// active with [`EndpointSpeed::Reported`], in milliseconds.
const ACTIVE_AFTER_REPORT_MS: u64 = 60_000;

/// A lasting change of the class of an endpoint.
#[derive(Clone, Debug)]
pub struct SpeedChange {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Its class before.
    pub before: SpeedClass,
    /// Its class now.
    pub after: SpeedClass,
}

/// The median interval of a service, shared by those who place requests.
#[derive(Debug, Default)]
pub struct ServiceSpeed {
    mode: EndpointSpeed,
    median_us: AtomicU32,
    /// When an endpoint last reported a valid slowdown.
    reported: AtomicU64,
}

impl ServiceSpeed {
    fn new(mode: EndpointSpeed) -> Self {
        Self {
            mode,
            ..Self::default()
        }
    }

    /// Reports whether speed affects the placement of requests.
    pub fn is_active(&self, now: Millis) -> bool {
        let bits = self.reported.load(Ordering::Relaxed);
        match self.mode {
            EndpointSpeed::Off => false,
            EndpointSpeed::Always => true,
            EndpointSpeed::Reported => Stamped::from_bits(bits)
                .within(ACTIVE_AFTER_REPORT_MS, now)
                .is_some(),
        }
    }

    /// Recomputes the median from endpoints that the node uses, of which at
    /// most [`MAX_MEDIAN_ENDPOINTS`] are considered, and returns the endpoints
    /// whose class has changed. It is meant to be called once per second.
    ///
    /// # Example
    ///
    /// ```
    /// use base::Millis;
    /// use pomeloslip_fleet::{EndpointSpeed, ServiceSpeeds};
    ///
    /// let speeds = ServiceSpeeds::new(EndpointSpeed::Always);
    /// let speed = speeds.of("engines");
    /// assert!(speed.refresh([], Millis::new(1)).is_empty());
    /// assert_eq!(speed.median_us(), None);
    /// ```
    pub fn refresh<'a>(
        &self,
        endpoints: impl IntoIterator<Item = &'a Endpoint>,
        now: Millis,
    ) -> Vec<SpeedChange> {
        if self.mode == EndpointSpeed::Off {
            return Vec::new();
        }
        let endpoints: Vec<&Endpoint> =
            endpoints.into_iter().take(MAX_MEDIAN_ENDPOINTS).collect();
        let ages = endpoints.iter();
        let ages = ages.filter_map(|e| e.speed().slowdown_age_ms(now));
        if let Some(age_ms) = ages.min() {
            let at = Millis::new(now.as_ms().saturating_sub(age_ms));
            let stamped = Stamped::new(1, at);
            self.reported.store(stamped.to_bits(), Ordering::Relaxed);
        }
        let known = endpoints.iter();
        let mut known: Vec<u32> = known
            .filter_map(|e| e.speed().low_interval_us(now))
            .collect();
        known.sort_unstable();
        let median_us = median(&known).unwrap_or(0);
        self.median_us.store(median_us, Ordering::Relaxed);
        if !self.is_active(now) {
            return Vec::new();
        }
        let changes = endpoints.into_iter().filter_map(|endpoint| {
            let ratio_permille = self.lasting_ratio_permille(endpoint, now);
            let ratio_permille =
                ratio_permille.unwrap_or_else(|| reported_permille(endpoint));
            let (before, after) =
                endpoint.speed().update_lasting_class(ratio_permille);
            (before != after).then(|| SpeedChange {
                endpoint: endpoint.clone(),
                before,
                after,
            })
        });
        changes.collect()
    }

    /// Returns the median interval in microseconds.
    pub fn median_us(&self) -> Option<u32> {
        let median_us = self.median_us.load(Ordering::Relaxed);
        (median_us != 0).then_some(median_us)
    }

    /// Returns the ratio of an endpoint with few requests and without
    /// momentary slowdown, in permille.
    fn lasting_ratio_permille(
        &self,
        endpoint: &Endpoint,
        now: Millis,
    ) -> Option<u64> {
        let interval_us = endpoint.speed().low_interval_us(now)?;
        let median_us = u64::from(self.median_us()?);
        Some(u64::from(interval_us) * USUAL_PERMILLE / median_us)
    }

    /// Returns the ratio of an endpoint with `load` requests, in permille;
    /// none if its speed is unknown.
    pub fn ratio_permille(
        &self,
        endpoint: &Endpoint,
        load: u32,
        now: Millis,
    ) -> Option<u64> {
        let median_us = u64::from(self.median_us()?);
        let state = endpoint.speed();
        let slots = endpoint.record().slots;
        let interval_us = u64::from(state.interval_us(load, slots, now)?);
        let percent = u64::from(state.slowdown_percent(now));
        let expected_us = interval_us * percent / u64::from(USUAL_PERCENT);
        Some(expected_us * USUAL_PERMILLE / median_us)
    }

    /// Returns the class of an endpoint with `load` requests.
    pub fn class_of(
        &self,
        endpoint: &Endpoint,
        load: u32,
        now: Millis,
    ) -> SpeedClass {
        let ratio_permille = self.ratio_permille(endpoint, load, now);
        let ratio_permille = ratio_permille.unwrap_or_else(|| {
            let percent = endpoint.speed().slowdown_percent(now);
            reported_permille(endpoint) * u64::from(percent)
                / u64::from(USUAL_PERCENT)
        });
        endpoint.speed().update_class(ratio_permille)
    }
}

/// Returns the ratio of an endpoint of which only reports are known.
fn reported_permille(endpoint: &Endpoint) -> u64 {
    let percent = endpoint.speed().usual_slowdown_percent();
    u64::from(percent) * USUAL_PERMILLE / u64::from(USUAL_PERCENT)
}

/// A ratio of 1 in permille.
const USUAL_PERMILLE: u64 = 1_000;

fn median(sorted: &[u32]) -> Option<u32> {
    let middle = sorted.len() / 2;
    let upper = *sorted.get(middle)?;
    match sorted.len() % 2 {
        0 => Some(u32::midpoint(sorted[middle - 1], upper)),
        _ => Some(upper),
    }
}

/// The speeds of all services that a node uses.
///
/// # Example
///
/// ```
/// use base::Millis;
/// use pomeloslip_fleet::{EndpointSpeed, ServiceSpeeds};
///
/// let speeds = ServiceSpeeds::new(EndpointSpeed::Off);
/// assert!(!speeds.of("engines").is_active(Millis::new(1)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServiceSpeeds {
    mode: EndpointSpeed,
    by_service: Arc<Mutex<IndexMap<String, Arc<ServiceSpeed>>>>,
}

impl ServiceSpeeds {
    /// Creates speeds of services whose endpoints are not known yet.
    pub fn new(mode: EndpointSpeed) -> Self {
        Self {
            mode,
            by_service: Arc::default(),
        }
    }

    /// Returns when speed affects the placement of requests.
    #[inline]
    pub fn mode(&self) -> EndpointSpeed {
        self.mode
    }

    /// Returns the speed of a service.
    pub fn of(&self, service: &str) -> Arc<ServiceSpeed> {
        let known = self.by_service.lock();
        let mut known = known.unwrap_or_else(PoisonError::into_inner);
        if let Some(speed) = known.get(service) {
            return speed.clone();
        }
        let speed = Arc::new(ServiceSpeed::new(self.mode));
        known.insert(service.to_owned(), speed.clone());
        speed
    }

    /// Removes the services that no longer exist.
    pub fn retain(&self, is_used: impl Fn(&str) -> bool) {
        let known = self.by_service.lock();
        let mut known = known.unwrap_or_else(PoisonError::into_inner);
        known.retain(|service, _| is_used(service));
    }
}
