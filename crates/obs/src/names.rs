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
            /// All of them, in the order of their numbers.
            pub const ALL: &'static [$name] = &[$($name::$item,)+];

            /// Returns the name used in reports.
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
    /// Names a measured value; the unit is part of the name.
    Series {
        /// From the arrival of a request to its first token.
        FirstTokenMs = "first_token_ms",
        /// Between two tokens of one answer.
        BetweenTokensUs = "between_tokens_us",
        /// From the arrival of a request to the end of its answer.
        TotalMs = "total_ms",
        /// Time that the entry itself adds to a request.
        EntryOverheadUs = "entry_overhead_us",
        /// Time that a request waits for admission at its endpoint.
        QueueWaitUs = "queue_wait_us",
        /// From the start of a batch item at its endpoint to its result.
        BatchItemMs = "batch_item_ms",
        /// From the result of a batch item to the commit that shows it.
        CommitMs = "commit_ms",
        /// One call of the key-value service.
        KvCallUs = "kv_call_us",
    }
}

names! {
    /// Names something that is counted.
    Counter {
        /// Requests or items that arrived.
        Arrived = "arrived",
        /// Requests or items with a whole answer.
        Completed = "completed",
        /// Requests that were refused and did not run.
        Refused = "refused",
        /// Requests that ended in an error after they may have run.
        Failed = "failed",
        /// Requests that their caller gave up.
        Cancelled = "cancelled",
        /// Attempts after the first.
        Retried = "retried",
        /// Batch items that gave way to an online request.
        Preempted = "preempted",
        /// Tokens passed on to callers.
        Tokens = "tokens",
    }
}

names! {
    /// Names a value that stands until it is set anew.
    Gauge {
        /// Configuration revision in force.
        Revision = "revision",
        /// Endpoints that take work.
        EndpointsUp = "endpoints_up",
        /// Endpoints that are known and take none.
        EndpointsDown = "endpoints_down",
        /// Online requests that run now.
        OnlineRunning = "online_running",
        /// Online requests that wait now.
        OnlineWaiting = "online_waiting",
        /// Batch items that run now.
        BatchRunning = "batch_running",
        /// Batch items that wait now.
        BatchWaiting = "batch_waiting",
        /// Batch partitions that this process owns.
        Partitions = "partitions",
        /// Resident memory of the process.
        ResidentBytes = "resident_bytes",
    }
}
