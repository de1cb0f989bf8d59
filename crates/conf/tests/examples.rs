//! The first deployments in `examples`: valid, and their files fit together.

use std::{collections::BTreeSet, fs, path::PathBuf};

use pomeloslip_conf::settings::{EndpointKind, Role, Settings};
use yare::parameterized;

fn all(user: &str) -> Vec<Settings> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let folder = root.join("../../examples").join(user).join("settings");
    let files = fs::read_dir(folder).expect("a folder");
    let mut paths: Vec<_> = files.map(|f| f.expect("a file").path()).collect();
    paths.sort();
    let read = |path: &PathBuf| {
        let settings = Settings::read(path);
        let settings = settings.unwrap_or_else(|error| panic!("{error}"));
        let stem = path.file_stem().expect("a name").to_string_lossy();
        assert_eq!(settings.vm.as_str(), stem, "named as its machine");
        settings
    };
    paths.iter().map(read).collect()
}

fn of(all: &[Settings], role: Role) -> Vec<&Settings> {
    all.iter().filter(|one| one.role == role).collect()
}

#[parameterized(
    taevakorv = { "taevakorv", &["tallinn-a", "tallinn-b", "maardu", "saue"], 3, &["korv-lm", "vautsher-app"] },
    alama = { "alama", &["dar-kariakoo", "dar-msasani", "dar-ubungo"], 2, &["alama-llm", "registry-desk"] },
)]
fn a_deployment_fits_together(
    user: &str,
    domains: &[&str],
    entries: usize,
    pools: &[&str],
) {
    let all = all(user);
    let known: BTreeSet<&str> =
        all.iter().map(|one| one.failure_domain.as_str()).collect();
    assert_eq!(known, domains.iter().copied().collect());
    let listens: BTreeSet<_> =
        all.iter().flat_map(|o| [o.listen, o.peer_listen]).collect();
    assert_eq!(listens.len(), 2 * all.len(), "no address is used twice");
    let secrets = &all[0].peer_secrets;
    assert!(all.iter().all(|one| one.peer_secrets == *secrets));

    let entry = of(&all, Role::Entry);
    assert_eq!(entry.len(), entries);
    let peers: BTreeSet<_> = entry.iter().map(|e| e.peer_listen).collect();
    let data = of(&all, Role::Data);
    for one in &entry {
        let mut met: BTreeSet<_> = one.entries.iter().copied().collect();
        met.insert(one.peer_listen);
        assert_eq!(met, peers, "knows the other entries");
        assert!(one.vm_list.is_some() && one.endpoints.is_empty());
        assert_eq!(one.batch, entry[0].batch, "the same partitions");
    }
    let apart: BTreeSet<_> = data.iter().map(|d| &d.failure_domain).collect();
    assert_eq!(apart.len(), 3, "two are left if one is lost");
    for one in entry.iter().chain(&data) {
        assert_eq!(one.data_vms.len(), data.len());
        for (listed, real) in one.data_vms.iter().zip(&data) {
            assert_eq!(listed.vm, real.vm);
            assert_eq!(listed.address, real.peer_listen);
            assert_eq!(listed.failure_domain, real.failure_domain);
        }
    }

    let companions = of(&all, Role::Companion);
    let found: BTreeSet<&str> = companions
        .iter()
        .filter_map(|one| one.endpoint.as_ref())
        .map(|endpoint| endpoint.pool.as_str())
        .collect();
    assert_eq!(found, pools.iter().copied().collect());
    for one in companions {
        let endpoint = one.endpoint.as_ref().expect("an endpoint");
        if endpoint.kind == EndpointKind::Engine {
            let pulls: BTreeSet<_> = one.entries.iter().copied().collect();
            assert_eq!(pulls, peers, "pulls from every entry");
            assert!(endpoint.batch_max_running < endpoint.max_running);
        } else {
            assert_eq!(endpoint.batch_max_running, 0);
        }
    }
}
