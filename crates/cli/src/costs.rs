//! What the nodes of a fleet cost, from their logs.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use serde_json::Value;

/// Costs by role: what a node sends, receives and calls a second.
///
/// Each process logs its counters since its start. The last line of each
/// life of a node counts, so that one that was restarted is not counted for
/// its last life alone.
///
/// # Example
///
/// ```
/// use pomeloslip::costs::Costs;
///
/// let line = r#"{"message":"what this node has cost","vm":"f1",
///  "role":"front","up_s":10,"counts":"kv_reads=20 arrived=5"}"#
///     .replace('\n', "");
/// let costs = Costs::of([line.as_str()]);
/// let reads = costs.of_role("front", "kv_reads").expect("counted");
/// assert_eq!(reads.mean_per_s, 2.0);
/// assert_eq!(costs.nodes("front"), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Costs {
    roles: BTreeMap<String, IndexMap<String, NodeCosts>>,
}

/// What one counter comes to among the nodes of a role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Mean of the nodes, a second.
    pub mean_per_s: f64,
    /// The node with the most, a second.
    pub most_per_s: f64,
}

/// One node over all of its lives.
#[derive(Clone, Debug, Default)]
struct NodeCosts {
    /// Lives that are over.
    before: Life,
    life: Life,
}

#[derive(Clone, Debug, Default)]
struct Life {
    up_s: u64,
    counts: BTreeMap<String, u64>,
}

impl Costs {
    /// Reads the counters in texts of JSON lines.
    pub fn of<'a>(texts: impl IntoIterator<Item = &'a str>) -> Self {
        let mut costs = Self::default();
        for line in texts.into_iter().flat_map(str::lines) {
            costs.take(line);
        }
        costs
    }

    /// Returns the roles that were seen.
    pub fn roles(&self) -> impl Iterator<Item = &str> {
        self.roles.keys().map(String::as_str)
    }

    /// Returns how many nodes of a role were seen.
    pub fn nodes(&self, role: &str) -> usize {
        self.roles.get(role).map_or(0, IndexMap::len)
    }

    /// Returns the names of all counters.
    pub fn counters(&self) -> Vec<&str> {
        let nodes = self.roles.values().flat_map(IndexMap::values);
        let lives = nodes.flat_map(|node| [&node.before, &node.life]);
        let names = lives.flat_map(|life| life.counts.keys());
        let mut names: Vec<&str> = names.map(String::as_str).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Returns what a counter comes to among the nodes of a role; none if
    /// none of them was seen.
    pub fn of_role(&self, role: &str, counter: &str) -> Option<Rate> {
        let nodes = self.roles.get(role)?;
        let rates: Vec<f64> =
            nodes.values().map(|node| node.per_s(counter)).collect();
        let sum: f64 = rates.iter().sum();
        Some(Rate {
            mean_per_s: sum / rates.len() as f64,
            most_per_s: rates.into_iter().fold(0.0, f64::max),
        })
    }

    fn take(&mut self, line: &str) {
        let Some(at) = line.find('{') else {
            return;
        };
        // Other programs write into the same files.
        let Ok(line) = serde_json::from_str::<Value>(&line[at..]) else {
            return;
        };
        if line["message"] != "what this node has cost" {
            return;
        }
        let text = |key: &str| line[key].as_str().unwrap_or_default();
        let life = Life {
            up_s: line["up_s"].as_u64().unwrap_or(0),
            counts: text("counts").split(' ').filter_map(count).collect(),
        };
        let nodes = self.roles.entry(text("role").to_owned()).or_default();
        nodes.entry(text("vm").to_owned()).or_default().take(life);
    }
}

/// Reads one `name=number`.
fn count(word: &str) -> Option<(String, u64)> {
    let (name, number) = word.split_once('=')?;
    Some((name.to_owned(), number.parse().ok()?))
}

impl NodeCosts {
    fn take(&mut self, life: Life) {
        if life.up_s <= self.life.up_s {
            let over = std::mem::take(&mut self.life);
            self.before.up_s += over.up_s;
            for (name, count) in over.counts {
                *self.before.counts.entry(name).or_default() += count;
            }
        }
        self.life = life;
    }

    fn per_s(&self, counter: &str) -> f64 {
        let lives = [&self.before, &self.life];
        let up_s: u64 = lives.iter().map(|life| life.up_s).sum();
        let counts = lives.iter().filter_map(|life| life.counts.get(counter));
        counts.sum::<u64>() as f64 / up_s.max(1) as f64
    }
}
