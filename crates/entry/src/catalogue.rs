//! Lookup tables built from the settings and the route table in force.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cornelhitch_settings::fleet::{Class, FleetSettings, Region, Rules};
use cornelhitch_types::id::{ClassId, ModelId, Name, RegionId, Version};
use cornelhitch_types::route::{self, RouteTable};

use crate::event::RequestedResource;

/// Bytes in a gibibyte.
const GIB: f64 = 1_073_741_824.0;

/// The settings of one model.
#[derive(Debug, Clone)]
pub struct Model {
    /// The version in force, if any.
    pub version: Option<Name>,
    /// Class of requests that name none.
    pub class: Option<ClassId>,
    /// Whether cornelhitch loads the model; if not, requests are only routed to replicas that
    /// already exist.
    pub managed: bool,
    /// The adapters that requests may name.
    pub adapters: BTreeSet<Name>,
    /// The model's rules, including its exceptions.
    pub rules: Rules,
    /// Minimum time to load a replica.
    pub load: Duration,
}

/// The settings of one service that runs no models.
#[derive(Debug, Clone)]
pub struct Service {
    /// HTTP methods whose calls may be repeated.
    pub repeatable: BTreeSet<Name>,
    /// Class of requests that name none.
    pub class: Option<ClassId>,
}

/// The settings and the route table in force.
#[derive(Debug, Clone, Default)]
pub struct Catalogue {
    /// Version of the settings; 0 before there are any.
    pub version: Version,
    /// The parsed settings.
    pub fleet: FleetSettings,
    /// Models by id.
    pub models: BTreeMap<ModelId, Model>,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// The route table, if one has arrived.
    pub table: Option<Arc<RouteTable>>,
}

impl Catalogue {
    /// Parses settings and builds the lookup tables.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a valid settings document.
    pub fn read(version: Version, text: &str) -> Result<Self, cornelhitch_settings::error::Error> {
        let fleet: FleetSettings = text.parse()?;
        let models = fleet.models.iter().map(|model| {
            let gib = gib(model.bytes);
            let ms = f64::from(u32::try_from(fleet.loading.memory_ms_per_gib).unwrap_or(u32::MAX));
            let known = Model {
                version: model.version.clone(),
                class: model.class.clone(),
                managed: fleet.managed(model),
                adapters: model.adapters.iter().cloned().collect(),
                rules: fleet.rules(&model.name),
                load: Duration::from_secs_f64(gib * ms / 1_000.0),
            };
            (model.name.clone(), known)
        });
        let services = fleet.services.iter().map(|service| {
            let known = Service {
                repeatable: service.repeatable.iter().cloned().collect(),
                class: service.class.clone(),
            };
            (service.name.clone(), known)
        });
        Ok(Self {
            version,
            models: models.collect(),
            services: services.collect(),
            fleet,
            table: None,
        })
    }

    /// Applies a route table, unless a newer one is known. Its models are added to those of the
    /// settings; its services are looked up through their routes.
    pub fn adopt_table(&mut self, table: Arc<RouteTable>) {
        if self
            .table
            .as_ref()
            .is_some_and(|known| known.version > table.version)
        {
            return;
        }
        if let Some(known) = self.table.take() {
            for id in routed_models(&known).map(|(id, _)| id) {
                self.models.remove(&id);
            }
        }
        let rules = Rules::from(&self.fleet);
        for (id, model) in routed_models(&table) {
            let known = Model {
                version: None,
                class: None,
                managed: true,
                adapters: model.adapters.iter().cloned().collect(),
                rules,
                load: model.from_memory,
            };
            self.models.insert(id, known);
        }
        self.table = Some(table);
    }

    /// Whether the requested model, with its adapter, or service exists.
    #[must_use]
    pub fn contains(&self, what: &RequestedResource) -> bool {
        match what {
            RequestedResource::Model(reference) => {
                self.models.get(&reference.model).is_some_and(|model| {
                    let adapter = reference.adapter.as_ref();
                    adapter.is_none_or(|adapter| model.adapters.contains(adapter))
                })
            }
            RequestedResource::Service { name, .. } => self.services.contains_key(name),
        }
    }

    /// Whether the settings allow the call to be repeated.
    #[must_use]
    pub fn repeatable(&self, what: &RequestedResource) -> bool {
        match what {
            RequestedResource::Model(_) => true,
            RequestedResource::Service { name, method } => self
                .services
                .get(name)
                .is_some_and(|service| service.repeatable.contains(method)),
        }
    }

    /// Returns the class of requests for this model or service that name none.
    #[must_use]
    pub fn default_class(&self, what: &RequestedResource) -> Option<&ClassId> {
        match what {
            RequestedResource::Model(reference) => {
                self.models.get(&reference.model)?.class.as_ref()
            }
            RequestedResource::Service { name, .. } => self.services.get(name)?.class.as_ref(),
        }
    }

    /// Returns the class with this name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.fleet.class(name)
    }

    /// Returns the default deadline of a request that gives none: that of its class, else of its
    /// model, else the general setting.
    #[must_use]
    pub fn deadline(&self, what: &RequestedResource, class: Option<&Class>) -> Duration {
        let of_class = class.and_then(|class| class.deadline_ms);
        let general = Duration::from_millis(self.fleet.refusing.deadline_ms);
        let of_what = match what {
            RequestedResource::Model(reference) => self.models.get(&reference.model),
            RequestedResource::Service { .. } => None,
        };
        let otherwise = of_what.map_or(general, |model| model.rules.deadline);
        of_class.map_or(otherwise, Duration::from_millis)
    }

    /// Returns how many requests one replica of a model, or one target of a service (`None`),
    /// serves concurrently.
    #[must_use]
    pub fn concurrency(&self, model: Option<&str>) -> u32 {
        let model = model.and_then(|name| self.models.get(name));
        let general = self.fleet.placing.concurrency;
        model
            .map_or(general, |model| model.rules.concurrency)
            .max(1)
    }

    /// Returns the round-trip time between two regions in milliseconds, and the network price of
    /// the bytes.
    #[must_use]
    pub fn distance_and_price(&self, from: &RegionId, to: &RegionId, bytes: u64) -> (f64, f64) {
        if from == to {
            return (0.0, 0.0);
        }
        let of = |name: &RegionId| self.fleet.regions.iter().find(|known| known.name == *name);
        let figure = |read: &dyn Fn(&Region) -> f64| {
            let ends = [of(from), of(to)].into_iter().flatten();
            ends.map(read).fold(0.0, f64::max)
        };
        let ms = figure(&|region| f64::from(u32::try_from(region.distance_ms).unwrap_or(u32::MAX)));
        let price = figure(&|region| region.price);
        (ms, price * gib(bytes))
    }
}

/// Iterates over the models of a route table's engines, with their ids.
fn routed_models(table: &RouteTable) -> impl Iterator<Item = (ModelId, &route::Model)> {
    table.engines().flat_map(|(service, engine)| {
        let models = engine.models.iter();
        models.map(|model| (model.id(&service.name), model))
    })
}

/// Converts bytes to gibibytes.
#[allow(clippy::cast_precision_loss)]
fn gib(bytes: u64) -> f64 {
    bytes as f64 / GIB
}
