//! The forecast of demand under loads that it answers, in virtual time.

use flamingo_control::holder::demand::Demands;
use flamingo_wire::target::{Demand, Usage};
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::time::{Duration, Instant};

/// Time between two reports of the entries.
const REPORT: Duration = Duration::from_millis(100);
/// Work of one request, in milliseconds of an engine.
const WORK_MS: f64 = 100.0;

/// Reports requests for models that arrive by chance; `often` gives how many come for each
/// model between two reports on average.
struct Arrivals {
    demands: Demands,
    random: ChaCha8Rng,
    now: Instant,
}

impl Arrivals {
    fn new() -> Self {
        Self {
            demands: Demands::default(),
            random: ChaCha8Rng::seed_from_u64(7),
            now: Instant::now(),
        }
    }

    /// Lets a number of reports pass.
    fn pass(&mut self, reports: usize, models: &[String], often: f64) {
        for _ in 0..reports {
            self.now += REPORT;
            let mut tally = Usage::default();
            for model in models {
                let requests = self.arrived(often);
                if requests > 0 {
                    tally.demand.push(Demand {
                        service: "s".into(),
                        model: model.clone(),
                        work_ms: WORK_MS * f64::from(requests),
                        requests,
                        refused: 0,
                    });
                }
            }
            self.demands.take(self.now, "e", tally);
        }
    }

    /// Returns how many requests come by chance (Knuth 1969, section 3.4.1).
    fn arrived(&mut self, often: f64) -> u32 {
        let limit = (-often).exp();
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

    /// Returns the forecast for all models together, in engines.
    fn forecast(&self, models: &[String]) -> f64 {
        let rates = models.iter();
        rates
            .map(|model| self.demands.rate("s", model, self.now))
            .sum()
    }
}

fn models(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("m{n}")).collect()
}

#[test]
fn many_rare_models_are_not_taken_for_more_than_they_are() {
    let models = models(200);
    let mut arrivals = Arrivals::new();
    // One request a second for each: 20 engines in all.
    arrivals.pass(100, &models, 0.1);
    let mut sum = 0.0;
    for _ in 0..50 {
        arrivals.pass(2, &models, 0.1);
        sum += arrivals.forecast(&models);
    }
    let mean = sum / 50.0;
    assert!((16.0..27.0).contains(&mean), "{mean} engines of 20");
}

#[test]
fn a_model_whose_demand_rises_is_forecast_within_a_second() {
    let models = models(1);
    let mut arrivals = Arrivals::new();
    // One engine, then ten.
    arrivals.pass(100, &models, 1.0);
    arrivals.pass(8, &models, 10.0);
    let forecast = arrivals.forecast(&models);
    assert!(forecast > 9.0, "{forecast} engines of 10");
}

/// A holder of orders takes over in the middle of a load; nobody tells it what was before.
#[test]
fn a_new_holder_soon_sees_what_is_asked_for() {
    let models = models(20);
    let mut arrivals = Arrivals::new();
    for reports in [4, 2, 4, 10] {
        arrivals.pass(reports, &models, 5.0);
        let forecast = arrivals.forecast(&models);
        // Five engines for each model, and a quarter more or less.
        assert!(
            (75.0..125.0).contains(&forecast),
            "{forecast} engines of 100"
        );
    }
}
