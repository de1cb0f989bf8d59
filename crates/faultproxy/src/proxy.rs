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
    counts::Tally,
    effects::{Script, Way},
};

/// Where the proxy listens; port 0 lets the system choose.
const LISTEN: &str = "127.0.0.1:0";

/// A TCP proxy on a loopback port of its own.
///
/// Dropping it ends all of its connections.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    handle: Handle,
    accepting: JoinHandle<()>,
}

/// Changes the rules of a proxy while it runs; clones act on the same one.
#[derive(Clone, Debug)]
pub struct Handle(Arc<Control>);

#[derive(Debug)]
struct Control {
    script: watch::Sender<Arc<Script>>,
    tally: Arc<Tally>,
    /// Number of the next connection.
    next: AtomicU64,
}

impl FaultProxy {
    /// Starts a proxy in front of a target.
    ///
    /// `seed` decides which connections rules with a chance meet.
    ///
    /// # Errors
    ///
    /// An I/O error if no port is left.
    pub async fn start(target: SocketAddr, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind(LISTEN).await?;
        let address = listener.local_addr()?;
        let script = Script {
            rules: Vec::new(),
            next: 0,
            set_at: Instant::now(),
            version: 0,
            cut_below: 0,
        };
        let (script, _) = watch::channel(Arc::new(script));
        let handle = Handle(Arc::new(Control {
            script,
            tally: Arc::default(),
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

    /// Stops listening and ends all connections.
    pub async fn stop(mut self) {
        self.accepting.abort();
        // An aborted task has ended, which is all that is asked.
        let _ = (&mut self.accepting).await;
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Handle {
    /// Replaces the rules. Silence that has begun stays.
    pub fn set(&self, rules: Vec<Rule>) {
        self.change(|script| script.rules = rules);
    }

    /// Removes all rules.
    pub fn clear(&self) {
        self.set(Vec::new());
    }

    /// Resets the connections that are open now.
    pub fn cut_open(&self) {
        self.change(|script| script.cut_below = script.next);
    }

    /// Returns what the proxy has seen and done.
    pub fn counts(&self) -> Counts {
        self.0.tally.counts()
    }

    fn change(&self, change: impl FnOnce(&mut Script)) {
        self.0.script.send_modify(|script| {
            let mut next = Script {
                rules: script.rules.clone(),
                next: self.0.next.load(Ordering::Acquire),
                set_at: Instant::now(),
                version: script.version + 1,
                cut_below: script.cut_below,
            };
            change(&mut next);
            *script = Arc::new(next);
        });
    }
}

/// Accepts connections. Their tasks live in this one and end with it.
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
        // Errors of accept concern one connection that is gone already.
        let Ok((client, _)) = accepted else { continue };
        let number = control.next.fetch_add(1, Ordering::AcqRel);
        Tally::add(&control.tally.accepted, 1);
        let way = Way {
            number,
            direction: Direction::Both,
            opened: Instant::now(),
            seed,
        };
        let control = control.clone();
        connections.spawn(connect(client, target, way, control));
    }
}

/// Keeps count of an open connection on every path, also when its task is
/// aborted.
struct OpenGuard(Arc<Tally>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn connect(
    client: TcpStream,
    target: SocketAddr,
    way: Way,
    control: Arc<Control>,
) {
    Tally::add(&control.tally.open, 1);
    let _open = OpenGuard(control.tally.clone());
    let Ok(target) = TcpStream::connect(target).await else {
        // Nothing listens: the client sees a reset before any byte.
        reset(&client);
        return;
    };
    // Without this, small answers would wait for acknowledgements; a socket
    // that refuses the option is slower, not wrong.
    let _ = client.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let connection = Connection {
        client,
        target,
        way,
        script: control.script.subscribe(),
        tally: control.tally.clone(),
    };
    connection.run().await;
}
