use std::fmt;

use conf::{ConfError, Problem};
use error_stack::Report;

/// Error for an invalid configuration, with every problem and its position.
///
/// Displays one line per problem; see [`Problem`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RulesError(ConfError);

impl RulesError {
    pub(crate) fn of(report: Report<ConfError>) -> Report<Self> {
        let error = Self(report.current_context().clone());
        report.change_context(error)
    }

    /// Returns the problems in text order.
    pub fn problems(&self) -> impl Iterator<Item = &Problem> {
        self.0.problems()
    }
}

impl fmt::Display for RulesError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl std::error::Error for RulesError {}

/// Returns the problems of a report, for machine-readable responses.
///
/// # Example
///
/// ```
/// use pomeloslip_rules::{Config, error_list};
///
/// let report = Config::parse("rules.yaml", "ruls: []").unwrap_err();
/// let problems = error_list(&report);
/// assert_eq!(problems[0].nearest(), Some("rules"));
/// ```
pub fn error_list(report: &Report<RulesError>) -> Vec<Problem> {
    report.current_context().problems().cloned().collect()
}
