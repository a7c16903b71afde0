use super::{CallDuration, ForecastError, Room};
use std::time::Duration;

fn room(calls: f64, waiting: f64) -> Room {
    Room {
        slots: 100.0,
        calls,
        waiting,
        call_ms: 200.0,
        age: Duration::ZERO,
    }
}

#[test]
fn a_call_waits_only_for_those_beyond_the_slots() {
    assert_eq!(room(99.0, 0.0).wait(), Duration::ZERO);
    assert_eq!(room(149.0, 0.0).wait(), Duration::from_millis(100));
    assert_eq!(room(99.0, 100.0).wait(), Duration::from_millis(200));
}

#[test]
fn room_is_free_while_a_slot_is_and_nothing_waits() {
    assert!(room(99.0, 0.0).is_free());
    assert!(!room(100.0, 0.0).is_free());
    assert!(!room(90.0, 10.0).is_free());
    // Without an endpoint, the request fails for that reason and not for want of room.
    assert!(Room::default().is_free());
    assert_eq!(Room::default().wait(), Duration::ZERO);
}

#[test]
fn calls_that_queued_do_not_count_as_longer_work() {
    let mut duration = CallDuration::default();
    duration.add(Duration::from_millis(150), true);
    duration.add(Duration::from_secs(3), false);
    assert!((duration.ms() - 150.0).abs() < 1.0);
}

#[test]
fn the_error_of_a_forecast_is_measured() {
    let mut error = ForecastError::default();
    error.add(
        Duration::from_millis(100),
        Duration::from_millis(250),
        200.0,
    );
    error.add(Duration::ZERO, Duration::from_millis(230), 200.0);
    assert_eq!((error.calls, error.predicted_ms), (2, 100));
    assert_eq!((error.observed_ms, error.error_ms), (80, 80));
}
