//! Wire codes of enums, which must stay the same across versions.

use pomeloslip_wire::message::{OutcomeKind, RefusalKind};

#[yare::parameterized(
    full = { RefusalKind::Full, 1 },
    leaving = { RefusalKind::Leaving, 2 },
    endpoint_down = { RefusalKind::EndpointDown, 3 },
    wrong_target = { RefusalKind::WrongTarget, 4 },
    late = { RefusalKind::Late, 5 },
    stale_fence = { RefusalKind::StaleFence, 6 },
    invalid = { RefusalKind::Invalid, 7 },
    no_space = { RefusalKind::NoSpace, 8 },
    conflict = { RefusalKind::Conflict, 9 },
    wrong_role = { RefusalKind::WrongRole, 10 },
    failed = { RefusalKind::Failed, 11 },
    wrong_version = { RefusalKind::WrongVersion, 12 },
)]
fn refusals_keep_their_codes(kind: RefusalKind, code: u16) {
    assert_eq!(kind.code(), code);
    assert_eq!(RefusalKind::from_code(code), kind);
}

#[yare::parameterized(
    complete = { OutcomeKind::Complete, 1 },
    truncated = { OutcomeKind::Truncated, 2 },
    not_sent = { OutcomeKind::NotSent, 3 },
    broken = { OutcomeKind::Broken, 4 },
    timed_out = { OutcomeKind::TimedOut, 5 },
    cancelled = { OutcomeKind::Cancelled, 6 },
    crashed = { OutcomeKind::Crashed, 7 },
)]
fn outcomes_keep_their_codes(kind: OutcomeKind, code: u16) {
    assert_eq!(kind.code(), code);
    assert_eq!(OutcomeKind::from_code(code), kind);
}

/// Guards against an old process that treats a new kind of outcome as a
/// complete response: a newer companion sends a code that the entry does not
/// know, and the code decodes as the first variant.
#[test]
fn unknown_codes_decode_conservatively() {
    for code in [0, 99, u16::MAX] {
        assert_eq!(RefusalKind::from_code(code), RefusalKind::Failed);
        assert_eq!(OutcomeKind::from_code(code), OutcomeKind::Broken);
    }
}
