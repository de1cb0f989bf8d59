//! Lost and damaged replicas are restored from the other one.

#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, sync::Arc};

use base::Incarnation;
use bytes::Bytes;
use conf::settings::{DataSettings, DataVm};
use pomeloslip_data::{DataRole, Repair};
use wire::{
    Handlers, LinkOptions, Links, Secrets, Server, message::Identity, serve,
};

struct Node {
    role: DataRole,
    server: Server,
    vm: DataVm,
    folder: tempfile::TempDir,
}

fn identity(vm: &str) -> Identity {
    Identity {
        role: "data".to_owned(),
        vm: vm.parse().unwrap(),
        incarnation: Incarnation::new(1),
        failure_domain: "tallinn-a".parse().unwrap(),
    }
}

async fn node(vm: &str, domain: &str) -> Node {
    let folder = tempfile::tempdir().unwrap();
    let role = DataRole::open(&DataSettings::new(folder.path())).unwrap();
    let handlers = Handlers {
        data: Some(Arc::new(role.clone())),
        ..Handlers::default()
    };
    let listen: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let secrets = Secrets::default();
    let server = serve(listen, identity(vm), secrets, handlers).await;
    let server = server.unwrap();
    let vm = DataVm {
        vm: vm.parse().unwrap(),
        address: server.address(),
        failure_domain: domain.parse().unwrap(),
    };
    Node {
        role,
        server,
        vm,
        folder,
    }
}

fn repair(of: &Node, peers: &[&Node]) -> Repair {
    let options = LinkOptions::new(identity(of.vm.vm.as_str()));
    Repair::new(
        of.role.store().clone(),
        Links::start(options).unwrap(),
        of.vm.vm.clone(),
        of.vm.failure_domain.clone(),
        peers.iter().map(|peer| peer.vm.clone()).collect(),
    )
}

fn put(node: &Node, id: &str, text: &'static str) {
    let bytes = Bytes::from_static(text.as_bytes());
    let crc = crc32fast::hash(&bytes);
    node.role
        .store()
        .put(&id.parse().unwrap(), bytes, crc)
        .unwrap();
}

fn text(node: &Node, id: &str) -> Option<Bytes> {
    let found = node.role.store().get(&id.parse().unwrap()).unwrap();
    found.map(|blob| blob.bytes)
}

/// Guards against acknowledged results that become unreadable: a data VM is
/// lost and replaced by an empty one, and later the other one is lost too. The
/// missing replicas must be copied in between.
#[tokio::test(flavor = "multi_thread")]
async fn a_data_vm_that_comes_back_empty_is_filled_again() {
    let whole = node("data-1", "tallinn-a").await;
    let empty = node("data-2", "maardu").await;
    for at in 0..600 {
        put(&whole, &format!("out/job/{at:04}"), "a result");
    }
    put(&empty, "out/job/0300", "a result");
    let mut repair = repair(&whole, &[&empty]);
    let mut copied = 0;
    loop {
        let step = repair.step().await.unwrap();
        copied += step.copied;
        if step.complete {
            break;
        }
    }
    assert_eq!(copied, 599);
    assert_eq!(text(&empty, "out/job/0599").unwrap(), "a result");
    let again = repair.step().await.unwrap();
    assert_eq!(again.copied, 0);
}

/// Guards against both replicas in one failure domain: one of three data VMs
/// is lost, and the new replica must not go to the peer in the same domain.
#[tokio::test(flavor = "multi_thread")]
async fn the_second_copy_goes_to_another_failure_domain() {
    let here = node("data-1", "tallinn-a").await;
    let same_domain_peer = node("data-2", "tallinn-a").await;
    let other = node("data-3", "saue").await;
    for at in 0..40 {
        put(&here, &format!("in/{at}"), "an input");
    }
    let step = repair(&here, &[&same_domain_peer, &other])
        .step()
        .await
        .unwrap();
    assert_eq!(step.copied, 40);
    assert_eq!(same_domain_peer.role.store().stat().unwrap().blobs, 0);
    assert_eq!(other.role.store().stat().unwrap().blobs, 40);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unreachable_peer_is_reported_and_retried() {
    let here = node("data-1", "tallinn-a").await;
    let other = node("data-2", "maardu").await;
    put(&here, "in/0", "an input");
    let mut repair = repair(&here, &[&other]);
    other.server.stop().await;
    assert!(repair.step().await.is_err());
}

/// Guards against results that are read with wrong content after a bit flip on
/// one data VM. Each read must detect the damage by its checksum, and the
/// repair must fetch the other replica.
#[tokio::test(flavor = "multi_thread")]
async fn a_damaged_copy_is_fetched_back() {
    const TEXT: &str = "a result that is easy to find on a disk";
    let here = node("data-1", "tallinn-a").await;
    let other = node("data-2", "maardu").await;
    put(&here, "out/0", TEXT);
    put(&other, "out/0", TEXT);
    assert!(flip(here.folder.path(), TEXT.as_bytes()) > 0);
    let read = here.role.store().get(&"out/0".parse().unwrap());
    assert!(read.is_err());
    let step = repair(&here, &[&other]).step().await.unwrap();
    assert_eq!(step.restored, 1);
    assert_eq!(text(&here, "out/0").unwrap(), TEXT);
}

/// Flips a bit of the first occurrence of the text in each file below the
/// folder.
fn flip(folder: &std::path::Path, text: &[u8]) -> usize {
    let mut flipped = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            flipped += flip(&path, text);
            continue;
        }
        let mut bytes = std::fs::read(&path).unwrap();
        let found = bytes.windows(text.len()).position(|w| w == text);
        if let Some(at) = found {
            bytes[at] ^= 1;
            std::fs::write(&path, bytes).unwrap();
            flipped += 1;
        }
    }
    flipped
}
