//! The caller's name for a call that may not be repeated.

use web::{Problem, ProblemKind, Ran};

use crate::exchange::Exchange;

/// Header that names the call.
const KEY_HEADER: &str = "idempotency-key";

/// Longest key, in bytes.
const KEY_MAX_BYTES: usize = 255;

/// Returns the idempotency key of a call that needs one; calls that may be
/// repeated need none.
///
/// # Errors
///
/// A refusal if the key is empty, too long, not plain text or there twice.
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
        return Err(bad("send one Idempotency-Key"));
    }
    let key = key.value.trim();
    let plain = key.bytes().all(|b| (b' '..=b'~').contains(&b));
    if key.is_empty() || key.len() > KEY_MAX_BYTES || !plain {
        return Err(bad("an Idempotency-Key has 1 to 255 ASCII characters"));
    }
    Ok(Some(key.to_owned()))
}

fn bad(why: &str) -> Problem {
    Problem::new(ProblemKind::BadRequest, why).ran(Ran::No)
}
