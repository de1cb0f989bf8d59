use std::{net::SocketAddr, path::Path};

use error_stack::Report;

use super::{
    BatchSettings, DataSettings, EndpointKind, EndpointSettings,
    KeyValueSettings, LimitSettings, Role, Settings, TimeoutSettings,
};
use crate::{
    Check, ConfError, Findings, UniqueNames, parse_checked, read_checked,
};

const DAY_MS: u64 = 86_400_000;
const MINUTE_MS: u64 = 60_000;
const MIB: u64 = 1 << 20;
const TIB: u64 = 1 << 40;

/// Minimum timeout of a silence: an endpoint or a network may be silent for
/// seconds and go on.
const MIN_SILENCE_MS: u64 = 5_000;

/// Minimum length of a secret; shorter ones are too easy to guess.
const MIN_SECRET_BYTES: usize = 16;

/// Maximum number of items in a commit, so that their records fit into the
/// largest value that the key-value service stores.
const MAX_COMMIT_ITEMS: u32 = 20_000;

impl Settings {
    /// Reads and validates the settings of a process.
    ///
    /// # Errors
    ///
    /// Every problem of the file with its location; see [`crate::read`].
    pub fn read(path: impl AsRef<Path>) -> Result<Self, Report<ConfError>> {
        read_checked(path)
    }

    /// Parses and validates the settings of a process.
    ///
    /// # Errors
    ///
    /// Every problem of the text with its location; see [`crate::parse`].
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_conf::settings::Settings;
    ///
    /// let text = "
    /// role: data
    /// vm: vm-7
    /// failure_domain: maardu
    /// listen: 127.0.0.1:18021
    /// peer_listen: 127.0.0.1:18022
    /// data: {folder: /var/lib/pomeloslip}
    /// peer_secrets: [0123456789abcdef]
    /// ";
    /// let settings = Settings::parse("data-1.yaml", text)?;
    /// assert_eq!(settings.timeouts.connect_ms, 1_000);
    /// # Ok::<(), error_stack::Report<pomeloslip_conf::ConfError>>(())
    /// ```
    pub fn parse(
        source_name: &str,
        text: &str,
    ) -> Result<Self, Report<ConfError>> {
        parse_checked(source_name, text)
    }

    fn check_role(&self, findings: &mut Findings<'_>) {
        let mut require = |section: &str, is_present: bool| {
            if !is_present {
                let role = self.role.as_str();
                let message = format!("missing; required by role {role}");
                findings.report(section, message);
            }
        };
        match self.role {
            Role::Entry => {
                require("key_value", self.key_value.is_some());
            }
            Role::Companion => {
                require("endpoint", self.endpoint.is_some());
                // Only engines run batch items.
                let kind =
                    self.endpoint.as_ref().map(|endpoint| endpoint.kind);
                let runs_batch = kind == Some(EndpointKind::Engine);
                require("entries", !runs_batch || !self.entries.is_empty());
            }
            Role::Data => require("data", self.data.is_some()),
        }
        if self.role != Role::Companion && self.endpoint.is_some() {
            let message = "is only valid for role companion";
            findings.report("endpoint", message);
        }
        if self.role == Role::Companion && self.data.is_some() {
            let message =
                "is not valid for role companion, which stores no data";
            findings.report("data", message);
        }
        if self.role != Role::Entry && !self.endpoints.is_empty() {
            findings.report("endpoints", "is only valid for role entry");
        }
    }

    fn check_addresses(&self, findings: &mut Findings<'_>) {
        let is_same = self.listen == self.peer_listen;
        if is_same && self.listen.port() != 0 {
            findings.report("peer_listen", "is the same as `listen`");
        }
        for (index, entry) in self.entries.iter().enumerate() {
            let path = findings.item_path("entries", index);
            check_remote(&path, *entry, findings);
        }
        if let Some(statsd) = self.metrics.statsd {
            check_remote("metrics.statsd", statsd, findings);
        }
    }

