//! The whole system in one process on an embedded platform.
//!
//! Stand-ins take the platform's place; entry, data stores and companions
//! are the real ones and talk over loopback sockets.

mod platform;
mod selftest;
mod settings;

use std::{
    fmt::{self, Write},
    net::SocketAddr,
    time::Duration,
};

use companion::Companion;
use data::DataNode;
use entry::Entry;
use error_stack::{Report, ResultExt};
use obs::Metrics;

pub use self::selftest::{Check, Selftest, selftest};
use self::{platform::Platform, settings::DataFolders};

/// Key of the demo's customer.
pub const CUSTOMER_KEY: &str = "demo-key-taevakorv";

/// Key of the demo's operator.
pub const ADMIN_KEY: &str = "demo-key-operator";

/// Model that the demo's engines serve.
pub const MODEL: &str = "korv-lm";

/// Pause between looks whether the entry knows all endpoints.
const LIST_LOOK: Duration = Duration::from_millis(10);

/// Says that the demo cannot run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DemoError;

impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the demo cannot run")
    }
}

impl std::error::Error for DemoError {}

/// A running demo.
pub struct Demo {
    platform: Platform,
    entry: Entry,
    companions: Vec<Companion>,
    data: Vec<DataNode>,
    _folders: DataFolders,
}

impl Demo {
    /// Starts everything and returns once the entry takes work.
    ///
    /// # Errors
    ///
    /// [`DemoError`] if a listener or a folder cannot be made.
    pub async fn start(listen: SocketAddr) -> Result<Self, Report<DemoError>> {
        let platform = Platform::start().await?;
        let folders = DataFolders::create()?;
        let mut data = Vec::new();
        for settings in folders.settings() {
            let node = DataNode::start(&settings, Metrics::default()).await;
            data.push(node.change_context(DemoError)?);
        }
        let entry_settings = settings::entry(listen, &platform, &data);
        platform.write_configuration(&entry_settings).await?;
        let entry = Entry::start(&entry_settings, Metrics::default(), None)
            .await
            .change_context(DemoError)?;
        let mut companions = Vec::new();
        for settings in settings::companions(&platform, entry.peer_address()) {
            let metrics = Metrics::default();
            let companion = Companion::start(&settings, metrics).await;
            let companion = companion.change_context(DemoError)?;
            platform.list(&settings, companion.peer_address());
            companions.push(companion);
        }
        entry.ready().await;
        // The list of machines reaches the entry a moment later.
        while entry.endpoints() < companions.len() {
            tokio::time::sleep(LIST_LOOK).await;
        }
        Ok(Self {
            platform,
            entry,
            companions,
            data,
            _folders: folders,
        })
    }

    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.entry.http_address()
    }

    /// Returns what a person can paste into a shell.
    pub fn instructions(&self) -> String {
        let address = self.address();
        let mut text = String::new();
        let _ = write!(
            text,
            r#"ready: http://{address}

A chat:
  curl -N http://{address}/v1/chat/completions \
    -H 'Authorization: Bearer {CUSTOMER_KEY}' \
    -H 'Content-Type: application/json' \
    -d '{{"model":"{MODEL}","stream":true,"max_tokens":16,"messages":[{{"role":"user","content":"May I fly on Friday?"}}]}}'

A batch:
  printf '%s\n' '{{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{{"model":"{MODEL}","max_tokens":8,"messages":[{{"role":"user","content":"brief"}}]}}}}' > /tmp/items.jsonl
  curl http://{address}/v1/files -H 'Authorization: Bearer {CUSTOMER_KEY}' -F purpose=batch -F file=@/tmp/items.jsonl
  curl http://{address}/v1/batches -H 'Authorization: Bearer {CUSTOMER_KEY}' -H 'Content-Type: application/json' \
    -d '{{"input_file_id":"FILE_ID","endpoint":"/v1/chat/completions","completion_window":"24h"}}'

The rules, and a change of them:
  curl http://{address}/admin/config -H 'Authorization: Bearer {ADMIN_KEY}'
  curl http://{address}/admin/config -H 'Authorization: Bearer {ADMIN_KEY}' -H 'Content-Type: application/json' \
    -d "$(curl -s http://{address}/admin/config -H 'Authorization: Bearer {ADMIN_KEY}' | sed 's/"revision":/"operation_id":"edit-1","expect_revision":/; s/,"accepted_unix_ms":[0-9]*//')"
"#
        );
        text
    }

    /// Ends one companion at once, as if its process were killed.
    pub async fn kill_companion(&mut self) {
        if !self.companions.is_empty() {
            // The first has an engine; the last is the plain service's.
            self.companions.remove(0).stop().await;
        }
    }

    /// Stops everything.
    pub async fn stop(self) {
        self.entry.drain().await;
        for companion in self.companions {
            companion.stop().await;
        }
        for data in self.data {
            data.drain().await;
        }
        self.platform.stop().await;
    }
}
