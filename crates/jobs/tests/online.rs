//! What fronts tell of their requests in flight.

use base::Millis;
use pomeloslip_jobs::{FRONT_LOAD_LIFE_MS, OnlineLoad};

const NOW: Millis = Millis::new(5_000);

fn counts(all: &[(&str, u32)]) -> Vec<(String, u32)> {
    all.iter().map(|(id, n)| ((*id).to_owned(), *n)).collect()
}

#[test]
fn the_words_of_all_fronts_add_up() {
    let (load, _heard) = OnlineLoad::new();
    load.take("f1", counts(&[("e", 2)]), false, NOW);
    load.take("f2", counts(&[("e", 3)]), false, NOW);
    assert_eq!(load.at("e", "", NOW), 5);
    assert_eq!(load.at("e", "f1", NOW), 3);
    assert_eq!(load.at("other", "", NOW), 0);
}

/// Symptom: batch work never starts at an endpoint. Events: a front is
/// killed with requests in flight. Cause: its last word counted for ever.
#[test]
fn the_update_of_a_silent_front_is_forgotten() {
    let (load, _heard) = OnlineLoad::new();
    load.take("f1", counts(&[("e", 8)]), false, NOW);
    let later = NOW.saturating_add_ms(FRONT_LOAD_LIFE_MS);
    assert_eq!(load.at("e", "", later), 0);
    assert!(load.is_whole(["f1"], NOW));
    assert!(!load.is_whole(["f1"], later));
    assert!(!load.is_whole(["f1", "f2"], NOW));
    assert!(!load.is_whole([], NOW), "no front is no knowledge");
}

#[test]
fn a_whole_word_makes_good_what_was_lost() {
    let (load, _heard) = OnlineLoad::new();
    load.take("f1", counts(&[("e", 2), ("g", 1)]), false, NOW);
    load.take("f1", counts(&[("e", 1)]), true, NOW);
    assert_eq!((load.at("e", "", NOW), load.at("g", "", NOW)), (1, 0));
}

#[test]
fn the_runner_hears_of_a_changed_endpoint_at_once() {
    let (load, mut heard) = OnlineLoad::new();
    load.take("f1", counts(&[("e", 1)]), false, NOW);
    assert_eq!(heard.try_recv().ok().as_deref(), Some("e"));
    load.take("f1", counts(&[("e", 1)]), false, NOW);
    assert!(heard.try_recv().is_err(), "nothing has changed");
}
