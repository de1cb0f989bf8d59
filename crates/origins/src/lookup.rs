use std::sync::Arc;

use fleet::VersionBinding;

use crate::Origin;

/// What one holder knows of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It holds the origin.
    Known(Origin),
    /// It does not hold the origin.
    Unknown,
}

/// What is known of a stream after its holders were asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The stream may be resumed at this version.
    Known(Arc<VersionBinding>),
    /// No holder knows the version.
    Unknown,
    /// No holder knows the version, and some have not answered.
    Unreachable,
}

/// Collects the answers of the holders of one stream.
///
/// # Example
///
/// ```
/// use pomeloslip_origins::{Answer, Lookup, Verdict};
///
/// let mut lookup = Lookup::new(2);
/// assert_eq!(lookup.receive(1, Answer::Unknown), None);
/// assert_eq!(lookup.silent().collect::<Vec<_>>(), [0]);
/// assert_eq!(lookup.time_out(), Verdict::Unreachable);
/// ```
#[derive(Clone, Debug)]
pub struct Lookup {
    answered: Vec<bool>,
}

impl Lookup {
    /// Creates a lookup at a number of holders.
    pub fn new(holders: usize) -> Self {
        Self {
            answered: vec![false; holders],
        }
    }

    /// Records the answer of a holder; returns the verdict once it is final.
    /// The first holder that knows the origin decides: a node that was
    /// restarted does not know what it held before.
    pub fn receive(
        &mut self,
        holder: usize,
        answer: Answer,
    ) -> Option<Verdict> {
        let answered = self.answered.get_mut(holder)?;
        *answered = true;
        match answer {
            Answer::Known(Origin::Bound(binding)) => {
                Some(Verdict::Known(binding))
            }
            Answer::Known(Origin::Uncertain) => Some(Verdict::Unknown),
            Answer::Unknown => {
                let is_over = self.answered.iter().all(|answered| *answered);
                is_over.then_some(Verdict::Unknown)
            }
        }
    }

    /// Returns the holders that have not answered.
    pub fn silent(&self) -> impl Iterator<Item = usize> {
        let holders = self.answered.iter().enumerate();
        holders
            .filter(|(_, answered)| !**answered)
            .map(|(at, _)| at)
    }

    /// Returns the verdict if no further answer is awaited.
    pub fn time_out(&self) -> Verdict {
        match self.answered.iter().all(|answered| *answered) {
            true => Verdict::Unknown,
            false => Verdict::Unreachable,
        }
    }
}
