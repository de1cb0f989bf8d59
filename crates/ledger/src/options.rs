macro_rules! options {
    ($($(#[$doc:meta])* $name:ident: $type:ty = $default:expr;)*) => {
        /// Limits and spans of a [`Ledger`](crate::Ledger).
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
    /// Sets the partitions that jobs hash to.
    partitions: u32 = 32;
    /// Sets the life of the lease after its last renewal, in seconds.
    lease_ttl_s: u32 = 10;
    /// Sets how long before its end the lease is no longer relied on.
    lease_margin_ms: u64 = 500;
    /// Sets the time between two looks at members and owners.
    membership_interval_ms: u64 = 500;
    /// Sets the time between two looks at the markers of open jobs.
    list_interval_ms: u64 = 1_000;
    /// Sets that time for an entry that owns nothing and may not join.
    idle_membership_interval_ms: u64 = 10_000;
    /// Sets how many entries share the partitions; others stand by.
    members_max: usize = 32;
    /// Sets the shortest time between two commits of a partition.
    commit_interval_ms: u64 = 250;
    /// Sets the most items of one commit.
    commit_items_max: usize = 2_000;
    /// Sets the most jobs of one commit; a transaction has few steps.
    commit_jobs_max: usize = 16;
    /// Sets the most items granted at once.
    grant_items_max: u32 = 8;
    /// Sets the life of a grant after its last renewal.
    grant_ttl_ms: u64 = 10_000;
    /// Sets the attempts after which an item is given up.
    attempts_max: u32 = 5;
    /// Sets the shortest pause before another attempt; it doubles.
    retry_base_ms: u64 = 100;
    /// Sets when an endpoint may have an item again that it had before.
    same_endpoint_delay_ms: u64 = 5_000;
    /// Sets within which span of the earliest due time customers share.
    due_band_ms: u64 = 15 * 60 * 1_000;
}

/// A fault that a test plants to see that it is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InjectedFault {
    /// Transactions do not compare the fencing number.
    NoFence,
    /// A write of unknown outcome is taken as not done.
    NoReadBack,
}

impl Options {
    /// Returns the partitions that jobs hash to.
    #[inline]
    pub fn get_partitions(&self) -> u32 {
        self.partitions
    }

    /// Plants a fault, for tests only.
    #[doc(hidden)]
    pub fn inject_fault(mut self, fault: InjectedFault) -> Self {
        self.injected_fault = Some(fault);
        self
    }
}
