//! What was lost, by cause and time, from the logs of a fleet.
//!
//! Each request and item is counted once, for the first cause that explains
//! why it missed what its route asks for. What never reached a node, as no
//! node took connections, stands in no log and is not counted.

use std::{collections::BTreeMap, fmt};

use serde_json::Value;

/// Why a request or an item missed its target.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// It was refused and did not run.
    Refused,
    /// Its customer was at its limit.
    OverLimit,
    /// Nobody could count it against the limit of its customer.
    NotCounted,
    /// It may have run, and has no whole answer.
    Failed,
    /// Its caller left first.
    CallerLeft,
    /// It had no endpoint for most of its target time.
    WaitedForEndpoint,
    /// It was sent to a second endpoint after the first one.
    SecondEndpoint,
    /// Its first byte came late from its only endpoint.
    WaitedAtEndpoint,
    /// It went on at another endpoint after too long a pause.
    TakenUp,
    /// Its endpoint paused for too long.
    Paused,
    /// The item gave way to online requests and was done late.
    ItemCut,
    /// The item was done late, and no run of it was cut.
    ItemWaited,
    /// The result was listed late although the item was done in time.
    ListedLate,
    /// The item was given up.
    ItemGivenUp,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Cause::Refused => "refused",
            Cause::OverLimit => "over its customer's limit",
            Cause::NotCounted => "not counted",
            Cause::Failed => "failed",
            Cause::CallerLeft => "caller left",
            Cause::WaitedForEndpoint => "waited for an endpoint",
            Cause::SecondEndpoint => "sent to a second endpoint",
            Cause::WaitedAtEndpoint => "waited at its endpoint",
            Cause::TakenUp => "taken up elsewhere",
            Cause::Paused => "pause inside the stream",
            Cause::ItemCut => "item late after cuts",
            Cause::ItemWaited => "item late for want of slots",
            Cause::ListedLate => "item listed late",
            Cause::ItemGivenUp => "item given up",
        })
    }
}

/// Losses by second of arrival (of items: of their end) and by cause.
///
/// # Example
///
/// ```
/// use pomeloslip::losses::{Cause, Losses};
///
/// let line = r#"{"ts":"2026-01-18T10:00:02.500Z","message":"a request
///  ended","outcome":"answered","total_ms":900,"first_byte_ms":700,
///  "target_ms":300,"waited_ms":2,"offers":1}"#.replace("\n", "");
/// let losses = Losses::of([line.as_str()]);
/// assert_eq!(losses.total(Cause::WaitedAtEndpoint), 1);
/// assert_eq!(losses.requests(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Losses {
    by_second: BTreeMap<u64, BTreeMap<Cause, u32>>,
    requests: u32,
    items: u32,
    late_items: u32,
    late_results: u32,
    customers: BTreeMap<String, CustomerLosses>,
}

/// What one customer asked for, and what it lost.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CustomerLosses {
    /// Its requests.
    pub requests: u32,
    /// Those beyond its limit.
    pub over_limit: u32,
    /// Those that missed what their route asks for, for another cause.
    pub missed: u32,
}

impl CustomerLosses {
    /// Returns the part that was missed of what was within the limit, in
    /// thousandths.
    pub fn missed_permille(&self) -> u32 {
        let within = self.requests.saturating_sub(self.over_limit);
        self.missed * 1_000 / within.max(1)
    }
}

/// Fewest requests of a customer that is counted among the worst.
const CUSTOMER_LEAST: u32 = 10;

