//! The stand-in of the platform's list, over HTTP.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use base::SteppedClock;
use pomeloslip_standin::vms::{VmListService, VmListSettings};
use serde_json::{Value, json};

fn vm(name: &str, state: &str) -> Value {
    json!({
        "vm": name, "state": state, "failure_domain": "saue",
        "pool": "korv-lm", "ip": "10.0.0.7",
        "ports": {"peer": 7000, "http": 8000},
    })
}

#[tokio::test]
async fn every_change_shows_after_the_lag_and_in_order() {
    let settings = VmListSettings {
        lag_ms: 1_000,
        ..VmListSettings::default()
    };
    let clock = Arc::new(SteppedClock::default());
    let list = VmListService::start_with_clock(settings, clock.clone())
        .await
        .unwrap();
    let client = reqwest::Client::new();
    let url = format!("{}/v1/vms", list.url());
    let put = async |body: Value, name: &str| {
        let call = client.put(format!("{url}/{name}"));
        let reply = call.body(body.to_string()).send().await.unwrap();
        reply.status().as_u16()
    };
    let delete = async |name: &str| {
        let call = client.delete(format!("{url}/{name}"));
        call.send().await.unwrap().status().as_u16()
    };
    let served = async || {
        let text = client.get(&url).send().await.unwrap().text().await;
        serde_json::from_str::<Value>(&text.unwrap()).unwrap()
    };
    assert_eq!(put(vm("a", "live"), "a").await, 204);
    assert_eq!(put(vm("b", "live"), "a").await, 400, "another name");
    assert_eq!(put(vm("b", "lost"), "b").await, 422, "no such state");
    assert_eq!(served().await["vms"], json!([]));
    clock.step_ms(600);
    assert_eq!(put(vm("a", "leaving"), "a").await, 204);
    assert_eq!(put(vm("b", "live"), "b").await, 204);
    clock.step_ms(400);
    assert_eq!(served().await["vms"], json!([vm("a", "live")]));
    assert_eq!(delete("a").await, 204);
    assert_eq!(delete("a").await, 404);
    clock.step_ms(600);
    let reply = served().await;
    let expected = json!([vm("a", "leaving"), vm("b", "live")]);
    assert_eq!(reply["vms"], expected);
    assert_eq!(reply["generated_unix_ms"], 600);
    clock.step_ms(400);
    assert_eq!(served().await["vms"], json!([vm("b", "live")]));
    list.set_lag_ms(1_100);
    assert_eq!(served().await["vms"], expected);
    assert_eq!(list.reads(), 5);
}
