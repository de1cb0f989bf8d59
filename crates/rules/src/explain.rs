use std::fmt;

use base::Revision;
use serde::{Deserialize, Serialize};

use crate::{Sample, calendar::DecisionTime, condition::Condition};

/// Explains the decision on a request.
///
/// # Example
///
/// ```
/// use base::{Class, Revision, UnixMillis};
/// use pomeloslip_rules::{Config, Sample};
///
/// let text = "
/// pools: [{pool: korv-lm, kind: engine, models: korv-lm}]
/// rules:
///   - name: nightly
///     when: {class: batch}
///     then: {pool: korv-lm}
///   - then: {shed: true}
/// ";
/// let config = Config::parse("rules.yaml", text)?;
/// let compiled = config.compile(Revision::new(3));
/// let sample = Sample::new(Class::Online, "taevakorv");
/// let explanation = compiled.explain(&sample, UnixMillis::new(0));
/// assert_eq!(
///     explanation.to_string(),
///     "revision 3: rule 2 decides; refused: shed under load\n\
///      rule 1 (nightly) does not hold\n  \
///        class: wants batch, found online\n\
///      rule 2 decides\n",
/// );
/// # Ok::<(), error_stack::Report<pomeloslip_rules::RulesError>>(())
/// ```
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    revision: Revision,
    /// Number of the rule that applies, from 1 as displayed.
    rule: Option<usize>,
    action: String,
    rules: Vec<RuleExplanation>,
}

impl Explanation {
    pub(crate) fn new(
        revision: Revision,
        deciding_rule: Option<usize>,
        action: String,
        rules: Vec<RuleExplanation>,
    ) -> Self {
        let rule = deciding_rule.map(|rule| rule + 1);
        Self {
            revision,
            rule,
            action,
            rules,
        }
    }

    /// Returns the number of the rule that applies, from 1.
    #[inline]
    pub fn rule(&self) -> Option<usize> {
        self.rule
    }

    /// Returns a description of the action taken.
    #[inline]
    pub fn action(&self) -> &str {
        &self.action
    }

    /// Returns the explanation of each rule, in order.
    #[inline]
    pub fn rules(&self) -> &[RuleExplanation] {
        &self.rules
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "revision {}: ", self.revision)?;
        match self.rule {
            Some(rule) => writeln!(f, "rule {rule} decides; {}", self.action)?,
            None => writeln!(f, "{}", self.action)?,
        }
        self.rules.iter().try_for_each(|rule| rule.fmt(f))
    }
}

/// Result of evaluating a rule.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The rule is the first that matches, so it applies.
    Decides,
    /// The rule matches, but an earlier one applies.
    ComesLater,
    /// A condition does not hold.
    DoesNotHold,
}

/// Explains whether one rule matches.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RuleExplanation {
    rule: usize,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    name: Option<String>,
    verdict: Verdict,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    failures: Vec<Failure>,
}

impl RuleExplanation {
    pub(crate) fn new(
        index: usize,
        name: Option<String>,
        failures: Vec<Failure>,
        deciding_rule: Option<usize>,
    ) -> Self {
        let verdict = if deciding_rule == Some(index) {
            Verdict::Decides
        } else if failures.is_empty() {
            Verdict::ComesLater
        } else {
            Verdict::DoesNotHold
        };
        Self {
            rule: index + 1,
            name,
            verdict,
            failures,
        }
    }

    /// Returns the number of the rule, from 1.
    #[inline]
    pub fn rule(&self) -> usize {
        self.rule
    }

    /// Returns the name of the rule.
    #[inline]
    pub fn name(&self) -> Option<&str> {
        self.name.as_deref()
    }

    /// Returns the result of evaluating the rule.
    #[inline]
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns the conditions that do not hold.
    #[inline]
    pub fn failures(&self) -> &[Failure] {
        &self.failures
    }
}

impl fmt::Display for RuleExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {}", self.rule)?;
        if let Some(name) = &self.name {
            write!(f, " ({name})")?;
        }
        writeln!(
            f,
            " {}",
            match self.verdict {
                Verdict::Decides => "decides",
                Verdict::ComesLater => "holds, but an earlier one decides",
                Verdict::DoesNotHold => "does not hold",
            }
        )?;
        let mut failures = self.failures.iter();
        failures.try_for_each(|failure| writeln!(f, "  {failure}"))
    }
}

/// A condition that does not hold.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Failure {
    condition: String,
    wanted: String,
    found: String,
}

impl Failure {
    /// Returns the key of the condition.
    #[inline]
    pub fn condition(&self) -> &str {
        &self.condition
    }

    /// Returns the value that the rule requires.
    #[inline]
    pub fn wanted(&self) -> &str {
        &self.wanted
    }

    /// Returns the value that the request has.
    #[inline]
    pub fn found(&self) -> &str {
        &self.found
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            condition,
            wanted,
            found,
        } = self;
        write!(f, "{condition}: wants {wanted}, found {found}")
    }
}

impl Condition {
    pub(crate) fn failure(
        &self,
        sample: &Sample<'_>,
        decision_time: &DecisionTime,
    ) -> Failure {
        Failure {
            condition: self.key().to_owned(),
            wanted: self.wanted(),
            found: self.found(sample, decision_time),
        }
    }
}