impl Losses {
    /// Counts what is lost in texts of JSON lines.
    pub fn of<'a>(texts: impl IntoIterator<Item = &'a str>) -> Self {
        let mut losses = Self::default();
        for line in texts.into_iter().flat_map(str::lines) {
            losses.take(line);
        }
        losses.add_listed_late();
        losses
    }

    /// Returns how many requests ended at all.
    pub fn requests(&self) -> u32 {
        self.requests
    }

    /// Returns how many items were done or given up.
    pub fn items(&self) -> u32 {
        self.items
    }

    /// Returns the losses of a cause.
    pub fn total(&self, cause: Cause) -> u32 {
        let seconds = self.by_second.values();
        seconds.filter_map(|causes| causes.get(&cause)).sum()
    }

    /// Returns the causes that occurred with their totals.
    pub fn totals(&self) -> BTreeMap<Cause, u32> {
        let mut totals = BTreeMap::new();
        for (cause, count) in self.by_second.values().flatten() {
            *totals.entry(*cause).or_default() += count;
        }
        totals
    }

    /// Returns the customers with enough requests to judge, those that
    /// missed the largest part first.
    pub fn worst_customers(&self) -> Vec<(&str, CustomerLosses)> {
        let judged = |lost: &CustomerLosses| lost.requests >= CUSTOMER_LEAST;
        let all = self.customers.iter();
        let mut worst: Vec<(&str, CustomerLosses)> = all
            .filter(|(_, lost)| judged(lost))
            .map(|(name, lost)| (name.as_str(), *lost))
            .collect();
        worst.sort_by_key(|(_, lost)| {
            std::cmp::Reverse(lost.missed_permille())
        });
        worst
    }

    /// Returns the losses by second.
    pub fn by_second(&self) -> &BTreeMap<u64, BTreeMap<Cause, u32>> {
        &self.by_second
    }

    fn take(&mut self, line: &str) {
        let Some(at) = line.find('{') else {
            return;
        };
        // Other programs write into the same files.
        let Ok(line) = serde_json::from_str::<Value>(&line[at..]) else {
            return;
        };
        match line["message"].as_str() {
            Some("a request ended") => self.take_request(&line),
            Some("a request is refused") => self.take_refusal(&line),
            Some("a run of an item ended") => self.take_run(&line),
            Some("an item is given up") => {
                self.items += 1;
                self.add(&line, 0, Cause::ItemGivenUp);
            }
            Some("results are listed") if number(&line, "late_ms") > 0 => {
                self.late_results += number(&line, "new") as u32;
            }
            _ => {}
        }
    }

    fn take_request(&mut self, line: &Value) {
        self.requests += 1;
        let cause = cause_of_request(line);
        if let Some(cause) = cause {
            self.add(line, number(line, "total_ms"), cause);
        }
        self.add_customer(line, cause);
    }

    /// Counts a refusal by a limit; others never were requests of a customer
    /// or are counted when they come back.
    fn take_refusal(&mut self, line: &Value) {
        let cause = match line["reason"].as_str() {
            Some("the customer is at its limit") => Cause::OverLimit,
            Some("the request cannot be counted here now") => {
                Cause::NotCounted
            }
            _ => return,
        };
        self.requests += 1;
        self.add(line, 0, cause);
        self.add_customer(line, Some(cause));
    }

    fn add_customer(&mut self, line: &Value, cause: Option<Cause>) {
        let name = line["customer"].as_str().unwrap_or_default();
        if name.is_empty() {
            return;
        }
        let lost = self.customers.entry(name.to_owned()).or_default();
        lost.requests += 1;
        match cause {
            Some(Cause::OverLimit) => lost.over_limit += 1,
            Some(_) => lost.missed += 1,
            None => {}
        }
    }

    fn take_run(&mut self, line: &Value) {
        if line["end"] != "Complete" {
            return;
        }
        self.items += 1;
        if number(line, "late_ms") == 0 {
            return;
        }
        self.late_items += 1;
        let cause = match number(line, "pauses") {
            0 => Cause::ItemWaited,
            _ => Cause::ItemCut,
        };
        self.add(line, 0, cause);
    }

    /// Results that were listed late beyond the items that were done late.
    fn add_listed_late(&mut self) {
        let count = self.late_results.saturating_sub(self.late_items);
        if count > 0 {
            let second = self.by_second.keys().next_back().copied();
            let causes =
                self.by_second.entry(second.unwrap_or(0)).or_default();
            causes.insert(Cause::ListedLate, count);
        }
    }

    fn add(&mut self, line: &Value, before_ms: u64, cause: Cause) {
        let ts = line["ts"].as_str().unwrap_or_default();
        let at_ms = day_ms(ts).unwrap_or(0).saturating_sub(before_ms);
        let causes = self.by_second.entry(at_ms / 1_000).or_default();
        *causes.entry(cause).or_default() += 1;
    }
}

fn cause_of_request(line: &Value) -> Option<Cause> {
    match line["outcome"].as_str() {
        Some("refused") => return Some(Cause::Refused),
        Some("failed") => return Some(Cause::Failed),
        Some("caller_left") => return Some(Cause::CallerLeft),
        _ => {}
    }
    let target_ms = number(line, "target_ms");
    if number(line, "first_byte_ms") > target_ms {
        let waited = number(line, "waited_ms") * 2 > target_ms;
        let again = number(line, "offers") > 1;
        return Some(match (again, waited) {
            (true, _) => Cause::SecondEndpoint,
            (false, true) => Cause::WaitedForEndpoint,
            (false, false) => Cause::WaitedAtEndpoint,
        });
    }
    let pause_target_ms = number(line, "pause_target_ms");
    let paused =
        pause_target_ms > 0 && number(line, "pause_ms") > pause_target_ms;
    match (paused, number(line, "resumed")) {
        (false, _) => None,
        (true, 0) => Some(Cause::Paused),
        (true, _) => Some(Cause::TakenUp),
    }
}

fn number(line: &Value, key: &str) -> u64 {
    line[key].as_u64().unwrap_or(0)
}

/// Returns the milliseconds of the day of a time like `...T10:00:02.500Z`.
fn day_ms(ts: &str) -> Option<u64> {
    let time = ts.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = time.split([':', '.']);
    let mut next = || parts.next()?.parse::<u64>().ok();
    let (hours, minutes, seconds) = (next()?, next()?, next()?);
    let ms = next().unwrap_or(0);
    Some(((hours * 60 + minutes) * 60 + seconds) * 1_000 + ms)
}
