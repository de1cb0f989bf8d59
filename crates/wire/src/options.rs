use std::{fmt, net::SocketAddr};

use crate::{
    Secrets,
    message::{Identity, RefusalKind},
};

/// Error of a call to another process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkError {
    /// The peer certainly did not receive the call.
    NotSent,
    /// The call was sent and its response was lost; the call may have run.
    Unknown,
    /// The peer refused the call; the call had no effect.
    Refused(RefusalKind),
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::NotSent => f.write_str("the call was not sent"),
            LinkError::Unknown => f.write_str("the answer is lost"),
            LinkError::Refused(kind) => write!(f, "refused: {kind:?}"),
        }
    }
}

impl std::error::Error for LinkError {}

/// Options of the client of a process.
#[derive(Clone, Debug)]
pub struct LinkOptions {
    pub(crate) identity: Identity,
    pub(crate) secrets: Secrets,
    pub(crate) connect_timeout_ms: u64,
    pub(crate) call_timeout_ms: u64,
    pub(crate) accept_timeout_ms: u64,
    pub(crate) heartbeat_ms: u64,
    pub(crate) avoid_after_ms: u64,
    pub(crate) silence_ms: u64,
}

impl LinkOptions {
    /// Creates options with these defaults: 1 s to connect, 5 s for a call,
    /// 30 s for the acceptance of a call with a streamed response, a heartbeat
    /// each second that new calls wait 2 s for, and a heartbeat timeout of
    /// 10 s.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            secrets: Secrets::default(),
            connect_timeout_ms: 1_000,
            call_timeout_ms: 5_000,
            accept_timeout_ms: 30_000,
            heartbeat_ms: 1_000,
            avoid_after_ms: 2_000,
            silence_ms: 10_000,
        }
    }

    /// Sets the shared secrets.
    pub fn secrets(mut self, secrets: Secrets) -> Self {
        self.secrets = secrets;
        self
    }

    /// Sets the timeout for connecting and authenticating.
    pub fn connect_timeout_ms(mut self, ms: u64) -> Self {
        self.connect_timeout_ms = ms;
        self
    }

    /// Sets the timeout of a call other than
    /// [`Links::run`](crate::Links::run).
    pub fn call_timeout_ms(mut self, ms: u64) -> Self {
        self.call_timeout_ms = ms;
        self
    }

    /// Sets the timeout of the acceptance of a call by
    /// [`Links::run`](crate::Links::run); its response has none.
    pub fn accept_timeout_ms(mut self, ms: u64) -> Self {
        self.accept_timeout_ms = ms;
        self
    }

    /// Sets the interval between heartbeats and the timeout after which an
    /// unanswered heartbeat closes the connection, which ends its calls.
    pub fn heartbeat_ms(mut self, interval_ms: u64, silence_ms: u64) -> Self {
        self.heartbeat_ms = interval_ms;
        self.silence_ms = silence_ms;
        self
    }

    /// Sets the age of an unanswered heartbeat from which on new calls open
    /// another connection. The calls of the silent one go on.
    pub fn avoid_after_ms(mut self, ms: u64) -> Self {
        self.avoid_after_ms = ms;
        self
    }
}

/// Options of the server that other processes call.
///
/// # Example
///
/// ```
/// use base::Incarnation;
/// use pomeloslip_wire::{ServeOptions, message::Identity};
///
/// let identity = Identity {
///     role: "companion".to_owned(),
///     vm: "korv-1".parse()?,
///     incarnation: Incarnation::new(7),
///     failure_domain: "tallinn-a".parse()?,
/// };
/// let listen = ([127, 0, 0, 1], 0).into();
/// let options = ServeOptions::new(listen, identity).silence_ms(9_000);
/// assert_eq!(options.listen(), listen);
/// # Ok::<(), base::IdError>(())
/// ```
#[derive(Clone, Debug)]
pub struct ServeOptions {
    pub(crate) listen: SocketAddr,
    pub(crate) identity: Identity,
    pub(crate) secrets: Secrets,
    pub(crate) silence_ms: u64,
}

impl ServeOptions {
    /// Creates options without secrets and with a silence timeout of 15 s.
    pub fn new(listen: SocketAddr, identity: Identity) -> Self {
        Self {
            listen,
            identity,
            secrets: Secrets::default(),
            silence_ms: 15_000,
        }
    }

    /// Returns the address to listen on.
    #[inline]
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Sets the shared secrets.
    pub fn secrets(mut self, secrets: Secrets) -> Self {
        self.secrets = secrets;
        self
    }

    /// Sets the time without a heartbeat after which the connection of a peer
    /// is closed and its calls are cancelled. By default, peers send a
    /// heartbeat each second.
    pub fn silence_ms(mut self, ms: u64) -> Self {
        self.silence_ms = ms;
        self
    }
}
