use std::{
    io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use bytes::Bytes;
use fleet::Endpoint;
use http::{Request, response::Parts};
use http_body_util::Full;
use indexmap::IndexMap;

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

/// Idle connections to endpoints.
///
/// They are kept by the id of the endpoint's life, not by its address: an
/// address is used again by endpoints of other services.
#[derive(Debug, Default)]
pub struct Pool {
    options: ChannelOptions,
    idle: Mutex<IndexMap<String, Vec<Channel>>>,
}

impl Pool {
    /// Makes an empty pool.
    pub fn new(options: ChannelOptions) -> Self {
        Self {
            options,
            idle: Mutex::default(),
        }
    }

    /// Returns the bounds of its connections.
    #[inline]
    pub fn options(&self) -> &ChannelOptions {
        &self.options
    }

    /// Returns an idle connection, the one that was used last.
    pub(crate) fn take(&self, endpoint: &str) -> Option<Channel> {
        let mut idle = self.lock();
        let channels = idle.get_mut(endpoint)?;
        channels.retain(|channel| !channel.is_spent());
        let at = channels.iter().rposition(Channel::is_ready)?;
        Some(channels.remove(at))
    }

    /// Opens a connection.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
    ) -> io::Result<Channel> {
        Channel::open(address, &self.options).await
    }

    /// Keeps a connection whose answer is whole.
    pub(crate) fn give_back(&self, endpoint: &str, mut channel: Channel) {
        channel.rest();
        let mut idle = self.lock();
        let channels = match idle.get_mut(endpoint) {
            Some(channels) => channels,
            None => idle.entry(endpoint.to_owned()).or_default(),
        };
        if channels.len() < IDLE_MOST {
            channels.push(channel);
        }
    }

    /// Drops the idle connections to an endpoint, because one of them fell
    /// silent and its kin may have too.
    pub fn forget(&self, endpoint: &str) {
        self.lock().swap_remove(endpoint);
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
        let record = endpoint.record();
        let kept = self.take(&record.id);
        let channel = match kept {
            Some(channel) => Ok(channel),
            None => self.open(record.address).await,
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
            self.give_back(&record.id, channel);
        }
        Fetch::Answered(head, body)
    }

    /// Keeps only the endpoints of which `keep` is true.
    pub fn retain(&self, mut keep: impl FnMut(&str) -> bool) {
        self.lock().retain(|endpoint, _| keep(endpoint));
    }

    fn lock(
        &self,
    ) -> std::sync::MutexGuard<'_, IndexMap<String, Vec<Channel>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
