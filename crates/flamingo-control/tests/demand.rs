//! The forecast of demand under random arrivals, in virtual time.

use flamingo_control::controller::demand::Tracker;
use flamingo_wire::target::{Demand, Need, Usage};
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::time::{Duration, Instant};

/// Interval at which the entry reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Work of one request, in milliseconds of an engine.
const WORK_MS: f64 = 100.0;

/// Generates requests that arrive at random and reports them to the tracker.
struct Arrivals {
    tracker: Tracker,
    random: ChaCha8Rng,
    now: Instant,
}

impl Arrivals {
    fn new() -> Self {
        Self {
            tracker: Tracker::default(),
            random: ChaCha8Rng::seed_from_u64(7),
            now: Instant::now(),
        }
    }

    /// Sends `reports` reports, with `mean` requests for each model in each report on average.
    fn report(&mut self, reports: usize, models: &[String], mean: f64) {
        for _ in 0..reports {
            self.now += REPORT_INTERVAL;
            let mut usage = Usage::default();
            for model in models {
                let requests = self.poisson(mean);
                if requests > 0 {
                    usage.demand.push(Demand {
                        service: "s".into(),
                        model: model.clone(),
                        work_ms: WORK_MS * f64::from(requests),
                        requests,
                        ..Demand::default()
                    });
                }
            }
            self.tracker.record(self.now, "e", usage);
        }
    }

    /// Returns a random number of requests with a Poisson distribution (Knuth 1969, section
    /// 3.4.1).
    fn poisson(&mut self, mean: f64) -> u32 {
        let limit = (-mean).exp();
        let mut product = 1.0;
        let mut count = 0;
        loop {
            product *= f64::from(self.random.next_u32()) / f64::from(u32::MAX);
            if product <= limit {
                return count;
            }
            count += 1;
        }
    }

    /// Returns the forecast for all models together, in busy engines.
    fn forecast(&self, models: &[String]) -> f64 {
        let rates = models.iter();
        rates
            .map(|model| self.tracker.forecast("s", model, self.now))
            .sum()
    }
}

fn models(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("m{n}")).collect()
}

/// Reports of a model whose callers are all rejected at first and come back a second later.
fn forecast_of_returning_callers(returned: u32) -> f64 {
    let mut tracker = Tracker::default();
    let start = Instant::now();
    let mut now = start;
    for report in 0..100 {
        now += REPORT_INTERVAL;
        let first = 10;
        let back = if report >= 10 { 10 } else { 0 };
        let requests = first + back;
        let demand = Demand {
            service: "s".into(),
            model: "m".into(),
            work_ms: WORK_MS * f64::from(requests),
            requests,
            refused: first,
            returned: returned.min(back),
        };
        let usage = Usage {
            demand: vec![demand],
            ..Usage::default()
        };
        tracker.record(now, "e", usage);
    }
    tracker.forecast("s", "m", now)
}

#[test]
fn callers_that_come_back_after_a_rejection_count_once() {
    // 100 first tries a second of a tenth of a second each.
    let forecast = forecast_of_returning_callers(10);
    assert!((9.0..12.5).contains(&forecast), "{forecast}");
    let unmarked = forecast_of_returning_callers(0);
    assert!(unmarked > 18.0, "{unmarked}");
}

#[test]
fn callers_that_state_less_time_count_while_nobody_is_rejected() {
    let mut tracker = Tracker::default();
    let mut now = Instant::now();
    for _ in 0..100 {
        now += REPORT_INTERVAL;
        let demand = Demand {
            service: "s".into(),
            model: "m".into(),
            work_ms: WORK_MS * 10.0,
            requests: 10,
            refused: 0,
            returned: 10,
        };
        let usage = Usage {
            demand: vec![demand],
            ..Usage::default()
        };
        tracker.record(now, "e", usage);
    }
    let forecast = tracker.forecast("s", "m", now);
    assert!((9.0..11.0).contains(&forecast), "{forecast}");
}

#[test]
fn demand_for_many_rare_models_is_not_overestimated() {
    let models = models(200);
    let mut arrivals = Arrivals::new();
    // One request a second for each model: 20 busy engines in all.
    arrivals.report(100, &models, 0.1);
    let mut sum = 0.0;
    for _ in 0..50 {
        arrivals.report(2, &models, 0.1);
        sum += arrivals.forecast(&models);
    }
    let mean = sum / 50.0;
    assert!((16.0..27.0).contains(&mean), "{mean} engines of 20");
}

#[test]
fn a_model_whose_demand_rises_is_forecast_within_a_second() {
    let models = models(1);
    let mut arrivals = Arrivals::new();
    // Demand for one engine, then for ten.
    arrivals.report(100, &models, 1.0);
    arrivals.report(8, &models, 10.0);
    let forecast = arrivals.forecast(&models);
    assert!(forecast > 9.0, "{forecast} engines of 10");
}

/// Guards against a wrong forecast after an election: the new leader's tracker starts empty while
/// the demand is high.
#[test]
fn a_new_leader_forecasts_demand_from_its_first_reports() {
    let models = models(20);
    let mut arrivals = Arrivals::new();
    for reports in [4, 2, 4, 10] {
        arrivals.report(reports, &models, 5.0);
        let forecast = arrivals.forecast(&models);
        // Five engines for each of 20 models, with a tolerance of a quarter.
        assert!(
            (75.0..125.0).contains(&forecast),
            "{forecast} engines of 100"
        );
    }
}

#[test]
fn what_streams_need_at_a_version_is_forgotten_after_a_time() {
    let mut tracker = Tracker::default();
    let begun = Instant::now();
    let need = |software: &str, stranded| Need {
        service: "s".into(),
        model: "m".into(),
        software: software.into(),
        begun: 1,
        stranded,
    };
    let mut report = |at, needs| {
        let usage = Usage {
            needs,
            ..Usage::default()
        };
        tracker.record(at, "entry", usage);
    };
    report(begun, vec![need("v1", 1), need("v2", 0)]);
    let later = begun + Duration::from_secs(6);
    report(later, vec![need("v1", 0)]);
    let found = |tracker: &Tracker, at| {
        let needed = tracker.needed("s", at);
        let needed = needed.map(|need| (need.software, need.stranded));
        needed.collect::<Vec<_>>()
    };
    let both = vec![("v1".to_owned(), true), ("v2".to_owned(), false)];
    assert_eq!(found(&tracker, later), both);
    let latest = begun + Duration::from_secs(12);
    tracker.remove_expired(latest);
    assert_eq!(found(&tracker, latest), [("v1".to_owned(), false)]);
    assert_eq!(tracker.needed("other", latest).count(), 0);
}
