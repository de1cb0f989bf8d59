//! Streams whose link to a companion falls silent.
#![allow(clippy::unwrap_used)]

mod forward_common;

use std::time::{Duration, Instant};

use companion::Companion;
use faultproxy::{Direction, Fault, FaultProxy, Rule, Scope};
use forward_common::{
    Events, KEY, MODEL, chat, companion, entry, platform, reserve,
    until_served, with_companion,
};
use pomeloslip_entry::Entry;
use serde_json::json;
use standin::{
    answer,
    engine::{Engine, EngineHandle, EngineSettings},
    kv::KvServiceHandle,
};
use yare::parameterized;

/// Longest time in which a stream goes on elsewhere; a silent link is given up
/// later.
const RESUME_TIME: Duration = Duration::from_secs(7);

/// Time for which a rule applies; shorter than the pause that it causes, which
/// it causes once therefore. Silenced connections stay silent.
const RULE_TIME: Duration = Duration::from_millis(1_500);

const PROMPT: &str = "may I fly";

/// Engine whose sixteen tokens take a second and a half.
async fn slow_engine() -> EngineHandle {
    let settings = EngineSettings {
        base_step_ms: 100.0,
        ..EngineSettings::instant()
    };
    Engine::start(settings).await.unwrap()
}

struct Setup {
    entry: Entry,
    proxies: Vec<FaultProxy>,
    engines: Vec<EngineHandle>,
    _companions: Vec<Companion>,
    _platform: KvServiceHandle,
}

/// Starts an entry with two endpoints whose companions it reaches through
/// proxies.
async fn setup(retries: u32) -> Setup {
    let platform = platform(&format!(", retries: {retries}")).await;
    let mut lines = "endpoints:\n".to_owned();
    let (mut proxies, mut engines, mut companions) = (vec![], vec![], vec![]);
    let entries: [_; 1] = reserve();
    for (at, peer) in reserve::<2>().into_iter().enumerate() {
        let name = format!("korv-lm-{at}");
        let engine = slow_engine().await;
        companions.push(companion(&name, peer, &engine, &entries).await);
        let proxy = FaultProxy::start(peer, 1).await.unwrap();
        lines.push_str(&with_companion(&name, proxy.address()));
        proxies.push(proxy);
        engines.push(engine);
    }
    let entry = entry(&platform, &lines).await;
    until_served(&entry).await;
    Setup {
        entry,
        proxies,
        engines,
        _companions: companions,
        _platform: platform,
    }
}

impl Setup {
    fn calls(&self) -> Vec<u64> {
        let calls = self.engines.iter().map(|one| one.counters().calls);
        calls.collect()
    }

    /// Starts a stream, applies a rule to its link and returns the whole
    /// stream, the time since then and the number of runs.
    async fn stream_with(&self, rule: Rule) -> (Events, Duration, u64) {
        let before = self.calls();
        let url = format!(
            "http://{}/v1/chat/completions",
            self.entry.http_address()
        );
        let call = reqwest::Client::new().post(url).bearer_auth(KEY);
        let mut reply = call.json(&chat(PROMPT)).send().await.unwrap();
        assert_eq!(reply.status().as_u16(), 200);
        let mut text = reply.chunk().await.unwrap().unwrap().to_vec();
        let now = self.calls();
        let at = now.iter().zip(&before).position(|(now, was)| now > was);
        let handle = self.proxies[at.unwrap()].handle();
        handle.set(vec![rule.scope(Scope::Open)]);
        let cut = Instant::now();
        tokio::spawn(async move {
            tokio::time::sleep(RULE_TIME).await;
            handle.clear();
        });
        while let Some(bytes) = reply.chunk().await.unwrap() {
            text.extend_from_slice(&bytes);
        }
        let runs: u64 = self.calls().iter().sum();
        let text = String::from_utf8(text).unwrap();
        let runs = runs - before.iter().sum::<u64>();
        (Events::of(&text), cut.elapsed(), runs)
    }
}

fn expected() -> String {
    let messages = json!([{"role": "user", "content": PROMPT}]);
    answer::text(MODEL, &answer::prompt_of_chat(&messages), 16)
}

/// Guards against a stream that stops until its silent link is given up.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_lost_link_goes_on_elsewhere_in_time() {
    let setup = setup(1).await;
    let (events, time, runs) =
        setup.stream_with(Rule::new(Fault::Silence)).await;
    events.is_one_answer(&expected());
    assert!(time < RESUME_TIME, "{time:?}");
    assert_eq!(runs, 2);
}

/// Guards against a stream that is cut or repeated though its link goes on.
#[parameterized(
    with_a_retry = { 1 },
    without_a_retry = { 0 },
)]
fn a_stream_outlasts_a_silence_of_its_link(retries: u32) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let setup = setup(retries).await;
        let pause = Rule::new(Fault::Delay { ms: 3_000 });
        let pause = pause.direction(Direction::ToClient);
        let (events, _, runs) = setup.stream_with(pause).await;
        events.is_one_answer(&expected());
        assert!(runs <= 1 + u64::from(retries), "{runs}");
    });
}
