//! A TCP proxy that injects faults, for tests and measurements.
//!
//! [`FaultProxy`] forwards bytes between two processes until rules are set
//! through its [`Handle`]. A [`Rule`] specifies a fault, its direction, the
//! connections that it applies to and when it starts. If a rule applies with
//! a probability below 1, its connections are drawn from a seed and the
//! number of the connection, so that a run is reproducible.
//!
//! # Example
//!
//! ```
//! use pomeloslip_faultproxy::{Direction, Fault, FaultProxy, Rule, Scope};
//! # tokio::runtime::Builder::new_current_thread().enable_all().build()?
//! # .block_on(async {
//! let target = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
//! let proxy = FaultProxy::start(target.local_addr()?, 7).await?;
//! proxy.handle().set(vec![
//!     // Silences the open connections; new connections work.
//!     Rule::new(Fault::Silence).scope(Scope::Open),
//!     // Resets a tenth of the connections after 1,000 response bytes.
//!     Rule::new(Fault::Cut)
//!         .direction(Direction::ToClient)
//!         .after_bytes(1_000)
//!         .chance(0.1),
//! ]);
//! assert_eq!(proxy.handle().counts().accepted, 0);
//! proxy.stop().await;
//! # Ok::<(), std::io::Error>(())
//! # })?;
//! # Ok::<(), std::io::Error>(())
//! ```

mod connection;
mod counts;
mod effects;
mod proxy;
mod rule;

pub use crate::{
    counts::Counts,
    proxy::{FaultProxy, Handle},
    rule::{Direction, Fault, Rule, Scope},
};
