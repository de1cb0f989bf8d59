use std::{
    cell::{Cell, RefCell},
    fmt,
    future::Future,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    thread,
    time::Duration,
};

use base::{Incarnation, Revision, VmId};
use bytes::Bytes;
use capnp::Error;
use capnp_rpc::{
    RpcSystem, new_client, rpc_twoparty_capnp::Side, twoparty::VatNetwork,
};
use error_stack::{Report, ResultExt};
use futures::{
    future::BoxFuture,
    io::{BufReader, BufWriter},
    stream::{FuturesOrdered, StreamExt},
};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime::Handle,
    sync::{mpsc, oneshot, watch},
    task::{LocalSet, spawn_local},
    time::Instant,
};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::{
    PROTOCOL_OLDEST, PROTOCOL_VERSION, Secrets, convert,
    message::{
        ConfigText, Frame, Identity, ItemResult, Load, Order, Outcome, Pull,
        PullReply, Refusal, RefusalKind, Request, StoreStat, StoredBlob,
    },
    peer::{CLIENT_PROOF, SERVER_PROOF},
    schema_capnp as schema,
};

/// Frames on their way that the other side has not confirmed yet.
const FRAMES_IN_FLIGHT_MAX: usize = 16;

/// Frames that wait between a handler and the connection.
const FRAMES_QUEUED_MAX: usize = 64;

/// Silence of a peer, which pings each second, after which its connection
/// is closed and its calls are cancelled.
const PEER_SILENCE: Duration = Duration::from_secs(6);

/// Pause between looks at the silence.
const SILENCE_CHECK: Duration = Duration::from_secs(1);

/// Says that the process cannot answer other processes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServeError;

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("cannot listen for other processes")
    }
}

impl std::error::Error for ServeError {}

/// Says that nobody wants the rest of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerClosed;

impl fmt::Display for AnswerClosed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the caller no longer wants the answer")
    }
}

impl std::error::Error for AnswerClosed {}

/// Takes the frames of an answer on the companion's side.
#[derive(Clone, Debug)]
pub struct Answer {
    frames: mpsc::Sender<Frame>,
}

impl Answer {
    /// Makes an answer without a connection, for tests of handlers.
    pub fn channel() -> (Self, mpsc::Receiver<Frame>) {
        let (frames, receiver) = mpsc::channel(FRAMES_QUEUED_MAX);
        (Self { frames }, receiver)
    }

    /// Sends a frame; waits while the caller is slow to take it.
    ///
    /// # Errors
    ///
    /// [`AnswerClosed`] once the caller has cancelled the call or its
    /// connection is lost.
    pub async fn send(&self, frame: Frame) -> Result<(), AnswerClosed> {
        self.frames.send(frame).await.map_err(|_| AnswerClosed)
    }

    /// Resolves once nobody wants the answer any more.
    pub async fn closed(&self) {
        self.frames.closed().await;
    }
}

/// The answer of a process to a question for its configuration.
pub type ConfigReply = Option<ConfigText>;

/// What a companion does for other processes.
pub trait CompanionHandler: Send + Sync + 'static {
    /// Takes a call or refuses it. Once taken, the handler sends the frames
    /// by itself and stops when the answer closes.
    fn run(
        &self,
        request: Request,
        answer: Answer,
    ) -> BoxFuture<'static, Result<(), Refusal>>;

    /// Returns the load of the endpoint.
    fn load(&self) -> Load;

    /// Passes on an order if its fencing number is not stale.
    fn order(&self, order: Order) -> BoxFuture<'static, Result<(), Refusal>>;
}

/// What an entry does for other processes.
pub trait EntryHandler: Send + Sync + 'static {
    /// Grants batch items.
    fn pull(&self, pull: Pull) -> BoxFuture<'static, PullReply>;

    /// Takes results and returns how many were of use.
    fn results(&self, results: Vec<ItemResult>) -> BoxFuture<'static, u32>;

    /// Notes that an endpoint takes no new work.
    fn leaving(&self, vm: VmId, incarnation: Incarnation);

    /// Returns the configuration in force if it is newer than `have`.
    fn config(&self, have: Revision) -> ConfigReply;
}

