use std::{fmt, net::SocketAddr};

use crate::{
    Secrets,
    message::{Identity, RefusalKind},
};

/// Says what became of a call to another process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkError {
    /// The other side certainly saw nothing of the call.
    NotSent,
    /// The call was sent and its answer is lost.
    Unknown,
    /// The other side refused the call; it had no effect.
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

/// Options of the links of one process.
#[derive(Clone, Debug)]
pub struct LinkOptions {
    pub(crate) identity: Identity,
    pub(crate) secrets: Secrets,
    pub(crate) connect_timeout_ms: u64,
    pub(crate) call_timeout_ms: u64,
    pub(crate) heartbeat_ms: u64,
    pub(crate) silence_ms: u64,
}

impl LinkOptions {
    /// Starts with safe defaults: 1 s to connect, 5 s for a call, a
    /// heartbeat each second and 2 s of silence.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            secrets: Secrets::default(),
            connect_timeout_ms: 1_000,
            call_timeout_ms: 5_000,
            heartbeat_ms: 1_000,
            silence_ms: 2_000,
        }
    }

    /// Sets the shared secrets.
    pub fn secrets(mut self, secrets: Secrets) -> Self {
        self.secrets = secrets;
        self
    }

    /// Sets how long connecting and authenticating may take.
    pub fn connect_timeout_ms(mut self, ms: u64) -> Self {
        self.connect_timeout_ms = ms;
        self
    }

    /// Sets how long a call other than [`Links::run`](crate::Links::run) may take.
    pub fn call_timeout_ms(mut self, ms: u64) -> Self {
        self.call_timeout_ms = ms;
        self
    }

    /// Sets the pause between heartbeats and the silence after which a
    /// connection is given up.
    pub fn heartbeat_ms(mut self, pause_ms: u64, silence_ms: u64) -> Self {
        self.heartbeat_ms = pause_ms;
        self.silence_ms = silence_ms;
        self
    }
}

/// Options of the server for other processes.
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
    /// Starts with safe defaults: no secrets and 6 s of silence.
    pub fn new(listen: SocketAddr, identity: Identity) -> Self {
        Self {
            listen,
            identity,
            secrets: Secrets::default(),
            silence_ms: 6_000,
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

    /// Sets the silence of a peer, which pings each second, after which its
    /// connection is closed and its calls are cancelled.
    pub fn silence_ms(mut self, ms: u64) -> Self {
        self.silence_ms = ms;
        self
    }
}
