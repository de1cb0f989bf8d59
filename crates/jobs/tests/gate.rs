//! Decisions of the gate at one endpoint.

use pomeloslip_jobs::{GateDecision, GateInput, GateOptions, decide};
use yare::parameterized;

fn input(online: u32, own_running: u32) -> GateInput {
    GateInput {
        slots: 8,
        running: online + own_running,
        own_reported: own_running,
        own_running,
        ..GateInput::default()
    }
}

fn order(start: u32, preempt: u32) -> GateDecision {
    GateDecision { start, preempt }
}

#[parameterized(
    idle = { input(0, 0), order(4, 0) },
    room_for_one = { input(7, 0), order(1, 0) },
    full_of_online = { input(8, 0), order(0, 0) },
    full_of_both = { input(5, 3), order(0, 0) },
    one_too_many = { input(6, 3), order(0, 1) },
    far_too_many = { input(12, 3), order(0, 3) },
    none_of_mine = { input(12, 0), order(0, 0) },
    waiting_online = {
        GateInput { waiting: 2, ..input(5, 3) },
        order(0, 2)
    },
    nearly_done_stay = {
        GateInput { own_urgent: 2, ..input(8, 3) },
        order(0, 1)
    },
    starts_not_reported_yet = {
        GateInput {
            own_running: 4, own_reported: 2, running: 6, ..input(4, 2)
        },
        order(0, 0)
    },
)]
fn online_requests_have_priority(input: GateInput, expected: GateDecision) {
    assert_eq!(decide(&input, &GateOptions::default()), expected);
}