/// What a data VM does for other processes.
pub trait DataHandler: Send + Sync + 'static {
    /// Stores a blob durably.
    fn put(
        &self,
        id: String,
        blob: StoredBlob,
    ) -> BoxFuture<'static, Result<(), Refusal>>;

    /// Reads a blob.
    fn get(
        &self,
        id: String,
    ) -> BoxFuture<'static, Result<Option<StoredBlob>, Refusal>>;

    /// Removes a blob.
    fn remove(&self, id: String) -> BoxFuture<'static, ()>;

    /// Returns how much is stored.
    fn stat(&self) -> BoxFuture<'static, StoreStat>;

    /// Lists ids in order.
    fn list(
        &self,
        after: String,
        limit: u32,
    ) -> BoxFuture<'static, Vec<String>>;
}

/// The roles that a process has.
#[derive(Clone, Default)]
pub struct Handlers {
    /// The companion role.
    pub companion: Option<Arc<dyn CompanionHandler>>,
    /// The entry role.
    pub entry: Option<Arc<dyn EntryHandler>>,
    /// The data role.
    pub data: Option<Arc<dyn DataHandler>>,
}

/// Answers other processes until it is stopped or dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    ended: watch::Receiver<bool>,
}

impl Server {
    /// Returns the address that it listens on.
    #[inline]
    pub fn address(&self) -> SocketAddr {
        self.address
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
    let shared = Shared {
        identity,
        secrets,
        handlers,
        workers: Handle::current(),
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
    })
}

struct Shared {
    identity: Identity,
    secrets: Secrets,
    handlers: Handlers,
    workers: Handle,
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
    let node: schema::node::Client = new_client(Node {
        shared,
        heard: heard.clone(),
        nonces: RefCell::default(),
        proved: Cell::new(false),
    });
    let rpc = RpcSystem::new(network, Some(node.client));
    tokio::select! {
        ended = rpc => {
            if let Err(error) = ended {
                log::debug!(error:%; "a connection ended");
            }
        }
        () = silence(heard) => {
            // The other end lost power or a device between lost track of
            // the connection: nothing would ever end its calls.
            log::warn!("a peer went silent; closing its connection");
        }
    }
}

