//! Configurations in parts.

#![allow(clippy::unwrap_used)]

use base::Revision;
use pomeloslip_spread::{Document, Stamp, split};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};
use yare::parameterized;

fn text(customers: &[u32], weight: impl Fn(u32) -> u64) -> String {
    let mut text = "# Who may call.\ntenants:\n".to_owned();
    for customer in customers {
        let weight = weight(*customer);
        text += &format!("  - tenant: t{customer}\n    weight: {weight}\n");
    }
    text + "rules:\n  - then: {pool: a}\n"
}

fn document(revision: u64, text: &str) -> Document {
    Document::new(Revision::new(revision), text, Stamp::default())
}

#[parameterized(
    nothing = { "" },
    no_line_end = { "rules: []" },
    comment_first = { "# a\n\ntenants:\n- tenant: a\n- tenant: a\n" },
    block_text = { "rules:\n  - a: |\n      - b\n      - c\n  - d: 1\n" },
    no_yaml = { "\u{e4}\t- - -\n-\n- \r\n:::\n" },
)]
fn the_parts_make_up_the_text(text: &str) {
    let parts = split(text);
    let whole: String = parts.iter().map(|part| part.1).collect();
    assert_eq!(whole, text);
    let mut names: Vec<_> = parts.iter().map(|part| &part.0).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), parts.len());
}

#[test]
fn a_change_of_one_customer_moves_its_bytes() {
    let customers: Vec<_> = (0..1_400).collect();
    let old = document(1, &text(&customers, |_| 1));
    let edited = text(&customers, |customer| 1 + u64::from(customer == 700));
    let two = Revision::new(2);
    let new = old.successor(two, &edited, Stamp::default());
    let delta = new.delta_since(old.revision());
    let moved = "  - tenant: t700\n    weight: 2\n";
    assert_eq!(delta.text_bytes(), moved.len());
    let bytes = serde_json::to_vec(&delta).unwrap().len();
    assert!(bytes < 400, "{bytes} bytes");
    assert_eq!(new.part_revision("tenants/tenant: t700"), Some(two));
    let other = new.part_revision("tenants/tenant: t701");
    assert_eq!(other, Some(old.revision()));
}

#[test]
fn a_delta_is_refused_where_it_does_not_fit() {
    let one = document(1, "rules: [1]\n");
    let stamp = Stamp::default;
    let two = one.successor(Revision::new(2), "rules: [2]\n", stamp());
    let three = two.successor(Revision::new(3), "a: 1\n", stamp());
    let step = three.delta_since(Revision::new(2));
    assert!(one.apply(&step).is_none(), "a revision is missing");
    assert!(three.apply(&step).is_none(), "it is in force already");
    assert!(
        Document::from_full_delta(&step).is_none(),
        "it is not the whole"
    );
    let other = document(2, "tenants: []\n");
    assert!(other.apply(&step).is_none(), "another text as revision 2");
    let whole = three.delta_since(Revision::default());
    assert_eq!(other.apply(&whole).unwrap().text(), "a: 1\n");
}

/// Applies random edits, with customers moved, removed and added again; a
/// process with any older revision must arrive at the same text.
#[test]
fn every_older_revision_comes_to_the_newest_text() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut customers: Vec<u32> = (0..20).collect();
        let mut newest = document(1, &text(&customers, |_| 1));
        let mut kept = vec![newest.clone()];
        for revision in 2..20 {
            match random.random_range(0..4) {
                0 => customers.shuffle(&mut random),
                1 => drop(customers.pop()),
                2 => customers.insert(0, random.random_range(0..40)),
                _ => {}
            }
            let weight = |customer: u32| (revision * u64::from(customer)) % 3;
            let text = text(&customers, weight);
            let number = Revision::new(revision);
            newest = newest.successor(number, &text, Stamp::default());
            for old in &mut kept {
                let next =
                    old.apply(&newest.delta_since(old.revision())).unwrap();
                assert_eq!(next.text(), text, "seed {seed}");
                // Half of them miss this revision.
                if random.random() {
                    *old = next;
                }
            }
            kept.push(newest.clone());
        }
    }
}
