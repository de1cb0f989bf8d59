//! Tests of decisions and of their explanations.

use base::{Class, Revision, UnixMillis};
use pomeloslip_rules::{
    Action, CompiledConfig, Config, SampleBuf, Verdict, error_list,
};
use proptest::{prelude::*, test_runner::RngSeed};
use yare::parameterized;

mod common;

use common::RULES;

/// 2026-12-26 12:00 in Dar es Salaam.
const NOON: u64 = 1_798_275_600_000;

/// 2026-12-27 02:00 in Dar es Salaam, still the 26th in UTC.
const AFTER_THE_SEASON: u64 = NOON + 14 * 3_600_000;

fn compile(text: &str) -> CompiledConfig {
    let config = Config::parse("f", text)
        .unwrap_or_else(|report| panic!("{:?}", error_list(&report)));
    config.compile(Revision::new(1))
}

fn sample(words: &str) -> SampleBuf {
    let mut sample = SampleBuf::default();
    sample.set("tenant=taevakorv").expect("valid");
    for word in words.split_whitespace() {
        sample.set(word).expect("valid");
    }
    sample
}

fn decided(rules: &CompiledConfig, words: &str, at: u64) -> Option<usize> {
    let sample = sample(words);
    let now = UnixMillis::new(at);
    rules.decide(&sample.as_sample(), now).rule()
}

#[parameterized(
    season = { "class=batch pool_load.alama=0.9", NOON, Some(0) },
    season_is_over = { "class=batch pool_load.alama=0.9", AFTER_THE_SEASON, Some(2) },
    not_loaded = { "class=batch pool_load.alama=0.8", NOON, None },
    load_unknown = { "class=batch", NOON, None },
    urgent = { "class=batch due_in_ms=3599999", NOON, Some(1) },
    late = { "class=batch due_in_ms=0", NOON, Some(1) },
    not_urgent = { "class=batch due_in_ms=3600000", NOON, None },
    night_begins = { "class=batch", NOON + 8 * 3_600_000, Some(2) },
    night_goes_on = { "class=batch", NOON + 18 * 3_600_000 - 1, Some(2) },
    night_ends = { "class=batch", NOON + 18 * 3_600_000, None },
    header = { "header.x-branch=dar-1", NOON, Some(3) },
    header_case = { "header.X-BRANCH=dar-1", NOON, Some(3) },
    other_header = { "header.x-branch=tanga", NOON, None },
    counter = { "tenant=alama model=alama-llm", NOON, Some(4) },
    other_customer = { "model=alama-llm", NOON, None },
    other_model = { "tenant=alama model=alama-small", NOON, None },
    first_wins = { "tenant=alama model=alama-llm header.x-branch=dar-1", NOON, Some(3) },
    long = { "prompt_bytes=10000", NOON, Some(5) },
    not_long = { "prompt_bytes=9999", NOON, None },
    path = { "service=vautsher-app path=/book", NOON, Some(6) },
    path_prefix = { "service=vautsher-app path=/svc/x", NOON, Some(6) },
    other_path = { "service=vautsher-app path=/books", NOON, Some(7) },
    other_method = { "service=vautsher-app method=get path=/book", NOON, Some(7) },
    other_service = { "service=registry-desk", NOON, Some(8) },
    unknown_service = { "service=desk", NOON, None },
)]
fn first_rule_that_holds(words: &str, at: u64, rule: Option<usize>) {
    assert_eq!(decided(&compile(RULES), words, at), rule);
}

#[parameterized(
    engine = { "tenant=alama model=alama-llm", Some(true) },
    forbidden = { "service=vautsher-app path=/book", Some(false) },
    safe_method = { "service=vautsher-app method=GET", Some(true) },
    other_method = { "service=vautsher-app", Some(false) },
    listed_method = { "service=registry-desk method=PUT", Some(true) },
    refused = { "prompt_bytes=10000", None },
)]
fn repeatable_calls(words: &str, expected: Option<bool>) {
    let rules = compile(RULES);
    let sample = sample(words);
    let decision = rules.decide(&sample.as_sample(), UnixMillis::new(NOON));
    let found = match decision.action() {
        Action::Route { repeatable, .. } => Some(repeatable),
        _ => None,
    };
    assert_eq!(found, expected);
}

/// Guards against refused callers that retry at once and sustain the overload:
/// a rule refuses with 429 and sets no retry delay.
#[test]
fn refusals_carry_a_retry_delay() {
    let rules = compile(RULES);
    let now = UnixMillis::new(NOON);
    let long = sample("prompt_bytes=10000");
    let refused = rules.decide(&long.as_sample(), now);
    let Action::Refuse(refusal) = refused.action() else {
        panic!("{refused:?}")
    };
    assert_eq!((refusal.status(), refusal.retry_after_s()), (429, Some(5)));
    let busy = sample("class=batch pool_load.alama=1.5");
    let shed = rules.decide(&busy.as_sample(), now);
    assert_eq!(shed.action().retry_after_s(), Some(5));
    let permanent = compile("rules: [{then: {refuse: {}}}]");
    let refused = permanent.decide(&long.as_sample(), now);
    assert_eq!(refused.action().retry_after_s(), None);
}

#[test]
fn route_carries_what_the_rule_says() {
    let rules = compile(RULES);
    let words = sample("tenant=alama model=alama-llm");
    let decision = rules.decide(&words.as_sample(), UnixMillis::new(NOON));
    let Action::Route { route, .. } = decision.action() else {
        panic!("{decision:?}")
    };
    let names: Vec<&str> = route
        .pools()
        .map(|key| rules.pool(key).expect("a pool").name())
        .collect();
    assert_eq!(names, ["alama", "alama-spare"]);
    assert_eq!(route.deadline_ms(), Some(30_000));
    assert_eq!(route.first_token_ms(), Some(1_400));
    assert_eq!((route.retries(), route.hedge_ms()), (2, Some(900)));
    assert_eq!(route.rate_per_s(), Some(50.0));
    assert_eq!((route.batch_share(), route.batch_floor()), (1.0, 0.0));
}

