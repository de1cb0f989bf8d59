use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::Instant,
};

use crate::{
    Counts, Direction, Rule,
    connection::{Connection, reset},
    counts::Counters,
    effects::{Flow, RuleSet},
};

/// Listen address; with port 0 the operating system chooses the port.
const LISTEN: &str = "127.0.0.1:0";

/// A TCP proxy on its own loopback port.
///
/// Dropping the proxy closes all of its connections.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    handle: Handle,
    accepting: JoinHandle<()>,
}

/// Changes the rules of a running proxy; clones control the same proxy.
#[derive(Clone, Debug)]
pub struct Handle(Arc<Control>);

#[derive(Debug)]
struct Control {
    rule_set: watch::Sender<Arc<RuleSet>>,
    counters: Arc<Counters>,
    /// Number of the next connection.
    next: AtomicU64,
}

impl FaultProxy {
    /// Starts a proxy in front of a target.
    ///
    /// `seed` determines the connections of rules with a probability below 1.
    ///
    /// # Errors
    ///
    /// An I/O error if no port can be bound.
    pub async fn start(target: SocketAddr, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind(LISTEN).await?;
        let address = listener.local_addr()?;
        let rule_set = RuleSet {
            rules: Vec::new(),
            next: 0,
            set_at: Instant::now(),
            version: 0,
            cut_below: 0,
        };
        let (rule_set, _) = watch::channel(Arc::new(rule_set));
        let handle = Handle(Arc::new(Control {
            rule_set,
            counters: Arc::default(),
            next: AtomicU64::new(0),
        }));
        let accept = accept(listener, target, seed, handle.0.clone());
        Ok(Self {
            address,
            handle,
            accepting: tokio::spawn(accept),
        })
    }

    /// Returns the address to connect to.
    #[inline]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the handle that changes the rules.
    #[inline]
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Stops listening and closes all connections.
    pub async fn stop(mut self) {
        self.accepting.abort();
        // The error of an aborted task only confirms that the task ended.
        let _ = (&mut self.accepting).await;
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Handle {
    /// Replaces the rules. Silenced directions stay silent.
    pub fn set(&self, rules: Vec<Rule>) {
        self.change(|rule_set| rule_set.rules = rules);
    }

    /// Removes all rules.
    pub fn clear(&self) {
        self.set(Vec::new());
    }

    /// Resets all open connections.
    pub fn cut_open(&self) {
        self.change(|rule_set| rule_set.cut_below = rule_set.next);
    }

    /// Returns the counters of the proxy.
    pub fn counts(&self) -> Counts {
        self.0.counters.counts()
    }

    fn change(&self, change: impl FnOnce(&mut RuleSet)) {
        self.0.rule_set.send_modify(|rule_set| {
            let mut next = RuleSet {
                rules: rule_set.rules.clone(),
                next: self.0.next.load(Ordering::Acquire),
                set_at: Instant::now(),
                version: rule_set.version + 1,
                cut_below: rule_set.cut_below,
            };
            change(&mut next);
            *rule_set = Arc::new(next);
        });
    }
}

/// Accepts connections. Their tasks are aborted when this task ends.
async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    seed: u64,
    control: Arc<Control>,
) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        // An accept error concerns a connection that is already closed.
        let Ok((client, _)) = accepted else { continue };
        let number = control.next.fetch_add(1, Ordering::AcqRel);
        Counters::add(&control.counters.accepted, 1);
        let flow = Flow {
            number,
            direction: Direction::Both,
            opened: Instant::now(),
            seed,
        };
        let control = control.clone();
        connections.spawn(serve_connection(client, target, flow, control));
    }
}

/// Decrements the count of open connections on drop, also when the task of
/// the connection is aborted.
struct OpenGuard(Arc<Counters>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection(
    client: TcpStream,
    target: SocketAddr,
    flow: Flow,
    control: Arc<Control>,
) {
    Counters::add(&control.counters.open, 1);
    let _open = OpenGuard(control.counters.clone());
    let Ok(target) = TcpStream::connect(target).await else {
        // Nothing listens at the target: the client gets a reset before any
        // byte.
        reset(&client);
        return;
    };
    // Nagle's algorithm would delay small writes until an acknowledgement. A
    // socket that does not support the option is only slower.
    let _ = client.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let connection = Connection {
        client,
        target,
        flow,
        rule_set: control.rule_set.subscribe(),
        counters: control.counters.clone(),
    };
    connection.run().await;
}
