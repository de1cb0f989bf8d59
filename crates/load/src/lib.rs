//! Open-loop load generator that verifies every answer.
//!
//! A [`Plan`] says what to send; [`run`] sends it and returns a
//! [`LoadReport`]. Online requests are streamed, batch jobs go through the
//! files and batches API. Answers come from the stand-in engine, so that
//! each is compared byte for byte with what it must be
//! ([`standin::answer`]).
//!
//! Arrivals do not wait for answers (open loop), and a latency counts from
//! the moment at which the request was meant to be sent. A generator that
//! waits for answers was rejected: it sends less exactly when the system is
//! slow, and so hides the slowness (coordinated omission).
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
