//! Membership of a process whose key was written late.

use base::Millis;
use pomeloslip_ledger::{Action, Event, Ledger, Moment, Options};

fn at(now_ms: u64) -> Moment {
    Moment {
        now: Millis::new(now_ms),
        unix: base::UnixMillis::new(now_ms),
        random: 7,
    }
}

fn read(revision: u64, members: &[&str]) -> Event {
    Event::MembershipRead {
        revision: Some(revision),
        members: members.iter().map(|name| (*name).to_owned()).collect(),
        owners: vec![],
    }
}

/// Guards against a process that takes itself for a member for good: a late
/// write bound its key to a lease that it does not renew.
#[test]
fn an_unlisted_member_joins_again() {
    let mut ledger = Ledger::new("a", 1, Options::default());
    let mut joins = 0;
    let mut revision = 1;
    for now_ms in (0..30_000).step_by(100) {
        let mut events = vec![Event::Tick];
        while let Some(event) = events.pop() {
            for action in ledger.handle(at(now_ms), event) {
                match action {
                    Action::Join { .. } => {
                        joins += 1;
                        events.push(Event::Joined {
                            sent_at: Millis::new(now_ms),
                            lease: Some(joins),
                        });
                    }
                    Action::ReadMembership => {
                        revision += 1;
                        // The first key went away with its lease.
                        let members: &[&str] = match joins {
                            2 => &["a"],
                            _ => &[],
                        };
                        events.push(read(revision, members));
                    }
                    Action::Renew { lease } => {
                        events.push(Event::Renewed {
                            sent_at: Millis::new(now_ms),
                            lease,
                            alive: Some(true),
                        });
                    }
                    _ => {}
                }
            }
        }
    }
    assert_eq!(joins, 2);
}
