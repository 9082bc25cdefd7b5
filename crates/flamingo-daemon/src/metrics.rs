//! The metrics of a process, registered on creation and exported in the Prometheus text format.

use prometheus::core::Collector;
use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, TextEncoder};

/// The metrics of one process. Clones share the metrics and their values.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    registry: prometheus::Registry,
}

impl Registry {
    /// Registers a metric.
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
    /// Returns an error where a metric of the same name is registered.
    pub fn add<T: Collector + Clone + 'static>(&self, metric: T) -> Result<T, prometheus::Error> {
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    /// Creates and registers a counter.
    ///
    /// # Errors
    ///
    /// Returns an error where the name is invalid or already registered.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
        self.add(IntCounter::new(name, help)?)
    }

    /// Creates and registers a family of counters, one for each combination of label values.
    ///
    /// # Errors
    ///
    /// Returns an error where a name is invalid or already registered.
    pub fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, prometheus::Error> {
        self.add(IntCounterVec::new(Opts::new(name, help), labels)?)
    }

    /// Creates and registers a gauge.
    ///
    /// # Errors
    ///
    /// Returns an error where the name is invalid or already registered.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        self.add(IntGauge::new(name, help)?)
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        // Writing to memory can't fail; a metric that can't be encoded truncates the text.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        String::from_utf8(out).unwrap_or_default()
    }
}
