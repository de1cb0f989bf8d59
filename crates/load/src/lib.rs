//! Open-loop load generator that verifies every response.
//!
//! A [`Plan`] specifies the load; [`run`] sends it and returns a
//! [`LoadReport`]. Online responses are streamed, batch jobs use the files
//! and batches API. The stand-in engine generates deterministic responses,
//! so that each is compared byte for byte with the expected text
//! ([`standin::answer`]).
//!
//! Arrivals do not wait for responses (open loop), and latencies are measured
//! from the intended send time. A generator that waits for responses sends
//! fewer requests exactly when the system is slow and thereby hides the
//! slowness (coordinated omission).
//!
//! ```
//! use pomeloslip_load::{Arrivals, Plan};
//! use standin::engine::{Engine, EngineSettings};
//!
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let engine = Engine::start(EngineSettings::instant()).await.unwrap();
//! let plan = Plan::new(&engine.url(), "korv-lm")
//!     .arrivals(Arrivals::PerSecond(200.0))
//!     .duration_ms(100);
//! let report = pomeloslip_load::run(&plan, |_| {}).await.unwrap();
//! assert!(report.is_clean());
//! assert_eq!(report.online.right, report.online.sent);
//! # });
//! ```

mod batch;
mod check;
mod direct;
mod error;
mod online;
mod plan;
mod prompt;
mod report;
mod run;
mod sse;
mod tally;

pub use crate::{
    check::{Verdict, verdict},
    direct::direct,
    error::LoadError,
    plan::{Arrivals, Plan},
    report::{BatchReport, LoadReport, OnlineReport, Quantiles, RefusalCount},
    run::{Progress, run},
    sse::{Decoder, Event},
};
