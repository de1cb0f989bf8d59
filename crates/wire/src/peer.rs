//! One client connection to another process, on the client thread.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use base::RequestId;
use capnp::capability::Promise;
use capnp_rpc::{
    RpcSystem, new_client, rpc_twoparty_capnp::Side, twoparty::VatNetwork,
};
use error_stack::{Report, ResultExt};
use futures::io::{BufReader, BufWriter};
use tokio::{
    net::TcpStream,
    sync::{mpsc, watch},
    task::{AbortHandle, spawn_local},
    time::timeout,
};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::{
    MIN_PROTOCOL_VERSION, PROTOCOL_VERSION, convert,
    message::Frame,
    options::{LinkError, LinkOptions},
    schema_capnp as schema,
};

/// Domain separators of the proofs: a proof of one side is never valid as a
/// proof of the other side.
pub(crate) const CLIENT_PROOF: &[u8] = b"pomeloslip client 1";
pub(crate) const SERVER_PROOF: &[u8] = b"pomeloslip server 1";

/// Number of steps in which a silence is waited for.
pub(crate) const SILENCE_CHECKS: u32 = 6;

/// An authenticated connection with the capabilities that the peer returned.
pub(crate) struct Peer {
    pub(crate) node: schema::node::Client,
    pub(crate) companion: schema::companion::Client,
    pub(crate) entry: schema::entry::Client,
    pub(crate) storage: schema::storage::Client,
    address: SocketAddr,
    closed: watch::Sender<bool>,
    /// Whether a heartbeat is unanswered for so long that new calls use
    /// another connection.
    silent: watch::Sender<bool>,
    rpc: Cell<Option<AbortHandle>>,
}

impl Peer {
    /// Connects and authenticates.
    ///
    /// Any failure here is [`LinkError::NotSent`] because no call has been
    /// sent yet.
    pub(crate) async fn connect(
        address: SocketAddr,
        options: &LinkOptions,
    ) -> Result<Rc<Self>, Report<LinkError>> {
        let limit = Duration::from_millis(options.connect_timeout_ms);
        let opened = timeout(limit, Self::open(address, options)).await;
        opened
            .change_context(LinkError::NotSent)
            .attach_with(|| format!("timed out connecting to {address}"))?
    }

    async fn open(
        address: SocketAddr,
        options: &LinkOptions,
    ) -> Result<Rc<Self>, Report<LinkError>> {
        let stream = TcpStream::connect(address)
            .await
            .change_context(LinkError::NotSent)
            .attach_with(|| format!("connecting to {address}"))?;
        stream
            .set_nodelay(true)
            .change_context(LinkError::NotSent)?;
        let (read, write) = stream.into_split();
        let network = Box::new(VatNetwork::new(
            BufReader::new(read.compat()),
            BufWriter::new(write.compat_write()),
            Side::Client,
            Default::default(),
        ));
        let mut rpc = RpcSystem::new(network, None);
        let node: schema::node::Client = rpc.bootstrap(Side::Server);
        let (closed, _) = watch::channel(false);
        let ended = closed.clone();
        let task = spawn_local(async move {
            let result = rpc.await;
            if !ended.send_replace(true) {
                log::info!(address:%, result:?; "a link ended");
            }
        });
        let guard = AbortOnDrop(Some(task.abort_handle()));
        authenticate(&node, options)
            .await
            .change_context(LinkError::NotSent)
            .attach_with(|| format!("authenticating with {address}"))?;
        // Requested without waiting (promise pipelining): the capabilities
        // are usable immediately, and calls to a role that the peer does not
        // have are rejected.
        let companion = node.companion_request().send().pipeline;
        let entry = node.entry_request().send().pipeline;
        let storage = node.storage_request().send().pipeline;
        let peer = Rc::new(Self {
            companion: companion.get_companion(),
            entry: entry.get_entry(),
            storage: storage.get_storage(),
            node,
            address,
            closed,
            silent: watch::channel(false).0,
            rpc: Cell::new(guard.disarm()),
        });
        spawn_local(heartbeat(peer.clone(), options.clone()));
        Ok(peer)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    /// Reports whether the connection takes new calls.
    pub(crate) fn is_usable(&self) -> bool {
        !self.is_closed() && !*self.silent.borrow()
    }

    /// Returns a handle that reports whether the connection is silent.
    pub(crate) fn silence(&self) -> watch::Receiver<bool> {
        self.silent.subscribe()
    }

    /// Resolves once the connection is closed.
    pub(crate) async fn until_closed(&self) {
        let mut closed = self.closed.subscribe();
        // `self` owns the sender, so waiting cannot fail.
        let _ = closed.wait_for(|closed| *closed).await;
    }

    pub(crate) fn close(&self) {
        self.closed.send_replace(true);
        if let Some(rpc) = self.rpc.take() {
            rpc.abort();
        }
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.close();
    }
}

struct AbortOnDrop(Option<AbortHandle>);

impl AbortOnDrop {
    fn disarm(mut self) -> Option<AbortHandle> {
        self.0.take()
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task.abort();
        }
    }
}

