use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU32},
};

use base::{Incarnation, SystemClock, timer::Timer};
use budget::{MemoryBudget, MemoryOptions, MemoryShares};
use conf::settings::Settings;
use error_stack::{Report, ResultExt};
use kv::{EtcdJsonOptions, Kv};
use obs::Metrics;
use quarantine::{Quarantine, QuarantineOptions};
use tokio::{sync::Semaphore, task::JoinHandle};
use web::{HttpServer, LaunchOptions, Phase, ServiceState};
use wire::{
    DataHandler, Handlers, LinkOptions, Links, Secrets, Server,
    message::Identity,
};

use crate::{
    EntryError, api,
    batch::{Batch, Blobs},
    claim_store::Claims,
    config::{ConfigPeers, ConfigStore},
    filter::Limits,
    fleet::{Fleet, vm_list},
    orders::Orders,
    peers::PeerHandler,
    shared::Shared,
};

/// Interval of checks for the first configuration, in milliseconds.
const READY_POLL_MS: u64 = 50;

/// Backoff before quarantined requests are read again, in milliseconds.
const QUARANTINE_RETRY_MS: u64 = 1_000;

/// A running entry node.
pub struct Entry {
    shared: Arc<Shared>,
    peer: Server,
    http: HttpServer,
    tasks: Vec<JoinHandle<()>>,
}

impl Entry {
    /// Starts an entry and returns once it listens. The entry becomes ready
    /// when it has found a configuration.
    ///
    /// `data` is the data role of the same process, if any.
    ///
    /// # Errors
    ///
    /// [`EntryError::Settings`] if the `key_value` section is missing,
    /// [`EntryError::Start`] if an address cannot be bound.
    pub async fn start(
        settings: &Settings,
        metrics: Metrics,
        data: Option<Arc<dyn DataHandler>>,
    ) -> Result<Self, Report<EntryError>> {
        let start = EntryError::Start;
        let timer = Timer::new(Arc::new(SystemClock::new()));
        let key_value = settings.key_value.as_ref().ok_or_else(|| {
            Report::new(EntryError::Settings)
                .attach("the section `key_value` is missing")
        })?;
        let addresses = key_value.addresses.iter().map(|a| a.as_str());
        let kv: Arc<dyn Kv> = Arc::new(
            EtcdJsonOptions::new(addresses)
                .timeout_ms(key_value.timeout_ms)
                .build()
                .change_context(start)?,
        );
        let identity = identity(settings);
        let secrets = settings.peer_secrets.iter().map(|s| s.expose());
        let secrets = Secrets::try_from_texts(secrets)
            .change_context(EntryError::Settings)?;
        let options = LinkOptions::new(identity.clone())
            .secrets(secrets.clone())
            .connect_timeout_ms(settings.timeouts.connect_ms);
        let links = Links::start(options).change_context(start)?;
        let prefix = key_value.prefix.clone();
        let claims = Claims::new(kv.clone(), &prefix, timer.clone());
        let orders = Orders::new(kv.clone(), &prefix, links.clone());
        let quarantine = Quarantine::new(
            kv.clone(),
            &format!("{prefix}quarantine/"),
            timer.clock().clone(),
            QuarantineOptions::default(),
        );
        let batch = Batch::new(
            kv.clone(),
            prefix.clone(),
            timer.clone(),
            quarantine.clone(),
            Blobs::new(links.clone(), settings.data_vms.clone()),
            settings.batch.clone(),
            settings.limits.clone(),
        );
        let fleet = Fleet::try_new(settings, links.clone(), timer.clone())?;
        let shared = Arc::new(Shared {
            incarnation: identity.incarnation,
            timer: timer.clone(),
            links,
            fleet,
            config: Arc::new(ConfigStore::new(kv, &prefix, timer.clone())),
            batch,
            metrics,
            state: ServiceState::default(),
            limits: settings.limits.clone(),
            timeouts: settings.timeouts.clone(),
            admin_keys: settings.admin_keys_sha256.clone(),
            streams: Arc::new(Semaphore::new(
                settings.limits.streams_max as usize,
            )),
            claims,
            quarantine,
            orders,
            customers: Limits::new(Arc::new(entry_count(settings))),
            memory: callers_memory(settings, &timer),
        });
        let handlers = Handlers {
            entry: Some(Arc::new(PeerHandler(shared.clone()))),
            data,
            companion: None,
        };
        let listen = settings.peer_listen;
        let peer = wire::serve(listen, identity, secrets, handlers)
            .await
            .change_context(start)?;
        let http = launch(settings, &shared).await?;
        let mut tasks = spawn_tasks(&shared, timer.clone());
        tasks.push(tokio::spawn(shared.fleet.clone().run_probes()));
        if let Some(list) = settings.vm_list.clone() {
            let follow = vm_list::follow(shared.clone(), list);
            tasks.push(tokio::spawn(follow));
        }
        let entries = settings.entries.clone();
        let config_peers = ConfigPeers::new(
            shared.links.clone(),
            entries,
            shared.quarantine.clone(),
        );
        let store = shared.config.clone();
        tasks.push(tokio::spawn(config_peers.run(store, timer)));
        log::info!(
            http = http.address().to_string().as_str(),
            peer = peer.address().to_string().as_str();
            "the entry is started"
        );
        Ok(Self {
            shared,
            peer,
            http,
            tasks,
        })
    }

