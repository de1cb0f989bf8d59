use std::{
    io,
    sync::{Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use fleet::{Endpoint, IncarnationKey};
use http::{Request, response::Parts};
use http_body_util::Full;
use indexmap::IndexMap;
use tokio::task::AbortHandle;

use crate::{
    ChannelOptions,
    channel::{Channel, says_close},
    read_body,
};

/// Idle connections kept for one endpoint; more than a burst needs at once
/// from one node, and far under what an endpoint accepts.
const IDLE_MOST: usize = 32;

/// How a call of the node's own ended.
#[derive(Debug)]
pub enum Fetch {
    /// The whole answer.
    Answered(Parts, Bytes),
    /// The call surely did not arrive.
    NotSent,
    /// The call may have been done.
    Broken,
}

/// Connections to endpoints.
///
/// They are kept by the life of the endpoint, not by its address or id: an
/// address is used again by endpoints of other services, and an endpoint
/// may start again under its id.
#[derive(Debug, Default)]
pub struct Pool {
    options: ChannelOptions,
    lives: Mutex<IndexMap<IncarnationKey, Connections>>,
}

/// The connections to one life of an endpoint.
#[derive(Debug, Default)]
struct Connections {
    idle: Vec<Channel>,
    /// Ends any that is open, also in the middle of an answer.
    open: Vec<AbortHandle>,
}

impl Pool {
    /// Makes an empty pool.
    pub fn new(options: ChannelOptions) -> Self {
        Self {
            options,
            lives: Mutex::default(),
        }
    }

    /// Returns the bounds of its connections.
    #[inline]
    pub fn options(&self) -> &ChannelOptions {
        &self.options
    }

    /// Returns an idle connection, the one that was used last.
    pub(crate) fn take(&self, endpoint: &Endpoint) -> Option<Channel> {
        let mut lives = self.lock();
        let idle = &mut lives.get_mut(&endpoint.incarnation_key())?.idle;
        idle.retain(|channel| !channel.is_spent());
        let at = idle.iter().rposition(Channel::is_ready)?;
        Some(idle.remove(at))
    }

    /// Opens a connection.
    pub(crate) async fn open(
        &self,
        endpoint: &Endpoint,
    ) -> io::Result<Channel> {
        let address = endpoint.record().address;
        let channel = Channel::open(address, &self.options).await?;
        let mut lives = self.lock();
        let open =
            &mut lives.entry(endpoint.incarnation_key()).or_default().open;
        open.retain(|connection| !connection.is_finished());
        open.push(channel.abort_handle());
        Ok(channel)
    }

    /// Keeps a connection whose answer is whole.
    pub(crate) fn give_back(&self, endpoint: &Endpoint, mut channel: Channel) {
        channel.rest();
        let mut lives = self.lock();
        let idle =
            &mut lives.entry(endpoint.incarnation_key()).or_default().idle;
        if idle.len() < IDLE_MOST {
            idle.push(channel);
        }
    }

    /// Drops the idle connections to an endpoint, because one of them fell
    /// silent and its kin may have too.
    pub fn forget(&self, endpoint: &Endpoint) {
        if let Some(known) = self.lock().get_mut(&endpoint.incarnation_key()) {
            known.idle.clear();
        }
    }

    /// Ends all connections to a life that is over, also those with a
    /// request in flight.
    ///
    /// An endpoint that crashed behind a cut resets nothing: without this a
    /// request waits for an answer of a process that is gone until its time
    /// is up, while the endpoint that started in its place is idle.
    pub fn end(&self, life: IncarnationKey) {
        let Some(known) = self.lock().swap_remove(&life) else {
            return;
        };
        for connection in known.open {
            connection.abort();
        }
    }

    /// Asks an endpoint a question of the node's own and returns the body
    /// of a good answer.
    pub async fn fetch(
        &self,
        endpoint: &Endpoint,
        request: Request<Bytes>,
        most_bytes: usize,
    ) -> Option<Bytes> {
        match self.exchange(endpoint, request, most_bytes).await {
            Fetch::Answered(head, body) if head.status.is_success() => {
                Some(body)
            }
            _ => None,
        }
    }

    /// Makes a call that is answered in one piece.
    pub async fn exchange(
        &self,
        endpoint: &Endpoint,
        request: Request<Bytes>,
        most_bytes: usize,
    ) -> Fetch {
        let kept = self.take(endpoint);
        let channel = match kept {
            Some(channel) => Ok(channel),
            None => self.open(endpoint).await,
        };
        let Ok(mut channel) = channel else {
            return Fetch::NotSent;
        };
        let request = request.map(Full::new);
        let sent = channel.sender().try_send_request(request).await;
        let response = match sent {
            Ok(response) => response,
            Err(mut error) => {
                return match error.take_message() {
                    Some(_) => Fetch::NotSent,
                    None => Fetch::Broken,
                };
            }
        };
        let (head, body) = response.into_parts();
        channel.note_keep_alive(&head.headers, &self.options);
        let Ok(body) = read_body(body, most_bytes).await else {
            return Fetch::Broken;
        };
        if !says_close(&head.headers) {
            self.give_back(endpoint, channel);
        }
        Fetch::Answered(head, body)
    }

    /// Drops the idle connections to lives of which `keep` is false. Their
    /// requests in flight go on: an endpoint that has left the list ends
    /// what it runs.
    pub fn retain(&self, mut keep: impl FnMut(IncarnationKey) -> bool) {
        self.lock().retain(|life, _| keep(*life));
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<IncarnationKey, Connections>> {
        self.lives.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
