//! The idempotency key of a call that is not repeatable.

use web::{Problem, ProblemKind, Ran};

use crate::exchange::Exchange;

/// Header of the idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Returns the idempotency key of a call that is not repeatable; repeatable
/// calls need none.
///
/// # Errors
///
/// A bad request if the key is empty, too long, not printable ASCII or sent
/// more than once.
pub(crate) fn idempotency_key(
    exchange: &Exchange,
) -> Result<Option<String>, Problem> {
    if exchange.plan.repeatable {
        return Ok(None);
    }
    let mut keys = exchange.headers.iter().filter(|h| h.name == KEY_HEADER);
    let Some(key) = keys.next() else {
        return Ok(None);
    };
    if keys.next().is_some() {
        return Err(bad_request("send one Idempotency-Key"));
    }
    let key = key.value.trim();
    let is_printable = key.bytes().all(|b| (b' '..=b'~').contains(&b));
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !is_printable {
        return Err(bad_request(
            "an Idempotency-Key has 1 to 255 ASCII characters",
        ));
    }
    Ok(Some(key.to_owned()))
}

fn bad_request(reason: &str) -> Problem {
    Problem::new(ProblemKind::BadRequest, reason).ran(Ran::No)
}
