//! Tests of configuration parsing, its error messages and diffs.

use base::{Customer, Revision};
use pomeloslip_rules::{Config, diff};
use proptest::{prelude::*, test_runner::RngSeed};
use yare::parameterized;

mod common;

use common::RULES;

fn error(text: &str) -> String {
    let report = Config::parse("f", text).expect_err("an error");
    report.current_context().to_string()
}

/// Returns a document with one rule and one pool of each kind.
fn with_rule(rule: &str) -> String {
    format!(
        "tenants: [{{tenant: alama}}]\n\
         pools:\n\
         - {{pool: lm, kind: engine, models: [a, b]}}\n\
         - {{pool: desk, kind: service, service: registry-desk}}\n\
         rules:\n\
         - {rule}\n"
    )
}

#[test]
fn full_document_is_valid() {
    let config = Config::parse("f", RULES).expect("valid");
    assert_eq!(config.rules.len(), 9);
    let json = serde_json::to_string(&config).expect("serializable");
    let again = Config::parse("f", &json).expect("JSON is YAML");
    assert_eq!(again, config);
}

#[test]
fn empty_sections_are_valid() {
    assert_eq!(Config::parse("f", "rules: []").unwrap(), Config::default());
}

#[parameterized(
    unknown_condition = { "when: {modle: a}\n  then: {shed: true}", "f:6:10: rules[0].when.modle: unknown key; did you mean \"model\"?" },
    unknown_action = { "then: {pool: lm, retires: 1}", "f:6:20: rules[0].then.retires: unknown key; did you mean \"retries\"?" },
    unknown_pool = { "then: {pool: lmm}", "f:6:16: rules[0].then.pool: unknown pool \"lmm\"; did you mean \"lm\"?" },
    unknown_fallback = { "then: {pool: lm, fallback_pools: [desk, dsk]}", "f:6:43: rules[0].then.fallback_pools[1]: unknown pool \"dsk\"; did you mean \"desk\"?" },
    unknown_fallback_alone = { "then: {pool: lm, fallback_pools: dsk}", "f:6:36: rules[0].then.fallback_pools: unknown pool \"dsk\"; did you mean \"desk\"?" },
    unknown_customer = { "{when: {tenant: [alama, allama]}, then: {shed: true}}", "f:6:27: rules[0].when.tenant[1]: unknown tenant \"allama\"; did you mean \"alama\"?" },
    unknown_model = { "{when: {model: z}, then: {shed: true}}", "f:6:18: rules[0].when.model: unknown model \"z\"" },
    unknown_service = { "{when: {service: registry}, then: {shed: true}}", "f:6:20: rules[0].when.service: unknown service \"registry\"; did you mean \"registry-desk\"?" },
    class = { "{when: {class: bach}, then: {shed: true}}", "f:6:18: rules[0].when.class: unknown value \"bach\"; one of online, batch; did you mean \"batch\"?" },
    method = { "{when: {method: [get]}, then: {shed: true}}", "f:6:20: rules[0].when.method[0]: unknown value \"get\"; one of GET, HEAD, OPTIONS, POST, PUT, PATCH, DELETE; did you mean \"GET\"?" },
    zone = { "{when: {time_of_day: {from: 20:00, to: 06:00, zone: Europe/Talinn}}, then: {shed: true}}", "f:6:55: rules[0].when.time_of_day.zone: \"Europe/Talinn\" is not an IANA time zone; did you mean \"Europe/Tallinn\"?" },
    time = { "{when: {time_of_day: {from: 24:00, to: 06:00}}, then: {shed: true}}", "f:6:31: rules[0].when.time_of_day.from: \"24:00\" is not a time of day from 00:00 to 23:59" },
    no_time = { "{when: {time_of_day: {from: 06:00, to: 06:00}}, then: {shed: true}}", "f:6:24: rules[0].when.time_of_day: `from` and `to` are the same" },
    date = { "{when: {dates: {from: 2026-02-30, to: 2026-03-01}}, then: {shed: true}}", "f:6:25: rules[0].when.dates.from: \"2026-02-30\" is not a date such as 2026-12-24" },
    dates = { "{when: {dates: [{from: 2026-02-03, to: 2026-02-01}]}, then: {shed: true}}", "f:6:19: rules[0].when.dates[0]: `from` is after `to`" },
    path = { "{when: {path: v1}, then: {shed: true}}", "f:6:17: rules[0].when.path: \"v1\" does not start with /" },
    path_star = { "{when: {path: /a*b}, then: {shed: true}}", "f:6:17: rules[0].when.path: \"/a*b\" has a * before its end" },
    header = { "{when: {header: {name: x, equals: a, prefix: b}}, then: {shed: true}}", "f:6:19: rules[0].when.header: takes one of `equals` and `prefix`" },
    empty_list = { "{when: {model: []}, then: {shed: true}}", "f:6:18: rules[0].when.model: an empty list never matches; omit the key" },
    bytes = { "{when: {prompt_bytes: {min: 2, max: 1}}, then: {shed: true}}", "f:6:25: rules[0].when.prompt_bytes: min 2 is greater than max 1" },
    no_bytes = { "{when: {prompt_bytes: {}}, then: {shed: true}}", "f:6:25: rules[0].when.prompt_bytes: needs `min` or `max`" },
    both = { "{when: {model: a, service: registry-desk}, then: {shed: true}}", "f:6:30: rules[0].when.service: no request names both a model and a service" },
    load = { "{when: {pool_load: {pool: lm, above: -1}}, then: {shed: true}}", "f:6:40: rules[0].when.pool_load.above: -1 is not in 0 to 1000" },
    no_action = { "{then: {}}", "f:6:10: rules[0].then: takes exactly one of `pool`, `refuse`, `shed`" },
    two_actions = { "{then: {pool: lm, shed: true}}", "f:6:10: rules[0].then: takes exactly one of `pool`, `refuse`, `shed`" },
    no_then = { "{name: x}", "f:6:3: rules[0]: missing key `then`" },
    useless = { "{then: {shed: true, retries: 1}}", "f:6:32: rules[0].then.retries: has no effect without `pool`" },
    status = { "{then: {refuse: {status: 200}}}", "f:6:28: rules[0].then.refuse.status: 200 is not in 400 to 599" },
    deadline = { "{then: {pool: lm, deadline_ms: 0}}", "f:6:34: rules[0].then.deadline_ms: 0 is not in 1 to 86400000" },
    first_token = { "{then: {pool: lm, deadline_ms: 5, first_token_ms: 6}}", "f:6:53: rules[0].then.first_token_ms: 6 is greater than deadline_ms 5" },
    retries = { "{then: {pool: lm, retries: 11}}", "f:6:30: rules[0].then.retries: 11 is not in 0 to 10" },
    hedge = { "{then: {pool: lm, hedge_ms: 5, repeatable: false}}", "f:6:31: rules[0].then.hedge_ms: runs a request twice, which `repeatable` forbids" },
    rate = { "{then: {pool: lm, rate_per_s: 0}}", "f:6:33: rules[0].then.rate_per_s: 0 is not greater than 0 and at most 1e9" },
    share = { "{then: {pool: lm, batch_share: 1.5}}", "f:6:34: rules[0].then.batch_share: 1.5 is not in 0 to 1" },
    floor = { "{then: {pool: lm, batch_share: 0.2, batch_floor: 0.3}}", "f:6:52: rules[0].then.batch_floor: 0.3 is greater than batch_share 0.2" },
    wrong_pool = { "{when: {model: [a, b]}, then: {pool: desk}}", "f:6:40: rules[0].then.pool: \"desk\" has no model a\nf:6:40: rules[0].then.pool: \"desk\" has no model b" },
    wrong_service = { "{when: {service: registry-desk}, then: {pool: lm}}", "f:6:49: rules[0].then.pool: \"lm\" is not service registry-desk" },
)]
fn rule_problem(rule: &str, line: &str) {
    assert_eq!(error(&with_rule(rule)), line);
}