async fn silence(heard: Rc<Cell<Instant>>) {
    while heard.get().elapsed() < PEER_SILENCE {
        tokio::time::sleep(SILENCE_CHECK).await;
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

struct Host {
    shared: Rc<Shared>,
}

impl Host {
    /// Runs a handler on the threads of the process, so that the thread of
    /// the connections stays free.
    async fn work<T: Send + 'static>(
        &self,
        work: impl Future<Output = T> + Send + 'static,
    ) -> Result<T, Error> {
        self.shared
            .workers
            .spawn(work)
            .await
            .map_err(|error| Error::failed(format!("handler: {error}")))
    }

    fn companion(&self) -> Result<Arc<dyn CompanionHandler>, Refusal> {
        self.shared
            .handlers
            .companion
            .clone()
            .ok_or_else(wrong_role)
    }

    fn entry(&self) -> Result<Arc<dyn EntryHandler>, Error> {
        let handler = self.shared.handlers.entry.clone();
        handler.ok_or_else(|| unimplemented("an entry"))
    }

    fn data(&self) -> Result<Arc<dyn DataHandler>, Error> {
        let handler = self.shared.handlers.data.clone();
        handler.ok_or_else(|| unimplemented("a data VM"))
    }
}

fn wrong_role() -> Refusal {
    Refusal::new(RefusalKind::WrongRole, "this process has another role")
}

fn unimplemented(role: &str) -> Error {
    Error::unimplemented(format!("this process is not {role}"))
}

impl schema::companion::Server for Host {
    async fn run(
        self: Rc<Self>,
        params: schema::companion::RunParams,
        mut results: schema::companion::RunResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let request = convert::read_request(params.get_request()?)?;
        let sink = params.get_sink()?;
        let id = (request.request_id.clone(), request.attempt);
        let (answer, frames) = Answer::channel();
        let taken = match self.companion() {
            Ok(handler) => {
                let load = handler.load();
                let taken = self.work(handler.run(request, answer)).await?;
                convert::write_load(load, results.get().init_load());
                taken
            }
            Err(refusal) => Err(refusal),
        };
        if let Err(refusal) = taken {
            let slot = results.get().init_refusal();
            convert::write_refusal(&refusal, slot);
            return Ok(());
        }
        let (held, released) = oneshot::channel();
        spawn_local(pump(id.0.to_string(), id.1, sink, frames, released));
        let mut reply = results.get();
        reply.set_accepted(true);
        reply.set_call(new_client(HeldCall { _held: held }));
        Ok(())
    }

    async fn load(
        self: Rc<Self>,
        _: schema::companion::LoadParams,
        mut results: schema::companion::LoadResults,
    ) -> Result<(), Error> {
        let handler = self.companion().map_err(|r| Error::failed(r.detail))?;
        convert::write_load(handler.load(), results.get().init_load());
        Ok(())
    }

    async fn order(
        self: Rc<Self>,
        params: schema::companion::OrderParams,
        mut results: schema::companion::OrderResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let order = Order {
            fence: params.get_fence(),
            kind: convert::string(params.get_kind())?,
            body: Bytes::copy_from_slice(params.get_body()?),
        };
        let obeyed = match self.companion() {
            Ok(handler) => self.work(handler.order(order)).await?,
            Err(refusal) => Err(refusal),
        };
        let mut reply = results.get();
        reply.set_accepted(obeyed.is_ok());
        if let Err(refusal) = obeyed {
            convert::write_refusal(&refusal, reply.init_refusal());
        }
        Ok(())
    }
}

/// Held by the caller through a capability; its release cancels the call.
struct HeldCall {
    _held: oneshot::Sender<()>,
}

impl schema::call::Server for HeldCall {}

/// Sends the frames of one answer, a few at a time without waiting for each
/// confirmation. Returning drops the receiver, which tells the handler.
async fn pump(
    id: String,
    attempt: u32,
    sink: schema::sink::Client,
    mut frames: mpsc::Receiver<Frame>,
    mut released: oneshot::Receiver<()>,
) {
    let mut in_flight = FuturesOrdered::new();
    let mut open = true;
    while open || !in_flight.is_empty() {
        let room = open && in_flight.len() < FRAMES_IN_FLIGHT_MAX;
        tokio::select! {
            biased;
            _ = &mut released => return,
            Some(sent) = in_flight.next(), if !in_flight.is_empty() => {
                let sent: Result<(), Error> = sent;
                if sent.is_err() {
                    return;
                }
            }
            frame = frames.recv(), if room => match frame {
                Some(frame) => {
                    in_flight.push_back(send(&sink, &id, attempt, frame));
                }
                None => open = false,
            },
        }
    }
}

/// Starts the send at once; the future only waits for the confirmation.
fn send(
    sink: &schema::sink::Client,
    id: &str,
    attempt: u32,
    frame: Frame,
) -> impl Future<Output = Result<(), Error>> + 'static + use<> {
    let sent = match frame {
        Frame::Head { status, headers } => {
            let mut call = sink.head_request();
            let mut params = call.get();
            params.set_request_id(id);
            params.set_attempt(attempt);
            params.set_status(status);
            let slots = params.init_headers(headers.len() as u32);
            convert::write_headers(&headers, slots);
            Sent::Head(call.send().promise)
        }
        Frame::Chunk { seq, bytes } => {
            let mut call = sink.chunk_request();
            call.get().set_seq(seq);
            call.get().set_bytes(&bytes);
            Sent::Chunk(call.send().promise)
        }
        Frame::End(outcome) => Sent::End(send_end(sink, &outcome)),
    };
    sent.confirmed()
}

type EndPromise = capnp::capability::Promise<
    capnp::capability::Response<schema::sink::end_results::Owned>,
    Error,
>;

fn send_end(sink: &schema::sink::Client, outcome: &Outcome) -> EndPromise {
    let mut call = sink.end_request();
    convert::write_outcome(outcome, call.get().init_outcome());
    call.send().promise
}

enum Sent {
    Head(
        capnp::capability::Promise<
            capnp::capability::Response<schema::sink::head_results::Owned>,
            Error,
        >,
    ),
    Chunk(
        capnp::capability::Promise<
            capnp::capability::Response<schema::sink::chunk_results::Owned>,
            Error,
        >,
    ),
    End(EndPromise),
}

impl Sent {
    async fn confirmed(self) -> Result<(), Error> {
        match self {
            Sent::Head(promise) => promise.await.map(|_| ()),
            Sent::Chunk(promise) => promise.await.map(|_| ()),
            Sent::End(promise) => promise.await.map(|_| ()),
        }
    }
}

