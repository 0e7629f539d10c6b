//! The settings, indexed by model.

use std::collections::BTreeMap;
use std::sync::Arc;

use cornelhitch_settings::fleet::{Fleet, Model, Rules};
use cornelhitch_types::id::{ModelId, Name};

/// What the settings say of one model.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The model.
    pub model: Model,
    /// Defaults with exceptions counted in.
    pub rules: Rules,
    /// Whether the planner may load and unload it.
    pub managed: bool,
    /// Whether its class may be moved or queued for the sake of others.
    pub patient: bool,
    /// The weight of its class.
    pub weight: u32,
}

/// All models of the settings in force.
#[derive(Debug, Default)]
pub struct Catalog {
    fleet: Arc<Fleet>,
    entries: BTreeMap<ModelId, Entry>,
}

impl Catalog {
    /// Takes over settings, and does nothing where they are the ones it has.
    pub fn refresh(&mut self, fleet: &Arc<Fleet>) {
        if Arc::ptr_eq(&self.fleet, fleet) {
            return;
        }
        self.fleet = Arc::clone(fleet);
        self.entries = fleet
            .models
            .iter()
            .map(|model| (model.name.clone(), entry(fleet, model)))
            .collect();
    }

    /// The settings.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// What the settings say of a model.
    #[must_use]
    pub fn get(&self, model: &str) -> Option<&Entry> {
        self.entries.get(model)
    }

    /// Every model, in the order of names.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// The version that a request gets which names none.
    #[must_use]
    pub fn version(&self, model: &str) -> Option<Name> {
        self.get(model)?.model.version.clone()
    }
}

/// What the settings say of one model.
fn entry(fleet: &Fleet, model: &Model) -> Entry {
    let class = model.class.as_ref().and_then(|name| fleet.class(name));
    Entry {
        model: model.clone(),
        rules: fleet.rules(&model.name),
        managed: fleet.managed(model),
        patient: class.is_some_and(|class| class.patient),
        weight: class.map_or(1, |class| class.weight.max(1)),
    }
}
