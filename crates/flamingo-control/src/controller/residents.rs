//! The room that models and adapters need on an engine.

use super::engine::Denial;
use flamingo_wire::route;
use std::collections::{BTreeMap, BTreeSet};

/// Models with their adapters, and the room that they need.
#[derive(Clone, Debug)]
pub(super) struct Residents<'a>(BTreeMap<&'a str, BTreeSet<&'a str>>);

impl<'a> FromIterator<(&'a str, BTreeSet<&'a str>)> for Residents<'a> {
    fn from_iter<T: IntoIterator<Item = (&'a str, BTreeSet<&'a str>)>>(models: T) -> Self {
        Self(models.into_iter().collect())
    }
}

impl<'a> Residents<'a> {
    /// Adds a model, or an adapter of a model.
    pub(super) fn load(&mut self, model: &'a str, adapter: Option<&'a str>) {
        let adapters = self.0.entry(model).or_default();
        adapters.extend(adapter);
    }

    /// Returns the number of adapters of all models.
    pub(super) fn adapter_count(&self) -> usize {
        self.0.values().map(BTreeSet::len).sum()
    }

    /// Returns the megabytes of all weights and adapters. A model that `engine` does not list may
    /// occupy the whole engine.
    pub(super) fn megabytes(&self, engine: &route::Engine) -> f64 {
        let models = self.0.iter().map(|(model, adapters)| {
            let known = engine.models.iter().find(|known| known.name == *model);
            let (weights, adapter) = known.map_or((engine.megabytes, 0.0), |known| {
                (known.megabytes, known.adapter_megabytes)
            });
            let count = u32::try_from(adapters.len()).unwrap_or(u32::MAX);
            weights + adapter * f64::from(count)
        });
        models.sum()
    }

    /// Checks that an engine has room for all of these.
    pub(super) fn check(&self, engine: &route::Engine) -> Result<(), Denial> {
        let slots = usize::try_from(engine.adapters).unwrap_or(usize::MAX);
        if self.adapter_count() > slots {
            return Err(Denial::Slots);
        }
        if self.megabytes(engine) > engine.megabytes {
            return Err(Denial::Memory);
        }
        Ok(())
    }
}
