//! Tests the faults of the proxy over loopback sockets.
#![allow(clippy::unwrap_used)]

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use pomeloslip_faultproxy::{
    Direction, Fault, FaultProxy, Handle, Rule, Scope,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Timeout for expected events, long enough for a slow machine.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Time during which nothing must arrive. On a slow machine the check is only
/// less sensitive.
const QUIET: Duration = Duration::from_millis(100);

/// Starts a server that echoes every byte.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    address
}

async fn proxy() -> (FaultProxy, Handle) {
    let proxy = FaultProxy::start(echo().await, 7).await.unwrap();
    let handle = proxy.handle();
    (proxy, handle)
}

async fn open(proxy: &FaultProxy) -> TcpStream {
    TcpStream::connect(proxy.address()).await.unwrap()
}

async fn echo_round_trip(stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(bytes).await.unwrap();
    let mut back = vec![0; bytes.len()];
    let read = timeout(EVENT_TIMEOUT, stream.read_exact(&mut back)).await;
    read.unwrap().unwrap();
    assert_eq!(back, bytes);
}

async fn is_quiet(stream: &mut TcpStream) -> bool {
    let mut byte = [0];
    timeout(QUIET, stream.read(&mut byte)).await.is_err()
}

async fn wait_for(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(EVENT_TIMEOUT, wait).await.unwrap();
}

#[tokio::test]
async fn without_rules_bytes_and_ends_pass() {
    let (proxy, handle) = proxy().await;
    let mut stream = open(&proxy).await;
    echo_round_trip(&mut stream, b"hello").await;
    stream.shutdown().await.unwrap();
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.unwrap();
    assert!(rest.is_empty());
    wait_for(|| handle.counts().open == 0).await;
    let counts = handle.counts();
    assert_eq!((counts.to_target_bytes, counts.to_client_bytes), (5, 5));
    assert_eq!(counts.cut, 0);
}

#[tokio::test]
async fn open_connections_go_silent_while_new_ones_work() {
    let (proxy, handle) = proxy().await;
    let mut old = open(&proxy).await;
    echo_round_trip(&mut old, b"one").await;
    handle.set(vec![Rule::new(Fault::Silence).scope(Scope::Open)]);
    let mut new = open(&proxy).await;
    echo_round_trip(&mut new, b"two").await;
    old.write_all(b"lost").await.unwrap();
    wait_for(|| handle.counts().lost_bytes == 4).await;
    assert!(is_quiet(&mut old).await);
    // The connection stays silent because bytes of the stream are missing.
    handle.clear();
    old.write_all(b"late").await.unwrap();
    wait_for(|| handle.counts().lost_bytes == 8).await;
    assert!(is_quiet(&mut old).await);
    echo_round_trip(&mut new, b"three").await;
}

#[tokio::test]
async fn a_rule_for_new_connections_spares_open_ones() {
    let (proxy, handle) = proxy().await;
    let mut old = open(&proxy).await;
    echo_round_trip(&mut old, b"one").await;
    handle.set(vec![Rule::new(Fault::Silence).scope(Scope::New)]);
    let mut new = open(&proxy).await;
    new.write_all(b"two").await.unwrap();
    wait_for(|| handle.counts().lost_bytes == 3).await;
    assert!(is_quiet(&mut new).await);
    echo_round_trip(&mut old, b"three").await;
}

#[tokio::test]
async fn a_half_open_connection_loses_one_direction() {
    let (proxy, handle) = proxy().await;
    let rule = Rule::new(Fault::Silence).direction(Direction::ToClient);
    handle.set(vec![rule]);
    let mut stream = open(&proxy).await;
    stream.write_all(b"there").await.unwrap();
    wait_for(|| handle.counts().lost_bytes == 5).await;
    assert_eq!(handle.counts().to_target_bytes, 5);
    assert_eq!(handle.counts().to_client_bytes, 0);
    assert!(is_quiet(&mut stream).await);
}

#[tokio::test]
async fn a_cut_after_bytes_passes_exactly_those() {
    let (proxy, handle) = proxy().await;
    let rule = Rule::new(Fault::Cut)
        .direction(Direction::ToClient)
        .after_bytes(1_000);
    handle.set(vec![rule]);
    let mut stream = open(&proxy).await;
    stream.write_all(&[7; 3_000]).await.unwrap();
    let mut all = Vec::new();
    let ended = timeout(EVENT_TIMEOUT, stream.read_to_end(&mut all)).await;
    let error = ended.unwrap().unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    wait_for(|| handle.counts().cut == 1).await;
    assert_eq!(handle.counts().to_client_bytes, 1_000);
}

