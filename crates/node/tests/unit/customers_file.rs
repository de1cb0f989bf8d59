//! Weights and pauses of customers from a file.

use std::{fs, process::Command, sync::Arc, time::Duration};

use base::Customer;
use tokio::{sync::watch, time::timeout};
use yare::parameterized;

use super::{read, reload, start};

fn name(text: &str) -> Customer {
    text.parse().expect("a name")
}

const VALID: &str = "\
customers:
  - {name: alama, weight: 5}
  - name: taevakorv
    paused: true
";

#[test]
fn missing_fields_have_their_defaults() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("customers.yaml");
    fs::write(&path, VALID).expect("written");
    let terms = read(&path).expect("valid");
    let of = |customer: &str| {
        let terms = terms.get(&name(customer));
        (terms.weight(), terms.is_paused())
    };
    assert_eq!(of("alama"), (5, false));
    assert_eq!(of("taevakorv"), (1, true));
    assert_eq!(of("not-listed"), (1, false));
}

/// Guards against a mistake in the file that takes effect in part, or whose
/// message does not tell the operator where it is.
#[parameterized(
    unknown_key = {
        "customers:\n  - {name: a, wieght: 2}\n",
        "2:15: customers[0].wieght: unknown key",
    },
    weight_0 = {
        "customers:\n  - {name: a, weight: 0}\n",
        "2:23: customers[0].weight: 0 is not in 1 to 1000",
    },
    weight_1001 = {
        "customers:\n  - {name: a, weight: 1001}\n",
        "2:23: customers[0].weight: 1001 is not in 1 to 1000",
    },
    negative = {
        "customers:\n  - {name: a, weight: -1}\n",
        "2:23: customers[0].weight: ",
    },
    twice = {
        "customers:\n  - {name: a}\n  - {name: a}\n",
        "3:12: customers[1].name: \"a\" is also in customers[0].name",
    },
    no_name = {
        "customers:\n  - {weight: 2}\n",
        "2:5: customers[0]: missing key `name`",
    },
    invalid_name = {
        "customers:\n  - {name: a b}\n",
        "2:12: customers[0].name: ",
    },
    not_a_flag = {
        "customers:\n  - {name: a, paused: later}\n",
        "2:23: customers[0].paused: ",
    },
    empty = { "", "" },
)]
fn an_invalid_file_is_refused(text: &str, message: &str) {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("customers.yaml");
    fs::write(&path, text).expect("written");
    let report = read(&path).expect_err("an error");
    let found = report.current_context().to_string();
    assert!(found.contains(message), "{found}");
}

/// Guards against terms that are lost when an operator saves an invalid file.
#[test]
fn the_last_valid_file_stays_in_force() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("customers.yaml");
    let (sender, receiver) = watch::channel(Arc::default());
    let weight = |text: Option<&str>| {
        match text {
            Some(text) => fs::write(&path, text).expect("written"),
            None => fs::remove_file(&path).expect("removed"),
        }
        reload(&path, &sender);
        receiver.borrow().get(&name("alama")).weight()
    };
    assert_eq!(weight(Some(VALID)), 5);
    assert_eq!(weight(Some("customers: [{name: alama, weight: 0}]")), 5);
    assert_eq!(weight(None), 5);
    assert_eq!(weight(Some("customers: [{name: alama, weight: 7}]")), 7);
}

/// Guards against a new file that is read only at the next start.
#[tokio::test]
async fn the_file_is_read_again_at_a_signal() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("customers.yaml");
    fs::write(&path, VALID).expect("written");
    let mut terms = start(Some(path.clone())).expect("valid");
    fs::write(&path, "customers: [{name: alama, weight: 7}]")
        .expect("written");
    let process = std::process::id().to_string();
    let sent = Command::new("kill").args(["-HUP", &process]).status();
    assert!(sent.expect("a status").success());
    let changed = timeout(Duration::from_secs(10), terms.changed()).await;
    changed.expect("in time").expect("changed");
    assert_eq!(terms.borrow().get(&name("alama")).weight(), 7);
}

/// Guards against a role that starts without the weights that it was given.
#[tokio::test]
async fn a_role_does_not_start_with_an_invalid_file() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("customers.yaml");
    assert!(start(Some(path.clone())).is_err(), "no file");
    fs::write(&path, "customers: 5").expect("written");
    assert!(start(Some(path)).is_err());
    assert!(start(None).expect("no terms").borrow().is_empty());
}
