use std::time::Duration;

use error_stack::Report;

use super::ClientError;

/// Attempts to learn what became of a call whose answer is lost.
const ATTEMPTS: u32 = 3;

/// Longest wait before such an attempt.
const WAIT_MAX_S: u64 = 5;

/// Makes a call again while it is unknown whether it took effect.
///
/// Only for calls that carry an identity by which the entry does nothing
/// twice. A refusal that says that nothing ran is returned at once: whether
/// to try again is for the caller to decide.
pub(super) async fn until_known<T>(
    call: impl AsyncFn() -> Result<T, Report<ClientError>>,
) -> Result<T, Report<ClientError>> {
    for _ in 1..ATTEMPTS {
        match call().await {
            Err(report) if report.current_context().may_have_run() => {
                tokio::time::sleep(pause(report.current_context())).await;
            }
            result => return result,
        }
    }
    call().await
}

/// Returns how long the entry asks to wait.
fn pause(error: &ClientError) -> Duration {
    let wait_s = match error {
        ClientError::Refused(problem) => problem.retry_after_s,
        _ => None,
    };
    Duration::from_secs(wait_s.unwrap_or(0).min(WAIT_MAX_S))
}
