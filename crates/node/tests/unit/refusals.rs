use std::net::SocketAddr;

use base::Millis;

use super::RefusalLog;

#[test]
fn refusals_are_logged_at_a_limited_rate() {
    let from: SocketAddr = ([127, 0, 0, 1], 9).into();
    let mut refusals = RefusalLog::default();
    for at in 0..1_000 {
        refusals.note(from, &"malformed", Millis::new(at));
    }
    assert_eq!(refusals.unlogged, 999);
}
