//! The stand-in of a plain service.

#![allow(clippy::unwrap_used)]

use pomeloslip_standin::service::{
    CALL_ID_HEADER, PlainAnswer, PlainService, PlainServiceFaults,
    PlainServiceHandle, PlainServiceSettings,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use yare::parameterized;

async fn start() -> PlainServiceHandle {
    PlainService::start(PlainServiceSettings::default())
        .await
        .unwrap()
}

#[parameterized(
    get = { "GET", "/" },
    post = { "POST", "/a/b?c=%20d" },
    put = { "PUT", "/counts" },
    patch = { "PATCH", "/x" },
    delete = { "DELETE", "/x" },
)]
#[test_macro(tokio::test)]
async fn any_call_is_echoed(method: &str, path: &str) {
    let service = start().await;
    let url = format!("{}{path}", service.url());
    let reply = reqwest::Client::new()
        .request(method.parse().unwrap(), url)
        .body("hello")
        .send()
        .await
        .unwrap();
    let answer: PlainAnswer = reply.json().await.unwrap();
    assert_eq!(answer, PlainAnswer::of(method, path, b"hello"));
}

/// Symptom: a booking is made twice.
/// Events: the service runs the call and dies before it answers; the caller
/// sends it again.
/// Cause: a lost answer was taken for a call that did not run.
#[tokio::test]
async fn a_dropped_call_has_run_and_gets_not_one_byte() {
    let service = start().await;
    let mut stream = TcpStream::connect(service.address()).await.unwrap();
    let request = "POST /book HTTP/1.1\r\nHost: x\r\nX-Call-Id: c1\r\n\
                   Content-Length: 8\r\n\r\n[[drop]]";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut reply = Vec::new();
    stream.read_to_end(&mut reply).await.unwrap();
    assert!(reply.is_empty(), "{}", String::from_utf8_lossy(&reply));
    assert_eq!(service.counts().by_call_id["c1"], 1);
}

#[tokio::test]
async fn a_double_run_shows() {
    let service = start().await;
    service
        .set_faults(PlainServiceFaults {
            fail_share: 1.0,
            ..PlainServiceFaults::default()
        })
        .unwrap();
    let url = format!("{}/book", service.url());
    for _ in 0..2 {
        let call = reqwest::Client::new().post(&url);
        let reply = call.header(CALL_ID_HEADER, "c1").send().await.unwrap();
        assert_eq!(reply.status(), 500, "it fails after it has run");
    }
    let reply = reqwest::get(format!("{}/counts", service.url())).await;
    let text = reply.unwrap().text().await.unwrap();
    assert_eq!(text, r#"{"runs":2,"by_call_id":{"c1":2}}"#);
    service.reset_counts();
    assert_eq!(service.counts().runs, 0);
}

#[tokio::test]
async fn an_address_in_use_is_reported() {
    let service = start().await;
    let settings = PlainServiceSettings {
        listen: service.address(),
        ..PlainServiceSettings::default()
    };
    let report = PlainService::start(settings).await.unwrap_err();
    let text = format!("{report:?}");
    assert!(text.contains("cannot listen"), "{text}");
    let address = service.address();
    service.stop().await;
    assert!(TcpStream::connect(address).await.is_err());
}
