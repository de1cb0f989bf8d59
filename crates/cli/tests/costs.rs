//! What nodes cost, from the lines that they log.

use pomeloslip::costs::Costs;

fn line(vm: &str, role: &str, up_s: u64, counts: &str) -> String {
    format!(
        "{{\"message\":\"what this node has cost\",\"vm\":\"{vm}\",\
         \"role\":\"{role}\",\"up_s\":{up_s},\"counts\":\"{counts}\"}}"
    )
}

fn costs(lines: &[String]) -> Costs {
    Costs::of(lines.iter().map(String::as_str))
}

#[test]
fn the_last_line_of_a_node_counts() {
    let costs = costs(&[
        line("f1", "front", 10, "kv_reads=30"),
        line("f1", "front", 20, "kv_reads=40 arrived=10"),
        line("f2", "front", 20, "kv_reads=80"),
    ]);
    let reads = costs.of_role("front", "kv_reads").expect("a rate");
    assert_eq!((reads.mean_per_s, reads.most_per_s), (3.0, 4.0));
    let arrived = costs.of_role("front", "arrived").expect("a rate");
    assert_eq!(arrived.mean_per_s, 0.25, "a node without it counts as 0");
    assert_eq!(costs.counters(), ["arrived", "kv_reads"]);
}

/// Symptom: a fleet that was restarted seems to have cost little. Cause: a
/// process counts from its own start.
#[test]
fn all_lives_of_a_node_count() {
    let costs = costs(&[
        line("w1", "worker", 20, "kv_writes=60"),
        line("w1", "worker", 10, "kv_writes=30"),
    ]);
    let writes = costs.of_role("worker", "kv_writes").expect("a rate");
    assert_eq!(writes.mean_per_s, 3.0);
}

#[test]
fn what_is_no_line_of_costs_is_passed_over() {
    let costs = costs(&[
        "not json".to_owned(),
        "{\"message\":\"a request ended\"}".to_owned(),
        line("w1", "worker", 10, "kv_writes=x nothing =3 kv_reads=10"),
    ]);
    assert_eq!(costs.nodes("worker"), 1);
    let reads = costs.of_role("worker", "kv_reads").expect("a rate");
    assert_eq!(reads.mean_per_s, 1.0);
    assert!(costs.of_role("front", "kv_reads").is_none());
}
