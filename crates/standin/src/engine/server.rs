use std::{net::SocketAddr, sync::Arc};

use error_stack::Report;
use tokio::task::JoinHandle;

use super::{
    EngineCounters, EngineFaults, EngineSettings, core::Core, routes, status,
};
use crate::{
    StandinError,
    serve::{self, Served},
};

/// Starts stand-in engines.
#[derive(Clone, Copy, Debug)]
pub struct Engine;

impl Engine {
    /// Starts an engine on the caller's runtime and returns when it
    /// listens.
    ///
    /// # Errors
    ///
    /// [`StandinError::Listen`] if the address cannot be had,
    /// [`StandinError::Launch`] if the server ends for another reason.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_standin::engine::{Engine, EngineSettings};
    ///
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let engine = Engine::start(EngineSettings::instant()).await.unwrap();
    /// assert_ne!(engine.address().port(), 0);
    /// assert_eq!(engine.counters().calls, 0);
    /// engine.stop().await;
    /// # });
    /// ```
    pub async fn start(
        settings: EngineSettings,
    ) -> Result<EngineHandle, Report<StandinError>> {
        let listen = settings.listen;
        let delivery = settings.delivery.clone();
        let core = Core::new(settings);
        let rocket = rocket::build()
            .manage(core.clone())
            .mount("/", routes::all())
            .mount("/", status::all());
        let served =
            serve::launch_with_delivery(rocket, listen, delivery).await?;
        let driver = tokio::spawn(core.clone().drive());
        Ok(EngineHandle {
            core,
            address: served.address(),
            served: Some(served),
            driver,
        })
    }
}

/// A running engine; dropping it stops it like a crash.
#[derive(Debug)]
pub struct EngineHandle {
    core: Arc<Core>,
    address: SocketAddr,
    served: Option<Served>,
    driver: JoinHandle<()>,
}

impl EngineHandle {
    /// Returns the address that the engine listens on.
    #[inline]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base of the engine's URLs, without a slash at its end.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns exact counts.
    pub fn counters(&self) -> EngineCounters {
        self.core.counters()
    }

    /// Switches faults on or off.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.core.set_faults(faults);
    }

    /// Stops the engine at once: all connections end, answers in the making
    /// are lost.
    pub async fn stop(mut self) {
        if let Some(served) = self.served.take() {
            served.stop().await;
        }
    }
}

impl Drop for EngineHandle {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