#[test]
fn explanation_gives_each_reason() {
    let rules = compile(RULES);
    let words = sample("class=batch due_in_ms=5");
    let explanation = rules.explain(&words.as_sample(), UnixMillis::new(NOON));
    assert_eq!(explanation.rule(), Some(2));
    assert_eq!(explanation.action(), "goes to alama");
    let text = explanation.to_string();
    let lines: Vec<&str> = text.lines().take(9).collect();
    assert_eq!(
        lines,
        [
            "revision 1: rule 2 decides; goes to alama",
            "rule 1 (season) does not hold",
            "  pool_load: wants alama above 0.8, found alama unknown",
            "rule 2 (urgent) decides",
            "rule 3 (night) does not hold",
            "  time_of_day: wants 20:00-06:00 Africa/Dar_es_Salaam, \
             found 2026-12-26 09:00:00 UTC",
            "rule 4 (offices) does not hold",
            "  header: wants x-branch starting with \"dar-\", \
             found x-branch: none",
            "rule 5 (counter) does not hold",
        ]
    );
    let json = serde_json::to_value(&explanation).expect("serializable");
    assert_eq!(json["rules"][0]["verdict"], "does_not_hold");
    assert_eq!(json["rules"][0]["failures"][0]["condition"], "pool_load");
}

#[test]
fn later_matching_rules_are_reported() {
    let rules = compile("rules: [{then: {shed: true}}, {then: {shed: true}}]");
    let words = sample("");
    let explanation = rules.explain(&words.as_sample(), UnixMillis::new(0));
    assert_eq!(explanation.rules()[1].verdict(), Verdict::ComesLater);
}

#[test]
fn time_of_day_follows_daylight_saving_time() {
    let rules = compile(
        "rules: [{when: {time_of_day: {from: 00:00, to: 01:00, \
         zone: Europe/Tallinn}}, then: {shed: true}}]",
    );
    // 22:30 UTC is 00:30 in Tallinn in winter and 01:30 in summer.
    let winter = 1_767_306_600_000; // 2026-01-01
    let summer = 1_782_945_000_000; // 2026-07-01
    assert_eq!(decided(&rules, "", winter), Some(0));
    assert_eq!(decided(&rules, "", summer), None);
    // Times beyond the calendar's range are clamped to its last instant, which
    // is just after 00:00 in Tallinn.
    assert_eq!(decided(&rules, "", u64::MAX), Some(0));
}

#[parameterized(
    no_value = { "tenant", "\"tenant\" is not of the form KEY=VALUE" },
    key = { "modle=x", "unknown key \"modle\"; did you mean \"model\"?" },
    class = { "class=bacth", "unknown class \"bacth\"; did you mean \"batch\"?" },
    number = { "prompt_bytes=many", "prompt_bytes: \"many\" is not a number" },
)]
fn wrong_sample(word: &str, message: &str) {
    let error = SampleBuf::default().set(word).expect_err("an error");
    assert_eq!(error.to_string(), message);
}

/// Generates 150 to 199 rules whose conditions overlap at random.
fn many_rules() -> impl Strategy<Value = String> {
    let one = |name: &'static str, key: &'static str, of: &'static [&str]| {
        prop::collection::vec(prop::sample::select(of), 0..3).prop_map(
            move |words| match words.is_empty() {
                true => String::new(),
                false => format!("{name}{key}: [{}], ", words.join(", ")),
            },
        )
    };
    let rule = (
        one("", "class", &["online", "batch"]),
        one("", "tenant", &["t1", "t2", "t3"]),
        one("", "model", &["m1", "m2"]),
        one("", "method", &["GET", "POST"]),
        prop::bool::ANY,
    );
    prop::collection::vec(rule, 150..200).prop_map(|rules| {
        let mut text = "\
tenants: [{tenant: t1}, {tenant: t2}, {tenant: t3}]
pools: [{pool: p, kind: engine, models: [m1, m2]}]
rules:
"
        .to_owned();
        for (class, customer, model, method, long) in rules {
            // About half of the rules require a header that is absent, so that
            // the matching rule is deep in the list.
            let last_condition = match long {
                true => "prompt_bytes: {min: 5}",
                false => "header: {name: none}",
            };
            text.push_str(&format!(
                "- {{when: {{{class}{customer}{model}{method}{last_condition}}}, \
                 then: {{shed: true}}}}\n"
            ));
        }
        text
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 30,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The index finds the same rule as a linear scan over all conditions.
    #[test]
    fn index_agrees_with_a_linear_scan(text in many_rules()) {
        let rules = compile(&text);
        let now = UnixMillis::new(0);
        for (class, customer, model, method) in [
            (Class::Online, "t1", None, "GET"),
            (Class::Online, "t2", Some("m1"), "POST"),
            (Class::Batch, "t3", Some("m2"), "POST"),
            (Class::Batch, "t4", Some("m3"), "PUT"),
        ] {
            let owned = sample("prompt_bytes=9");
            let sample = pomeloslip_rules::Sample {
                class,
                customer,
                model,
                method,
                ..owned.as_sample()
            };
            let scanned = rules
                .explain(&sample, now)
                .rules()
                .iter()
                .position(|rule| rule.failures().is_empty());
            prop_assert_eq!(rules.decide(&sample, now).rule(), scanned);
        }
    }
}