#[parameterized(
    same_customer = { "tenants: [{tenant: a}, {tenant: a}]", "f:1:33: tenants[1].tenant: \"a\" is also in tenants[0].tenant" },
    digest = { "tenants: [{tenant: a, key_sha256: abc}]", "f:1:35: tenants[0].key_sha256: a key digest is the SHA-256 of the key in 64 hex digits" },
    weight = { "tenants: [{tenant: a, weight: 0}]", "f:1:31: tenants[0].weight: 0 is not in 1 to 1000" },
    burst = { "tenants: [{tenant: a, limits: {burst: 5}}]", "f:1:39: tenants[0].limits.burst: has no effect without `requests_per_s`" },
    same_pool = { "pools: [{pool: a, kind: engine, models: m}, {pool: a, kind: engine, models: m}]", "f:1:52: pools[1].pool: \"a\" is also in pools[0].pool" },
    no_models = { "pools: [{pool: a, kind: engine}]", "f:1:9: pools[0].models: missing; an engine pool needs one" },
    no_service = { "pools: [{pool: a, kind: service}]", "f:1:9: pools[0].service: missing; a service pool needs it" },
    misplaced = { "pools: [{pool: a, kind: service, service: s, models: m}]", "f:1:54: pools[0].models: is only for kind engine" },
    host_name = { "pools: [{pool: a, kind: engine, models: m, hosts: [http://a:1]}]", "f:1:52: pools[0].hosts[0]: \"a:1\" is not an IP address by number with a port, such as 10.0.0.1:8080; host names are not looked up" },
    same_rule = { "rules: [{name: a, then: {shed: true}}, {name: a, then: {shed: true}}]", "f:1:47: rules[1].name: \"a\" is also in rules[0].name" },
)]
fn section_problem(text: &str, line: &str) {
    assert_eq!(error(text), line);
}