impl schema::entry::Server for Host {
    async fn pull(
        self: Rc<Self>,
        params: schema::entry::PullParams,
        mut results: schema::entry::PullResults,
    ) -> Result<(), Error> {
        let pull = convert::read_pull(params.get()?.get_pull()?)?;
        let reply = self.work(self.entry()?.pull(pull)).await?;
        convert::write_pull_reply(&reply, results.get().init_reply());
        Ok(())
    }

    async fn results(
        self: Rc<Self>,
        params: schema::entry::ResultsParams,
        mut results: schema::entry::ResultsResults,
    ) -> Result<(), Error> {
        let list = params.get()?.get_results()?;
        convert::bounded(list.len())?;
        let items: Vec<ItemResult> = list
            .iter()
            .map(convert::read_result)
            .collect::<Result<_, _>>()?;
        let taken = self.work(self.entry()?.results(items)).await?;
        results.get().set_taken(taken);
        Ok(())
    }

    async fn leaving(
        self: Rc<Self>,
        params: schema::entry::LeavingParams,
        _: schema::entry::LeavingResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let vm = convert::name(params.get_vm())?;
        let incarnation = Incarnation::new(params.get_incarnation());
        self.entry()?.leaving(vm, incarnation);
        Ok(())
    }

    async fn config(
        self: Rc<Self>,
        params: schema::entry::ConfigParams,
        mut results: schema::entry::ConfigResults,
    ) -> Result<(), Error> {
        let have = Revision::new(params.get()?.get_have());
        if let Some(text) = self.entry()?.config(have) {
            let mut reply = results.get();
            reply.set_revision(text.revision.get());
            reply.set_bytes(&text.bytes);
        }
        Ok(())
    }
}

impl schema::storage::Server for Host {
    async fn put(
        self: Rc<Self>,
        params: schema::storage::PutParams,
        mut results: schema::storage::PutResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let id = convert::string(params.get_id())?;
        let blob = StoredBlob {
            bytes: Bytes::copy_from_slice(params.get_bytes()?),
            crc: params.get_crc(),
        };
        let stored = self.work(self.data()?.put(id, blob)).await?;
        let mut reply = results.get();
        reply.set_stored(stored.is_ok());
        if let Err(refusal) = stored {
            convert::write_refusal(&refusal, reply.init_refusal());
        }
        Ok(())
    }

    async fn get(
        self: Rc<Self>,
        params: schema::storage::GetParams,
        mut results: schema::storage::GetResults,
    ) -> Result<(), Error> {
        let id = convert::string(params.get()?.get_id())?;
        let found = self.work(self.data()?.get(id)).await?;
        let mut reply = results.get();
        match found {
            Ok(None) => {}
            Ok(Some(blob)) => {
                reply.set_found(true);
                reply.set_bytes(&blob.bytes);
                reply.set_crc(blob.crc);
            }
            Err(refusal) => {
                convert::write_refusal(&refusal, reply.init_refusal());
            }
        }
        Ok(())
    }

    async fn remove(
        self: Rc<Self>,
        params: schema::storage::RemoveParams,
        _: schema::storage::RemoveResults,
    ) -> Result<(), Error> {
        let id = convert::string(params.get()?.get_id())?;
        self.work(self.data()?.remove(id)).await
    }

    async fn stat(
        self: Rc<Self>,
        _: schema::storage::StatParams,
        mut results: schema::storage::StatResults,
    ) -> Result<(), Error> {
        let stat = self.work(self.data()?.stat()).await?;
        let mut reply = results.get();
        reply.set_blobs(stat.blobs);
        reply.set_bytes(stat.bytes);
        reply.set_quota_bytes(stat.quota_bytes);
        Ok(())
    }

    async fn list(
        self: Rc<Self>,
        params: schema::storage::ListParams,
        mut results: schema::storage::ListResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let after = convert::string(params.get_after())?;
        let limit = convert::bounded(params.get_limit())?;
        let ids = self.work(self.data()?.list(after, limit)).await?;
        let mut list = results.get().init_ids(ids.len() as u32);
        for (at, id) in ids.iter().enumerate() {
            list.set(at as u32, id);
        }
        Ok(())
    }
}