#[tokio::test]
async fn a_close_after_bytes_ends_in_order() {
    let (proxy, handle) = proxy().await;
    let rule = Rule::new(Fault::Close)
        .direction(Direction::ToClient)
        .after_bytes(3);
    handle.set(vec![rule]);
    let mut stream = open(&proxy).await;
    stream.write_all(b"hello").await.unwrap();
    let mut all = Vec::new();
    let ended = timeout(EVENT_TIMEOUT, stream.read_to_end(&mut all)).await;
    ended.unwrap().unwrap();
    assert_eq!(all, b"hel");
}

#[tokio::test]
async fn a_cut_by_time_meets_an_idle_connection() {
    let (proxy, handle) = proxy().await;
    let mut stream = open(&proxy).await;
    echo_round_trip(&mut stream, b"one").await;
    handle.set(vec![Rule::new(Fault::Cut).after_ms(20)]);
    let mut byte = [0];
    let read = timeout(EVENT_TIMEOUT, stream.read(&mut byte))
        .await
        .unwrap();
    assert_eq!(read.unwrap_err().kind(), ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn the_handle_resets_open_connections() {
    let (proxy, handle) = proxy().await;
    let mut old = open(&proxy).await;
    echo_round_trip(&mut old, b"one").await;
    handle.cut_open();
    let mut byte = [0];
    let read = timeout(EVENT_TIMEOUT, old.read(&mut byte)).await.unwrap();
    assert_eq!(read.unwrap_err().kind(), ErrorKind::ConnectionReset);
    echo_round_trip(&mut open(&proxy).await, b"two").await;
}

/// Checks that no bytes are lost with delay and limited bandwidth. The delay
/// itself is not checked, because a slow machine adds delays of its own.
#[yare::parameterized(
    delay = { Fault::Delay { ms: 5 } },
    bandwidth = { Fault::Bandwidth { bytes_per_s: 1_000_000 } },
)]
fn slow_connections_lose_nothing(fault: Fault) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (proxy, handle) = proxy().await;
        handle.set(vec![Rule::new(fault)]);
        let bytes: Vec<u8> = (0..20_000_u32).map(|n| n as u8).collect();
        echo_round_trip(&mut open(&proxy).await, &bytes).await;
    });
}

#[tokio::test]
async fn a_seed_affects_the_same_connections() {
    let mut runs = Vec::new();
    for _ in 0..2 {
        let (proxy, handle) = proxy().await;
        handle.set(vec![Rule::new(Fault::Cut).chance(0.5)]);
        let mut affected = Vec::new();
        for _ in 0..24 {
            let mut stream = open(&proxy).await;
            let _ = stream.write_all(b"x").await;
            let mut byte = [0];
            let read = timeout(EVENT_TIMEOUT, stream.read(&mut byte)).await;
            affected.push(read.unwrap().is_err());
        }
        runs.push(affected);
    }
    assert_eq!(runs[0], runs[1]);
    assert!(runs[0].contains(&true) && runs[0].contains(&false));
}

#[tokio::test]
async fn a_stopped_proxy_ends_its_connections() {
    let (proxy, _) = proxy().await;
    let mut stream = open(&proxy).await;
    echo_round_trip(&mut stream, b"one").await;
    let address = proxy.address();
    proxy.stop().await;
    let mut byte = [0];
    let read = timeout(EVENT_TIMEOUT, stream.read(&mut byte))
        .await
        .unwrap();
    assert!(matches!(read, Ok(0) | Err(_)));
    assert!(TcpStream::connect(address).await.is_err());
}

/// Guards against a pause that loses bytes, reorders them, or is taken for the
/// end of the connection.
#[tokio::test]
async fn a_held_connection_delivers_all_bytes_in_order_afterwards() {
    let (proxy, handle) = proxy().await;
    let mut stream = open(&proxy).await;
    echo_round_trip(&mut stream, b"before").await;
    handle.set(vec![Rule::new(Fault::Hold)]);
    stream.write_all(b"first").await.unwrap();
    assert!(is_quiet(&mut stream).await);
    stream.write_all(b"second").await.unwrap();
    stream.shutdown().await.unwrap();
    assert!(is_quiet(&mut stream).await);
    handle.clear();
    let mut all = Vec::new();
    let read = timeout(EVENT_TIMEOUT, stream.read_to_end(&mut all)).await;
    read.unwrap().unwrap();
    assert_eq!(all, b"firstsecond");
    assert_eq!(handle.counts().lost_bytes, 0);
}
