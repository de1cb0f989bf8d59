//! The daemon: one process of any role.

use std::{fmt, net::SocketAddr, sync::Arc};

use companion::Companion;
use conf::settings::{Role, Settings};
use data::{DataNode, DataRole};
use entry::Entry;
use error_stack::{Report, ResultExt};
use obs::Metrics;
use wire::DataHandler;

/// Says that the daemon cannot run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DaemonError;

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the daemon cannot run")
    }
}

impl std::error::Error for DaemonError {}

/// A running process of one role.
pub enum Daemon {
    /// The entry role, perhaps with the data role.
    Entry(Entry),
    /// The companion role.
    Companion(Companion),
    /// The data role alone.
    Data(DataNode),
}

impl Daemon {
    /// Starts the role of the settings and returns once it listens.
    ///
    /// # Errors
    ///
    /// [`DaemonError`] with what the role said.
    pub async fn start(
        settings: &Settings,
        metrics: Metrics,
    ) -> Result<Self, Report<DaemonError>> {
        match settings.role {
            Role::Entry => {
                let data = data_role(settings)?;
                let entry = Entry::start(settings, metrics, data).await;
                entry.map(Daemon::Entry).change_context(DaemonError)
            }
            Role::Companion => {
                let companion = Companion::start(settings, metrics).await;
                let companion = companion.change_context(DaemonError)?;
                Ok(Daemon::Companion(companion))
            }
            Role::Data => {
                let data = DataNode::start(settings, metrics).await;
                data.map(Daemon::Data).change_context(DaemonError)
            }
        }
    }

    /// Returns the address of HTTP.
    pub fn http_address(&self) -> SocketAddr {
        match self {
            Daemon::Entry(entry) => entry.http_address(),
            Daemon::Companion(companion) => companion.http_address(),
            Daemon::Data(data) => data.http_address(),
        }
    }

    /// Returns the address for other processes.
    pub fn peer_address(&self) -> SocketAddr {
        match self {
            Daemon::Entry(entry) => entry.peer_address(),
            Daemon::Companion(companion) => companion.peer_address(),
            Daemon::Data(data) => data.peer_address(),
        }
    }

    /// Stops as planned: nothing new is taken, what runs ends.
    pub async fn drain(self) {
        match self {
            Daemon::Entry(entry) => entry.drain().await,
            Daemon::Companion(companion) => companion.drain().await,
            Daemon::Data(data) => data.drain().await,
        }
    }
}

fn data_role(
    settings: &Settings,
) -> Result<Option<Arc<dyn DataHandler>>, Report<DaemonError>> {
    let Some(data) = &settings.data else {
        return Ok(None);
    };
    let role = DataRole::open(data).change_context(DaemonError)?;
    Ok(Some(Arc::new(role)))
}
