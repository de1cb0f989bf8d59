//! Builds the lines of output and error files.

use base::JobId;
use bytes::Bytes;
use serde_json::{Value, json};
use wire::message::{ItemOutcome, ItemResult};

/// Why an item failed permanently.
#[derive(Clone, Copy, Debug)]
pub(super) enum FailureReason {
    /// The endpoint rejected the item as invalid.
    Rejected,
    /// All attempts failed.
    Attempts(u32),
}

impl FailureReason {
    fn code(self) -> &'static str {
        match self {
            FailureReason::Rejected => "item_rejected",
            FailureReason::Attempts(_) => "item_failed",
        }
    }

    fn message(self) -> String {
        match self {
            FailureReason::Rejected => {
                "the endpoint rejects this item".to_owned()
            }
            FailureReason::Attempts(n) => {
                format!("given up after {n} attempts")
            }
        }
    }
}

/// Builds the output line of a completed item.
pub(super) fn output(result: &ItemResult, custom_id: &str) -> Bytes {
    let request_id =
        format!("{}-{}-{}", result.job, result.index, result.attempt);
    let line = json!({
        "id": format!("{}-{}", result.job, result.index),
        "custom_id": custom_id,
        "response": {
            "status_code": result.status,
            "request_id": request_id,
            "body": body(result),
        },
        "error": null,
    });
    format!("{line}\n").into()
}

/// Builds the error line of an item from its last result.
pub(super) fn error(
    result: &ItemResult,
    custom_id: &str,
    reason: FailureReason,
) -> Bytes {
    let response = match result.outcome {
        ItemOutcome::Answered => json!({
            "status_code": result.status,
            "body": body(result),
        }),
        _ => Value::Null,
    };
    error_line(&result.job, result.index, custom_id, reason, response)
}

/// Builds the error line of an item without any response from an endpoint.
pub(super) fn no_response(
    job: &JobId,
    index: u32,
    custom_id: &str,
    attempts: u32,
) -> Bytes {
    let reason = FailureReason::Attempts(attempts);
    error_line(job, index, custom_id, reason, Value::Null)
}

fn error_line(
    job: &JobId,
    index: u32,
    custom_id: &str,
    reason: FailureReason,
    response: Value,
) -> Bytes {
    let line = json!({
        "id": format!("{job}-{index}"),
        "custom_id": custom_id,
        "response": response,
        "error": {"code": reason.code(), "message": reason.message()},
    });
    format!("{line}\n").into()
}

fn body(result: &ItemResult) -> Value {
    serde_json::from_slice(&result.body).unwrap_or_else(|_| {
        String::from_utf8_lossy(&result.body).into_owned().into()
    })
}
