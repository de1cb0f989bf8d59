//! Waits for the signals of a planned stop.

use error_stack::ResultExt;
use tokio::signal::unix::{SignalKind, signal};

use crate::error::{CommandError, CommandResult};

/// Resolves at SIGTERM or SIGINT.
pub(crate) async fn stopped() -> CommandResult {
    let failed = CommandError::Failed("cannot wait for signals");
    let mut terminate = signal(SignalKind::terminate())
        .change_context_lazy(|| failed.clone())?;
    let mut interrupt =
        signal(SignalKind::interrupt()).change_context(failed)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
