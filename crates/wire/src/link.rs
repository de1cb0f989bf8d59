use std::{
    cell::RefCell, collections::HashMap, future::Future, net::SocketAddr,
    rc::Rc, sync::Arc, thread, time::Duration,
};

use bytes::Bytes;
use capnp::capability::{Promise, Response};
use error_stack::{Report, ResultExt};
use futures::future::{FutureExt, LocalBoxFuture, Shared};
use tokio::{
    sync::{mpsc, oneshot},
    task::{LocalSet, spawn_local},
    time::timeout,
};

use crate::{
    convert,
    message::{
        Identity, ItemResult, Load, Order, Pull, PullReply, Refusal, Request,
        StoreStat, StoredBlob,
    },
    options::{LinkError, LinkOptions},
    peer::Peer,
    run::{RunReply, run},
    schema_capnp as schema,
};

type Connecting = Shared<LocalBoxFuture<'static, Result<Rc<Peer>, Rc<str>>>>;

/// The connections of the client thread, at most one for each address.
struct Pool {
    options: LinkOptions,
    peers: RefCell<HashMap<SocketAddr, Connecting>>,
}

impl Pool {
    async fn peer(
        &self,
        address: SocketAddr,
    ) -> Result<Rc<Peer>, Report<LinkError>> {
        let connecting = self.connecting(address);
        match connecting.clone().await {
            Ok(peer) if peer.is_usable() => Ok(peer),
            Ok(_) => {
                self.remove_stale(address, &connecting);
                self.connecting(address).await.map_err(not_sent)
            }
            Err(reason) => {
                self.remove_stale(address, &connecting);
                Err(not_sent(reason))
            }
        }
    }

    fn connecting(&self, address: SocketAddr) -> Connecting {
        let mut peers = self.peers.borrow_mut();
        let options = &self.options;
        peers
            .entry(address)
            .or_insert_with(|| {
                let options = options.clone();
                async move {
                    Peer::connect(address, &options)
                        .await
                        .map_err(|report| Rc::from(format!("{report:?}")))
                }
                .boxed_local()
                .shared()
            })
            .clone()
    }

    /// Removes a connection unless a newer one has replaced it.
    fn remove_stale(&self, address: SocketAddr, stale: &Connecting) {
        let mut peers = self.peers.borrow_mut();
        if peers
            .get(&address)
            .is_some_and(|current| current.ptr_eq(stale))
        {
            peers.remove(&address);
        }
    }
}

fn not_sent(reason: Rc<str>) -> Report<LinkError> {
    Report::new(LinkError::NotSent).attach(reason.to_string())
}

type Job = Box<dyn FnOnce(Rc<Pool>) -> LocalBoxFuture<'static, ()> + Send>;

/// Client for calls to other processes; clones share the connections.
///
/// Connections are opened on first use, kept open, monitored by heartbeats
/// and replaced when they break or stop responding.
#[derive(Clone)]
pub struct Links {
    jobs: mpsc::UnboundedSender<Job>,
    call_timeout: Duration,
    accept_timeout: Duration,
    identity: Arc<Identity>,
}

impl Links {
    /// Starts the client thread, which ends when the last clone is dropped.
    ///
    /// # Errors
    ///
    /// An I/O error if the runtime or the thread cannot be created.
    pub fn start(options: LinkOptions) -> std::io::Result<Self> {
        let (jobs, receiver) = mpsc::unbounded_channel();
        let call_timeout = Duration::from_millis(options.call_timeout_ms);
        let accept_timeout = Duration::from_millis(options.accept_timeout_ms);
        let identity = Arc::new(options.identity.clone());
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        thread::Builder::new()
            .name("links".to_owned())
            .spawn(move || {
                LocalSet::new()
                    .block_on(&runtime, run_jobs(options, receiver));
            })?;
        Ok(Self {
            jobs,
            call_timeout,
            accept_timeout,
            identity,
        })
    }