async fn authenticate(
    node: &schema::node::Client,
    options: &LinkOptions,
) -> Result<(), capnp::Error> {
    let nonce: [u8; 32] = rand::random();
    let mut request = node.hello_request();
    let mut own_hello = request.get().init_hello();
    let identity = &options.identity;
    own_hello.set_protocol(PROTOCOL_VERSION);
    own_hello.set_role(&identity.role);
    own_hello.set_vm(identity.vm.as_str());
    own_hello.set_incarnation(identity.incarnation.get());
    own_hello.set_failure_domain(identity.failure_domain.as_str());
    own_hello.set_nonce(&nonce);
    let reply = request.send().promise.await?;
    let peer_hello = reply.get()?.get_hello()?;
    if peer_hello.get_protocol() < MIN_PROTOCOL_VERSION {
        return Err(capnp::Error::failed(format!(
            "the peer speaks protocol {}, the oldest known here is {}",
            peer_hello.get_protocol(),
            MIN_PROTOCOL_VERSION
        )));
    }
    let peer_nonce = peer_hello.get_nonce()?;
    let parts = [SERVER_PROOF, &nonce, peer_nonce];
    if !options.secrets.accepts(&parts, peer_hello.get_proof()?) {
        return Err(capnp::Error::failed(
            "the peer does not know the shared secret".to_owned(),
        ));
    }
    let parts = [CLIENT_PROOF, &nonce, peer_nonce];
    let proof = options.secrets.sign(&parts);
    let mut request = node.prove_request();
    request.get().set_proof(&proof);
    request.send().promise.await?;
    Ok(())
}

/// Sends periodic heartbeats, keeps new calls from the connection while one
/// is late and closes the connection when one is not answered in time.
///
/// A network device between the two ends can lose the state of an open
/// connection: it drops all packets of the connection without an error while
/// new connections work. Without heartbeats, calls on such a connection would
/// wait indefinitely. A sound peer may fall silent for a while as well, so new
/// calls avoid the connection long before the calls on it are given up.
async fn heartbeat(peer: Rc<Peer>, options: LinkOptions) {
    let interval = Duration::from_millis(options.heartbeat_ms);
    let avoid_after = options.avoid_after_ms.min(options.silence_ms);
    let until_closed = options.silence_ms - avoid_after;
    let weak = Rc::downgrade(&peer);
    drop(peer);
    loop {
        tokio::time::sleep(interval).await;
        let Some(peer) = weak.upgrade() else { return };
        if peer.is_closed() {
            return;
        }
        let mut ping = peer.node.ping_request().send().promise;
        let address = peer.address;
        // A promise must not be polled again after it has resolved.
        let mut answer = answered(&mut ping, avoid_after).await;
        if answer.is_none() {
            peer.silent.send_replace(true);
            log::info!(address:%, silent_ms = avoid_after;
                "a link is silent; new calls open another one");
            answer = answered(&mut ping, until_closed).await;
        }
        if answer != Some(true) {
            log::warn!(address:%, silence_ms = options.silence_ms;
                "a link does not answer heartbeats; its calls are given up");
            peer.close();
            return;
        }
        peer.silent.send_replace(false);
    }
}

/// Waits for a heartbeat; returns whether it succeeded, or `None` if it is not
/// answered in time.
///
/// The time is waited for in steps, so that the end of a pause of this process
/// counts as one step only.
async fn answered<P>(
    ping: &mut Promise<P, capnp::Error>,
    time_limit_ms: u64,
) -> Option<bool> {
    let step = Duration::from_millis(time_limit_ms) / SILENCE_CHECKS;
    for _ in 0..SILENCE_CHECKS {
        if let Ok(answer) = timeout(step, &mut *ping).await {
            return Some(answer.is_ok());
        }
    }
    None
}

/// Receives the frames of one response and forwards them to the reader.
pub(crate) struct FrameSink {
    request_id: RequestId,
    attempt: u32,
    frames: mpsc::Sender<Option<Frame>>,
}

impl FrameSink {
    pub(crate) fn client(
        request_id: RequestId,
        attempt: u32,
        frames: mpsc::Sender<Option<Frame>>,
    ) -> schema::sink::Client {
        new_client(Self {
            request_id,
            attempt,
            frames,
        })
    }

    async fn forward(&self, frame: Frame) -> Result<(), capnp::Error> {
        self.frames
            .send(Some(frame))
            .await
            .map_err(|_| capnp::Error::failed("the caller is gone".to_owned()))
    }
}

impl schema::sink::Server for FrameSink {
    async fn head(
        self: Rc<Self>,
        params: schema::sink::HeadParams,
        _: schema::sink::HeadResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let id: RequestId = convert::parse_name(params.get_request_id())?;
        // A late response of an earlier attempt must never reach another
        // call. The ids in the message identify such a response.
        if id != self.request_id || params.get_attempt() != self.attempt {
            return Err(capnp::Error::failed(
                "the answer belongs to another call".to_owned(),
            ));
        }
        let status = params.get_status();
        let headers = convert::read_headers(params.get_headers()?)?;
        self.forward(Frame::Head { status, headers }).await
    }

    async fn chunk(
        self: Rc<Self>,
        params: schema::sink::ChunkParams,
        _: schema::sink::ChunkResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let seq = params.get_seq();
        let bytes = bytes::Bytes::copy_from_slice(params.get_bytes()?);
        self.forward(Frame::Chunk { seq, bytes }).await
    }

    async fn end(
        self: Rc<Self>,
        params: schema::sink::EndParams,
        _: schema::sink::EndResults,
    ) -> Result<(), capnp::Error> {
        let outcome = convert::read_outcome(params.get()?.get_outcome()?)?;
        self.forward(Frame::End(outcome)).await
    }
}
