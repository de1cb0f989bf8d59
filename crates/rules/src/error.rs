use std::fmt;

use conf::{ConfError, Problem};
use error_stack::Report;

/// Says that a configuration is not valid, with every problem and its place.
///
/// Displays one line for each problem; see [`Problem`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RulesError(ConfError);

impl RulesError {
    pub(crate) fn of(report: Report<ConfError>) -> Report<Self> {
        let error = Self(report.current_context().clone());
        report.change_context(error)
    }

    /// Returns the problems in the order of the text.
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

/// Returns the problems of a report, for answers to machines.
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
