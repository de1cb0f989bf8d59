use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! names {
    (
        $(#[$doc:meta])* $name:ident {
            $($(#[$item_doc:meta])* $item:ident = $text:literal,)+
        }
    ) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash,
            Serialize, Deserialize,
        )]
        pub enum $name {
            $($(#[$item_doc])* #[serde(rename = $text)] $item,)+
        }

        impl $name {
            /// All variants, in the order of their indices.
            pub const ALL: &'static [$name] = &[$($name::$item,)+];

            /// Returns the name in reports.
            #[inline]
            pub fn as_str(self) -> &'static str {
                match self {
                    $($name::$item => $text,)+
                }
            }

            #[inline]
            pub(crate) const fn index(self) -> usize {
                self as usize
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

names! {
    /// A measured value; the name includes the unit.
    Series {
        /// Time from the arrival of a request to its first token.
        FirstTokenMs = "first_token_ms",
        /// Time between two tokens of one response.
        BetweenTokensUs = "between_tokens_us",
        /// Time from the arrival of a request to the end of its response.
        TotalMs = "total_ms",
        /// Time that the entry itself adds to a request.
        EntryOverheadUs = "entry_overhead_us",
        /// Time that a request waits for admission at its endpoint.
        QueueWaitUs = "queue_wait_us",
        /// Time from the start of a batch item at its endpoint to its result.
        BatchItemMs = "batch_item_ms",
        /// Time from the result of a batch item to the commit that publishes
        /// it.
        CommitMs = "commit_ms",
        /// Duration of a call to the key-value service.
        KvCallUs = "kv_call_us",
    }
}

names! {
    /// A counted event.
    Counter {
        /// Requests or items that arrived.
        Arrived = "arrived",
        /// Requests or items with a complete response.
        Completed = "completed",
        /// Requests that were refused and not executed.
        Refused = "refused",
        /// Requests that ended in an error after they may have been executed.
        Failed = "failed",
        /// Requests that the caller cancelled.
        Cancelled = "cancelled",
        /// Attempts after the first one.
        Retried = "retried",
        /// Batch items that were preempted by an online request.
        Preempted = "preempted",
        /// Tokens forwarded to callers.
        Tokens = "tokens",
    }
}

names! {
    /// A value that remains until it is set again.
    Gauge {
        /// Revision of the configuration in force.
        Revision = "revision",
        /// Endpoints that accept requests.
        EndpointsUp = "endpoints_up",
        /// Known endpoints that accept no requests.
        EndpointsDown = "endpoints_down",
        /// Running online requests.
        OnlineRunning = "online_running",
        /// Waiting online requests.
        OnlineWaiting = "online_waiting",
        /// Running batch items.
        BatchRunning = "batch_running",
        /// Waiting batch items.
        BatchWaiting = "batch_waiting",
        /// Batch partitions that this process owns.
        Partitions = "partitions",
        /// Resident memory of the process.
        ResidentBytes = "resident_bytes",
    }
}
