//! A process's metrics: registered as they are built, shown as text.

use prometheus::core::Collector;
use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, TextEncoder};

/// The metrics of one process; clones share their values.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    registry: prometheus::Registry,
}

impl Registry {
    /// Adds a metric.
    ///
    /// ```
    /// use flamingo_daemon::metrics::Registry;
    ///
    /// let registry = Registry::default();
    /// registry.counter("calls_total", "Calls.").unwrap().inc();
    /// assert!(registry.text().contains("calls_total 1"));
    /// assert!(registry.gauge("calls_total", "The same name again.").is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an error where its name stands already.
    pub fn add<T: Collector + Clone + 'static>(&self, metric: T) -> Result<T, prometheus::Error> {
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// Adds a counter.
    ///
    /// # Errors
    ///
    /// Returns an error where its name is wrong or stands already.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
        self.add(IntCounter::new(name, help)?)
    }

    /// Adds counters that labels tell apart.
    ///
    /// # Errors
    ///
    /// Returns an error where a name is wrong or stands already.
    pub fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, prometheus::Error> {
        self.add(IntCounterVec::new(Opts::new(name, help), labels)?)
    }

    /// Adds a gauge.
    ///
    /// # Errors
    ///
    /// Returns an error where its name is wrong or stands already.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        self.add(IntGauge::new(name, help)?)
    }

    /// Returns the metrics in the text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        // Writing to memory does not fail; a bad metric leaves the text short.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        String::from_utf8(out).unwrap_or_default()
    }
}