    fn check_data_vms(&self, findings: &mut Findings<'_>) {
        let mut names = UniqueNames::default();
        for (index, data_vm) in self.data_vms.iter().enumerate() {
            let path = findings.item_path("data_vms", index);
            let address = format!("{path}.address");
            check_remote(&address, data_vm.address, findings);
            let vm = format!("{path}.vm");
            names.add(&vm, data_vm.vm.as_str(), findings);
        }
    }

    fn check_endpoints(&self, findings: &mut Findings<'_>) {
        let mut names = UniqueNames::default();
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            let path = findings.item_path("endpoints", index);
            if endpoint.peer.is_some() == endpoint.http.is_some() {
                findings
                    .report(&path, "needs exactly one of `peer` and `http`");
            }
            let version = endpoint.version.as_deref();
            if version == Some("") {
                findings.report(&format!("{path}.version"), "is empty");
            }
            if version.is_some() && endpoint.peer.is_some() {
                let message = "belongs into the settings of the companion";
                findings.report(&format!("{path}.version"), message);
            }
            findings.check_name(&format!("{path}.pool"), &endpoint.pool);
            let name = format!("{path}.endpoint");
            names.add(&name, endpoint.endpoint.as_str(), findings);
        }
    }

    fn check_secrets(&self, findings: &mut Findings<'_>) {
        for (index, secret) in self.peer_secrets.iter().enumerate() {
            if secret.expose().len() < MIN_SECRET_BYTES {
                let path = findings.item_path("peer_secrets", index);
                let message =
                    format!("has fewer than {MIN_SECRET_BYTES} bytes");
                findings.report(&path, message);
            }
        }
    }
}

impl Check for Settings {
    fn check(&self, findings: &mut Findings<'_>) {
        self.check_role(findings);
        self.check_addresses(findings);
        self.check_data_vms(findings);
        self.check_endpoints(findings);
        self.check_secrets(findings);
        if let Some(key_value) = &self.key_value {
            key_value.check(findings);
        }
        if let Some(vm_list) = &self.vm_list {
            let poll_ms = vm_list.poll_ms;
            findings.check_range("vm_list.poll_ms", poll_ms, 100, MINUTE_MS);
        }
        if let Some(endpoint) = &self.endpoint {
            endpoint.check(findings);
        }
        if let Some(data) = &self.data {
            data.check(findings);
        }
        self.limits.check(findings);
        self.batch.check(findings);
        self.timeouts.check(findings);
        findings.check_name("metrics.prefix", &self.metrics.prefix);
    }
}

impl Check for KeyValueSettings {
    fn check(&self, findings: &mut Findings<'_>) {
        if self.addresses.is_empty() {
            findings.report("key_value.addresses", "is empty");
        }
        let timeout_ms = self.timeout_ms;
        findings.check_range(
            "key_value.timeout_ms",
            timeout_ms,
            10,
            MINUTE_MS,
        );
        if self.prefix.is_empty() {
            findings.report("key_value.prefix", "is empty");
        }
    }
}

impl Check for EndpointSettings {
    fn check(&self, findings: &mut Findings<'_>) {
        findings.check_name("endpoint.pool", &self.pool);
        if self.version.as_deref() == Some("") {
            findings.report("endpoint.version", "is empty");
        }
        let max_running = self.max_running;
        findings.check_range("endpoint.max_running", max_running, 1, 4_096);
        let batch = self.batch_max_running;
        findings.check_range(
            "endpoint.batch_max_running",
            batch,
            0,
            max_running,
        );
        let path = "endpoint.first_token_target_ms";
        findings.check_range(
            path,
            self.first_token_target_ms,
            1,
            10 * MINUTE_MS,
        );
        let path = "endpoint.between_tokens_target_ms";
        findings.check_range(
            path,
            self.between_tokens_target_ms,
            1,
            MINUTE_MS,
        );
    }
}

