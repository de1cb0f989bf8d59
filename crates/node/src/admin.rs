use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use fleet::TransferLimits;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use pass::{
    Counters, Handler, HandlerFuture, Listener, ListenerOptions, ResponseBody,
    ShutdownPhase,
};
use tokio::sync::watch;

use crate::{ClusterState, NodeError};

/// Serves readiness checks of the load balancer and the metrics.
pub struct Admin {
    ready_path: &'static str,
    cluster: ClusterState,
    stopping: Arc<AtomicBool>,
    counters: Arc<Counters>,
}

impl Admin {
    /// Creates the handler; `stopping` is set when a planned shutdown begins.
    pub fn new(
        ready_path: &'static str,
        cluster: ClusterState,
        stopping: Arc<AtomicBool>,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            ready_path,
            cluster,
            stopping,
            counters,
        }
    }

    /// Starts listening on an address until the process ends.
    ///
    /// # Errors
    ///
    /// [`NodeError::Listen`] if the address cannot be used.
    pub fn start(
        self: &Arc<Self>,
        address: SocketAddr,
    ) -> Result<(), Report<NodeError>> {
        let (sender, phase) = watch::channel(ShutdownPhase::Running);
        let options = ListenerOptions::default();
        let listener = Listener::bind(address, options, phase)
            .change_context(NodeError::Listen)?;
        let handler = self.clone();
        tokio::spawn(async move {
            // Keeps the channel open for the lifetime of the task; the phase
            // never changes.
            let _sender = sender;
            listener.serve(handler).await;
        });
        Ok(())
    }

    fn respond(&self, path: &str) -> Response<ResponseBody> {
        if path != self.ready_path {
            let text = self.counters.render();
            return Response::new(ResponseBody::from_bytes(Bytes::from(text)));
        }
        let stopping = self.stopping.load(Ordering::Relaxed);
        let ready = !stopping && self.cluster.is_ready();
        let mut response =
            Response::new(ResponseBody::from_bytes(Bytes::new()));
        if !ready {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }
}

impl Handler for Admin {
    fn handle(&self, request: Request<Incoming>) -> HandlerFuture {
        let response = self.respond(request.uri().path());
        Box::pin(std::future::ready(response))
    }

    fn limits(&self) -> TransferLimits {
        TransferLimits::default()
    }
}
