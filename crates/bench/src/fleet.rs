use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Command,
    time::{Duration, Instant},
};

use conf::settings::{EndpointKind, Settings};
use error_stack::{Report, ResultExt};
use tempfile::TempDir;

use crate::{
    BenchError, Binaries, Process, Usage, http,
    process::Spec,
    settings::{self, example, free_address},
};

/// Key of the customer `taevakorv` in `examples/rules/example.yaml`.
pub const CUSTOMER_KEY: &str = "example-key-taevakorv";

/// Key of the operators in `examples/settings`.
pub const OPERATOR_KEY: &str = "example-operator-key";

/// Longest wait until an entry takes work.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// Pause between looks whether an entry takes work.
const READY_LOOK: Duration = Duration::from_millis(20);

type Adjust = Box<dyn Fn(&mut Settings) + Send + Sync>;

/// Says what a [`Fleet`] consists of.
pub struct FleetOptions {
    entries: usize,
    data: usize,
    engines: usize,
    services: usize,
    engine_settings: Vec<String>,
    configuration: Option<String>,
    adjust: Option<Adjust>,
}

impl Default for FleetOptions {
    /// As in `examples/settings`: two entries, two data VMs, three engines
    /// and a service.
    fn default() -> Self {
        Self {
            entries: 2,
            data: 2,
            engines: 3,
            services: 1,
            engine_settings: Vec::new(),
            configuration: None,
            adjust: None,
        }
    }
}

impl FleetOptions {
    /// Sets how many entries there are, 1 to 2.
    pub fn entries(mut self, entries: usize) -> Self {
        self.entries = entries.clamp(1, 2);
        self
    }

    /// Sets how many engines there are, each with a companion.
    pub fn engines(mut self, engines: usize) -> Self {
        self.engines = engines;
        self
    }

    /// Sets how many plain services there are, each with a companion.
    pub fn services(mut self, services: usize) -> Self {
        self.services = services;
        self
    }

    /// Adds a setting of the stand-in engines, as `NAME=VALUE`.
    pub fn engine_setting(mut self, pair: &str) -> Self {
        self.engine_settings.push(pair.to_owned());
        self
    }

    /// Lets the engines take no time and any number of requests.
    pub fn instant_engines(self) -> Self {
        [
            "base_step_ms=0",
            "step_ms_per_running=0",
            "prefill_ms_per_token=0",
            "prefix_cache_tokens=0",
            "max_running=100000",
            "kv_tokens=4000000000",
        ]
        .into_iter()
        .fold(self, Self::engine_setting)
    }

    /// Sets the operators' configuration in place of the example's.
    pub fn configuration(mut self, text: String) -> Self {
        self.configuration = Some(text);
        self
    }

    /// Changes the settings of each daemon before they are written.
    pub fn adjust(
        mut self,
        adjust: impl Fn(&mut Settings) + Send + Sync + 'static,
    ) -> Self {
        self.adjust = Some(Box::new(adjust));
        self
    }
}

/// A whole system of real processes on loopback; ended when dropped.
pub struct Fleet {
    /// The platform's key-value service.
    pub kv: Process,
    /// The engines, each with the companion of the same number.
    pub engines: Vec<Process>,
    /// The plain services.
    pub services: Vec<Process>,
    /// The data VMs.
    pub data: Vec<Process>,
    /// The companions of the engines, then those of the services.
    pub companions: Vec<Process>,
    /// The entries.
    pub entries: Vec<Process>,
    binaries: Binaries,
    folder: TempDir,
}

