//! Starts and stops the rocket servers of all stand-ins alike.

use std::{net::SocketAddr, sync::Mutex};

use error_stack::{Report, ResultExt};
use rocket::{
    Build, Config, Request, Response, Rocket, Shutdown,
    config::{LogLevel, Shutdown as ShutdownConfig},
    data::{Limits, ToByteUnit},
    error::ErrorKind,
    fairing::AdHoc,
    response::Responder,
};
use tokio::{sync::oneshot, task::JoinHandle};

use crate::{
    StandinError,
    delivery::{Delivery, Reframer},
};

/// Largest body that a stand-in reads, in mebibytes.
pub(crate) const BODY_LIMIT_MIB: u64 = 64;

/// A name that no HTTP header can have.
const INVALID_HEADER_NAME: &str = "\n";

/// A running server; it stops when this is dropped.
pub(crate) struct Served {
    address: SocketAddr,
    shutdown: Shutdown,
    task: Option<JoinHandle<()>>,
    reframer: Option<Reframer>,
}

impl Served {
    /// Returns the address that callers connect to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and the open connections and waits for the end.
    pub(crate) async fn stop(mut self) {
        self.reframer = None;
        self.shutdown.clone().notify();
        if let Some(task) = self.task.take() {
            // A failed task has ended as well, which is all that is wanted.
            let _ = task.await;
        }
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.shutdown.clone().notify();
    }
}

impl std::fmt::Debug for Served {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Served")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// Launches a rocket like [`launch`], behind a [`Reframer`] if its answers
/// are to be delivered in another way than the rocket does by itself.
pub(crate) async fn launch_with_delivery(
    rocket: Rocket<Build>,
    listen: SocketAddr,
    delivery: Delivery,
) -> Result<Served, Report<StandinError>> {
    if delivery == Delivery::default() {
        return launch(rocket, listen).await;
    }
    let behind = SocketAddr::new(listen.ip(), 0);
    let mut served = launch(rocket, behind).await?;
    let reframer = Reframer::start_at(listen, served.address).await?;
    reframer.set(delivery);
    served.address = reframer.address();
    served.reframer = Some(reframer);
    Ok(served)
}

/// Launches a rocket at an address and waits until it accepts connections.
///
/// The rocket's own configuration is replaced: neither its files, its
/// environment variables nor its signal handlers fit several servers inside
/// one process. Port 0 picks a free port.
///
/// # Errors
///
/// [`StandinError::Listen`] if the address cannot be bound,
/// [`StandinError::Launch`] if the server ends for another reason.
pub(crate) async fn launch(
    rocket: Rocket<Build>,
    listen: SocketAddr,
) -> Result<Served, Report<StandinError>> {
    let (send_ready, ready) = oneshot::channel();
    let (send_failed, failed) = oneshot::channel();
    let rocket = rocket
        .configure(quiet_config(listen))
        .attach(report_liftoff(send_ready));
    let task = tokio::spawn(async move {
        if let Err(error) = rocket.launch().await {
            // Reading the kind also keeps the error from panicking when it
            // is dropped.
            let _ = send_failed.send(launch_error(&error));
        }
    });
    tokio::select! {
        biased;
        Ok((address, shutdown)) = ready => Ok(Served {
            address,
            shutdown,
            task: Some(task),
            reframer: None,
        }),
        Ok(report) = failed => Err(report),
        else => Err(Report::new(StandinError::Launch)),
    }
    .attach_with(|| format!("listen address {listen}"))
}

fn report_liftoff(ready: oneshot::Sender<(SocketAddr, Shutdown)>) -> AdHoc {
    let ready = Mutex::new(Some(ready));
    AdHoc::on_liftoff("report liftoff", move |rocket| {
        let address =
            SocketAddr::new(rocket.config().address, rocket.config().port);
        let sender = ready.lock().ok().and_then(|mut slot| slot.take());
        if let Some(sender) = sender {
            let _ = sender.send((address, rocket.shutdown()));
        }
        Box::pin(async {})
    })
}

fn launch_error(error: &rocket::Error) -> Report<StandinError> {
    let context = match error.kind() {
        ErrorKind::Bind(_) | ErrorKind::Io(_) => StandinError::Listen,
        _ => StandinError::Launch,
    };
    Report::new(context).attach(error.to_string())
}

fn quiet_config(listen: SocketAddr) -> Config {
    let size = BODY_LIMIT_MIB.mebibytes();
    let limits = ["bytes", "json", "string", "data-form", "file"]
        .into_iter()
        .fold(Limits::default(), |limits, name| limits.limit(name, size));
    Config {
        address: listen.ip(),
        port: listen.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        limits,
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: std::collections::HashSet::new(),
            grace: 0,
            mercy: 0,
            force: false,
            ..ShutdownConfig::default()
        },
        ..Config::release_default()
    }
}

/// Answers nothing: the connection is closed before the status line.
///
/// Rocket offers no access to the socket. A response whose head cannot be
/// built makes it drop the answer, whereupon the HTTP library closes the
/// connection; a caller sees an early end, as after a crash of the server.
pub(crate) struct Cut;

impl<'r> Responder<'r, 'static> for Cut {
    fn respond_to(
        self,
        _: &'r Request<'_>,
    ) -> rocket::response::Result<'static> {
        Response::build().raw_header(INVALID_HEADER_NAME, "").ok()
    }
}
