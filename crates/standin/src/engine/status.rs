use std::{fmt::Write, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{Stream, stream};
use rocket::{Data, Route, State, get, http::Status, post, routes};
use serde_json::{Value, json};

use super::{
    EngineFaults, Order,
    api::unix_seconds,
    cache::{BLOCK_TOKENS, CacheChange},
    core::{CacheEvent, Core},
    reply::Reply,
    routes::read_json,
};

/// Pause between two looks for new cache events.
const FOLLOW_PAUSE_MS: u64 = 20;

/// Looks without an event after which an empty line is sent.
///
/// Without it, the stream of a caller that has left would stay for as long
/// as the cache does not change, because only sending shows that it left.
const LOOKS_PER_BLANK: u32 = 50;

pub(super) fn all() -> Vec<Route> {
    routes![
        models,
        health,
        metrics,
        counters,
        cache_events,
        give_order,
        list_orders,
        set_faults,
    ]
}

#[get("/v1/models")]
fn models(core: &State<Arc<Core>>) -> Reply {
    let list: Vec<Value> = core
        .models()
        .into_iter()
        .map(|id| {
            json!({
                "id": id,
                "object": "model",
                "created": unix_seconds(),
                "owned_by": "stand-in",
            })
        })
        .collect();
    Reply::json(Status::Ok, &json!({"object": "list", "data": list}))
}

#[get("/health")]
fn health(core: &State<Arc<Core>>) -> Reply {
    let body = json!({
        "status": "ok",
        "version": core.settings.version,
        "incarnation": core.incarnation,
    });
    Reply::json(Status::Ok, &body)
}

#[get("/metrics")]
fn metrics(core: &State<Arc<Core>>) -> Reply {
    let load = core.reported_load();
    let used = load.reserved_tokens as f64;
    let share = used / f64::from(core.settings.kv_tokens.max(1));
    let mut text = String::new();
    let mut add = |name: &str, kind: &str, value: f64| {
        let _ = writeln!(text, "# TYPE vllm:{name} {kind}");
        let _ = writeln!(text, "vllm:{name} {value}");
    };
    add("num_requests_running", "gauge", load.running as f64);
    add("num_requests_waiting", "gauge", load.waiting as f64);
    add("kv_cache_usage_perc", "gauge", share);
    add(
        "prompt_tokens_total",
        "counter",
        load.prefilled_tokens as f64,
    );
    add("generation_tokens_total", "counter", load.tokens as f64);
    let hits = load.cache_hit_tokens as f64;
    add("prefix_cache_hits_total", "counter", hits);
    Reply::text(text)
}

#[get("/counters")]
fn counters(core: &State<Arc<Core>>) -> Reply {
    Reply::json(Status::Ok, &core.counters())
}

#[post("/faults", data = "<body>")]
async fn set_faults(core: &State<Arc<Core>>, body: Data<'_>) -> Reply {
    match read_json::<EngineFaults>(core, body).await {
        Ok(faults) => {
            core.set_faults(faults);
            Reply::json(Status::Ok, &faults)
        }
        Err(reply) => reply,
    }
}

#[post("/orders", data = "<body>")]
async fn give_order(core: &State<Arc<Core>>, body: Data<'_>) -> Reply {
    let order = match read_json::<Order>(core, body).await {
        Ok(order) => order,
        Err(reply) => return reply,
    };
    match core.obey(order.clone()) {
        Ok(()) => Reply::json(Status::Ok, &order),
        Err(stale) => Reply::error(
            Status::Conflict,
            "invalid_request_error",
            Some("stale_fence"),
            format!(
                "the fencing number {} is older than {}",
                order.fence, stale.newest
            ),
        ),
    }
}

#[get("/orders")]
fn list_orders(core: &State<Arc<Core>>) -> Reply {
    Reply::json(Status::Ok, &json!({"data": core.obeyed()}))
}

#[get("/cache_events?<after>&<follow>")]
fn cache_events(
    core: &State<Arc<Core>>,
    after: Option<u64>,
    follow: Option<bool>,
) -> Reply {
    let follow = follow.unwrap_or(false);
    let core = Arc::clone(core);
    Reply::lines(event_lines(core, after.unwrap_or(0), follow))
}

fn event_lines(
    core: Arc<Core>,
    after: u64,
    follow: bool,
) -> impl Stream<Item = Bytes> + Send + 'static {
    stream::unfold(Some((core, after)), move |state| async move {
        let (core, mut after) = state?;
        for _ in 0..LOOKS_PER_BLANK {
            let events = core.cache_events(after);
            if let Some(last) = events.last() {
                after = last.sequence;
                let lines: String = events.iter().map(event_line).collect();
                return Some((lines.into(), Some((core, after))));
            }
            if !follow {
                return None;
            }
            let pause = Duration::from_millis(FOLLOW_PAUSE_MS);
            tokio::time::sleep(pause).await;
        }
        Some((Bytes::from_static(b"\n"), Some((core, after))))
    })
}

fn event_line(event: &CacheEvent) -> String {
    let (kind, block) = match event.change {
        CacheChange::Stored(block) => ("stored", block),
        CacheChange::Removed(block) => ("removed", block),
    };
    let line = json!({
        "seq": event.sequence,
        "kind": kind,
        "block": format!("{block:016x}"),
        "tokens": BLOCK_TOKENS,
    });
    format!("{line}\n")
}
