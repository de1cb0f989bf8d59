use crate::{Beginning, Origin, StreamId};

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
    /// The stream may be resumed at the version that began it.
    Known(Beginning),
    /// No holder knows the version.
    Unknown,
    /// The holders that have answered do not suffice, and some have not.
    Unreachable,
}

/// Collects the answers of the holders of one stream.
///
/// An attempt begins one stream, so the first holder that knows its origin
/// decides. Several streams may have the same content, and each holder may have
/// missed the origin of one of them: all holders have to answer, and what they
/// know must not contradict.
///
/// # Example
///
/// ```
/// use pomeloslip_origins::{Answer, Lookup, StreamId, StreamKey, Verdict};
///
/// let stream = StreamId::Attempt(StreamKey::of_attempt("", "a1"));
/// let mut lookup = Lookup::new(stream, 2);
/// assert_eq!(lookup.receive(1, Answer::Unknown), None);
/// assert_eq!(lookup.silent().collect::<Vec<_>>(), [0]);
/// assert_eq!(lookup.time_out(), Verdict::Unreachable);
/// ```
#[derive(Clone, Debug)]
pub struct Lookup {
    needs_all: bool,
    answered: Vec<bool>,
    known: Option<Origin>,
}

impl Lookup {
    /// Creates a lookup of a stream at a number of holders.
    pub fn new(stream: StreamId, holders: usize) -> Self {
        Self {
            needs_all: matches!(stream, StreamId::Content(_)),
            answered: vec![false; holders],
            known: None,
        }
    }

    /// Adds what the asking node knows itself.
    #[must_use]
    pub fn with_own(mut self, origin: Option<Origin>) -> Self {
        self.known = origin;
        self
    }

    /// Records the answer of a holder; returns the verdict once it is final. A
    /// holder that was restarted does not know what it held before.
    pub fn receive(
        &mut self,
        holder: usize,
        answer: Answer,
    ) -> Option<Verdict> {
        let answered = self.answered.get_mut(holder)?;
        *answered = true;
        if let Answer::Known(origin) = answer {
            self.add(origin);
        }
        self.verdict()
    }

    fn add(&mut self, origin: Origin) {
        let known = self.known.take();
        self.known = match known {
            Some(known) if !known.agrees_with(&origin) => {
                Some(Origin::Uncertain)
            }
            _ => Some(origin),
        };
    }

    /// Returns the verdict, if further answers cannot change it.
    pub fn verdict(&self) -> Option<Verdict> {
        let is_over = self.answered.iter().all(|answered| *answered);
        match &self.known {
            Some(Origin::Uncertain) => Some(Verdict::Unknown),
            Some(Origin::Bound(beginning)) if is_over || !self.needs_all => {
                Some(Verdict::Known(beginning.clone()))
            }
            None if is_over => Some(Verdict::Unknown),
            _ => None,
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
        self.verdict().unwrap_or(Verdict::Unreachable)
    }
}
