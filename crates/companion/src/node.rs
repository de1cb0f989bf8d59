use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

use base::{Incarnation, SystemClock, timer::Timer};
use conf::settings::{EndpointKind, EndpointSettings, Settings};
use error_stack::{Report, ResultExt};
use gate::{Event, GateOptions, Policy};
use obs::Metrics;
use tokio::task::JoinHandle;
use upstream::EndpointClient;
use web::{HttpServer, LaunchOptions, Phase, ServiceState};
use wire::{Handlers, LinkOptions, Links, Secrets, Server, message::Identity};

use crate::{
    CompanionError,
    admission::Admission,
    handler::{Handler, Shared},
    probe::HealthMonitor,
    pull::Puller,
    status,
};

/// A running companion.
pub struct Companion {
    shared: Arc<Shared>,
    puller: Arc<Puller>,
    state: ServiceState,
    links: Links,
    identity: Identity,
    entries: Vec<SocketAddr>,
    drain_ms: u64,
    peer: Server,
    http: HttpServer,
    tasks: Vec<JoinHandle<()>>,
}

impl Companion {
    /// Starts a companion and returns once it listens.
    ///
    /// # Errors
    ///
    /// [`CompanionError::Settings`] without an `endpoint` section,
    /// [`CompanionError::Start`] if a listener cannot bind to its address.
    pub async fn start(
        settings: &Settings,
        metrics: Metrics,
    ) -> Result<Self, Report<CompanionError>> {
        Self::start_with(settings, metrics, Policy::Adaptive).await
    }

    /// Starts a companion whose gate uses another policy, for comparative
    /// measurements.
    ///
    /// # Errors
    ///
    /// The same as [`Companion::start`].
    pub async fn start_with(
        settings: &Settings,
        metrics: Metrics,
        policy: Policy,
    ) -> Result<Self, Report<CompanionError>> {
        let start = CompanionError::Start;
        let endpoint = settings.endpoint.clone().ok_or_else(|| {
            Report::new(CompanionError::Settings)
                .attach("the section `endpoint` is missing")
        })?;
        let timer = Timer::new(Arc::new(SystemClock::new()));
        let client = EndpointClient::try_new(
            endpoint.address.clone(),
            &settings.timeouts,
        )
        .change_context(start)?;
        let incarnation = Incarnation::new(rand::random());
        let shared = Arc::new(Shared {
            admission: Admission::new(
                gate_options(&endpoint).policy(policy),
                timer.clone(),
            ),
            endpoint,
            incarnation,
            client,
            metrics,
            timer: timer.clone(),
            draining: AtomicBool::new(false),
            endpoint_up: AtomicBool::new(false),
            last_fence: Mutex::new(0),
        });
        // Calls may arrive as soon as the companion listens. Before its first
        // probe it would refuse them as if the endpoint were down.
        let mut health = HealthMonitor::new(shared.clone());
        health.probe().await;
        let identity = Identity {
            role: "companion".to_owned(),
            vm: settings.vm.clone(),
            incarnation,
            failure_domain: settings.failure_domain.clone(),
        };
        let secrets = settings.peer_secrets.iter().map(|s| s.expose());
        let secrets = Secrets::try_from_texts(secrets)
            .change_context(CompanionError::Settings)?;
        let options = LinkOptions::new(identity.clone())
            .secrets(secrets.clone())
            .connect_timeout_ms(settings.timeouts.connect_ms);
        let links = Links::start(options).change_context(start)?;
        let handlers = Handlers {
            companion: Some(Arc::new(Handler(shared.clone()))),
            ..Handlers::default()
        };
        let listen = settings.peer_listen;
        let peer = wire::serve(listen, identity.clone(), secrets, handlers)
            .await
            .change_context(start)?;
        let state = ServiceState::default();
        let rocket = rocket::build()
            .manage(shared.clone())
            .manage(state.clone())
            .mount("/", web::health_routes())
            .mount("/", status::routes())
            .register("/", web::catchers());
        let http = web::launch(rocket, LaunchOptions::new(settings.listen))
            .await
            .change_context(start)?;
        let puller = Puller::new(
            shared.clone(),
            links.clone(),
            identity.clone(),
            &settings.entries,
        );
        let tasks = vec![
            tokio::spawn(timer.drive()),
            tokio::spawn(health.watch()),
            tokio::spawn(shared.admission.clone().tick()),
            tokio::spawn(puller.clone().run()),
            tokio::spawn(puller.clone().renew_forever()),
        ];
        state.set(Phase::Ready);
        log::info!(
            endpoint = shared.endpoint.name.as_str(),
            peer = peer.address().to_string().as_str();
            "the companion has started"
        );
        Ok(Self {
            shared,
            puller,
            state,
            links,
            identity,
            entries: settings.entries.clone(),
            drain_ms: settings.timeouts.drain_ms,
            peer,
            http,
            tasks,
        })
    }

    /// Returns the address for calls of other processes.
    #[inline]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer.address()
    }

    /// Returns the address of `/status`.
    #[inline]
    pub fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Shuts down gracefully: accepts no new work, notifies the entries,
    /// waits for running work to finish and then stops.
    pub async fn drain(self) {
        self.state.set(Phase::Draining);
        self.shared.draining.store(true, Ordering::Release);
        self.shared.admission.handle(Event::Drain);
        self.notify_entries().await;
        let timer = &self.shared.timer;
        let limit = timer.now().saturating_add_ms(self.drain_ms);
        while self.is_busy() && timer.now() < limit {
            timer.subscribe_in_ms(DRAIN_POLL_MS).await;
        }
        if self.is_busy() {
            log::warn!(
                calls = self.shared.admission.len(),
                undelivered = self.peer.undelivered_responses(),
                drain_ms = self.drain_ms;
                "the drain time is over; ending what runs"
            );
        }
        self.stop().await;
    }

    /// Stops immediately and aborts running work.
    pub async fn stop(self) {
        self.puller.abort_all();
        for task in &self.tasks {
            task.abort();
        }
        self.peer.stop().await;
        self.http.stop().await;
    }

    fn is_busy(&self) -> bool {
        !self.shared.admission.is_idle()
            || self.puller.is_reporting()
            || self.peer.undelivered_responses() > 0
    }

    /// Notifies the entries of the shutdown. The machine list of the platform
    /// lags by up to a minute.
    async fn notify_entries(&self) {
        let notifications = self
            .entries
            .iter()
            .map(|entry| self.links.leaving(*entry, self.identity.clone()));
        for result in futures::future::join_all(notifications).await {
            if let Err(error) = result {
                log::debug!(error:?; "cannot notify an entry of the shutdown");
            }
        }
    }
}

/// Interval between checks for running work during a drain, in milliseconds.
const DRAIN_POLL_MS: u64 = 20;

/// Maximum latency target that the gate supports, in milliseconds.
const MAX_TARGET_MS: u64 = 3_600_000;

fn gate_options(endpoint: &EndpointSettings) -> GateOptions {
    let ms = |ms: u64| ms.min(MAX_TARGET_MS) as u32;
    let mut options =
        GateOptions::new(endpoint.max_running, endpoint.batch_max_running)
            .targets(
                ms(endpoint.first_token_target_ms),
                ms(endpoint.between_tokens_target_ms),
            );
    if endpoint.kind == EndpointKind::Service {
        // Streams of a service may be silent for a long time without a fault.
        options.stall_after_ms = 0;
    }
    options
}