    /// Returns the HTTP address for callers.
    #[inline]
    pub fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns the address for other nodes.
    #[inline]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer.address()
    }

    /// Returns the number of known endpoints.
    pub fn endpoints(&self) -> usize {
        self.shared.fleet.all().len()
    }

    /// Waits until the entry is ready to serve.
    pub async fn ready(&self) {
        while !self.shared.state.is_ready() {
            self.shared.timer.subscribe_in_ms(READY_POLL_MS).await;
        }
    }

    /// Shuts down gracefully: `/readyz` fails first, new calls are refused as
    /// not run, and running calls may finish within the drain time.
    pub async fn drain(self) {
        let state = &self.shared.state;
        state.set(Phase::Draining);
        if !state.wait_idle(self.shared.timeouts.drain_ms).await {
            let cut = state.active();
            log::warn!(cut; "the drain time is over; cutting what runs");
        }
        self.http.stop().await;
        for task in &self.tasks {
            task.abort();
        }
        self.peer.stop().await;
    }
}

/// Returns the number of entries that share the limits, according to the
/// settings.
fn entry_count(settings: &Settings) -> AtomicU32 {
    let others = settings.entries.len();
    let others = u32::try_from(others).unwrap_or(u32::MAX);
    AtomicU32::new(others.saturating_add(1))
}

/// Returns the memory that callers may make the process hold.
fn callers_memory(settings: &Settings, timer: &Timer) -> MemoryBudget {
    let shares = MemoryShares::of_machine(settings.limits.memory_bytes);
    let options = MemoryOptions::new(shares.callers_bytes);
    MemoryBudget::new(options, timer.clock().clone())
}

fn identity(settings: &Settings) -> Identity {
    Identity {
        role: "entry".to_owned(),
        vm: settings.vm.clone(),
        incarnation: Incarnation::new(rand::random()),
        failure_domain: settings.failure_domain.clone(),
    }
}

async fn launch(
    settings: &Settings,
    shared: &Arc<Shared>,
) -> Result<HttpServer, Report<EntryError>> {
    let rocket = rocket::build()
        .manage(shared.clone())
        .manage(shared.state.clone())
        .mount("/", api::routes())
        .register("/", web::catchers());
    let options = LaunchOptions::new(settings.listen)
        .body_max_bytes(settings.limits.body_max_bytes)
        .file_max_bytes(settings.limits.file_max_bytes);
    web::launch(rocket, options)
        .await
        .change_context(EntryError::Start)
}

/// Reads the requests that other entries have quarantined, retrying until the
/// key-value service responds.
async fn read_quarantine(shared: Arc<Shared>) {
    while let Err(report) = shared.quarantine.read().await {
        log::info!(error:% = report.current_context();
            "the quarantined requests cannot be read yet");
        shared.timer.subscribe_in_ms(QUARANTINE_RETRY_MS).await;
    }
}

fn spawn_tasks(shared: &Arc<Shared>, timer: Timer) -> Vec<JoinHandle<()>> {
    let follow = shared.clone();
    let ready = shared.clone();
    vec![
        tokio::spawn(timer.drive()),
        tokio::spawn(async move { follow.config.follow().await }),
        tokio::spawn(shared.batch.owner().clone().run()),
        tokio::spawn(shared.quarantine.clone().run()),
        tokio::spawn(read_quarantine(shared.clone())),
        tokio::spawn(async move {
            while ready.config.current().is_none() {
                ready.timer.subscribe_in_ms(READY_POLL_MS).await;
            }
            ready.state.set(Phase::Ready);
        }),
    ]
}
