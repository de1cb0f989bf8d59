//! Stand-in of a model engine with continuous batching.
//!
//! It speaks the OpenAI API on a loopback socket and behaves as the platform
//! says engines do: requests are admitted in the order of their arrival and
//! without priorities, streams slow down as the batch fills, prompts share a
//! prefix cache of bounded memory, and both the load report and the cache
//! events come late. Answers come from [`answer`](crate::answer), so that
//! each can be verified.
//!
//! | path | what it does |
//! |---|---|
//! | `POST /v1/chat/completions`, `POST /v1/completions` | answers, as a stream or whole |
//! | `GET /v1/models` | loaded models |
//! | `GET /health` | version and incarnation |
//! | `GET /metrics` | Prometheus text of `metrics_lag_ms` ago |
//! | `GET /cache_events?after=N&follow=B` | JSON lines, late and with gaps |
//! | `POST /orders`, `GET /orders` | load a model or an adapter, set the role |
//! | `POST /faults` | faults at run time |
//! | `GET /counters` | exact counts, for tests |
//!
//! A call may say `resume_offset: N` to go on after N tokens. `[[fail]]` in
//! a prompt is answered with 500, `[[slow N]]` waits N ms before the first
//! token, and `[[drop]]` ends the first answer to that prompt early, without
//! its end mark.
//!
//! # Formats
//!
//! `/metrics` has the names that vLLM publishes: the gauges
//! `vllm:num_requests_running`, `vllm:num_requests_waiting` and
//! `vllm:kv_cache_usage_perc` (0 to 1), and the counters
//! `vllm:prompt_tokens_total`, `vllm:generation_tokens_total` and
//! `vllm:prefix_cache_hits_total`.
//!
//! A cache event is a line such as
//! `{"seq":7,"kind":"stored","block":"00c0ffee00c0ffee","tokens":16}`;
//! the kind is `stored` or `removed` and the block is one of
//! [`block_hashes`](cache::block_hashes) in hexadecimal. `seq` skips the
//! events that were lost. With `follow=true` the stream stays open and sends
//! an empty line now and then.
//!
//! An order is
//! `{"fence":3,"kind":"load_model","model":"korv-lm","version":"2"}`; see
//! [`Order`]. A model that is loaded again is away until it is loaded.
//! Faults are [`EngineFaults`] as JSON; fields left out are off.
//!
//! Errors have the API's shape, `{"error": {"message", "type", "code"}}`.
//!
//! # Limits
//!
//! Rocket tells that a caller has left only when something is sent. An answer
//! in the making therefore sends, after `keep_alive_ms` of silence, a comment
//! (streams) or a blank (whole answers); a stalled engine sends nothing.

pub mod cache;
pub mod scheduler;

mod api;
mod core;
mod lagged;
mod orders;
mod reply;
mod routes;
mod server;
mod settings;
mod status;

pub use self::{
    core::{EngineCounters, EngineFaults},
    orders::{Order, OrderKind},
    server::{Engine, EngineHandle},
    settings::EngineSettings,
};
