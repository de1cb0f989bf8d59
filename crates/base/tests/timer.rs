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

/// Guards against memory that grows with calls whose long deadlines never pass.
#[test]
fn dropped_subscriptions_do_not_accumulate() {
    let clock = Arc::new(SteppedClock::default());
    let timer = Timer::new(clock.clone());
    let kept: Vec<_> =
        (0..10).map(|_| timer.subscribe_in_ms(86_400_000)).collect();
    for _ in 0..100_000 {
        drop(timer.subscribe_in_ms(86_400_000));
    }
    assert!(timer.subscriptions() <= 1_024);
    clock.step_ms(86_400_000);
    assert_eq!(timer.fire_due(), kept.len());
}
