//! Checks that the rules in `examples` and in the operator pages decide as
//! documented.

use std::{
    fs,
    path::{Path, PathBuf},
};

use base::{Revision, UnixMillis};
use jiff::Timestamp;
use pomeloslip_rules::{Action, CompiledConfig, Config, SampleBuf};
use yare::parameterized;

fn text(path: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(root.join("../..").join(path)).expect("a file")
}

fn compile(name: &str, text: &str) -> CompiledConfig {
    let config = Config::parse(name, text);
    let config = config.unwrap_or_else(|error| panic!("{error}\n{text}"));
    config.compile(Revision::new(1))
}

/// Decides on a sample given as words, where `at=TIME` sets the time, and
/// returns the rule name and a description of the outcome.
fn decided(rules: &CompiledConfig, words: &str) -> (String, &'static str) {
    let mut sample = SampleBuf::default();
    let mut now = UnixMillis::new(0);
    for word in words.split_whitespace() {
        if let Some(time) = word.strip_prefix("at=") {
            let time: Timestamp = time.parse().expect("a time");
            let ms = time.as_millisecond();
            now = UnixMillis::new(ms.try_into().expect("after 1970"));
        } else {
            sample.set(word).expect("a word of a sample");
        }
    }
    let decision = rules.decide(&sample.as_sample(), now);
    let outcome = match decision.action() {
        Action::Route { repeatable, .. } if repeatable => "may run twice",
        Action::Route { .. } => "runs at most once",
        Action::Refuse(_) => "refused",
        Action::Shed => "shed",
        Action::NoRule => "no rule",
    };
    let rule = decision.rule_name().unwrap_or("none");
    (rule.to_owned(), outcome)
}

#[parameterized(
    rebook = { "tenant=holders service=vautsher-app method=POST path=/svc/vautsher-app/rebookings", "rebooking", "runs at most once" },
    rebook_one = { "tenant=holders service=vautsher-app method=POST path=/svc/vautsher-app/rebookings/7", "rebooking", "runs at most once" },
    lookup = { "tenant=holders service=vautsher-app method=GET path=/svc/vautsher-app/vouchers/7", "voucher-lookup", "may run twice" },
    other = { "tenant=holders service=vautsher-app method=DELETE path=/svc/vautsher-app/vouchers/7", "other-voucher-calls", "refused" },
    chat = { "tenant=holders model=korv-lm at=2026-11-20T10:00:00Z", "rebooking-chat", "may run twice" },
    chat_in_season = { "tenant=holders model=korv-lm at=2026-12-24T10:00:00Z", "rebooking-chat", "may run twice" },
    crew = { "tenant=crew model=korv-lm at=2026-11-20T10:00:00Z", "rebooking-chat", "may run twice" },
    crew_in_season = { "tenant=crew model=korv-lm at=2026-12-24T10:00:00Z", "season-crew", "may run twice" },
    batch = { "tenant=crew class=batch model=korv-lm at=2026-11-20T10:00:00Z", "briefings", "may run twice" },
    batch_in_season = { "tenant=crew class=batch model=korv-lm at=2026-12-24T10:00:00Z", "season-later", "shed" },
    batch_in_season_at_night = { "tenant=crew class=batch model=korv-lm at=2026-12-24T23:30:00Z", "briefings", "may run twice" },
    other_model = { "tenant=crew model=other", "none", "no rule" },
)]
fn taevakorv(words: &str, rule: &str, outcome: &str) {
    let text = text("examples/taevakorv/rules.yaml");
    let rules = compile("rules.yaml", &text);
    assert_eq!(decided(&rules, words), (rule.to_owned(), outcome));
}

#[parameterized(
    filing = { "tenant=counters service=registry-desk method=POST path=/svc/registry-desk/filings", "filing", "runs at most once" },
    status = { "tenant=counters service=registry-desk method=GET path=/svc/registry-desk/applications/9", "application-status", "may run twice" },
    other = { "tenant=counters service=registry-desk method=PUT path=/svc/registry-desk/filings/9", "other-desk-calls", "refused" },
    counter = { "tenant=counters model=alama-llm at=2026-03-02T07:00:00Z", "counter-check", "may run twice" },
    branch_by_day = { "tenant=branches model=alama-llm at=2026-03-02T07:00:00Z", "branches-by-day", "refused" },
    branch_at_night = { "tenant=branches model=alama-llm at=2026-03-02T18:00:00Z", "counter-check", "may run twice" },
    bundles = { "tenant=branches class=batch model=alama-llm at=2026-03-02T20:00:00Z", "bundles", "may run twice" },
)]
fn alama(words: &str, rule: &str, outcome: &str) {
    let rules = compile("rules.yaml", &text("examples/alama/rules.yaml"));
    assert_eq!(decided(&rules, words), (rule.to_owned(), outcome));
}

/// Returns the contents of a page's fenced code blocks of one kind, in order.
fn blocks(page: &str, kind: &str) -> Vec<String> {
    let open = format!("```{kind}\n");
    let parts = page.split(&open).skip(1);
    let bodies = parts.map(|part| part.split("```").next().expect("a body"));
    bodies.map(str::to_owned).collect()
}

/// Each rules document of the cookbook is followed by the decisions that it
/// makes, in lines `WORDS -> RULE: OUTCOME`.
#[test]
fn the_cookbook_examples_decide_as_documented() {
    let page = text("docs/operators/rules.md");
    let documents = blocks(&page, "yaml");
    let decisions = blocks(&page, "text");
    assert!(documents.len() >= 4);
    assert_eq!(documents.len(), decisions.len());
    for (document, expected_lines) in documents.iter().zip(&decisions) {
        let rules = compile("docs/operators/rules.md", document);
        for line in expected_lines.lines() {
            let (words, expected) = line.split_once(" -> ").expect("an arrow");
            let (rule, outcome) = decided(&rules, words);
            assert_eq!(expected, format!("{rule}: {outcome}"), "{words}");
        }
    }
}

/// Returns all Rust sources under a folder as one text.
fn sources(folder: &Path) -> String {
    let mut all = String::new();
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            all.push_str(&sources(&path));
        } else if path.extension().is_some_and(|end| end == "rs") {
            all.push_str(&fs::read_to_string(&path).expect("a file"));
        }
    }
    all
}

/// Guards against a promise that refers to a missing test, after a test was
/// renamed or replaced and the page was not updated.
#[test]
fn the_promises_name_tests_that_exist() {
    let crates = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..");
    let folders = fs::read_dir(crates).expect("a folder");
    let tests = folders
        .map(|entry| entry.expect("an entry").path().join("tests"))
        .filter(|tests| tests.is_dir());
    let all: String = tests.map(|folder| sources(&folder)).collect();
    let page = text("docs/PROMISES.md");
    let paragraphs = page.split("\n\n").filter(|p| p.starts_with("Tests:"));
    let mut named = 0;
    for paragraph in paragraphs {
        let words = paragraph.split('`').skip(1).step_by(2);
        for word in words.filter(|word| word.matches('_').count() >= 2) {
            assert!(all.contains(&format!("fn {word}(")), "no test {word}");
            named += 1;
        }
    }
    assert!(named >= 30, "{named} tests are named");
}
