//! Settings of the daemon.

use std::path::{Path, PathBuf};

use pomeloslip_conf::settings::{Role, Settings};
use yare::parameterized;

const ENTRY: &str = "\
role: entry
vm: entry-1
failure_domain: maardu
listen: 127.0.0.1:18101
peer_listen: 127.0.0.1:18151
key_value: {addresses: [http://127.0.0.1:18001]}
";

const COMPANION: &str = "\
role: companion
vm: endpoint-1
failure_domain: maardu
listen: 127.0.0.1:18301
peer_listen: 127.0.0.1:18351
entries: [127.0.0.1:18151]
endpoint:
  {name: e-1, pool: korv-lm, kind: engine, address: http://127.0.0.1:18401}
";

fn error(text: &str) -> String {
    let report = Settings::parse("f", text).expect_err("an error");
    report.current_context().to_string()
}

fn example(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    root.join("../../examples/settings").join(name)
}

#[parameterized(
    entry_1 = { "entry-1.yaml", Role::Entry },
    entry_2 = { "entry-2.yaml", Role::Entry },
    data_1 = { "data-1.yaml", Role::Data },
    data_2 = { "data-2.yaml", Role::Data },
    companion_1 = { "companion-1.yaml", Role::Companion },
    companion_2 = { "companion-2.yaml", Role::Companion },
    companion_3 = { "companion-3.yaml", Role::Companion },
    companion_4 = { "companion-4.yaml", Role::Companion },
)]
fn examples_are_valid(name: &str, role: Role) {
    let settings = Settings::read(example(name)).expect("valid");
    assert_eq!(settings.role, role);
    assert_eq!(settings.vm.as_str().split('-').count(), 2);
}

#[test]
fn examples_are_consistent() {
    let read = |name: &str| Settings::read(example(name)).expect("valid");
    let entries = [read("entry-1.yaml"), read("entry-2.yaml")];
    for entry in &entries {
        for (data_vm, n) in entry.data_vms.iter().zip(1..) {
            let data = read(&format!("data-{n}.yaml"));
            assert_eq!(data_vm.address, data.peer_listen);
            assert_eq!(data_vm.failure_domain, data.failure_domain);
        }
        for (endpoint, n) in entry.endpoints.iter().zip(1..) {
            let companion = read(&format!("companion-{n}.yaml"));
            assert_eq!(endpoint.peer, Some(companion.peer_listen));
            assert_eq!(endpoint.failure_domain, companion.failure_domain);
            let own = companion.endpoint.expect("an endpoint");
            assert_eq!(
                (&endpoint.endpoint, &endpoint.pool),
                (&own.name, &own.pool)
            );
        }
    }
    let peers = entries.each_ref().map(|entry| entry.peer_listen);
    assert_eq!(read("companion-1.yaml").entries, peers);
}

#[parameterized(
    host_name = { "listen: 127.0.0.1:18101", "listen: localhost:80", "f:4:9: listen: \"localhost:80\" is not an IP address by number with a port, such as 10.0.0.1:8080; host names are not looked up" },
    no_port = { "listen: 127.0.0.1:18101", "listen: 127.0.0.1", "f:4:9: listen: \"127.0.0.1\" has no port; write IP:PORT, such as 10.0.0.1:8080" },
    host_in_url = { "http://127.0.0.1:18001", "http://kv:18001", "f:6:25: key_value.addresses[0]: \"kv:18001\" is not an IP address by number with a port, such as 10.0.0.1:8080; host names are not looked up" },
    https = { "http://127.0.0.1:18001", "https://127.0.0.1:1", "f:6:25: key_value.addresses[0]: \"https://127.0.0.1:1\" is not an address of the form http://IP:PORT" },
    role = { "role: entry", "role: entyr", "f:1:7: role: unknown value \"entyr\"; one of entry, companion, data; did you mean \"entry\"?" },
    vm = { "vm: entry-1", "vm: entry 1", "f:2:5: vm: a vm takes letters, digits and - _ . only, not ' '" },
    no_key_value = { "key_value: {addresses: [http://127.0.0.1:18001]}", "", "f:1:1: key_value: missing; required by role entry" },
    no_address = { "[http://127.0.0.1:18001]", "[]", "f:6:24: key_value.addresses: is empty" },
    same_address = { ":18151", ":18101", "f:5:14: peer_listen: is the same as `listen`" },
    unit = { "key_value:", "timeouts: {connect_s: 1}\nkey_value:", "f:6:12: timeouts.connect_s: unknown key; did you mean \"connect_ms\"?" },
    range = { "key_value:", "batch: {lease_ttl_s: 1}\nkey_value:", "f:6:22: batch.lease_ttl_s: 1 is not in 2 to 300" },
    first_byte = { "key_value:", "timeouts: {first_byte_ms: 4999}\nkey_value:", "f:6:27: timeouts.first_byte_ms: 4999 is not in 5000 to 86400000" },
    between_bytes = { "key_value:", "timeouts: {between_bytes_ms: 4999}\nkey_value:", "f:6:30: timeouts.between_bytes_ms: 4999 is not in 5000 to 86400000" },
    secret = { "key_value:", "peer_secrets: [short]\nkey_value:", "f:6:16: peer_secrets[0]: has fewer than 16 bytes" },
    secret_is_not_shown = { "key_value:", "peer_secrets: [[hidden-secret]]\nkey_value:", "f:6:16: peer_secrets[0]: expected a string, found a list" },
    data_twice = { "key_value:", "data_vms: [{vm: d, address: 127.0.0.1:1, failure_domain: a}, {vm: d, address: 127.0.0.1:2, failure_domain: b}]\nkey_value:", "f:6:67: data_vms[1].vm: \"d\" is also in data_vms[0].vm" },
    no_version = { "key_value:", "endpoints: [{endpoint: e, pool: p, failure_domain: a, http: 'http://127.0.0.1:1', version: ''}]\nkey_value:", "f:6:92: endpoints[0].version: is empty" },
    version_of_companion = { "key_value:", "endpoints: [{endpoint: e, pool: p, failure_domain: a, peer: '127.0.0.1:1', version: v1}]\nkey_value:", "f:6:85: endpoints[0].version: belongs into the settings of the companion" },
    neither = { "key_value:", "endpoints: [{endpoint: e, pool: p, failure_domain: a}]\nkey_value:", "f:6:13: endpoints[0]: needs exactly one of `peer` and `http`" },
    unreachable = { "key_value:", "entries: [127.0.0.1:0, 0.0.0.0:5]\nkey_value:", "f:6:11: entries[0]: cannot be connected to: the port is 0\nf:6:24: entries[1]: is not the address of a single machine" },
    level = { "key_value:", "log: {level: inof}\nkey_value:", "f:6:14: log.level: unknown value \"inof\"; one of off, error, warn, info, debug, trace; did you mean \"info\"?" },
)]
fn entry_problem(old: &str, new: &str, line: &str) {
    assert!(Settings::parse("f", ENTRY).is_ok());
    assert_eq!(error(&ENTRY.replacen(old, new, 1)), line);
}

