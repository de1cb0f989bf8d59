use std::{collections::HashSet, fmt, net::SocketAddr, sync::Mutex};

use error_stack::{Report, ResultExt};
use rocket::{
    Build, Config, Rocket, Shutdown,
    config::{Ident, LogLevel, Shutdown as ShutdownConfig},
    data::{ByteUnit, Limits},
    fairing::AdHoc,
    shield::Shield,
};
use tokio::{sync::oneshot, task::JoinHandle};

/// Seconds that open connections get after a stop. What runs has ended
/// before (see [`ServiceState::idle`](crate::ServiceState::idle)); the server
/// library waits all of this out if any connection is open.
const GRACE_S: u32 = 1;

/// Seconds that the server library then gives connections to close.
const MERCY_S: u32 = 0;

/// Says that a server could not be started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LaunchError;

impl fmt::Display for LaunchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("cannot serve HTTP")
    }
}

impl std::error::Error for LaunchError {}

/// Options of a server.
#[derive(Clone, Copy, Debug)]
pub struct LaunchOptions {
    listen: SocketAddr,
    body_max_bytes: u64,
    file_max_bytes: u64,
}

impl LaunchOptions {
    /// Starts with bodies of 1 MiB and files of 16 MiB.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            body_max_bytes: 1 << 20,
            file_max_bytes: 16 << 20,
        }
    }

    /// Sets the largest body.
    pub fn body_max_bytes(mut self, bytes: u64) -> Self {
        self.body_max_bytes = bytes;
        self
    }

    /// Sets the largest uploaded file.
    pub fn file_max_bytes(mut self, bytes: u64) -> Self {
        self.file_max_bytes = bytes;
        self
    }
}

/// A running server.
#[derive(Debug)]
pub struct Served {
    address: SocketAddr,
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

impl Served {
    /// Returns the address that it listens on.
    #[inline]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and the connections and waits for that.
    pub async fn stop(self) {
        self.shutdown.notify();
        // A task that failed has ended as well.
        let _ = self.task.await;
    }
}

/// Starts a rocket and returns once it accepts connections.
///
/// The library's own environment variables, files and signal handlers stay
/// unused: the settings file is the one place that decides, and a planned
/// stop is the daemon's.
///
/// # Errors
///
/// [`LaunchError`] if the address cannot be bound or a route is broken.
pub async fn launch(
    rocket: Rocket<Build>,
    options: LaunchOptions,
) -> Result<Served, Report<LaunchError>> {
    let (report_ready, ready) = oneshot::channel();
    let (report_failed, failed) = oneshot::channel();
    let rocket = rocket
        .configure(config(options))
        // The default headers are meant for pages in a browser; here they
        // would overwrite those of the endpoint's answer.
        .attach(Shield::new())
        .attach(announce(report_ready));
    let task = tokio::spawn(async move {
        if let Err(error) = rocket.launch().await {
            // Reading the error keeps it from panicking when dropped. The
            // receiver is gone if the server had started.
            let _ = report_failed.send(error.to_string());
        }
    });
    let report = tokio::select! {
        biased;
        Ok((address, shutdown)) = ready => {
            return Ok(Served { address, shutdown, task });
        }
        Ok(reason) = failed => Report::new(LaunchError).attach(reason),
        else => Report::new(LaunchError),
    };
    Err(report.attach(format!("listening on {}", options.listen)))
        .attach("is the address in use, or not on this machine?")
}

fn announce(ready: oneshot::Sender<(SocketAddr, Shutdown)>) -> AdHoc {
    let ready = Mutex::new(Some(ready));
    AdHoc::on_liftoff("announce", move |rocket| {
        let config = rocket.config();
        let address = SocketAddr::new(config.address, config.port);
        let sender = ready.lock().ok().and_then(|mut slot| slot.take());
        if let Some(sender) = sender {
            let _ = sender.send((address, rocket.shutdown()));
        }
        Box::pin(async {})
    })
}

fn config(options: LaunchOptions) -> Config {
    let body = ByteUnit::Byte(options.body_max_bytes);
    let file = ByteUnit::Byte(options.file_max_bytes);
    let limits = Limits::default()
        .limit("bytes", body)
        .limit("json", body)
        .limit("string", body)
        .limit("form", body)
        .limit("data-form", file)
        .limit("file", file);
    Config {
        address: options.listen.ip(),
        port: options.listen.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        ident: Ident::none(),
        limits,
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: HashSet::new(),
            grace: GRACE_S,
            mercy: MERCY_S,
            force: false,
            ..ShutdownConfig::default()
        },
        ..Config::release_default()
    }
}
