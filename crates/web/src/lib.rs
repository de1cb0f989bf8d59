//! HTTP server setup, problem documents and health routes for all roles.
//!
//! [`launch`] starts a Rocket server at a configured address and returns once
//! it accepts connections. Errors are sent as problem documents ([`Problem`],
//! RFC 9457) that state whether the failed request was executed.

mod launch;
mod problem;
mod status;

pub use execution::Ran;

pub use crate::{
    launch::{HttpServer, LaunchError, LaunchOptions, launch},
    problem::{Problem, ProblemKind, catchers, record_problem},
    status::{ActiveRequest, Phase, ServiceState, health_routes},
};
