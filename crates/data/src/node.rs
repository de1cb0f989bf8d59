use std::{net::SocketAddr, sync::Arc};

use base::{Incarnation, SystemClock, timer::Timer};
use conf::settings::Settings;
use error_stack::{Report, ResultExt};
use obs::Metrics;
use tokio::task::JoinHandle;
use web::{HttpServer, LaunchOptions, Phase, ServiceState};
use wire::{Handlers, LinkOptions, Links, Secrets, Server, message::Identity};

use crate::{
    DataError, maintenance,
    repair::Repair,
    role::{DataRole, handler},
    status,
};

/// A running process of the data role.
pub struct DataNode {
    state: ServiceState,
    peer: Server,
    http: HttpServer,
    tasks: Vec<JoinHandle<()>>,
}

impl DataNode {
    /// Starts the role and returns once it listens.
    ///
    /// # Errors
    ///
    /// [`DataError::Settings`] if the settings have no `data` section or their
    /// peer secrets are invalid, [`DataError::Start`] if a listener cannot be
    /// started, and the errors of [`DataRole::open`].
    pub async fn start(
        settings: &Settings,
        metrics: Metrics,
    ) -> Result<Self, Report<DataError>> {
        let start = DataError::Start;
        let data = settings.data.as_ref().ok_or_else(|| {
            Report::new(DataError::Settings)
                .attach("the section `data` is missing")
        })?;
        let role = DataRole::open(data)?;
        let identity = Identity {
            role: "data".to_owned(),
            vm: settings.vm.clone(),
            incarnation: Incarnation::new(rand::random()),
            failure_domain: settings.failure_domain.clone(),
        };
        let secrets = settings.peer_secrets.iter().map(|s| s.expose());
        let secrets = Secrets::try_from_texts(secrets)
            .change_context(DataError::Settings)?;
        let handlers = Handlers {
            data: Some(handler(&role)),
            ..Handlers::default()
        };
        let listen = settings.peer_listen;
        let options =
            LinkOptions::new(identity.clone()).secrets(secrets.clone());
        let links = Links::start(options).change_context(start)?;
        let peers = settings
            .data_vms
            .iter()
            .filter(|peer| peer.vm != settings.vm)
            .cloned()
            .collect();
        let store = role.store().clone();
        let repair = Repair::new(
            store.clone(),
            links,
            settings.vm.clone(),
            settings.failure_domain.clone(),
            peers,
        );
        let peer = wire::serve(listen, identity, secrets, handlers)
            .await
            .change_context(start)?;
        let state = ServiceState::default();
        let rocket = rocket::build()
            .manage(role)
            .manage(metrics)
            .manage(state.clone())
            .mount("/", web::health_routes())
            .mount("/", status::routes())
            .register("/", web::catchers());
        let http = web::launch(rocket, LaunchOptions::new(settings.listen))
            .await
            .change_context(start)?;
        state.set(Phase::Ready);
        let timer = Timer::new(Arc::new(SystemClock::new()));
        let days = data.retention_days;
        let tasks = vec![
            tokio::spawn(timer.clone().drive()),
            tokio::spawn(repair.run(timer.clone())),
            tokio::spawn(maintenance::run(store, timer, days)),
        ];
        log::info!(
            peer = peer.address().to_string().as_str();
            "the data role has started"
        );
        Ok(Self {
            state,
            peer,
            http,
            tasks,
        })
    }

    /// Returns the address for requests of other processes.
    #[inline]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer.address()
    }

    /// Returns the address of `/status`.
    #[inline]
    pub fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Shuts down gracefully. All acknowledged blobs are already on disk.
    pub async fn drain(self) {
        self.state.set(Phase::Draining);
        for task in &self.tasks {
            task.abort();
        }
        self.peer.stop().await;
        self.http.stop().await;
    }
}
