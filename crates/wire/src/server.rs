use std::{
    cell::{Cell, RefCell},
    fmt,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use capnp::Error;
use capnp_rpc::{
    RpcSystem, new_client, rpc_twoparty_capnp::Side, twoparty::VatNetwork,
};
use error_stack::{Report, ResultExt};
use futures::io::{BufReader, BufWriter};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::Handle,
    sync::{oneshot, watch},
    task::{LocalSet, spawn_local},
    time::{Instant, timeout},
};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::{
    MIN_PROTOCOL_VERSION, PROTOCOL_VERSION, Secrets,
    handler::Handlers,
    host::Host,
    message::Identity,
    options::ServeOptions,
    peer::{CLIENT_PROOF, SERVER_PROOF, SILENCE_CHECKS},
    schema_capnp as schema,
};

/// Timeout for closing a connection whose peer may be unreachable.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The server for other processes cannot be started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServeError;

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("cannot listen for other processes")
    }
}

impl std::error::Error for ServeError {}

/// Server for calls of other processes, running until stopped or dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    ended: watch::Receiver<bool>,
    undelivered: Arc<AtomicUsize>,
}

impl Server {
    /// Returns the address that the server listens on.
    #[inline]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many responses of the companion role are not delivered yet.
    ///
    /// After a handler has sent its last frame, frames may still be queued in
    /// the server for a slow caller. A graceful shutdown waits until the
    /// count is 0; otherwise the ends of the last responses would be lost.
    #[inline]
    pub fn undelivered_responses(&self) -> usize {
        self.undelivered.load(Ordering::Acquire)
    }

    /// Closes the listener and all connections and waits for the thread to
    /// end.
    pub async fn stop(mut self) {
        self.stop.take();
        // An error means that the thread has already ended.
        let _ = self.ended.wait_for(|ended| *ended).await;
    }
}

/// Starts a server for other processes on a dedicated thread. Handlers run on
/// the runtime of the caller.
///
/// # Errors
///
/// [`ServeError`] if the address cannot be bound or the thread cannot be
/// started.
pub async fn serve(
    listen: SocketAddr,
    identity: Identity,
    secrets: Secrets,
    handlers: Handlers,
) -> Result<Server, Report<ServeError>> {
    let options = ServeOptions::new(listen, identity).secrets(secrets);
    serve_with(options, handlers).await
}

/// Starts a server like [`serve`], with options.
///
/// # Errors
///
/// [`ServeError`] if the address cannot be bound or the thread cannot be
/// started.
pub async fn serve_with(
    options: ServeOptions,
    handlers: Handlers,
) -> Result<Server, Report<ServeError>> {
    let listen = options.listen;
    let listener = std::net::TcpListener::bind(listen)
        .change_context(ServeError)
        .attach_with(|| format!("listening on {listen}"))?;
    listener.set_nonblocking(true).change_context(ServeError)?;
    let address = listener.local_addr().change_context(ServeError)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(ServeError)?;
    let (stop, stopped) = oneshot::channel();
    let (ended, ended_receiver) = watch::channel(false);
    let undelivered = Arc::new(AtomicUsize::new(0));
    let shared = Shared {
        identity: options.identity,
        secrets: options.secrets,
        silence: Duration::from_millis(options.silence_ms),
        handlers,
        runtime: Handle::current(),
        undelivered: undelivered.clone(),
    };
    thread::Builder::new()
        .name("peers".to_owned())
        .spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                tokio::select! {
                    () = accept(listener, Rc::new(shared)) => {}
                    _ = stopped => {}
                }
            });
            drop(runtime);
            ended.send_replace(true);
        })
        .change_context(ServeError)?;
    Ok(Server {
        address,
        stop: Some(stop),
        ended: ended_receiver,
        undelivered,
    })
}

pub(crate) struct Shared {
    identity: Identity,
    secrets: Secrets,
    silence: Duration,
    pub(crate) handlers: Handlers,
    pub(crate) runtime: Handle,
    pub(crate) undelivered: Arc<AtomicUsize>,
}

async fn accept(listener: std::net::TcpListener, shared: Rc<Shared>) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(error:%; "cannot listen for other processes");
            return;
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_connection(stream, shared.clone()));
            }
            Err(error) => {
                // Most likely the process is out of file descriptors; some
                // are released as connections end.
                log::warn!(error:%; "cannot accept a connection");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, shared: Rc<Shared>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%; "cannot set TCP_NODELAY");
    }
    let peer = stream.peer_addr().ok();
    let (read, write) = stream.into_split();
    let network = Box::new(VatNetwork::new(
        BufReader::new(read.compat()),
        BufWriter::new(write.compat_write()),
        Side::Server,
        Default::default(),
    ));
    let last_ping = Rc::new(Cell::new(Instant::now()));
    let silence_ms = shared.silence.as_millis() as u64;
    let silence = wait_for_silence(last_ping.clone(), shared.silence);
    let node: schema::node::Client = new_client(Node {
        shared,
        last_ping,
        nonces: RefCell::default(),
        is_authenticated: Cell::new(false),
    });
    let rpc = RpcSystem::new(network, Some(node.client));
    let disconnect = rpc.get_disconnector();
    tokio::select! {
        ended = rpc => {
            if let Err(error) = ended {
                log::debug!(error:%; "a connection ended");
            }
        }
        () = silence => {
            // The peer lost power or a network device between the two lost
            // the state of the connection: nothing else would ever end the
            // peer's calls.
            log::warn!(peer:?, silence_ms;
                "a peer sends no heartbeats; its calls are cancelled");
            // Dropping the RPC system alone does not end the calls because
            // of a reference cycle: a running call holds the capability for
            // its response, which holds the connection state, which holds
            // the call. The first poll of the disconnector breaks the cycle;
            // waiting for it only lets a reachable peer see a clean close.
            let _ = timeout(CLOSE_TIMEOUT, disconnect).await;
        }
    }
}

