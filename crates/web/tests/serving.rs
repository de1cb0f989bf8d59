//! Tests launch, health routes and problem documents over loopback sockets.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use pomeloslip_web::{
    HttpServer, LaunchOptions, Phase, Problem, ProblemKind, Ran, ServiceState,
    catchers, health_routes, launch,
};
use reqwest::StatusCode;
use rocket::{get, post, routes, serde::json::Json};

#[get("/full")]
fn full() -> Problem {
    Problem::new(ProblemKind::Overloaded, "all are busy")
        .ran(Ran::No)
        .retry_after_ms(1_200)
}

#[get("/lost")]
fn lost() -> Problem {
    Problem::new(ProblemKind::PlatformDown, "the change may be made")
        .ran(Ran::Unknown)
}

#[post("/echo", data = "<body>")]
fn echo(body: Json<String>) -> String {
    body.into_inner()
}

async fn serve(state: &ServiceState) -> HttpServer {
    let listen: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let rocket = rocket::build()
        .manage(state.clone())
        .mount("/", health_routes())
        .mount("/", routes![full, lost, echo])
        .register("/", catchers());
    let options = LaunchOptions::new(listen).body_max_bytes(16);
    launch(rocket, options).await.unwrap()
}

async fn get(served: &HttpServer, path: &str) -> reqwest::Response {
    let url = format!("http://{}{path}", served.address());
    reqwest::get(url).await.unwrap()
}

#[tokio::test]
async fn readiness_follows_the_phase_and_health_does_not() {
    let state = ServiceState::default();
    let served = serve(&state).await;
    let ready = get(&served, "/readyz").await.status();
    assert_eq!(ready, StatusCode::SERVICE_UNAVAILABLE);
    state.set(Phase::Ready);
    assert_eq!(get(&served, "/readyz").await.status(), StatusCode::OK);
    state.set(Phase::Draining);
    let ready = get(&served, "/readyz").await.status();
    assert_eq!(ready, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(get(&served, "/healthz").await.status(), StatusCode::OK);
    state.set(Phase::Ready);
    assert_eq!(state.phase(), Phase::Draining);
}

/// Guards against a caller that repeats a change since the status promises that
/// it was not made, while the document leaves this open.
#[tokio::test]
async fn a_problem_that_leaves_open_whether_it_ran_promises_nothing() {
    let served = serve(&ServiceState::default()).await;
    let reply = get(&served, "/lost").await;
    assert_eq!(reply.status(), StatusCode::BAD_GATEWAY);
    let json: serde_json::Value = reply.json().await.unwrap();
    assert_eq!(json["status"], 502);
    assert_eq!(json["ran"], "unknown");
}

#[tokio::test]
async fn a_problem_has_its_type_and_retry_after() {
    let served = serve(&ServiceState::default()).await;
    let reply = get(&served, "/full").await;
    assert_eq!(reply.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(reply.headers()["retry-after"], "2");
    assert_eq!(reply.headers()["content-type"], "application/problem+json");
    let body: serde_json::Value = reply.json().await.unwrap();
    assert_eq!(body["type"], "urn:pomeloslip:problem:overloaded");
    assert_eq!(body["ran"], "no");
}

#[tokio::test]
async fn errors_of_the_server_library_are_problems_too() {
    let served = serve(&ServiceState::default()).await;
    let reply = get(&served, "/nothing").await;
    assert_eq!(reply.status(), StatusCode::NOT_FOUND);
    let body: serde_json::Value = reply.json().await.unwrap();
    assert_eq!(body["type"], "urn:pomeloslip:problem:not-found");
    assert_eq!(body["ran"], "no");
    let url = format!("http://{}/echo", served.address());
    let call = reqwest::Client::new().post(url).json(&"x".repeat(17));
    let reply = call.send().await.unwrap();
    assert_eq!(reply.status(), StatusCode::PAYLOAD_TOO_LARGE);
    let body: serde_json::Value = reply.json().await.unwrap();
    assert_eq!(body["type"], "urn:pomeloslip:problem:too-large");
}

#[tokio::test]
async fn an_address_in_use_is_named() {
    let served = serve(&ServiceState::default()).await;
    let options = LaunchOptions::new(served.address());
    let error = launch(rocket::build(), options).await.unwrap_err();
    let text = format!("{error:?}");
    assert!(text.contains(&served.address().to_string()), "{text}");
}

/// Guards against a graceful shutdown that takes two minutes or interrupts a
/// response. Rocket does not count requests: when a shutdown starts while a
/// response is sent, Rocket either waits for its whole grace period or
/// interrupts the response.
#[tokio::test]
async fn wait_idle_returns_once_no_request_runs() {
    let state = ServiceState::default();
    let active = state.begin_request();
    assert!(!state.wait_idle(20).await);
    let waiting = state.wait_idle(60_000);
    drop(active);
    assert!(waiting.await);
    assert_eq!(state.active(), 0);
}

#[test]
fn every_kind_has_a_type_of_its_own() {
    let mut slugs: Vec<_> =
        ProblemKind::ALL.iter().map(|kind| kind.slug()).collect();
    slugs.sort_unstable();
    slugs.dedup();
    assert_eq!(slugs.len(), ProblemKind::ALL.len());
    assert!(ProblemKind::ALL.iter().all(|kind| kind.status() >= 400));
}
