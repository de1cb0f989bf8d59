//! Tests of the timer service on a stepped clock.

use std::sync::Arc;

use pomeloslip_base::{SteppedClock, timer::Timer};

#[test]
fn wakes_only_due_subscriptions() {
    let clock = Arc::new(SteppedClock::default());
    let timer = Timer::new(clock.clone());
    let _late = timer.subscribe_in_ms(200);
    let _early = timer.subscribe_in_ms(100);
    clock.step_ms(150);
    assert_eq!(timer.fire_due(), 1);
    clock.step_ms(50);
    assert_eq!(timer.fire_due(), 1);
}

#[test]
fn a_dropped_subscription_is_not_counted() {
    let clock = Arc::new(SteppedClock::default());
    let timer = Timer::new(clock.clone());
    drop(timer.subscribe_in_ms(10));
    clock.step_ms(10);
    assert_eq!(timer.fire_due(), 0);
}