impl Fleet {
    /// Starts all processes, puts the configuration in force through the
    /// command line and waits until the entries take work.
    ///
    /// # Errors
    ///
    /// [`BenchError`] with the process that did not start and what it said.
    pub async fn start(
        options: FleetOptions,
    ) -> Result<Self, Report<BenchError>> {
        let mut starter = Starter::new(options)?;
        let kv = starter.stand_in("kv", "kv", &[])?;
        let kv_address = kv.ready().http;
        let engines = starter.engines()?;
        let services = starter.services()?;
        let data = starter.data()?;
        let mut entries = starter.entries(kv_address)?;
        let companions = starter.companions(&engines, &services, &entries)?;
        for companion in &companions {
            let endpoint = settings::endpoint_of(companion);
            for entry in &mut entries {
                entry.endpoints.extend(endpoint.clone());
            }
        }
        let companions = starter.daemons(&companions)?;
        let entries = starter.daemons(&entries)?;
        let fleet = Self {
            kv,
            engines,
            services,
            data,
            companions,
            entries,
            binaries: starter.binaries.clone(),
            folder: starter.folder,
        };
        fleet.configure(starter.options.configuration.as_deref())?;
        fleet.ready().await?;
        Ok(fleet)
    }

    /// Returns the folder of settings, logs and data.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the data folder of a data VM.
    pub fn data_folder(&self, at: usize) -> PathBuf {
        self.folder().join(format!("data/data-{}", at + 1))
    }

    /// Runs the command line to its end and returns what it printed.
    ///
    /// # Errors
    ///
    /// [`BenchError::Call`] with what it said if it failed.
    pub fn command(
        &self,
        args: &[&str],
    ) -> Result<String, Report<BenchError>> {
        let output = Command::new(&self.binaries.command)
            .args(args)
            .current_dir(self.folder())
            .output()
            .change_context(BenchError::Call)?;
        let text = |bytes| String::from_utf8_lossy(bytes).into_owned();
        if output.status.success() {
            return Ok(text(&output.stdout));
        }
        Err(Report::new(BenchError::Call)
            .attach(format!("pomeloslip {}", args.join(" ")))
            .attach(text(&output.stderr)))
    }

    /// Returns the sum of what processes have used.
    ///
    /// # Errors
    ///
    /// [`BenchError::Process`] if one has ended.
    pub fn usage(processes: &[Process]) -> Result<Usage, Report<BenchError>> {
        let mut sum = Usage::default();
        for process in processes {
            let usage = process.usage()?;
            sum.rss_bytes += usage.rss_bytes;
            sum.rss_max_bytes += usage.rss_max_bytes;
            sum.cpu_ms += usage.cpu_ms;
            sum.threads += usage.threads;
        }
        Ok(sum)
    }

    fn configure(&self, text: Option<&str>) -> Result<(), Report<BenchError>> {
        let example = settings::examples().join("rules/example.yaml");
        let path = match text {
            None => example,
            Some(text) => {
                let path = self.folder().join("rules.yaml");
                fs::write(&path, text).change_context(BenchError::Settings)?;
                path
            }
        };
        let path = path.display().to_string();
        let url = self.entries[0].url();
        let to = ["--server", &url, "--key", OPERATOR_KEY];
        let apply = ["rules", "apply", &path, "--expect", "0"];
        self.command(&[&apply[..], &to].concat())?;
        Ok(())
    }

    /// Waits until all entries take work.
    ///
    /// # Errors
    ///
    /// [`BenchError::Process`] if one does not within 15 s.
    pub async fn ready(&self) -> Result<(), Report<BenchError>> {
        let client = http::client()?;
        let end = Instant::now() + READY_LIMIT;
        for entry in &self.entries {
            let url = format!("{}/readyz", entry.url());
            loop {
                let answer = client.get(&url).send().await;
                if answer.is_ok_and(|answer| answer.status().is_success()) {
                    break;
                }
                if Instant::now() > end {
                    let why = format!("{} is not ready", entry.name());
                    return Err(Report::new(BenchError::Process).attach(why));
                }
                tokio::time::sleep(READY_LOOK).await;
            }
        }
        Ok(())
    }
}

/// What is needed while a fleet starts.
struct Starter {
    options: FleetOptions,
    binaries: Binaries,
    folder: TempDir,
    data: Vec<Settings>,
}

impl Starter {
    fn new(options: FleetOptions) -> Result<Self, Report<BenchError>> {
        Ok(Self {
            options,
            binaries: Binaries::find()?,
            folder: TempDir::new().change_context(BenchError::Settings)?,
            data: Vec::new(),
        })
    }