impl Check for DataSettings {
    fn check(&self, findings: &mut Findings<'_>) {
        if self.folder.as_os_str().is_empty() {
            findings.report("data.folder", "is empty");
        }
        let quota = self.quota_bytes;
        findings.check_range("data.quota_bytes", quota, MIB, 1_024 * TIB);
        let days = self.retention_days;
        findings.check_range("data.retention_days", days, 1, 3_650);
    }
}

impl Check for LimitSettings {
    fn check(&self, findings: &mut Findings<'_>) {
        let body = self.body_max_bytes;
        findings.check_range(
            "limits.body_max_bytes",
            body,
            1_024,
            1_024 * MIB,
        );
        let file = self.file_max_bytes;
        findings.check_range("limits.file_max_bytes", file, 1_024, TIB);
        let header = self.header_max_bytes;
        findings.check_range("limits.header_max_bytes", header, 256, MIB);
        findings.check_range("limits.headers_max", self.headers_max, 8, 1_024);
        findings.check_range(
            "limits.items_max",
            self.items_max,
            1,
            10_000_000,
        );
        let item = self.item_max_bytes;
        findings.check_range("limits.item_max_bytes", item, 64, file.max(64));
        let jobs = self.open_jobs_max;
        findings.check_range("limits.open_jobs_max", jobs, 1, 100_000);
        let streams = self.streams_max;
        findings.check_range("limits.streams_max", streams, 1, 100_000);
        let memory = self.memory_bytes;
        findings.check_range("limits.memory_bytes", memory, 32 * MIB, TIB);
        let timeout = self.body_timeout_ms;
        findings.check_range(
            "limits.body_timeout_ms",
            timeout,
            1_000,
            10 * MINUTE_MS,
        );
        let rate = self.body_min_bytes_per_s;
        findings.check_range(
            "limits.body_min_bytes_per_s",
            rate,
            1,
            1_024 * MIB,
        );
        let linger = self.linger_ms;
        findings.check_range("limits.linger_ms", linger, 0, MINUTE_MS);
        let linger = self.linger_bytes;
        findings.check_range("limits.linger_bytes", linger, 0, TIB);
    }
}

impl Check for BatchSettings {
    fn check(&self, findings: &mut Findings<'_>) {
        findings.check_range("batch.partitions", self.partitions, 1, 4_096);
        findings.check_range("batch.lease_ttl_s", self.lease_ttl_s, 2, 300);
        let interval = self.commit_interval_ms;
        findings.check_range(
            "batch.commit_interval_ms",
            interval,
            1,
            MINUTE_MS,
        );
        let items = self.commit_items_max;
        let path = "batch.commit_items_max";
        findings.check_range(path, items, 1, MAX_COMMIT_ITEMS);
        let grant = self.grant_items_max;
        findings.check_range("batch.grant_items_max", grant, 1, 1_024);
        let ttl = self.grant_ttl_ms;
        findings.check_range("batch.grant_ttl_ms", ttl, 100, DAY_MS);
        findings.check_range("batch.attempts_max", self.attempts_max, 1, 100);
    }
}

impl Check for TimeoutSettings {
    fn check(&self, findings: &mut Findings<'_>) {
        let connect = self.connect_ms;
        findings.check_range("timeouts.connect_ms", connect, 1, MINUTE_MS);
        let first = self.first_byte_ms;
        let path = "timeouts.first_byte_ms";
        findings.check_range(path, first, MIN_SILENCE_MS, DAY_MS);
        let between = self.between_bytes_ms;
        let path = "timeouts.between_bytes_ms";
        findings.check_range(path, between, MIN_SILENCE_MS, DAY_MS);
        findings.check_range("timeouts.drain_ms", self.drain_ms, 0, DAY_MS);
    }
}

/// Reports an address that cannot be connected to.
fn check_remote(path: &str, address: SocketAddr, findings: &mut Findings<'_>) {
    if address.port() == 0 {
        findings.report(path, "cannot be connected to: the port is 0");
    } else if address.ip().is_unspecified() {
        findings.report(path, "is not the address of a single machine");
    }
}