/// Guards against follow-up errors that hide the actual problem: a pool cannot
/// be read, and each rule that names it reports an unknown pool.
#[test]
fn invalid_pool_causes_no_follow_up_errors() {
    let text = "\
pools:
- {pool: lm, kind: engin, models: [a]}
- {pool: desk, kind: service, service: s}
rules:
- {when: {model: a}, then: {pool: lm}}
- {then: {pool: desk, retries: 99}}
";
    assert_eq!(
        error(text),
        "f:2:20: pools[0].kind: unknown value \"engin\"; one of engine, \
         service; did you mean \"engine\"?\n\
         f:6:32: rules[1].then.retries: 99 is not in 0 to 10"
    );
}

/// A customer may have two valid keys during a rotation, but a key shared by
/// two customers would bill the wrong one.
#[test]
fn digest_belongs_to_one_customer() {
    let digest = "ab".repeat(32);
    let text = format!(
        "tenants:\n- {{tenant: a, key_sha256: {digest}}}\n\
         - {{tenant: b, key_sha256: [{digest}]}}\n"
    );
    let line = error(&text);
    assert!(
        line.starts_with("f:3:28: tenants[1].key_sha256[0]: "),
        "{line}"
    );
}

#[test]
fn customers_and_pools_are_found() {
    let config = Config::parse("f", RULES).expect("valid");
    let compiled = config.compile(Revision::new(4));
    assert_eq!(compiled.revision(), Revision::new(4));
    let customer: Customer = "alama".parse().expect("a name");
    let alama = compiled.customer_by_name(&customer).expect("known");
    assert_eq!((alama.weight(), alama.limits().concurrent), (3, Some(40)));
    let by_key = |byte: u8| compiled.customer_by_key_digest(&[byte; 32]);
    assert_eq!(by_key(0xaa).expect("known").key(), alama.key());
    assert_eq!(by_key(0xbb).expect("known").key(), alama.key());
    assert!(by_key(0xcc).is_none());
    assert_eq!(compiled.models(), ["alama-llm", "alama-small"]);
    let desk = compiled.pool_by_name("registry-desk").expect("known");
    assert!(desk.is_repeatable("PUT") && !desk.is_repeatable("DELETE"));
    assert!(desk.checks_fence());
    let other = compiled.pool_by_name("vautsher-app").expect("known");
    assert!(other.is_repeatable("GET") && !other.is_repeatable("POST"));
}