    fn stand_in(
        &self,
        kind: &str,
        name: &str,
        pairs: &[String],
    ) -> Result<Process, Report<BenchError>> {
        // The port is fixed, so that the process comes back where it was.
        let listen = free_address()?.to_string();
        let words = ["--json", "stand-in", kind, "--listen", &listen];
        let mut args: Vec<_> = words.map(str::to_owned).into();
        for pair in pairs {
            args.extend(["--set".to_owned(), pair.clone()]);
        }
        Process::start(Spec {
            name: name.to_owned(),
            program: self.binaries.command.clone(),
            args,
            folder: self.folder.path().to_owned(),
        })
    }

    fn engines(&self) -> Result<Vec<Process>, Report<BenchError>> {
        let pairs = &self.options.engine_settings;
        let start =
            |at| self.stand_in("engine", &format!("engine-{}", at + 1), pairs);
        (0..self.options.engines).map(start).collect()
    }

    fn services(&self) -> Result<Vec<Process>, Report<BenchError>> {
        let start =
            |at| self.stand_in("service", &format!("service-{}", at + 1), &[]);
        (0..self.options.services).map(start).collect()
    }

    fn data(&mut self) -> Result<Vec<Process>, Report<BenchError>> {
        for at in 0..self.options.data {
            let name = format!("data-{}", at + 1);
            let settings = settings::with_ports(example(&name)?)?;
            self.data.push(self.adjusted(settings));
        }
        self.daemons(&self.data)
    }

    fn entries(
        &self,
        kv: SocketAddr,
    ) -> Result<Vec<Settings>, Report<BenchError>> {
        let make = |at| {
            let example = example(&format!("entry-{}", at + 1))?;
            let mut entry = settings::with_ports(example)?;
            entry.key_value = Some(settings::key_value(kv));
            entry.endpoints.clear();
            for (known, data) in entry.data_vms.iter_mut().zip(&self.data) {
                known.address = data.peer_listen;
            }
            Ok(entry)
        };
        let entries: Result<Vec<_>, Report<BenchError>> =
            (0..self.options.entries).map(make).collect();
        let mut entries = entries?;
        let peers: Vec<_> = entries.iter().map(|e| e.peer_listen).collect();
        for entry in &mut entries {
            let others = peers.iter().filter(|p| **p != entry.peer_listen);
            entry.entries = others.copied().collect();
        }
        Ok(entries.into_iter().map(|one| self.adjusted(one)).collect())
    }

    fn companions(
        &self,
        engines: &[Process],
        services: &[Process],
        entries: &[Settings],
    ) -> Result<Vec<Settings>, Report<BenchError>> {
        let peers: Vec<_> = entries.iter().map(|e| e.peer_listen).collect();
        let mut all = Vec::new();
        for (at, engine) in engines.iter().enumerate() {
            let address = engine.ready().http;
            let kind = EndpointKind::Engine;
            let mut companion = settings::companion(kind, at, address)?;
            companion.entries = peers.clone();
            all.push(self.adjusted(companion));
        }
        for (at, service) in services.iter().enumerate() {
            let address = service.ready().http;
            let kind = EndpointKind::Service;
            let companion = settings::companion(kind, at, address)?;
            all.push(self.adjusted(companion));
        }
        Ok(all)
    }

    fn adjusted(&self, mut settings: Settings) -> Settings {
        if let Some(adjust) = &self.options.adjust {
            adjust(&mut settings);
        }
        settings
    }

    fn daemons(
        &self,
        all: &[Settings],
    ) -> Result<Vec<Process>, Report<BenchError>> {
        all.iter().map(|one| self.daemon(one)).collect()
    }

    fn daemon(
        &self,
        settings: &Settings,
    ) -> Result<Process, Report<BenchError>> {
        let folder = self.folder.path();
        let path = settings::write(settings, folder)?;
        Process::start(Spec {
            name: settings.vm.to_string(),
            program: self.binaries.daemon.clone(),
            args: vec!["--settings".to_owned(), path.display().to_string()],
            folder: folder.to_owned(),
        })
    }
}
