//! Rules that are wrong, and edits that race.

#![allow(clippy::unwrap_used)]

mod broken_common;

use broken_common::{System, chat};
use pomeloslip::demo::{ADMIN_KEY, CUSTOMER_KEY};
use serde_json::{Value, json};

/// Returns revision and text that an operator is shown, and the revision
/// that the entry says it runs.
async fn in_force(system: &System) -> (Value, Value) {
    let shown = system.get("/admin/config", ADMIN_KEY).await;
    let status = system.get("/status", CUSTOMER_KEY).await;
    assert_eq!(status.ok()["revision"], shown.ok()["revision"]);
    (shown.body["revision"].clone(), shown.body["text"].clone())
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_rules_name_the_place_and_change_nothing() {
    let system = System::start().await;
    let before = in_force(&system).await;
    let good = system.text().await;
    let broken = good.replacen("retries: 2", "retires: 2", 1).replacen(
        "pool: korv-lm}",
        "pool: korv-ml}",
        1,
    );
    let answer = system.apply(1, "broken", &broken).await;
    let errors = answer.refused(422, "invalid")["errors"].clone();
    let errors = errors.as_array().unwrap();
    assert_eq!(errors.len(), 2, "{errors:#?}");
    for (error, (wrong, nearest)) in errors
        .iter()
        .zip([("retires", "retries"), ("korv-ml", "korv-lm")])
    {
        // The line and column, counted from 1, are where the word stands.
        let line = error["line"].as_u64().unwrap() as usize;
        let column = error["column"].as_u64().unwrap() as usize;
        let text = broken.lines().nth(line - 1).unwrap();
        assert!(text[column - 1..].starts_with(wrong), "{error}");
        assert!(error["key"].as_str().unwrap().starts_with("rules["));
        assert_eq!(error["nearest"], nearest);
    }
    assert_eq!(in_force(&system).await, before);

    let empty = system.apply(1, "empty", "").await;
    let errors = empty.refused(422, "invalid")["errors"].clone();
    assert!(!errors.as_array().unwrap().is_empty());
    assert_eq!(in_force(&system).await, before);
    let sent = system
        .post("/v1/chat/completions", CUSTOMER_KEY, &chat("hello"))
        .await;
    sent.ok();
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_edits_that_race_one_is_told_the_difference() {
    // Symptom: an operator's edit is gone without a word. Sequence: two
    // operators read revision 1, each changes another line, both write.
    // Cause: the second write replaces the first unless it names the
    // revision that it was made from.
    let system = System::start().await;
    let good = system.text().await;
    let edits = [
        good.replacen("deadline_ms: 60000", "deadline_ms: 50000", 1),
        good.replacen("deadline_ms: 10000", "deadline_ms: 20000", 1),
    ];
    let (first, second) = tokio::join!(
        system.apply(1, "edit-1", &edits[0]),
        system.apply(1, "edit-2", &edits[1]),
    );
    let (won, lost) = match first.status {
        200 => (0, &second),
        _ => (1, &first),
    };
    let conflict = lost.refused(409, "conflict");
    assert_eq!(conflict["current_revision"], 2);
    // From what is in force to what was not accepted.
    let diffs = [
        json!([
            "~ rule chat: then.deadline_ms: 50000 -> 60000",
            "~ rule vouchers: then.deadline_ms: 10000 -> 20000",
        ]),
        json!([
            "~ rule chat: then.deadline_ms: 60000 -> 50000",
            "~ rule vouchers: then.deadline_ms: 20000 -> 10000",
        ]),
    ];
    assert_eq!(conflict["diff"], diffs[won]);
    let (revision, text) = in_force(&system).await;
    assert_eq!((revision, text), (json!(2), json!(edits[won])));
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_edit_sent_again_takes_effect_once() {
    // Symptom: an edit whose answer was lost is told as a conflict with
    // itself, or counted twice. Cause: only the operation id tells a second
    // copy from another edit.
    let system = System::start().await;
    let text = system.text().await.replacen("60000", "50000", 1);
    for _ in 0..2 {
        let answer = system.apply(1, "same", &text).await;
        assert_eq!(answer.ok()["revision"], 2);
    }
    // Also after somebody else's edit it was accepted, and is told so.
    let next = text.replacen("50000", "40000", 1);
    system.apply(2, "next", &next).await.ok();
    let answer = system.apply(1, "same", &text).await;
    assert_eq!(answer.ok()["revision"], 2);
    assert_eq!(system.text().await, next);
    let history = system.get("/admin/config/history", ADMIN_KEY).await;
    assert_eq!(history.ok().as_array().unwrap().len(), 3);
    let late = system.apply(1, "other", &text).await;
    late.refused(409, "conflict");
    let future = system.apply(4, "future", &text).await;
    future.refused(409, "conflict");
    let none = system.get("/admin/config/9", ADMIN_KEY).await;
    none.refused(404, "not-found");
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operation_id_used_for_another_text_is_no_second_copy() {
    // Symptom: an edit is told as accepted and is not there. Cause: it has
    // the operation id of the one in force, and only that was compared.
    let system = System::start().await;
    let text = system.text().await;
    let edits = ["50000", "40000"].map(|ms| text.replacen("60000", ms, 1));
    system.apply(1, "same", &edits[0]).await.ok();
    let reused = system.apply(1, "same", &edits[1]).await;
    reused.refused(409, "conflict");
    assert_eq!(system.text().await, edits[0]);
    system.stop().await;
}