/// Resolves when no heartbeat has arrived for as long as `limit`.
///
/// Checks without a heartbeat are counted, so that a pause of this process
/// counts as one of them only.
async fn wait_for_silence(last_ping: Rc<Cell<Instant>>, limit: Duration) {
    let mut seen = last_ping.get();
    let mut silent_checks = 0;
    while silent_checks < SILENCE_CHECKS {
        tokio::time::sleep(limit / SILENCE_CHECKS).await;
        silent_checks = match last_ping.get() == seen {
            true => silent_checks + 1,
            false => 0,
        };
        seen = last_ping.get();
    }
}

#[derive(Default)]
struct Nonces {
    peer: Vec<u8>,
    own: Vec<u8>,
}

struct Node {
    shared: Rc<Shared>,
    last_ping: Rc<Cell<Instant>>,
    nonces: RefCell<Nonces>,
    is_authenticated: Cell<bool>,
}

impl Node {
    /// Returns the shared state if the peer is authenticated.
    ///
    /// A capability is returned only after the peer has proved that it knows
    /// the shared secret: otherwise any client that reaches the port could
    /// send this process work, results or a configuration.
    fn authenticated(&self) -> Result<Rc<Shared>, Error> {
        if !self.is_authenticated.get() {
            return Err(Error::failed("not authenticated".to_owned()));
        }
        Ok(self.shared.clone())
    }
}

impl schema::node::Server for Node {
    async fn hello(
        self: Rc<Self>,
        params: schema::node::HelloParams,
        mut results: schema::node::HelloResults,
    ) -> Result<(), Error> {
        let hello = params.get()?.get_hello()?;
        if hello.get_protocol() < MIN_PROTOCOL_VERSION {
            return Err(Error::failed(format!(
                "protocol {} is too old, the oldest is {MIN_PROTOCOL_VERSION}",
                hello.get_protocol()
            )));
        }
        let peer = hello.get_nonce()?.to_vec();
        let own = rand::random::<[u8; 32]>().to_vec();
        let secrets = &self.shared.secrets;
        let proof = secrets.sign(&[SERVER_PROOF, &peer, &own]);
        let identity = &self.shared.identity;
        let mut reply = results.get().init_hello();
        reply.set_protocol(PROTOCOL_VERSION);
        reply.set_role(&identity.role);
        reply.set_vm(identity.vm.as_str());
        reply.set_incarnation(identity.incarnation.get());
        reply.set_failure_domain(identity.failure_domain.as_str());
        reply.set_nonce(&own);
        reply.set_proof(&proof);
        self.is_authenticated.set(false);
        self.nonces.replace(Nonces { peer, own });
        Ok(())
    }

    async fn prove(
        self: Rc<Self>,
        params: schema::node::ProveParams,
        _: schema::node::ProveResults,
    ) -> Result<(), Error> {
        // Taking the nonces makes them valid for a single proof.
        let nonces = self.nonces.take();
        if nonces.own.is_empty() {
            return Err(Error::failed("no hello before the proof".to_owned()));
        }
        let parts = [CLIENT_PROOF, &nonces.peer, &nonces.own];
        let proof = params.get()?.get_proof()?;
        if !self.shared.secrets.accepts(&parts, proof) {
            return Err(Error::failed(
                "the peer does not know the shared secret".to_owned(),
            ));
        }
        self.is_authenticated.set(true);
        Ok(())
    }

    async fn ping(
        self: Rc<Self>,
        _: schema::node::PingParams,
        _: schema::node::PingResults,
    ) -> Result<(), Error> {
        self.last_ping.set(Instant::now());
        Ok(())
    }

    async fn companion(
        self: Rc<Self>,
        _: schema::node::CompanionParams,
        mut results: schema::node::CompanionResults,
    ) -> Result<(), Error> {
        let host = Host {
            shared: self.authenticated()?,
        };
        results.get().set_companion(new_client(host));
        Ok(())
    }

    async fn entry(
        self: Rc<Self>,
        _: schema::node::EntryParams,
        mut results: schema::node::EntryResults,
    ) -> Result<(), Error> {
        let host = Host {
            shared: self.authenticated()?,
        };
        results.get().set_entry(new_client(host));
        Ok(())
    }

    async fn storage(
        self: Rc<Self>,
        _: schema::node::StorageParams,
        mut results: schema::node::StorageResults,
    ) -> Result<(), Error> {
        let host = Host {
            shared: self.authenticated()?,
        };
        results.get().set_storage(new_client(host));
        Ok(())
    }
}
