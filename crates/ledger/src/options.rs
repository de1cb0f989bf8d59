macro_rules! options {
    ($($(#[$doc:meta])* $name:ident: $type:ty = $default:expr;)*) => {
        /// Limits, intervals and timeouts of a [`Ledger`](crate::Ledger).
        ///
        /// # Example
        ///
        /// ```
        /// use pomeloslip_ledger::Options;
        ///
        /// let options = Options::default().partitions(64);
        /// assert_eq!(options.get_partitions(), 64);
        /// ```
        #[derive(Clone, Debug)]
        pub struct Options {
            $(pub(crate) $name: $type,)*
            pub(crate) injected_fault: Option<InjectedFault>,
        }

        impl Default for Options {
            fn default() -> Self {
                Self { $($name: $default,)* injected_fault: None }
            }
        }

        impl Options {
            $($(#[$doc])*
            pub fn $name(mut self, $name: $type) -> Self {
                self.$name = $name;
                self
            })*
        }
    };
}

options! {
    /// Sets the number of partitions that jobs are hashed into.
    partitions: u32 = 32;
    /// Sets the time to live of the lease, in seconds.
    lease_ttl_s: u32 = 10;
    /// Sets the safety margin: the lease counts as expired this long before
    /// its end.
    lease_margin_ms: u64 = 500;
    /// Sets the interval between reads of the members and owners.
    membership_interval_ms: u64 = 500;
    /// Sets the interval between reads of the open-job markers.
    list_interval_ms: u64 = 1_000;
    /// Sets the membership read interval of an entry that owns no partitions
    /// and cannot join.
    idle_membership_interval_ms: u64 = 10_000;
    /// Sets the maximum number of entries that own partitions; further entries
    /// stand by.
    members_max: usize = 32;
    /// Sets the minimum interval between two commits of a partition.
    commit_interval_ms: u64 = 250;
    /// Sets the maximum number of items in one commit.
    commit_items_max: usize = 2_000;
    /// Sets the maximum number of jobs in one commit; the key-value service
    /// limits the operations of a transaction.
    commit_jobs_max: usize = 16;
    /// Sets the maximum number of items granted by one pull.
    grant_items_max: u32 = 8;
    /// Sets the time to live of a grant after its last renewal.
    grant_ttl_ms: u64 = 10_000;
    /// Sets the number of failed attempts after which an item is given up.
    attempts_max: u32 = 5;
    /// Sets the base delay before a retry; the delay doubles with each
    /// failure.
    retry_base_ms: u64 = 100;
    /// Sets the delay before an endpoint may be granted an item that it has
    /// already attempted.
    same_endpoint_delay_ms: u64 = 5_000;
    /// Sets the due-time band: jobs due within this span of the earliest one
    /// share grants fairly among customers.
    due_band_ms: u64 = 15 * 60 * 1_000;
}

/// A fault that tests inject to verify that the checks detect it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InjectedFault {
    /// Transactions do not compare the fencing token.
    NoFence,
    /// A write of unknown outcome is treated as failed.
    NoReadBack,
}

impl Options {
    /// Returns the number of partitions.
    #[inline]
    pub fn get_partitions(&self) -> u32 {
        self.partitions
    }

    /// Injects a fault; for tests only.
    #[doc(hidden)]
    pub fn inject_fault(mut self, fault: InjectedFault) -> Self {
        self.injected_fault = Some(fault);
        self
    }
}
