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

/// Grace period for open connections at shutdown. Running requests have
/// already finished by then (see
/// [`ServiceState::wait_idle`](crate::ServiceState::wait_idle)); Rocket waits
/// for the whole period if any connection is open.
const GRACE_S: u32 = 1;

/// Time that Rocket then allows connections to close.
const MERCY_S: u32 = 0;

/// The HTTP server could not be started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LaunchError;

impl fmt::Display for LaunchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("cannot serve HTTP")
    }
}

impl std::error::Error for LaunchError {}

/// Options of an HTTP server.
#[derive(Clone, Copy, Debug)]
pub struct LaunchOptions {
    listen: SocketAddr,
    body_max_bytes: u64,
    file_max_bytes: u64,
}

impl LaunchOptions {
    /// Creates options with limits of 1 MiB for bodies and 16 MiB for files.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            body_max_bytes: 1 << 20,
            file_max_bytes: 16 << 20,
        }
    }

    /// Sets the maximum size of a request body.
    pub fn body_max_bytes(mut self, bytes: u64) -> Self {
        self.body_max_bytes = bytes;
        self
    }

    /// Sets the maximum size of an uploaded file.
    pub fn file_max_bytes(mut self, bytes: u64) -> Self {
        self.file_max_bytes = bytes;
        self
    }
}

/// A running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Returns the address that the server listens on.
    #[inline]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections and waits until they are closed.
    pub async fn stop(self) {
        self.shutdown.notify();
        // A failed task has ended too, so its error is ignored.
        let _ = self.task.await;
    }
}

/// Starts a Rocket server and returns once it accepts connections.
///
/// Rocket's own environment variables, configuration files and signal
/// handlers are disabled: the settings file is the only source of
/// configuration, and the daemon handles graceful shutdown.
///
/// # Errors
///
/// [`LaunchError`] if the address cannot be bound or a route is invalid.
pub async fn launch(
    rocket: Rocket<Build>,
    options: LaunchOptions,
) -> Result<HttpServer, Report<LaunchError>> {
    let (ready_sender, ready) = oneshot::channel();
    let (failure_sender, failure) = oneshot::channel();
    let rocket = rocket
        .configure(rocket_config(options))
        // Rocket's default security headers are meant for browser pages and
        // would overwrite those of the endpoint's response.
        .attach(Shield::new())
        .attach(report_liftoff(ready_sender));
    let task = tokio::spawn(async move {
        if let Err(error) = rocket.launch().await {
            // Rocket's launch error panics on drop unless it was inspected.
            // The receiver is already dropped if the server had started.
            let _ = failure_sender.send(error.to_string());
        }
    });
    let report = tokio::select! {
        biased;
        Ok((address, shutdown)) = ready => {
            return Ok(HttpServer { address, shutdown, task });
        }
        Ok(reason) = failure => Report::new(LaunchError).attach(reason),
        else => Report::new(LaunchError),
    };
    Err(report.attach(format!("listening on {}", options.listen)))
        .attach("is the address in use, or not assigned to this machine?")
}

fn report_liftoff(ready: oneshot::Sender<(SocketAddr, Shutdown)>) -> AdHoc {
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

fn rocket_config(options: LaunchOptions) -> Config {
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
