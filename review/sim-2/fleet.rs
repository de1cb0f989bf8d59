//! The project's programs as processes on loopback addresses.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

use crate::{http, record::Record};

/// One program with its settings.
pub struct Node {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    data_dir: Option<PathBuf>,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    metrics: u16,
    child: Option<Child>,
    /// Whether the machine is removed for good, with its disk.
    pub is_removed: bool,
    logs: PathBuf,
    record: Record,
}

/// Returns adjacent free ports below the range of outgoing connections.
fn free_ports<const N: usize>() -> [u16; N] {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = 20_000 + (std::process::id() % 100) as u16 * 80;
    let is_free = |port: &u16| {
        TcpListener::bind(("127.0.0.1", *port)).is_ok()
            && UdpSocket::bind(("127.0.0.1", *port)).is_ok()
    };
    loop {
        let first = start + NEXT.fetch_add(N as u16, Ordering::Relaxed);
        let ports = std::array::from_fn(|step| first + step as u16);
        if ports.iter().all(is_free) {
            return ports;
        }
    }
}

impl Node {
    /// Creates a node whose key-value service is at `store`.
    pub fn new(
        folder: &Path,
        name: &str,
        role: &'static str,
        zone: &str,
        store: SocketAddr,
        record: &Record,
    ) -> io::Result<Self> {
        let [front, ready, metrics, first, _, _, last] = free_ports();
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let (front, ready) = (address(front), address(ready));
        let data_dir = (role == "worker")
            .then(|| folder.join(format!("{name}-disk")));
        if let Some(data_dir) = &data_dir {
            fs::create_dir_all(data_dir)?;
        }
        let listen = match role {
            "front" => format!(
                "\n  front: \"{front}\"\n  ready_addr: \"{ready}\""
            ),
            _ => " {}".to_owned(),
        };
        let data = data_dir
            .as_ref()
            .map_or("null".to_owned(), |dir| format!("{dir:?}"));
        let disk_mb = if data_dir.is_some() { 160 } else { 0 };
        // The bounds and limits of the sheet of alama-hq.
        let text = format!(
            "node: \"{name}\"\nrole: \"{role}\"\nip: \"127.0.0.1\"\n\
             zone: \"{zone}\"\nregion: \"r\"\nlisten:{listen}\n\
             internal_ports:\n  - {first}\n  - {last}\n\
             bootstrap: true\ndata_dir: {data}\n\
             limits:\n  memory_mb: 280\n  max_fds: 4100\n  disk_mb: {disk_mb}\n\
             heartbeat_ms: 1200\n\
             fault_tolerance:\n  machines: 1\n  zones: 0\n  regions: 0\n\
             bounds:\n  drain_ms: 2000\n  grace_s: 8\n  config_ms: 2000\n\
             \x20 status_s: 120\n  cancel_ms: 3000\n  settle_ms: 1000\n\
             \x20 quota_excess: 0.1\n\
             platform_info:\n  address: \"{store}\"\n  form: \"kv\"\n\
             \x20 writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n\
             \x20 value_bytes: 1048576\n  ttl_min_ms: 1000\n"
        );
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text)?;
        Ok(Self {
            name: name.to_owned(),
            role,
            settings,
            data_dir,
            front,
            ready,
            metrics,
            child: None,
            is_removed: false,
            logs: folder.join(format!("{name}.log")),
            record: record.clone(),
        })
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.logs)?;
        let child = Command::new("target/release/pomeloslipd")
            .args(["fleet", self.role, "--metrics-port"])
            .arg(self.metrics.to_string())
            .env("POMELOSLIP_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.record
            .line(&format!("platform: {} starts", self.name));
        self.child = Some(child);
        Ok(())
    }

    /// Ends the process at once, as a kill or a loss of power does. Its disk
    /// stays.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .line(&format!("platform: {} is killed", self.name));
        }
    }

    /// Reports whether the process is not running.
    pub fn is_down(&self) -> bool {
        self.child.is_none()
    }

    /// Removes the machine with its disk.
    pub fn remove(&mut self) {
        self.kill();
        self.is_removed = true;
        if let Some(data_dir) = &self.data_dir {
            let _ = fs::remove_dir_all(data_dir);
        }
    }

    /// Waits until a front says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let second = Duration::from_secs(1);
            let ready =
                http::call(self.ready, "GET", "/-/ready", "", b"", second);
            if ready.is_ok_and(|ready| ready.status == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
