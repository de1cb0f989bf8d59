use std::{
    fs::{File, OpenOptions},
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, ExitStatus, Stdio},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use rustix::process::{Pid, Signal, kill_process};
use serde::Deserialize;

use crate::{BenchError, Usage};

/// Longest wait for the line by which a process says that it is ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Pause between looks whether a process has ended.
const LOOK: Duration = Duration::from_millis(10);

/// The line by which a process says that it is ready.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct Ready {
    /// Address of HTTP.
    #[serde(alias = "address")]
    pub http: SocketAddr,
    /// Address for the system's other processes, of daemons.
    #[serde(default)]
    pub peer: Option<SocketAddr>,
}

/// How to start a process, again if need be.
#[derive(Clone, Debug)]
pub(crate) struct Spec {
    pub(crate) name: String,
    pub(crate) program: PathBuf,
    pub(crate) args: Vec<String>,
    /// Working folder; its standard error goes to `NAME.log` there.
    pub(crate) folder: PathBuf,
}

/// A process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    spec: Spec,
    child: Child,
    ready: Ready,
}

impl Process {
    /// Starts a process and waits until it is ready.
    pub(crate) fn start(spec: Spec) -> Result<Self, Report<BenchError>> {
        let (child, ready) = spawn(&spec)?;
        Ok(Self { spec, child, ready })
    }

    /// Returns its name in the fleet.
    pub fn name(&self) -> &str {
        &self.spec.name
    }

    /// Returns its address of HTTP as the start of a URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.ready.http)
    }

    /// Returns its addresses.
    pub fn ready(&self) -> Ready {
        self.ready
    }

    /// Returns its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns where its standard error goes.
    pub fn log(&self) -> PathBuf {
        log_path(&self.spec)
    }

    /// Reads what it has used.
    ///
    /// # Errors
    ///
    /// [`BenchError::Process`] if it has ended.
    pub fn usage(&self) -> Result<Usage, Report<BenchError>> {
        Usage::of(self.pid())
            .attach_with(|| format!("{} has ended", self.name()))
    }

    /// Kills it and waits for its end (SIGKILL).
    ///
    /// # Errors
    ///
    /// [`BenchError::Process`] if it could not be waited for.
    pub fn kill(&mut self) -> Result<(), Report<BenchError>> {
        // Fails only if it has ended already.
        let _ = self.child.kill();
        self.child.wait().change_context(BenchError::Process)?;
        Ok(())
    }

    /// Stops it as planned (SIGTERM) and waits for its end.
    ///
    /// # Errors
    ///
    /// [`BenchError::Process`] if it has not ended within the limit.
    pub fn terminate(
        &mut self,
        limit: Duration,
    ) -> Result<ExitStatus, Report<BenchError>> {
        self.signal(Signal::TERM)?;
        self.wait(limit)
    }

    /// Waits until it ends by itself.
    ///
    /// # Errors
    ///
    /// [`BenchError::Process`] if it has not ended within the limit.
    pub fn wait(
        &mut self,
        limit: Duration,
    ) -> Result<ExitStatus, Report<BenchError>> {
        let end = Instant::now() + limit;
        loop {
            let ended = self.child.try_wait();
            match ended.change_context(BenchError::Process)? {
                Some(status) => return Ok(status),
                None if Instant::now() < end => thread::sleep(LOOK),
                None => {
                    let why = format!("{} still runs", self.name());
                    return Err(Report::new(BenchError::Process).attach(why));
                }
            }
        }
    }

    /// Sends SIGTERM and returns at once.
    ///
    /// # Errors
    ///
    /// [`BenchError::Process`] if it has ended.
    pub fn request_stop(&self) -> Result<(), Report<BenchError>> {
        self.signal(Signal::TERM)
    }

    /// Pauses it (SIGSTOP).
    ///
    /// # Errors
    ///
    /// [`BenchError::Process`] if it has ended.
    pub fn pause(&self) -> Result<(), Report<BenchError>> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on after a pause (SIGCONT).
    ///
    /// # Errors
    ///
    /// [`BenchError::Process`] if it has ended.
    pub fn resume(&self) -> Result<(), Report<BenchError>> {
        self.signal(Signal::CONT)
    }

    /// Kills it if it runs and starts it again with the same settings.
    ///
    /// # Errors
    ///
    /// [`BenchError::Process`] if it does not get ready.
    pub fn restart(&mut self) -> Result<(), Report<BenchError>> {
        self.kill()?;
        (self.child, self.ready) = spawn(&self.spec)?;
        Ok(())
    }

    fn signal(&self, signal: Signal) -> Result<(), Report<BenchError>> {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal)
            .change_context(BenchError::Process)
            .attach_with(|| format!("{} has ended", self.name()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

fn log_path(spec: &Spec) -> PathBuf {
    spec.folder.join(format!("{}.log", spec.name))
}

fn spawn(spec: &Spec) -> Result<(Child, Ready), Report<BenchError>> {
    let log = log_path(spec);
    let errors = append(&log).change_context(BenchError::Process)?;
    let mut child = Command::new(&spec.program)
        .args(&spec.args)
        .current_dir(&spec.folder)
        .env_remove("POMELOSLIP_SERVER")
        .env_remove("POMELOSLIP_KEY")
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(errors)
        .spawn()
        .change_context(BenchError::Process)
        .attach_with(|| spec.program.display().to_string())?;
    let line = child.stdout.take().and_then(first_line);
    let ready = line.as_deref().map(serde_json::from_str::<Ready>);
    if let Some(Ok(ready)) = ready {
        return Ok((child, ready));
    }
    let _ = child.kill();
    let _ = child.wait();
    let said = std::fs::read_to_string(&log).unwrap_or_default();
    let last = said.lines().rev().take(5).collect::<Vec<_>>().join("\n");
    Err(Report::new(BenchError::Process)
        .attach(format!("{} is not ready: {line:?}\n{last}", spec.name)))
}

fn append(path: &Path) -> std::io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}

/// Reads the first line; the rest is read and dropped, so that the process
/// never waits for room in the pipe.
fn first_line(stdout: ChildStdout) -> Option<String> {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            // Only the first is waited for.
            let _ = sender.send(line);
        }
    });
    receiver.recv_timeout(READY_LIMIT).ok()
}