#[parameterized(
    no_entries = { "entries: [127.0.0.1:18151]\n", "", "f:1:1: entries: missing; required by role companion" },
    more_batch = { "kind: engine", "kind: engine, max_running: 8, batch_max_running: 9", "f:8:79: endpoint.batch_max_running: 9 is not in 0 to 8" },
    pool = { "pool: korv-lm", "pool: korv lm", "f:8:21: endpoint.pool: must consist of letters, digits and - _ . only" },
    data = { "entries:", "data: {folder: x}\nentries:", "f:6:7: data: is not valid for role companion, which stores no data" },
)]
fn companion_problem(old: &str, new: &str, line: &str) {
    assert!(Settings::parse("f", COMPANION).is_ok());
    assert_eq!(error(&COMPANION.replacen(old, new, 1)), line);
}

#[test]
fn defaults_reserve_capacity_for_online_requests() {
    let companion = Settings::parse("f", COMPANION).expect("valid");
    let endpoint = companion.endpoint.expect("an endpoint");
    assert!(endpoint.batch_max_running < endpoint.max_running);
    assert!(!endpoint.checks_fence);
}

/// Guards against secrets in logs or at `/status`, where settings are shown
/// through `Debug` or serde.
#[test]
fn secrets_are_not_shown() {
    let text = format!("{ENTRY}peer_secrets: [0123456789abcdef]\n");
    let settings = Settings::parse("f", &text).expect("valid");
    assert_eq!(settings.peer_secrets[0].expose(), "0123456789abcdef");
    let shown = format!("{settings:?}");
    let json = serde_json::to_string(&settings).expect("serializable");
    assert!(!shown.contains("0123456789abcdef"));
    assert!(!json.contains("0123456789abcdef"));
}
