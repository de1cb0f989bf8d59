use crate::{Ran, ran::promises_not_run};

/// What is known of one copy of a request that was offered to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub enum Evidence {
    /// No byte of the request was written to a connection.
    NotSent,
    /// The endpoint states that it did not and will not run the request.
    Declined,
    /// Anything else: a response without that statement, a connection that
    /// broke, silence.
    MayHaveRun,
}

impl Evidence {
    /// Returns the evidence of a response that belongs to the request.
    ///
    /// `states_not_executed` tells whether the endpoint states by the means of
    /// its own protocol that it did not run the request, such as a header. Its
    /// status alone proves nothing, and a successful response that also makes
    /// the statement contradicts itself.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_execution::Evidence;
    ///
    /// assert_eq!(Evidence::of_response(429, true), Evidence::Declined);
    /// assert_eq!(Evidence::of_response(429, false), Evidence::MayHaveRun);
    /// assert_eq!(Evidence::of_response(200, true), Evidence::MayHaveRun);
    /// ```
    pub const fn of_response(status: u16, states_not_executed: bool) -> Self {
        let is_success = matches!(status, 200..=299);
        match states_not_executed && !is_success {
            true => Evidence::Declined,
            false => Evidence::MayHaveRun,
        }
    }

    /// Reports whether a response has a status that promises that the request
    /// did not run, while its endpoint does not state so.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_execution::Evidence;
    ///
    /// assert!(Evidence::MayHaveRun.contradicts(503));
    /// assert!(!Evidence::Declined.contradicts(503));
    /// assert!(!Evidence::MayHaveRun.contradicts(500));
    /// ```
    #[inline]
    pub const fn contradicts(self, status: u16) -> bool {
        matches!(self.ran(), Ran::Unknown) && promises_not_run(status)
    }

    /// Returns whether this copy of the request ran.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_execution::{Evidence, Ran};
    ///
    /// assert_eq!(Evidence::NotSent.ran(), Ran::No);
    /// assert_eq!(Evidence::MayHaveRun.ran(), Ran::Unknown);
    /// ```
    #[inline]
    pub const fn ran(self) -> Ran {
        match self {
            Evidence::NotSent | Evidence::Declined => Ran::No,
            Evidence::MayHaveRun => Ran::Unknown,
        }
    }
}
