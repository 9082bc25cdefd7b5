//! Load times of adapters that nothing states, learned from requests that came too early.

use flamingo_control::controller::adapter_time::{AdapterTimes, Key};
use std::time::{Duration, Instant};

fn key(model: &str) -> Key {
    ("llm".to_owned(), model.to_owned())
}

/// Plays `loads` loads of adapters that take `takes` each, and returns how many requests came too early.
fn misses(times: &mut AdapterTimes, key: &Key, takes: Duration, loads: u32) -> u32 {
    let start = Instant::now();
    let mut misses = 0;
    for load in 0..loads {
        let now = start + Duration::from_millis(200) * load;
        times.record_load(key);
        if times.delay(key) < takes {
            misses += 1;
            times.record_miss(key, now);
        }
    }
    misses
}

macro_rules! learned {
    ($($name:ident: $takes_ms:expr, at most $most:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut times = AdapterTimes::default();
            let takes = Duration::from_millis($takes_ms);
            assert!(misses(&mut times, &key("m"), takes, 400) <= $most);
        })*
    };
}

learned! {
    adapters_faster_than_assumed_are_never_missed: 9, at most 0;
    adapters_of_twice_the_assumed_time_are_learned: 29, at most 10;
    adapters_that_load_slowly_under_load_are_learned: 120, at most 14;
}

#[test]
fn requests_rejected_after_one_wait_raise_the_time_once() {
    let mut times = AdapterTimes::default();
    let now = Instant::now();
    times.record_miss(&key("m"), now);
    let once = times.delay(&key("m"));
    times.record_miss(&key("m"), now + Duration::from_millis(2));
    assert_eq!(times.delay(&key("m")), once);
}

#[test]
fn a_slow_model_delays_no_other() {
    let mut times = AdapterTimes::default();
    let before = times.delay(&key("other"));
    misses(&mut times, &key("m"), Duration::from_millis(100), 50);
    assert_eq!(times.delay(&key("other")), before);
}

#[test]
fn an_adapter_that_never_comes_bounds_the_wait() {
    let mut times = AdapterTimes::default();
    misses(&mut times, &key("m"), Duration::from_hours(1), 400);
    assert!(times.delay(&key("m")) <= Duration::from_millis(250));
}

/// Guards against a slow model that is hidden behind the fast ones of its service.
#[test]
fn the_range_of_a_service_has_its_slowest_model() {
    let mut times = AdapterTimes::default();
    misses(&mut times, &key("slow"), Duration::from_millis(100), 50);
    misses(&mut times, &key("fast"), Duration::from_millis(15), 50);
    let (least, most) = times.ranges()["llm"];
    assert_eq!(
        (least, most),
        (times.delay(&key("fast")), times.delay(&key("slow")))
    );
    assert!(least < most);
}
