//! A TCP proxy that injects faults, for tests and measurements.
//!
//! [`FaultProxy`] stands between two processes and passes bytes on until its
//! [`Handle`] gives it rules. A [`Rule`] says what goes wrong, in which
//! direction, on which connections and when. Which connections a rule with a
//! chance meets is drawn from a seed and the number of the connection, so
//! that a run can be repeated.
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
//!     // Connections that are open now go silent, new ones work.
//!     Rule::new(Fault::Silence).scope(Scope::Open),
//!     // Every answer breaks off after 1,000 bytes on a tenth of them.
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