    /// Returns the identity that this process presents to its peers.
    #[inline]
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Sends a call to a companion and returns its response as a stream of
    /// frames.
    ///
    /// Dropping the future or the [`Run`](crate::Run) cancels the call at the
    /// endpoint.
    ///
    /// # Errors
    ///
    /// [`LinkError::NotSent`] if the companion certainly did not receive the
    /// call.
    pub async fn run(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> Result<RunReply, Report<LinkError>> {
        let limit = self.accept_timeout;
        let (caller, left) = oneshot::channel::<()>();
        let reply = self.submit(move |pool| async move {
            let accepted = async {
                let peer = pool.peer(address).await?;
                run(peer, request, limit).await
            };
            tokio::select! {
                reply = accepted => reply,
                _ = left => Err(Report::new(LinkError::Unknown)),
            }
        });
        let reply = reply.await;
        drop(caller);
        reply
    }

    /// Requests the load of a companion's endpoint.
    ///
    /// # Errors
    ///
    /// See [`LinkError`]; the call has no side effects.
    pub async fn load(
        &self,
        address: SocketAddr,
    ) -> Result<Load, Report<LinkError>> {
        self.call(
            address,
            |peer| peer.companion.load_request().send().promise,
            |reply: Response<schema::companion::load_results::Owned>| {
                Ok(convert::read_load(reply.get()?.get_load()?))
            },
        )
        .await
    }

    /// Sends an order to an endpoint through its companion.
    ///
    /// # Errors
    ///
    /// [`LinkError::Refused`] if the companion refused the order, for example
    /// because its fencing token is stale.
    pub async fn order(
        &self,
        address: SocketAddr,
        order: Order,
    ) -> Result<(), Report<LinkError>> {
        self.call(
            address,
            move |peer| {
                let mut call = peer.companion.order_request();
                let mut params = call.get();
                params.set_fence(order.fence);
                params.set_kind(&order.kind);
                params.set_body(&order.body);
                call.send().promise
            },
            |reply: Response<schema::companion::order_results::Owned>| {
                let reply = reply.get()?;
                Ok(match reply.get_accepted() {
                    true => Ok(()),
                    false => Err(convert::read_refusal(reply.get_refusal()?)?),
                })
            },
        )
        .await?
        .map_err(refused)
    }

    /// Requests grants of batch items from an entry.
    ///
    /// # Errors
    ///
    /// After [`LinkError::Unknown`] items may have been granted; they become
    /// available again when their grants expire.
    pub async fn pull(
        &self,
        address: SocketAddr,
        pull: Pull,
    ) -> Result<PullReply, Report<LinkError>> {
        self.call(
            address,
            move |peer| {
                let mut call = peer.entry.pull_request();
                convert::write_pull(&pull, call.get().init_pull());
                call.send().promise
            },
            |reply: Response<schema::entry::pull_results::Owned>| {
                convert::read_pull_reply(reply.get()?.get_reply()?)
            },
        )
        .await
    }

    /// Sends the results of items to an entry and returns how many the entry
    /// accepted.
    ///
    /// # Errors
    ///
    /// After [`LinkError::Unknown`] it is safe to send the results again.
    pub async fn results(
        &self,
        address: SocketAddr,
        results: Vec<ItemResult>,
    ) -> Result<u32, Report<LinkError>> {
        self.call(
            address,
            move |peer| {
                let mut call = peer.entry.results_request();
                let count = results.len() as u32;
                let mut list = call.get().init_results(count);
                for (index, result) in results.iter().enumerate() {
                    let slot = list.reborrow().get(index as u32);
                    convert::write_result(result, slot);
                }
                call.send().promise
            },
            |reply: Response<schema::entry::results_results::Owned>| {
                Ok(reply.get()?.get_taken())
            },
        )
        .await
    }

    /// Notifies an entry that the endpoint of this process is draining.
    ///
    /// # Errors
    ///
    /// See [`LinkError`]; the call is idempotent.
    pub async fn leaving(
        &self,
        address: SocketAddr,
        identity: Identity,
    ) -> Result<(), Report<LinkError>> {
        self.call(
            address,
            move |peer| {
                let mut call = peer.entry.leaving_request();
                let mut params = call.get();
                params.set_vm(identity.vm.as_str());
                params.set_incarnation(identity.incarnation.get());
                call.send().promise
            },
            |reply: Response<schema::entry::leaving_results::Owned>| {
                reply.get().map(|_| ())
            },
        )
        .await
    }

    /// Stores a blob on a data VM; the blob is on disk when this returns.
    ///
    /// # Errors
    ///
    /// [`LinkError::Refused`] if the data VM certainly did not store the blob.
    pub async fn put_blob(
        &self,
        address: SocketAddr,
        id: String,
        blob: StoredBlob,
    ) -> Result<(), Report<LinkError>> {
        self.call(
            address,
            move |peer| {
                let mut call = peer.storage.put_request();
                let mut params = call.get();
                params.set_id(&id);
                params.set_bytes(&blob.bytes);
                params.set_crc(blob.crc);
                call.send().promise
            },
            |reply: Response<schema::storage::put_results::Owned>| {
                let reply = reply.get()?;
                Ok(match reply.get_stored() {
                    true => Ok(()),
                    false => Err(convert::read_refusal(reply.get_refusal()?)?),
                })
            },
        )
        .await?
        .map_err(refused)
    }

    /// Reads a blob from a data VM; `None` if the blob does not exist there.
    ///
    /// # Errors
    ///
    /// [`LinkError::Refused`] with [`RefusalKind::Conflict`] if the stored
    /// copy is corrupted.
    ///
    /// [`RefusalKind::Conflict`]: crate::message::RefusalKind::Conflict
    pub async fn get_blob(
        &self,
        address: SocketAddr,
        id: String,
    ) -> Result<Option<StoredBlob>, Report<LinkError>> {
        self.call(
            address,
            move |peer| {
                let mut call = peer.storage.get_request();
                call.get().set_id(&id);
                call.send().promise
            },
            |reply: Response<schema::storage::get_results::Owned>| {
                let reply = reply.get()?;
                if reply.has_refusal() {
                    let refusal = reply.get_refusal()?;
                    return Ok(Err(convert::read_refusal(refusal)?));
                }
                if !reply.get_found() {
                    return Ok(Ok(None));
                }
                let bytes = Bytes::copy_from_slice(reply.get_bytes()?);
                let crc = reply.get_crc();
                Ok(Ok(Some(StoredBlob { bytes, crc })))
            },
        )
        .await?
        .map_err(refused)
    }

    /// Removes a blob from a data VM.
    ///
    /// # Errors
    ///
    /// See [`LinkError`]; the call is idempotent.
    pub async fn remove_blob(
        &self,
        address: SocketAddr,
        id: String,
    ) -> Result<(), Report<LinkError>> {
        self.call(
            address,
            move |peer| {
                let mut call = peer.storage.remove_request();
                call.get().set_id(&id);
                call.send().promise
            },
            |reply: Response<schema::storage::remove_results::Owned>| {
                reply.get().map(|_| ())
            },
        )
        .await
    }

    /// Returns the number and size of the blobs on a data VM.
    ///
    /// # Errors
    ///
    /// See [`LinkError`].
    pub async fn store_stat(
        &self,
        address: SocketAddr,
    ) -> Result<StoreStat, Report<LinkError>> {
        self.call(
            address,
            |peer| peer.storage.stat_request().send().promise,
            |reply: Response<schema::storage::stat_results::Owned>| {
                let reply = reply.get()?;
                Ok(StoreStat {
                    blobs: reply.get_blobs(),
                    bytes: reply.get_bytes(),
                    quota_bytes: reply.get_quota_bytes(),
                })
            },
        )
        .await
    }

    /// Lists at most `limit` ids of a data VM's blobs that follow `after`, in
    /// order.
    ///
    /// # Errors
    ///
    /// See [`LinkError`].
    pub async fn list_blobs(
        &self,
        address: SocketAddr,
        after: String,
        limit: u32,
    ) -> Result<Vec<String>, Report<LinkError>> {
        self.call(
            address,
            move |peer| {
                let mut call = peer.storage.list_request();
                let mut params = call.get();
                params.set_after(&after);
                params.set_limit(limit);
                call.send().promise
            },
            |reply: Response<schema::storage::list_results::Owned>| {
                let ids = reply.get()?.get_ids()?;
                convert::check_len(ids.len())?;
                ids.iter().map(convert::read_string).collect()
            },
        )
        .await
    }

    pub(crate) async fn call<P, R, T>(
        &self,
        address: SocketAddr,
        send: impl FnOnce(&Peer) -> Promise<P, capnp::Error> + Send + 'static,
        read: R,
    ) -> Result<T, Report<LinkError>>
    where
        P: 'static,
        R: FnOnce(P) -> capnp::Result<T> + Send + 'static,
        T: Send + 'static,
    {
        let limit = self.call_timeout;
        self.submit(move |pool| async move {
            let peer = pool.peer(address).await?;
            let promise = send(&peer);
            let reply = await_reply(&peer, limit, promise).await?;
            read(reply).map_err(call_error)
        })
        .await
    }

    async fn submit<T, F, Fut>(&self, job: F) -> Result<T, Report<LinkError>>
    where
        T: Send + 'static,
        F: FnOnce(Rc<Pool>) -> Fut + Send + 'static,
        Fut: Future<Output = Result<T, Report<LinkError>>> + 'static,
    {
        let (sender, receiver) = oneshot::channel();
        let job: Job = Box::new(move |pool| {
            async move {
                let result = job(pool).await;
                // The caller may have been dropped; then the result is unused.
                let _ = sender.send(result);
            }
            .boxed_local()
        });
        self.jobs
            .send(job)
            .ok()
            .ok_or_else(|| Report::new(LinkError::NotSent))?;
        receiver.await.change_context(LinkError::Unknown)?
    }
}

async fn run_jobs(
    options: LinkOptions,
    mut jobs: mpsc::UnboundedReceiver<Job>,
) {
    let pool = Rc::new(Pool {
        options,
        peers: RefCell::default(),
    });
    while let Some(job) = jobs.recv().await {
        spawn_local(job(pool.clone()));
    }
}

/// Waits for a reply until the timeout expires or the connection closes.
pub(crate) async fn await_reply<T>(
    peer: &Peer,
    time_limit: Duration,
    promise: Promise<T, capnp::Error>,
) -> Result<T, Report<LinkError>> {
    tokio::select! {
        biased;
        reply = timeout(time_limit, promise) => reply
            .change_context(LinkError::Unknown)
            .attach("timed out waiting for the reply")?
            .map_err(call_error),
        () = peer.until_closed() => {
            Err(Report::new(LinkError::Unknown).attach("connection lost"))
        }
    }
}

pub(crate) fn call_error(error: capnp::Error) -> Report<LinkError> {
    // A peer with an older version that does not implement the method has not
    // executed anything.
    let context = match error.kind {
        capnp::ErrorKind::Unimplemented => LinkError::NotSent,
        _ => LinkError::Unknown,
    };
    Report::new(error).change_context(context)
}

fn refused(refusal: Refusal) -> Report<LinkError> {
    Report::new(LinkError::Refused(refusal.kind)).attach(refusal.detail)
}
