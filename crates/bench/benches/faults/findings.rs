//! Compares what callers learned with what the services ran.

use std::collections::{BTreeMap, HashMap};

use error_stack::Report;
use pomeloslip_bench::{BenchError, Table};

use crate::{
    calls::{Kind, Learned},
    ended::Ended,
};

/// Broken promises that are printed whole.
const EXAMPLES_MAX: usize = 5;

/// Most frequent words to callers that are printed.
const TOLD_MAX: usize = 12;

/// Longest of them, in characters.
const TOLD_CHARS_MAX: usize = 100;

const KINDS: [Kind; 4] = [Kind::Plain, Kind::Keyed, Kind::Chat, Kind::Stream];

/// A promise that must hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd)]
enum Promise {
    EachEnds,
    Whole,
    OwnAnswer,
    Once,
    NotRunIsTrue,
    AnsweredRan,
    SaysWhetherItRan,
}

impl Promise {
    const ALL: [Promise; 7] = [
        Promise::EachEnds,
        Promise::Whole,
        Promise::OwnAnswer,
        Promise::Once,
        Promise::NotRunIsTrue,
        Promise::AnsweredRan,
        Promise::SaysWhetherItRan,
    ];

    fn name(self) -> &'static str {
        match self {
            Promise::EachEnds => "each call is answered or refused",
            Promise::Whole => "no half answer looks whole",
            Promise::OwnAnswer => "each answer is that of its call",
            Promise::Once => "no call that may not be repeated ran twice",
            Promise::NotRunIsTrue => "no call \"did not run\" and ran",
            Promise::AnsweredRan => "each answered call ran",
            Promise::SaysWhetherItRan => "each refusal says whether it ran",
        }
    }
}

pub(crate) struct Findings {
    outcomes: BTreeMap<(Kind, Learned), u64>,
    broken: BTreeMap<Promise, Vec<String>>,
    /// What callers were told when they got no answer.
    told: BTreeMap<String, u64>,
}

impl Findings {
    /// `runs` are the runs of each call id at the plain services.
    pub(crate) fn new(all: &[Ended], runs: &HashMap<String, u64>) -> Self {
        let mut findings = Self {
            outcomes: BTreeMap::new(),
            broken: BTreeMap::new(),
            told: BTreeMap::new(),
        };
        for ended in all {
            let key = (ended.kind, ended.last());
            *findings.outcomes.entry(key).or_default() += 1;
            if ended.last() != Learned::Right {
                let told = told(ended);
                *findings.told.entry(told).or_default() += 1;
            }
            let runs = runs.get(&ended.id).copied().unwrap_or(0);
            for promise in broken(ended, runs) {
                let found = findings.broken.entry(promise).or_default();
                found.push(format!("{runs} runs, {ended:?}"));
            }
        }
        findings
    }

    pub(crate) fn outcomes(&self) -> Table {
        let columns = [
            "calls",
            "right",
            "refused, not run",
            "told unknown",
            "told broken",
            "other",
        ];
        let mut table = Table::new("What callers learned", &columns);
        for kind in KINDS {
            let count = |learned: Learned| {
                self.outcomes.get(&(kind, learned)).copied().unwrap_or(0)
            };
            let all: u64 = self
                .outcomes
                .iter()
                .filter(|((of, _), _)| *of == kind)
                .map(|(_, count)| count)
                .sum();
            let told = [
                count(Learned::Right),
                count(Learned::NotRun),
                count(Learned::Unknown),
                count(Learned::BrokenOff),
            ];
            let other = all - told.iter().sum::<u64>();
            let cells = told.iter().chain([&other]).map(u64::to_string);
            table.row([kind.name().to_owned()].into_iter().chain(cells));
        }
        table
    }

    pub(crate) fn told(&self) -> Table {
        let mut table = Table::new("What they were told", &["what", "calls"]);
        let mut told: Vec<_> = self.told.iter().collect();
        told.sort_by_key(|(_, calls)| std::cmp::Reverse(**calls));
        for (what, calls) in told.into_iter().take(TOLD_MAX) {
            table.row([what.clone(), calls.to_string()]);
        }
        table
    }

    pub(crate) fn promises(&self) -> Table {
        let columns = ["promise", "broken"];
        let mut table = Table::new("Promises", &columns);
        for promise in Promise::ALL {
            let broken = self.broken.get(&promise).map_or(0, Vec::len);
            table.row([promise.name().to_owned(), broken.to_string()]);
        }
        table
    }

    /// Fails if a promise did not hold.
    pub(crate) fn check(&self) -> Result<(), Report<BenchError>> {
        if self.broken.is_empty() {
            return Ok(());
        }
        let mut report = Report::new(BenchError::Promise);
        for (promise, found) in &self.broken {
            for one in found.iter().take(EXAMPLES_MAX) {
                report = report.attach(format!("{}: {one}", promise.name()));
            }
        }
        Err(report)
    }
}

fn broken(ended: &Ended, runs: u64) -> Vec<Promise> {
    let said = |learned| ended.sends.contains(&learned);
    let not_repeatable = matches!(ended.kind, Kind::Plain | Kind::Keyed);
    let only_refused = ended.sends.iter().all(|l| *l == Learned::NotRun);
    let found = [
        (Promise::EachEnds, said(Learned::Nothing)),
        (Promise::Whole, said(Learned::Half)),
        (Promise::OwnAnswer, said(Learned::Wrong)),
        (Promise::SaysWhetherItRan, said(Learned::Unsaid)),
        (Promise::Once, not_repeatable && runs > 1),
        (
            Promise::NotRunIsTrue,
            not_repeatable && only_refused && runs > 0,
        ),
        (
            Promise::AnsweredRan,
            not_repeatable && said(Learned::Right) && runs != 1,
        ),
    ];
    let broken = found.into_iter().filter(|(_, broken)| *broken);
    broken.map(|(promise, _)| promise).collect()
}

/// Shortens what a caller was told to what is common to many calls.
fn told(ended: &Ended) -> String {
    let detail = ended.detail.split_once("\"detail\":\"");
    let detail = detail.map_or(ended.detail.as_str(), |(_, rest)| rest);
    let common = |c: &char| !c.is_ascii_digit();
    let short: String = detail.chars().filter(common).collect();
    let name = ended.kind.name();
    let short: String = short.chars().take(TOLD_CHARS_MAX).collect();
    format!("{name}: {}", short.replace('\n', " "))
}
