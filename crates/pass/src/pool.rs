use std::{
    io,
    sync::{Mutex, MutexGuard, PoisonError},
};

use budget::MemoryBudget;
use bytes::Bytes;
use fleet::{Endpoint, IncarnationKey};
use framing::{BodyCheck, Content, Framing, Truncation};
use http::{HeaderName, Request, response::Parts};
use http_body::Body;
use http_body_util::Full;
use indexmap::IndexMap;
use tokio::task::AbortHandle;

use crate::{
    ChannelOptions,
    channel::{Channel, closes_connection},
    read_response::read_response,
};

/// Maximum number of idle connections to one endpoint: more than one node
/// needs in a burst, and far fewer than an endpoint accepts.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// The outcome of a call that the node makes on its own behalf.
#[derive(Debug)]
pub enum CallOutcome {
    /// A complete response arrived.
    Answered(Parts, Bytes),
    /// The request is known not to have arrived.
    NotSent,
    /// The request may have been executed.
    Broken,
}

/// How a response whose end is that of its connection counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Unmarked {
    Broken,
    /// By its content.
    Checked,
}

/// Decides whether a body that ended in order is complete.
fn check_end(
    head: &Parts,
    body: &Bytes,
    framing: Framing,
    unmarked: Unmarked,
) -> Result<(), &'static str> {
    if framing == Framing::UntilClose && unmarked == Unmarked::Broken {
        return Err("its end is not marked");
    }
    let mut check = BodyCheck::new(framing, Content::of(&head.headers));
    check.push(body);
    check.finish().map_err(Truncation::as_str)
}

/// A pool of connections to endpoints.
///
/// Connections are keyed by the incarnation of the endpoint, not by its
/// address or id: endpoints of other services may reuse an address, and an
/// endpoint may restart under the same id.
#[derive(Debug, Default)]
pub struct Pool {
    options: ChannelOptions,
    /// Header that contains the id of a request and of its response.
    request_id: Option<HeaderName>,
    /// The memory for responses to calls, if it is bounded.
    memory: Option<MemoryBudget>,
    incarnations: Mutex<IndexMap<IncarnationKey, Connections>>,
}

/// The connections to one incarnation of an endpoint.
#[derive(Debug, Default)]
struct Connections {
    idle: Vec<Channel>,
    /// Handles that close any open connection, even during a response.
    open: Vec<AbortHandle>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(options: ChannelOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Sets the header by which endpoints name the request that a response
    /// belongs to.
    #[must_use]
    pub fn with_request_id(mut self, name: HeaderName) -> Self {
        self.request_id = Some(name);
        self
    }

    /// Bounds the memory of the responses to calls of this node together. The
    /// memory of a response is free again when its bytes are dropped.
    ///
    /// # Example
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use base::SystemClock;
    /// use budget::{MemoryBudget, MemoryOptions};
    /// use pomeloslip_pass::Pool;
    ///
    /// let clock = Arc::new(SystemClock::new());
    /// let memory = MemoryBudget::new(MemoryOptions::new(1_000_000), clock);
    /// let pool = Pool::default().with_memory(memory.clone());
    /// assert_eq!(memory.used_bytes(), 0);
    /// # drop(pool);
    /// ```
    #[must_use]
    pub fn with_memory(mut self, memory: MemoryBudget) -> Self {
        self.memory = Some(memory);
        self
    }

    /// Returns the limits of the connections.
    #[inline]
    pub fn options(&self) -> &ChannelOptions {
        &self.options
    }

    /// Takes the most recently used idle connection on which the response to
    /// a request can be identified.
    pub(crate) fn take_for(
        &self,
        endpoint: &Endpoint,
        request_id: &str,
    ) -> Option<Channel> {
        self.take_if(endpoint, |channel| channel.can_identify(request_id))
    }

    /// Takes the most recently used idle connection that is suitable.
    fn take_if(
        &self,
        endpoint: &Endpoint,
        is_suitable: impl Fn(&Channel) -> bool,
    ) -> Option<Channel> {
        let mut incarnations = self.lock();
        let idle =
            &mut incarnations.get_mut(&endpoint.incarnation_key())?.idle;
        idle.retain(|channel| !channel.is_expired());
        let at = idle
            .iter()
            .rposition(|channel| channel.is_ready() && is_suitable(channel))?;
        Some(idle.remove(at))
    }

    /// Opens a connection.
    pub(crate) async fn open(
        &self,
        endpoint: &Endpoint,
    ) -> io::Result<Channel> {
        let address = endpoint.record().address;
        let channel = Channel::open(address, &self.options).await?;
        let mut incarnations = self.lock();
        let open = &mut incarnations
            .entry(endpoint.incarnation_key())
            .or_default()
            .open;
        open.retain(|connection| !connection.is_finished());
        open.push(channel.abort_handle());
        Ok(channel)
    }

    /// Returns a connection to the pool after a complete response.
    pub(crate) fn release(&self, endpoint: &Endpoint, mut channel: Channel) {
        channel.mark_idle(&self.options);
        let mut incarnations = self.lock();
        let idle = &mut incarnations
            .entry(endpoint.incarnation_key())
            .or_default()
            .idle;
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(channel);
        }
    }

