//! The few calls that the harness makes itself.

use std::time::Duration;

use error_stack::{Report, ResultExt};
use serde_json::Value;

use crate::BenchError;

/// Longest wait for an answer.
const LIMIT: Duration = Duration::from_secs(2);

/// Makes a client that calls loopback only.
pub(crate) fn client() -> Result<reqwest::Client, Report<BenchError>> {
    reqwest::Client::builder()
        .no_proxy()
        .timeout(LIMIT)
        .build()
        .change_context(BenchError::Call)
}

/// Reads JSON, for example the counters of a stand-in.
///
/// # Errors
///
/// [`BenchError::Call`] if there is no answer or it is no JSON.
///
/// # Example
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// // Nothing listens at port 1.
/// let read = pomeloslip_bench::get_json("http://127.0.0.1:1/").await;
/// assert!(read.is_err());
/// # });
/// ```
pub async fn get_json(url: &str) -> Result<Value, Report<BenchError>> {
    let answer = client()?.get(url).send().await;
    let answer = answer.change_context(BenchError::Call)?;
    answer.json().await.change_context(BenchError::Call)
}

/// Sends JSON, for example faults to a stand-in.
///
/// # Errors
///
/// [`BenchError::Call`] if there is no answer or it is a refusal.
///
/// # Example
///
/// ```
/// use pomeloslip_bench::post_json;
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let faults = serde_json::json!({"down_ms": 100});
/// let sent = post_json("http://127.0.0.1:1/faults", &faults).await;
/// assert!(sent.is_err());
/// # });
/// ```
pub async fn post_json(
    url: &str,
    body: &Value,
) -> Result<(), Report<BenchError>> {
    let sent = client()?.post(url).json(body).send().await;
    let answer = sent.change_context(BenchError::Call)?;
    answer.error_for_status().change_context(BenchError::Call)?;
    Ok(())
}
