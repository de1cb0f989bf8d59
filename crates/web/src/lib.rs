//! HTTP serving that all roles share: launch, problem documents, health.
//!
//! [`launch`] starts a rocket at an address from the settings and returns
//! once it accepts connections. Errors leave as problem documents
//! ([`Problem`], RFC 9457) that say whether the refused request ran.

mod launch;
mod problem;
mod status;

pub use crate::{
    launch::{LaunchError, LaunchOptions, Served, launch},
    problem::{Problem, ProblemKind, Ran, catchers, remember},
    status::{Active, Phase, ServiceState, health_routes},
};