    /// Drops the idle connections to an endpoint after one of its connections
    /// fell silent, because the others may be dead too.
    pub fn clear_idle(&self, endpoint: &Endpoint) {
        if let Some(connections) =
            self.lock().get_mut(&endpoint.incarnation_key())
        {
            connections.idle.clear();
        }
    }

    /// Closes all connections to an incarnation that has ended, including
    /// those with a request in flight.
    ///
    /// An endpoint that crashes behind a network partition resets no
    /// connections. Without this call a request would wait until its deadline
    /// for a process that no longer exists, while the restarted endpoint is
    /// idle.
    pub fn close(&self, incarnation: IncarnationKey) {
        let Some(connections) = self.lock().swap_remove(&incarnation) else {
            return;
        };
        for connection in connections.open {
            connection.abort();
        }
    }

    /// Sends a request to another node and returns the body of a successful
    /// response.
    pub async fn fetch(
        &self,
        endpoint: &Endpoint,
        request: Request<Bytes>,
        max_bytes: usize,
    ) -> Option<Bytes> {
        match self.call(endpoint, request, max_bytes).await {
            CallOutcome::Answered(head, body) if head.status.is_success() => {
                Some(body)
            }
            _ => None,
        }
    }

    /// Sends a request to another node and reads the complete response.
    ///
    /// Nodes mark the end of their responses. A response without a mark is
    /// that of another server, or part of one, and counts as broken.
    pub async fn call(
        &self,
        endpoint: &Endpoint,
        request: Request<Bytes>,
        max_bytes: usize,
    ) -> CallOutcome {
        self.send(endpoint, request, max_bytes, Unmarked::Broken)
            .await
    }

    /// Sends a request to a server that may end a response with its
    /// connection, and reads the complete response.
    ///
    /// A response without a marked end is complete unless its content shows
    /// that it is not.
    pub async fn call_server(
        &self,
        endpoint: &Endpoint,
        request: Request<Bytes>,
        max_bytes: usize,
    ) -> CallOutcome {
        self.send(endpoint, request, max_bytes, Unmarked::Checked)
            .await
    }

    async fn send(
        &self,
        endpoint: &Endpoint,
        request: Request<Bytes>,
        max_bytes: usize,
        unmarked: Unmarked,
    ) -> CallOutcome {
        let kept = self.take_if(endpoint, |_| true);
        let channel = match kept {
            Some(channel) => Ok(channel),
            None => self.open(endpoint).await,
        };
        let Ok(mut channel) = channel else {
            return CallOutcome::NotSent;
        };
        let request = request.map(Full::new);
        channel.expect_head();
        let sent = channel.sender().try_send_request(request).await;
        let response = match sent {
            Ok(response) => response,
            Err(mut error) => {
                return match error.take_message() {
                    Some(_) => CallOutcome::NotSent,
                    None => CallOutcome::Broken,
                };
            }
        };
        let (head, body) = response.into_parts();
        if self.is_response_to_request(&head) {
            log::info!(
                peer:% = endpoint.record().address,
                status = head.status.as_u16();
                "the response to a call belongs to a request"
            );
            channel.abort();
            return CallOutcome::Broken;
        }
        channel.record_head(&head.headers, &self.options);
        let length = body.size_hint().exact();
        let framing = Framing::of(head.version, &head.headers, length);
        let memory = self.memory.as_ref();
        let body = match read_response(body, max_bytes, memory).await {
            Ok(body) => body,
            Err(error) => {
                log::info!(peer:% = endpoint.record().address, error:%;
                    "a response to a call is not read");
                channel.abort();
                return CallOutcome::Broken;
            }
        };
        if let Err(cause) = check_end(&head, &body, framing, unmarked) {
            log::info!(
                peer:% = endpoint.record().address,
                framing:%,
                bytes = body.len(),
                cause;
                "a response is incomplete"
            );
            return CallOutcome::Broken;
        }
        let is_open = framing != Framing::UntilClose;
        if is_open && !closes_connection(&head.headers) {
            self.release(endpoint, channel);
        }
        CallOutcome::Answered(head, body)
    }

    /// Reports whether a response to a call of this node is a late duplicate of
    /// the response to a request, which has the same connections and, unlike a
    /// call, an id.
    fn is_response_to_request(&self, head: &Parts) -> bool {
        let name = self.request_id.as_ref();
        name.is_some_and(|name| head.headers.contains_key(name))
    }

    /// Drops the idle connections to incarnations for which `keep` returns
    /// false. Their requests in flight continue: an endpoint that was removed
    /// from the list finishes the requests that it runs.
    pub fn retain(&self, mut keep: impl FnMut(IncarnationKey) -> bool) {
        self.lock().retain(|incarnation, _| keep(*incarnation));
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<IncarnationKey, Connections>> {
        self.incarnations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
