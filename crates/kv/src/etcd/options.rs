use std::{sync::Arc, time::Duration};

use error_stack::{Report, ResultExt};
use reqwest::Url;

use crate::{
    KvError,
    etcd::{EtcdJson, transport::Transport},
};

/// Scheme of the addresses; the network of the platform needs no TLS.
const SCHEME: &str = "http";

/// Settings of an [`EtcdJson`] client.
///
/// # Example
///
/// ```
/// use pomeloslip_kv::EtcdJsonOptions;
///
/// let options = EtcdJsonOptions::new(["127.0.0.1:2379"]).timeout_ms(500);
/// assert!(options.build().is_ok());
/// assert!(EtcdJsonOptions::new([""; 0]).build().is_err());
/// ```
#[derive(Clone, Debug)]
pub struct EtcdJsonOptions {
    addresses: Vec<String>,
    timeout_ms: u64,
    connect_timeout_ms: u64,
    watch_idle_ms: u64,
}

impl EtcdJsonOptions {
    /// Creates the options for addresses such as `10.0.0.1:2379` or
    /// `http://10.0.0.1:2379`.
    pub fn new<A: Into<String>>(
        addresses: impl IntoIterator<Item = A>,
    ) -> Self {
        Self {
            addresses: addresses.into_iter().map(Into::into).collect(),
            timeout_ms: 5_000,
            connect_timeout_ms: 1_000,
            watch_idle_ms: 30_000,
        }
    }

    /// Sets the timeout of a call over all addresses.
    #[must_use]
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    /// Sets the timeout of one connection attempt.
    #[must_use]
    pub fn connect_timeout_ms(mut self, connect_timeout_ms: u64) -> Self {
        self.connect_timeout_ms = connect_timeout_ms;
        self
    }

    /// Sets the time without messages after which a watch is reopened.
    ///
    /// A watch can be silent because nothing changes or because its connection
    /// is dead; only a new connection tells the two apart. The new watch
    /// resumes from the next revision, so that no change is missed. Each
    /// reopening costs one call.
    #[must_use]
    pub fn watch_idle_ms(mut self, watch_idle_ms: u64) -> Self {
        self.watch_idle_ms = watch_idle_ms;
        self
    }

    /// Builds the client, which connects at its first call.
    ///
    /// # Errors
    ///
    /// [`KvError::Invalid`] if there is no address or one is malformed.
    pub fn build(self) -> Result<EtcdJson, Report<KvError>> {
        let urls = self.addresses.iter().map(|text| parse(text));
        let urls = urls.collect::<Result<Vec<_>, _>>()?;
        if urls.is_empty() {
            let report = Report::new(KvError::Invalid);
            return Err(report.attach("no address given"));
        }
        let transport = Transport::new(
            urls,
            Duration::from_millis(self.timeout_ms),
            Duration::from_millis(self.connect_timeout_ms),
            Duration::from_millis(self.watch_idle_ms),
        )?;
        Ok(EtcdJson(Arc::new(transport)))
    }
}

fn parse(text: &str) -> Result<Url, Report<KvError>> {
    let url = match text.contains("://") {
        true => Url::parse(text),
        false => Url::parse(&format!("{SCHEME}://{text}")),
    };
    let describe = || format!("address {text:?}");
    let url = url.change_context(KvError::Invalid).attach_with(describe)?;
    if url.scheme() != SCHEME || url.host().is_none() {
        return Err(Report::new(KvError::Invalid).attach(describe()));
    }
    Ok(url)
}
