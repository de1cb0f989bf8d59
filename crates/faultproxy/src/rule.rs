use std::time::Duration;

/// Kind of an injected fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Bytes are delayed; bytes that arrive meanwhile wait behind them.
    Delay {
        /// Delay in milliseconds.
        ms: u64,
    },
    /// Bytes are forwarded at a limited rate.
    Bandwidth {
        /// Bytes per second.
        bytes_per_s: u64,
    },
    /// Bytes and the end of the direction are held while the rule is set, and
    /// delivered in order afterwards. Nothing is lost.
    Hold,
    /// Bytes are dropped and the connection stays open. The fault is
    /// permanent because a connection that lost bytes cannot continue. In one
    /// direction only, this makes the connection half-open.
    Silence,
    /// The connection is reset at both ends.
    Cut,
    /// The direction is closed normally; the other one continues.
    Close,
}

/// Direction of the bytes that a rule applies to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Direction {
    /// Both directions.
    #[default]
    Both,
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    ToClient,
}

impl Direction {
    /// Reports whether a rule for `self` applies to direction `other`.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_faultproxy::Direction;
    ///
    /// assert!(Direction::Both.covers(Direction::ToClient));
    /// assert!(!Direction::ToTarget.covers(Direction::ToClient));
    /// ```
    #[inline]
    pub fn covers(self, other: Direction) -> bool {
        self == Direction::Both || self == other
    }
}

/// Connections that a rule applies to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Scope {
    /// All connections.
    #[default]
    All,
    /// Connections that were open when the rule was set.
    Open,
    /// Connections accepted after the rule was set.
    New,
}

/// A fault with its direction, its connections and its start condition.
///
/// # Example
///
/// ```
/// use pomeloslip_faultproxy::{Direction, Fault, Rule, Scope};
///
/// let rule = Rule::new(Fault::Silence)
///     .direction(Direction::ToClient)
///     .scope(Scope::New)
///     .after_ms(250);
/// assert_eq!(rule.fault(), Fault::Silence);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    fault: Fault,
    direction: Direction,
    scope: Scope,
    after_bytes: u64,
    after_ms: u64,
    chance: f64,
}

impl Rule {
    /// Creates a rule for all connections in both directions that starts
    /// immediately.
    pub fn new(fault: Fault) -> Self {
        Self {
            fault,
            direction: Direction::default(),
            scope: Scope::default(),
            after_bytes: 0,
            after_ms: 0,
            chance: 1.0,
        }
    }

    /// Limits the rule to one direction.
    pub fn direction(self, direction: Direction) -> Self {
        Self { direction, ..self }
    }

    /// Limits the rule to a group of connections.
    pub fn scope(self, scope: Scope) -> Self {
        Self { scope, ..self }
    }

    /// Starts the fault after `after_bytes` bytes were forwarded in the
    /// direction, counted from the start of the connection.
    pub fn after_bytes(self, after_bytes: u64) -> Self {
        Self {
            after_bytes,
            ..self
        }
    }

    /// Starts the fault `after_ms` milliseconds after the rule was set, or
    /// after the connection was opened if that is later.
    pub fn after_ms(self, after_ms: u64) -> Self {
        Self { after_ms, ..self }
    }

    /// Sets the probability that the rule applies to a connection.
    pub fn chance(self, chance: f64) -> Self {
        Self { chance, ..self }
    }

    /// Returns the fault.
    #[inline]
    pub fn fault(&self) -> Fault {
        self.fault
    }

    pub(crate) fn covers(&self, direction: Direction) -> bool {
        self.direction.covers(direction)
    }

    pub(crate) fn start_bytes(&self) -> u64 {
        self.after_bytes
    }

    pub(crate) fn start_delay(&self) -> Duration {
        Duration::from_millis(self.after_ms)
    }

    /// Reports whether the rule applies to connection `number`. `next` is the
    /// number of the first connection after the rule was set; `draw` is the
    /// random number in 0..1 of the connection.
    pub(crate) fn applies_to(
        &self,
        number: u64,
        next: u64,
        draw: f64,
    ) -> bool {
        let in_scope = match self.scope {
            Scope::All => true,
            Scope::Open => number < next,
            Scope::New => number >= next,
        };
        in_scope && draw < self.chance
    }
}
