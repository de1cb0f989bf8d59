//! Key-value service that speaks the etcd v3 JSON gateway.
//!
//! It runs on the state machine of [`::kv::mvcc`], in memory, and
//! serves `/v3/kv/{range,put,deleterange,txn,compaction}`,
//! `/v3/lease/{grant,keepalive,revoke}` and `/v3/watch`. Beyond etcd:
//!
//! - `GET /faults` and `POST /faults` read and replace the faults
//!   ([`KvFaults`]); what is left out of the JSON object is off.
//! - `GET /counts` tells the calls so far ([`KvCounts`]), `DELETE /counts`
//!   starts them anew.
//!
//! # Example
//!
//! ```
//! use kv::{EtcdJsonOptions, Kv, Op, Txn};
//! use pomeloslip_standin::kv::{KvService, KvServiceSettings};
//!
//! # tokio::runtime::Runtime::new()?.block_on(async {
//! let service = KvService::start(KvServiceSettings::default()).await.unwrap();
//! let client = EtcdJsonOptions::new([service.url()]).build().unwrap();
//! let put = Op::Put {
//!     key: "a".into(),
//!     value: b"1".to_vec(),
//!     lease: None,
//! };
//! let txn = Txn {
//!     success: vec![put],
//!     ..Txn::default()
//! };
//! client.txn(txn).await.unwrap();
//! assert_eq!(client.get("a").await.unwrap().kvs[0].value, b"1");
//! assert_eq!(service.counts().writes, 1);
//! service.stop().await;
//! # });
//! # Ok::<(), std::io::Error>(())
//! ```

mod calls;
mod core;
mod counts;
mod faults;
mod routes;
mod watch;

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use ::kv::mvcc::Limits;
use base::{Clock, SystemClock};
use error_stack::Report;
use serde::{Deserialize, Serialize};

use self::core::Core;
pub use self::{
    counts::KvCounts,
    faults::{DownKind, KvFaults, WatchFault},
};
use crate::{
    StandinError,
    serve::{self, Served},
};

/// Time between two looks for leases that have ended.
const EXPIRE_EVERY: Duration = Duration::from_millis(20);

/// Settings of a [`KvService`].
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct KvServiceSettings {
    /// Address to listen at; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Largest value.
    pub value_max_bytes: usize,
    /// Changes kept for watches; older ones are compacted.
    pub history_max_changes: usize,
    /// Silence after which a watch tells its progress; it also bounds how
    /// long a watch outlives its caller.
    pub progress_notify_ms: u64,
    /// Faults from the start.
    pub faults: KvFaults,
}

impl Default for KvServiceSettings {
    fn default() -> Self {
        let limits = Limits::default();
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            value_max_bytes: limits.value_max_bytes,
            history_max_changes: limits.history_max_changes,
            progress_notify_ms: 10_000,
            faults: KvFaults::default(),
        }
    }
}

/// Starts stand-ins of the key-value service.
#[derive(Debug)]
pub struct KvService;

impl KvService {
    /// Starts a server whose leases end by the machine's clock.
    ///
    /// # Errors
    ///
    /// [`StandinError::Settings`] if a share is not within 0 to 1,
    /// [`StandinError::Listen`] if the address cannot be bound.
    pub async fn start(
        settings: KvServiceSettings,
    ) -> Result<KvServiceHandle, Report<StandinError>> {
        Self::start_with_clock(settings, Arc::new(SystemClock::new())).await
    }

    /// Starts a server whose leases and outages end by another clock.
    ///
    /// # Errors
    ///
    /// As [`KvService::start`].
    pub async fn start_with_clock(
        settings: KvServiceSettings,
        clock: Arc<dyn Clock>,
    ) -> Result<KvServiceHandle, Report<StandinError>> {
        settings.faults.check()?;
        let core = Arc::new(Core::new(&settings, clock));
        let rocket = routes::mount(rocket::build(), Arc::clone(&core));
        let served = serve::launch(rocket, settings.listen).await?;
        let ticked = Arc::downgrade(&core);
        tokio::spawn(async move {
            while let Some(core) = ticked.upgrade() {
                core.expire();
                drop(core);
                tokio::time::sleep(EXPIRE_EVERY).await;
            }
        });
        Ok(KvServiceHandle { served, core })
    }
}

/// Steers a running [`KvService`]; dropping it stops the server.
#[derive(Debug)]
pub struct KvServiceHandle {
    served: Served,
    core: Arc<Core>,
}

impl KvServiceHandle {
    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.served.address()
    }

    /// Returns the address as the start of a URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Replaces the faults. An outage begins now.
    ///
    /// # Errors
    ///
    /// [`StandinError::Settings`] if a share is not within 0 to 1.
    pub fn set_faults(
        &self,
        faults: KvFaults,
    ) -> Result<(), Report<StandinError>> {
        self.core.set_faults(faults)
    }

    /// Returns the faults as they were set.
    pub fn faults(&self) -> KvFaults {
        self.core.faults()
    }

    /// Returns the calls so far.
    pub fn counts(&self) -> KvCounts {
        self.core.counts()
    }

    /// Starts the counts anew; open watches stay counted as open.
    pub fn reset_counts(&self) {
        self.core.reset_counts();
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.core.revision()
    }

    /// Ends the leases that are due, at once after a clock was stepped.
    pub fn expire(&self) {
        self.core.expire();
    }

    /// Closes the listener and all connections.
    pub async fn stop(self) {
        self.served.stop().await;
    }
}