#[parameterized(
    nothing = { "", "", &[] },
    customer = { "concurrent: 40", "concurrent: 50", &["~ tenant alama: limits.concurrent: 40 -> 50"] },
    new_key = { "    fallback_pools: [alama-spare]\n", "", &["~ rule counter: then.fallback_pools: [\"alama-spare\"] -> none"] },
    renamed = { "name: offices", "name: branches", &["- rule offices", "+ rule branches at 4: {\"name\":\"branches\",\"when\":{\"header\":[{\"name\":\"X-Branch\",\"prefix\":\"dar-\"}]},\"then\":{\"pool\":\"alama\",\"retries\":0}}"] },
)]
fn differences(old: &str, new: &str, lines: &[&str]) {
    let changed = RULES.replacen(old, new, 1);
    assert!(old.is_empty() || changed != RULES);
    assert_eq!(diff(RULES, &changed), lines);
}

#[test]
fn moved_rules_are_reported_once() {
    let rule =
        |name: &str| format!("- {{name: {name}, then: {{shed: true}}}}\n");
    let text = |names: &str| {
        let rules: String = names.split(' ').map(rule).collect();
        format!("rules:\n{rules}")
    };
    assert_eq!(
        diff(&text("a b c d"), &text("d a b c")),
        ["> rule d: from 4 to 1"]
    );
    assert_eq!(
        diff(&text("a b c"), &text("c x a")),
        [
            "- rule b",
            "+ rule x at 2: {\"name\":\"x\",\"when\":{},\
             \"then\":{\"shed\":true}}",
            "> rule a: from 1 to 3",
        ]
    );
}

#[test]
fn diff_with_an_invalid_text_reports_its_error() {
    assert_eq!(diff("rules: []", "rules: 1").len(), 1);
}

/// Generates a document with random edits, like typing errors.
fn edited_document() -> impl Strategy<Value = String> {
    let piece = prop::sample::select(vec![
        "", " ", "\n", ":", "-", "[", "]", "{", "}", "'", "\"", "#", "&a ",
        "*a", "!t ", "0", "-1", "1e999", ".nan", "~", "a: ", "\t", "\u{e4}",
        "---\n", "|", "? ", ",",
    ]);
    let change = (0..RULES.len(), 0..12_usize, piece);
    prop::collection::vec(change, 1..6).prop_map(|changes| {
        let mut text = RULES.as_bytes().to_vec();
        for (at, cut, piece) in changes {
            let start = at.min(text.len());
            let end = (start + cut).min(text.len());
            text.splice(start..end, piece.bytes());
        }
        String::from_utf8_lossy(&text).into_owned()
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Parsing any damaged document returns a configuration or problems with
    /// valid positions.
    #[test]
    fn damaged_documents_report_valid_positions(text in edited_document()) {
        match Config::parse("f", &text) {
            Ok(config) => {
                config.compile(Revision::new(1));
            }
            Err(report) => {
                let lines = text.split('\n').count() as u32;
                let problems: Vec<_> =
                    report.current_context().problems().collect();
                prop_assert!((1..=20).contains(&problems.len()));
                for problem in problems {
                    prop_assert!((1..=lines).contains(&problem.line()));
                }
            }
        }
    }
}
