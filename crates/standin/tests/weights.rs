//! The stand-in of the weight store.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use base::SteppedClock;
use pomeloslip_standin::weights::{
    WeightStore, WeightStoreSettings, weight_bytes,
};

#[tokio::test]
async fn the_rate_holds_and_retry_after_is_enough() {
    let settings = WeightStoreSettings {
        size_bytes: 1_000,
        calls_per_minute: 7,
        burst_calls: 3,
        ..WeightStoreSettings::default()
    };
    let clock = Arc::new(SteppedClock::default());
    let store = WeightStore::start_with_clock(settings, clock.clone())
        .await
        .unwrap();
    let url = format!("{}/weights/korv-lm/v2", store.url());
    for _ in 0..3 {
        let reply = reqwest::get(&url).await.unwrap();
        let body = reply.bytes().await.unwrap();
        assert_eq!(body, weight_bytes("korv-lm", "v2", 1_000));
    }
    for _ in 0..5 {
        let reply = reqwest::get(&url).await.unwrap();
        assert_eq!(reply.status(), 429);
        let wait = reply.headers()["retry-after"].to_str().unwrap();
        clock.step_ms(wait.parse::<u64>().unwrap() * 1_000);
        assert_eq!(reqwest::get(&url).await.unwrap().status(), 200);
    }
    let counts = store.counts();
    assert_eq!((counts.served, counts.limited), (8, 5));
    assert_eq!(counts.bytes_out, 8_000);
    assert_eq!(counts.by_version["korv-lm/v2"], 8);
}

#[tokio::test]
async fn a_store_that_serves_nothing_is_refused() {
    let settings = WeightStoreSettings {
        burst_calls: 0,
        ..WeightStoreSettings::default()
    };
    assert!(WeightStore::start(settings).await.is_err());
}
