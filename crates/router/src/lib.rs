//! Endpoint selection and health as a state machine without I/O.
//!
//! A [`Router`] holds the knowledge of one entry about the endpoints of its
//! pools. The entry passes events to it (list, sent, report, refusal,
//! response, failure, tick) and asks it for the endpoint of each request. Time
//! and random numbers are arguments, so a run can be replayed from a seed.
//! Each incarnation of an endpoint has its own key, so late events of an
//! earlier incarnation cannot affect the state of the next.
//!
//! Policies are values ([`Policy`], [`HealthPolicy`], [`Affinity`]), so that
//! one benchmark can compare them; `docs/design/routing.md` has the comparison
//! and the reasons for the defaults.
//!
//! ```
//! use base::Millis;
//! use pomeloslip_router::{
//!     Failure, ListedEndpoint, Query, Router, RouterOptions,
//! };
//!
//! let mut router = Router::new("entry-1", RouterOptions::default());
//! let now = Millis::new(0);
//! let names = ["korv-lm-1", "korv-lm-2"];
//! let listed = names.map(|name| {
//!     let name = name.parse().expect("a valid name");
//!     ListedEndpoint::new(name, true, "127.0.0.1:7000")
//! });
//! let pool = router.pool("korv-lm");
//! router.list(pool, &listed);
//! let first = router.choose(pool, &Query::default(), now, 7).unwrap();
//! router.sent(first.endpoint, now);
//! router.failed(first.endpoint, Failure::Unreachable, now);
//! let second = router.choose(pool, &Query::default(), now, 7).unwrap();
//! assert_ne!(first.endpoint, second.endpoint);
//! ```

mod endpoint;
mod health;
mod options;
mod router;
mod select;
mod subset;

pub use crate::{
    endpoint::{EndpointKey, EndpointReport, EndpointView, ListedEndpoint},
    health::{Failure, Refusal},
    options::{
        Affinity, Ejection, HealthPolicy, Policy, Probing, RouterOptions,
    },
    router::{ListChanges, PoolKey, Router},
    select::{Choice, Query},
};
