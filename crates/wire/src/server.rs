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
    PROTOCOL_OLDEST, PROTOCOL_VERSION, Secrets,
    handler::Handlers,
    host::Host,
    message::Identity,
    options::ServeOptions,
    peer::{CLIENT_PROOF, SERVER_PROOF},
    schema_capnp as schema,
};

/// Looks at the silence of a peer in the time after which it is given up.
const SILENCE_CHECKS: u32 = 6;

/// Limit for closing a connection whose peer may not hear it any more.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Says that the process cannot answer other processes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServeError;

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("cannot listen for other processes")
    }
}

impl std::error::Error for ServeError {}

/// Answers other processes until it is stopped or dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    ended: watch::Receiver<bool>,
    answers: Arc<AtomicUsize>,
}

impl Server {
    /// Returns the address that it listens on.
    #[inline]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many answers of the companion role are not delivered yet.
    ///
    /// A handler that has sent its last frame is done, but the frames may
    /// still wait here for a slow caller. A planned stop waits for this to
    /// be 0; otherwise the ends of the last answers would be cut.
    #[inline]
    pub fn answers_open(&self) -> usize {
        self.answers.load(Ordering::Acquire)
    }

    /// Closes the listener and all connections and waits for the end.
    pub async fn stop(mut self) {
        self.stop.take();
        // An error means that the thread has ended, which is the aim.
        let _ = self.ended.wait_for(|ended| *ended).await;
    }
}

/// Listens for other processes on a thread of its own. Handlers run on the
/// calling runtime.
///
/// # Errors
///
/// [`ServeError`] if the address cannot be listened on.
pub async fn serve(
    listen: SocketAddr,
    identity: Identity,
    secrets: Secrets,
    handlers: Handlers,
) -> Result<Server, Report<ServeError>> {
    let options = ServeOptions::new(listen, identity).secrets(secrets);
    serve_with(options, handlers).await
}

/// Listens as [`serve`] does, with options.
///
/// # Errors
///
/// [`ServeError`] if the address cannot be listened on.
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
    let answers = Arc::new(AtomicUsize::new(0));
    let shared = Shared {
        identity: options.identity,
        secrets: options.secrets,
        silence: Duration::from_millis(options.silence_ms),
        handlers,
        workers: Handle::current(),
        answers: answers.clone(),
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
        answers,
    })
}

pub(crate) struct Shared {
    identity: Identity,
    secrets: Secrets,
    silence: Duration,
    pub(crate) handlers: Handlers,
    pub(crate) workers: Handle,
    pub(crate) answers: Arc<AtomicUsize>,
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
                spawn_local(converse(stream, shared.clone()));
            }
            Err(error) => {
                // Out of descriptors, most likely; some come back as
                // connections end.
                log::warn!(error:%; "cannot accept a connection");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn converse(stream: TcpStream, shared: Rc<Shared>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:%; "cannot set TCP_NODELAY");
    }
    let (read, write) = stream.into_split();
    let network = Box::new(VatNetwork::new(
        BufReader::new(read.compat()),
        BufWriter::new(write.compat_write()),
        Side::Server,
        Default::default(),
    ));
    let heard = Rc::new(Cell::new(Instant::now()));
    let silence = silence(heard.clone(), shared.silence);
    let node: schema::node::Client = new_client(Node {
        shared,
        heard,
        nonces: RefCell::default(),
        proved: Cell::new(false),
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
            // The other end lost power or a device between lost track of
            // the connection: nothing would ever end its calls.
            log::warn!("a peer went silent; closing its connection");
            // Dropping the system alone ends nothing: a running call keeps
            // the capability that its answer goes to, which keeps the state
            // of the connection, which keeps the call. The first poll breaks
            // this; what follows is only politeness to a deaf peer.
            let _ = timeout(CLOSE_TIMEOUT, disconnect).await;
        }
    }
}

async fn silence(heard: Rc<Cell<Instant>>, limit: Duration) {
    while heard.get().elapsed() < limit {
        tokio::time::sleep(limit / SILENCE_CHECKS).await;
    }
}

#[derive(Default)]
struct Nonces {
    theirs: Vec<u8>,
    ours: Vec<u8>,
}

struct Node {
    shared: Rc<Shared>,
    heard: Rc<Cell<Instant>>,
    nonces: RefCell<Nonces>,
    proved: Cell<bool>,
}

impl Node {
    /// Gives out a capability only after the peer has proved that it knows
    /// the shared secret: otherwise anybody who reaches the port could feed
    /// this process work, results or a configuration.
    fn gate(&self) -> Result<Rc<Shared>, Error> {
        if !self.proved.get() {
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
        if hello.get_protocol() < PROTOCOL_OLDEST {
            return Err(Error::failed(format!(
                "protocol {} is too old, the oldest is {PROTOCOL_OLDEST}",
                hello.get_protocol()
            )));
        }
        let theirs = hello.get_nonce()?.to_vec();
        let ours = rand::random::<[u8; 32]>().to_vec();
        let secrets = &self.shared.secrets;
        let proof = secrets.sign(&[SERVER_PROOF, &theirs, &ours]);
        let me = &self.shared.identity;
        let mut reply = results.get().init_hello();
        reply.set_protocol(PROTOCOL_VERSION);
        reply.set_role(&me.role);
        reply.set_vm(me.vm.as_str());
        reply.set_incarnation(me.incarnation.get());
        reply.set_failure_domain(me.failure_domain.as_str());
        reply.set_nonce(&ours);
        reply.set_proof(&proof);
        self.proved.set(false);
        self.nonces.replace(Nonces { theirs, ours });
        Ok(())
    }

    async fn prove(
        self: Rc<Self>,
        params: schema::node::ProveParams,
        _: schema::node::ProveResults,
    ) -> Result<(), Error> {
        // Taken, so that a nonce is good for one proof only.
        let nonces = self.nonces.take();
        if nonces.ours.is_empty() {
            return Err(Error::failed("no hello before the proof".to_owned()));
        }
        let parts = [CLIENT_PROOF, &nonces.theirs, &nonces.ours];
        let proof = params.get()?.get_proof()?;
        if !self.shared.secrets.accepts(&parts, proof) {
            return Err(Error::failed(
                "the peer does not know the shared secret".to_owned(),
            ));
        }
        self.proved.set(true);
        Ok(())
    }

    async fn ping(
        self: Rc<Self>,
        _: schema::node::PingParams,
        _: schema::node::PingResults,
    ) -> Result<(), Error> {
        self.heard.set(Instant::now());
        Ok(())
    }

    async fn companion(
        self: Rc<Self>,
        _: schema::node::CompanionParams,
        mut results: schema::node::CompanionResults,
    ) -> Result<(), Error> {
        let host = Host {
            shared: self.gate()?,
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
            shared: self.gate()?,
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
            shared: self.gate()?,
        };
        results.get().set_storage(new_client(host));
        Ok(())
    }
}
