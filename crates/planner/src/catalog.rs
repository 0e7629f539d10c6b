//! The settings in force, indexed by model.

use std::collections::BTreeMap;
use std::sync::Arc;

use cornelhitch_settings::fleet::{FleetSettings, Model, Rules};
use cornelhitch_types::id::{ModelId, Name};

/// The settings of one model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelEntry {
    /// The model as declared.
    pub model: Model,
    /// The default rules with the model's exceptions applied.
    pub rules: Rules,
    /// Whether the planner may load and unload the model.
    pub managed: bool,
    /// Whether the model's class tolerates delay: its busy replicas may be evicted for requests of
    /// a heavier class.
    pub patient: bool,
    /// The weight of the model's class, at least 1.
    pub weight: u32,
}

/// All models of the settings in force.
#[derive(Debug, Default)]
pub struct Catalog {
    fleet: Arc<FleetSettings>,
    entries: BTreeMap<ModelId, ModelEntry>,
}

impl Catalog {
    /// Rebuilds the index if `fleet` is not the settings object that it was built from.
    pub fn refresh(&mut self, fleet: &Arc<FleetSettings>) {
        if Arc::ptr_eq(&self.fleet, fleet) {
            return;
        }
        self.fleet = Arc::clone(fleet);
        self.entries = fleet
            .models
            .iter()
            .map(|model| (model.name.clone(), model_entry(fleet, model)))
            .collect();
    }

    /// Returns the settings that the index was built from.
    #[must_use]
    pub fn fleet(&self) -> &FleetSettings {
        &self.fleet
    }

    /// Returns the settings of a model, or `None` if it is not declared.
    #[must_use]
    pub fn get(&self, model: &str) -> Option<&ModelEntry> {
        self.entries.get(model)
    }

    /// Iterates over all models in order of name.
    pub fn iter(&self) -> impl Iterator<Item = &ModelEntry> {
        self.entries.values()
    }

    /// Returns the version that serves requests which name no version.
    #[must_use]
    pub fn default_version(&self, model: &str) -> Option<Name> {
        self.get(model)?.model.version.clone()
    }
}

/// Resolves the class, group and exceptions of a model.
fn model_entry(fleet: &FleetSettings, model: &Model) -> ModelEntry {
    let class = model.class.as_ref().and_then(|name| fleet.class(name));
    ModelEntry {
        model: model.clone(),
        rules: fleet.rules(&model.name),
        managed: fleet.managed(model),
        patient: class.is_some_and(|class| class.patient),
        weight: class.map_or(1, |class| class.weight.max(1)),
    }
}
