//! Waits for the signals of a planned stop.

use error_stack::{Report, ResultExt};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::error::CommandError;

/// Hears SIGTERM and SIGINT from its creation on.
///
/// It must be there before a program says that it is ready. What goes wrong
/// otherwise: whoever waits for that word sends a signal at once, the
/// program does not hear it yet and dies of it instead of stopping.
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Begins to listen.
    pub(crate) fn listen() -> Result<Self, Report<CommandError>> {
        let hear = |kind| {
            let failed = CommandError::Failed("cannot wait for signals");
            signal(kind).change_context(failed)
        };
        Ok(Self {
            terminate: hear(SignalKind::terminate())?,
            interrupt: hear(SignalKind::interrupt())?,
        })
    }

    /// Resolves at the first signal.
    pub(crate) async fn stopped(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
