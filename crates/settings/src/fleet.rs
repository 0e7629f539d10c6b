//! Settings that operators declare for the whole fleet.

use std::str::FromStr;
use std::time::Duration;

use cornelhitch_types::id::{ClassId, ModelId, Name, RegionId};
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::fleet_constraints;
use crate::read::read;
use crate::table::FLEET;

/// The fleet settings: defaults, catalogues of what exists, and exceptions from the defaults.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename = "Fleet")]
pub struct FleetSettings {
    /// Limits and durations of loads from the weight store and from workers' caches.
    pub loading: Loading,
    /// How long idle replicas are kept loaded.
    pub keeping: Keeping,
    /// Where replicas are placed, and how many.
    pub placing: Placing,
    /// Limits beyond which requests are refused.
    pub refusing: Refusing,
    /// Regions, with the latency and price of traffic between them.
    pub regions: Vec<Region>,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Groups of models that are migrated together.
    pub groups: Vec<Group>,
    /// The model catalogue.
    pub models: Vec<Model>,
    /// Plain services, which run no models.
    pub services: Vec<Service>,
    /// Exceptions from the defaults, each with a reason.
    pub exceptions: Vec<Exception>,
}

/// Limits and durations of loads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Loading {
    /// Loads that may start from the weight store, per second.
    pub starts_per_second: f64,
    /// Concurrent loads that run at full speed.
    pub concurrency: u32,
    /// Largest number of adapter loads in flight across all workers.
    pub adapters_in_flight: u32,
    /// Duration of a load from the weight store at full speed, in milliseconds per GiB.
    pub remote_ms_per_gib: u64,
    /// Duration of a load from a worker's disk, in milliseconds per GiB.
    pub disk_ms_per_gib: u64,
    /// Duration of a load from host memory, in milliseconds per GiB.
    pub memory_ms_per_gib: u64,
}

impl Default for Loading {
    fn default() -> Self {
        Self {
            starts_per_second: 2.0,
            concurrency: 4,
            adapters_in_flight: 30,
            remote_ms_per_gib: 1_000,
            disk_ms_per_gib: 400,
            memory_ms_per_gib: 80,
        }
    }
}

/// How long idle replicas are kept loaded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Keeping {
    /// Cost weight of tail cold-start latency against idle accelerator hours.
    pub cold_start_weight: f64,
    /// Cost weight of idle accelerator hours.
    pub idle_weight: f64,
    /// Shortest time an idle replica is kept, in seconds; a waiting request may evict it sooner.
    pub minimum_s: u64,
    /// Longest time an idle replica is kept, in seconds.
    pub maximum_s: u64,
}

impl Default for Keeping {
    fn default() -> Self {
        Self {
            cold_start_weight: 0.5,
            idle_weight: 0.5,
            minimum_s: 5,
            maximum_s: 7_200,
        }
    }
}

/// Where replicas are placed, and how many.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Placing {
    /// Largest number of replicas of one model.
    pub replicas: u32,
    /// Concurrent requests that one replica runs.
    pub concurrency: u32,
    /// Whether replicas of one model go to different availability zones where possible.
    pub spread: bool,
}

impl Default for Placing {
    fn default() -> Self {
        Self {
            replicas: 4,
            concurrency: 16,
            spread: true,
        }
    }
}

/// Limits beyond which requests are refused.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Refusing {
    /// Largest number of requests queued on one entry host.
    pub queue: u32,
    /// Largest number of requests of one caller on one entry host.
    pub caller: u32,
    /// Deadline of requests that neither name one nor have a class with one, in milliseconds.
    pub deadline_ms: u64,
    /// Largest request body, in bytes.
    pub body: usize,
    /// Retention of the outcomes of requests with an idempotency key, in seconds.
    pub claims_s: u64,
    /// Time for which a request that caused targets to fail is refused, in seconds.
    pub quarantine_s: u64,
}

impl Default for Refusing {
    fn default() -> Self {
        Self {
            queue: 1_000,
            caller: 200,
            deadline_ms: 30_000,
            body: 4 << 20,
            claims_s: 86_400,
            quarantine_s: 3_600,
        }
    }
}

/// A region and the cost of traffic to others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Region {
    /// The name of the region.
    pub name: RegionId,
    /// Round-trip time to another region, in milliseconds.
    #[serde(default)]
    pub distance_ms: u64,
    /// Price of a GiB sent to another region, in any one currency.
    #[serde(default)]
    pub price: f64,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Class {
    /// The name of the class.
    pub name: ClassId,
    /// Weight against other classes; requests of a class with a larger weight go first.
    pub weight: u32,
    /// Deadline of requests that name none, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether its requests may be moved or queued for the sake of other classes.
    #[serde(default)]
    pub patient: bool,
}

/// A group of models that are migrated together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Group {
    /// The name of the group.
    pub name: Name,
    /// Whether cornelhitch loads and unloads the group's models (`true`) or only routes to them.
    #[serde(default = "default_managed")]
    pub managed: bool,
}

