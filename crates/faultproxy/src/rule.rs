use std::time::Duration;

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Bytes are held back; what comes meanwhile waits with them.
    Delay {
        /// How long, in milliseconds.
        ms: u64,
    },
    /// Bytes pass at a limited rate.
    Bandwidth {
        /// Bytes in a second.
        bytes_per_s: u64,
    },
    /// Bytes disappear and the connection stays open, for good: a connection
    /// that has lost bytes cannot carry on. In one direction only, this is
    /// a half-open connection.
    Silence,
    /// The connection is reset towards both ends.
    Cut,
    /// The direction is closed in order, the other one goes on.
    Close,
}

/// Which way the bytes go that a rule meets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Direction {
    /// Both ways.
    #[default]
    Both,
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    ToClient,
}

impl Direction {
    /// Tells whether a rule for `self` meets bytes that go `way`.
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
    pub fn covers(self, way: Direction) -> bool {
        self == Direction::Both || self == way
    }
}

/// Which connections a rule meets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Scope {
    /// All.
    #[default]
    All,
    /// Those that were open when the rule was set.
    Open,
    /// Those that came after the rule was set.
    New,
}

/// One fault with the connections, the direction and the moment that it
/// meets.
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
    /// Makes a rule for all connections, both ways, from now on.
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

    /// Limits the rule to some connections.
    pub fn scope(self, scope: Scope) -> Self {
        Self { scope, ..self }
    }

    /// Starts the fault once so many bytes went the direction, counted from
    /// the start of the connection.
    pub fn after_bytes(self, after_bytes: u64) -> Self {
        Self {
            after_bytes,
            ..self
        }
    }

    /// Starts the fault so many milliseconds after the rule was set, or
    /// after the connection was opened if that is later.
    pub fn after_ms(self, after_ms: u64) -> Self {
        Self { after_ms, ..self }
    }

    /// Lets the rule meet only this share of the connections.
    pub fn chance(self, chance: f64) -> Self {
        Self { chance, ..self }
    }

    /// Returns the fault.
    #[inline]
    pub fn fault(&self) -> Fault {
        self.fault
    }

    pub(crate) fn covers(&self, way: Direction) -> bool {
        self.direction.covers(way)
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.after_bytes
    }

    pub(crate) fn wait(&self) -> Duration {
        Duration::from_millis(self.after_ms)
    }

    /// Tells whether the rule meets connection `number`, when `next` was the
    /// first number after it was set and `draw` is its drawn number in 0..1.
    pub(crate) fn meets(&self, number: u64, next: u64, draw: f64) -> bool {
        let in_scope = match self.scope {
            Scope::All => true,
            Scope::Open => number < next,
            Scope::New => number >= next,
        };
        in_scope && draw < self.chance
    }
}
