//! The deployments in `examples` are valid, and their files are consistent.

use std::{collections::BTreeSet, fs, path::PathBuf};

use pomeloslip_conf::settings::{EndpointKind, Role, Settings};
use yare::parameterized;

fn read_all(user: &str) -> Vec<Settings> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let folder = root.join("../../examples").join(user).join("settings");
    let files = fs::read_dir(folder).expect("a folder");
    let mut paths: Vec<_> = files.map(|f| f.expect("a file").path()).collect();
    paths.sort();
    let read = |path: &PathBuf| {
        let settings = Settings::read(path);
        let settings = settings.unwrap_or_else(|error| panic!("{error}"));
        let stem = path.file_stem().expect("a name").to_string_lossy();
        assert_eq!(
            settings.vm.as_str(),
            stem,
            "the file is named after its machine"
        );
        settings
    };
    paths.iter().map(read).collect()
}

fn with_role(all: &[Settings], role: Role) -> Vec<&Settings> {
    all.iter()
        .filter(|settings| settings.role == role)
        .collect()
}

#[parameterized(
    taevakorv = { "taevakorv", &["tallinn-a", "tallinn-b", "maardu", "saue"], 3, &["korv-lm", "vautsher-app"] },
    alama = { "alama", &["dar-kariakoo", "dar-msasani", "dar-ubungo"], 2, &["alama-llm", "registry-desk"] },
)]
fn a_deployment_is_consistent(
    user: &str,
    domains: &[&str],
    entries: usize,
    pools: &[&str],
) {
    let all = read_all(user);
    let known: BTreeSet<&str> = all
        .iter()
        .map(|settings| settings.failure_domain.as_str())
        .collect();
    assert_eq!(known, domains.iter().copied().collect());
    let listens: BTreeSet<_> =
        all.iter().flat_map(|o| [o.listen, o.peer_listen]).collect();
    assert_eq!(listens.len(), 2 * all.len(), "no address is used twice");
    let secrets = &all[0].peer_secrets;
    assert!(all.iter().all(|settings| settings.peer_secrets == *secrets));

    let entry_settings = with_role(&all, Role::Entry);
    assert_eq!(entry_settings.len(), entries);
    let peers: BTreeSet<_> =
        entry_settings.iter().map(|e| e.peer_listen).collect();
    let data = with_role(&all, Role::Data);
    for entry in &entry_settings {
        let mut reachable: BTreeSet<_> =
            entry.entries.iter().copied().collect();
        reachable.insert(entry.peer_listen);
        assert_eq!(reachable, peers, "knows the other entries");
        assert!(entry.vm_list.is_some() && entry.endpoints.is_empty());
        assert_eq!(
            entry.batch, entry_settings[0].batch,
            "the same partitions"
        );
    }
    let data_domains: BTreeSet<_> =
        data.iter().map(|d| &d.failure_domain).collect();
    assert_eq!(data_domains.len(), 3, "two remain if one fails");
    for settings in entry_settings.iter().chain(&data) {
        assert_eq!(settings.data_vms.len(), data.len());
        for (listed, real) in settings.data_vms.iter().zip(&data) {
            assert_eq!(listed.vm, real.vm);
            assert_eq!(listed.address, real.peer_listen);
            assert_eq!(listed.failure_domain, real.failure_domain);
        }
    }

    let companions = with_role(&all, Role::Companion);
    let found: BTreeSet<&str> = companions
        .iter()
        .filter_map(|settings| settings.endpoint.as_ref())
        .map(|endpoint| endpoint.pool.as_str())
        .collect();
    assert_eq!(found, pools.iter().copied().collect());
    for settings in companions {
        let endpoint = settings.endpoint.as_ref().expect("an endpoint");
        if endpoint.kind == EndpointKind::Engine {
            let sources: BTreeSet<_> =
                settings.entries.iter().copied().collect();
            assert_eq!(sources, peers, "pulls from every entry");
            assert!(endpoint.batch_max_running < endpoint.max_running);
        } else {
            assert_eq!(endpoint.batch_max_running, 0);
        }
    }
}