/// A model in the catalogue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Model {
    /// The name of the model.
    pub name: ModelId,
    /// Accelerator memory that a replica takes, in bytes.
    pub bytes: u64,
    /// Number of accelerators that a replica takes.
    #[serde(default = "default_accelerators")]
    pub accelerators: u32,
    /// The group of the model, if any.
    #[serde(default)]
    pub group: Option<Name>,
    /// The version in force.
    #[serde(default)]
    pub version: Option<Name>,
    /// Class of requests that name none.
    #[serde(default)]
    pub class: Option<ClassId>,
    /// The names of the model's adapters.
    #[serde(default)]
    pub adapters: Vec<Name>,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Service {
    /// The name of the service; also the first segment of its path below `/services/`.
    pub name: Name,
    /// HTTP methods whose requests may be retried.
    #[serde(default = "safe_methods")]
    pub repeatable: Vec<Name>,
    /// Class of requests that name none.
    #[serde(default)]
    pub class: Option<ClassId>,
}

/// An exception from the defaults for some models.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Exception {
    /// Why the exception exists; must not be blank.
    pub reason: Name,
    /// The model that it applies to; `None` if it names a group.
    pub model: Option<ModelId>,
    /// The group that it applies to; `None` if it names a model.
    pub group: Option<Name>,
    /// Overrides [`Keeping::minimum_s`].
    pub minimum_s: Option<u64>,
    /// Overrides [`Keeping::maximum_s`].
    pub maximum_s: Option<u64>,
    /// Overrides [`Placing::replicas`].
    pub replicas: Option<u32>,
    /// Overrides [`Placing::concurrency`].
    pub concurrency: Option<u32>,
    /// Overrides [`Refusing::deadline_ms`].
    pub deadline_ms: Option<u64>,
}

impl FleetSettings {
    /// Returns the model with the given name.
    ///
    /// ```
    /// use cornelhitch_settings::fleet::FleetSettings;
    ///
    /// let fleet: FleetSettings = "models: [{ name: report, bytes: 1000 }]".parse()?;
    /// assert!(fleet.model("report").is_some());
    /// assert!(fleet.model("preview").is_none());
    /// # Ok::<(), cornelhitch_settings::error::Error>(())
    /// ```
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| &*model.name == name)
    }

    /// Returns the class with the given name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| &*class.name == name)
    }

    /// Returns the service with the given name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// Returns whether cornelhitch loads and unloads the model.
    #[must_use]
    pub fn managed(&self, model: &Model) -> bool {
        let group = model.group.as_ref();
        let group = group.and_then(|name| self.groups.iter().find(|group| group.name == *name));
        group.is_none_or(|group| group.managed)
    }

    /// Returns the rules for a model: the defaults, overridden by exceptions for its group and then
    /// by exceptions for the model itself.
    ///
    /// ```
    /// use cornelhitch_settings::fleet::FleetSettings;
    ///
    /// let text = "
    /// models: [{ name: report, bytes: 1000 }]
    /// exceptions: [{ reason: lanes, model: report, replicas: 2 }]
    /// ";
    /// let fleet: FleetSettings = text.parse()?;
    /// assert_eq!(fleet.rules("report").replicas, 2);
    /// # Ok::<(), cornelhitch_settings::error::Error>(())
    /// ```
    #[must_use]
    pub fn rules(&self, name: &str) -> Rules {
        let mut rules = Rules::from(self);
        let group = self.model(name).and_then(|model| model.group.clone());
        let for_group = self
            .exceptions
            .iter()
            .filter(|exception| exception.group.is_some() && exception.group == group);
        let for_model = self
            .exceptions
            .iter()
            .filter(|exception| exception.model.as_deref() == Some(name));
        for exception in for_group.chain(for_model) {
            rules.apply(exception);
        }
        rules
    }
}

impl FromStr for FleetSettings {
    type Err = Error;

    /// Parses and validates the settings; the error lists all faults with their positions.
    fn from_str(text: &str) -> Result<Self, Error> {
        read(text, &FLEET, fleet_constraints::check)
    }
}

/// The rules for one model, with exceptions applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// Shortest time an idle replica is kept; a waiting request may evict it sooner.
    pub minimum: Duration,
    /// Longest time an idle replica is kept.
    pub maximum: Duration,
    /// Largest number of replicas.
    pub replicas: u32,
    /// Concurrent requests that one replica runs.
    pub concurrency: u32,
    /// Deadline of requests that neither name one nor have a class with one.
    pub deadline: Duration,
}

impl From<&FleetSettings> for Rules {
    fn from(fleet: &FleetSettings) -> Self {
        Self {
            minimum: Duration::from_secs(fleet.keeping.minimum_s),
            maximum: Duration::from_secs(fleet.keeping.maximum_s),
            replicas: fleet.placing.replicas,
            concurrency: fleet.placing.concurrency,
            deadline: Duration::from_millis(fleet.refusing.deadline_ms),
        }
    }
}

impl Rules {
    /// Overrides the rules that the exception sets.
    fn apply(&mut self, exception: &Exception) {
        self.minimum = exception
            .minimum_s
            .map_or(self.minimum, Duration::from_secs);
        self.maximum = exception
            .maximum_s
            .map_or(self.maximum, Duration::from_secs);
        self.replicas = exception.replicas.unwrap_or(self.replicas);
        self.concurrency = exception.concurrency.unwrap_or(self.concurrency);
        self.deadline = exception
            .deadline_ms
            .map_or(self.deadline, Duration::from_millis);
    }
}

/// Returns the default of [`Group::managed`].
fn default_managed() -> bool {
    true
}

/// Returns the default of [`Model::accelerators`].
fn default_accelerators() -> u32 {
    1
}

/// Returns the default of [`Service::repeatable`]: methods that are safe according to RFC 9110.
fn safe_methods() -> Vec<Name> {
    ["GET", "HEAD", "OPTIONS"].map(Name::from).to_vec()
}
