//! What operators declare for the whole fleet.

use std::str::FromStr;
use std::time::Duration;

use cornelhitch_types::id::{ClassId, ModelId, Name, RegionId};
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::read::read;
use crate::relations;
use crate::table::FLEET;

/// The fleet's settings: defaults, what there is, and exceptions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// How the weight store and the workers are loaded from.
    pub loading: Loading,
    /// How long idle replicas are kept.
    pub keeping: Keeping,
    /// Where and how many replicas are placed.
    pub placing: Placing,
    /// When requests are refused.
    pub refusing: Refusing,
    /// Regions, and what a byte between them costs.
    pub regions: Vec<Region>,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Groups of models that are moved over together.
    pub groups: Vec<Group>,
    /// The catalogue of models.
    pub models: Vec<Model>,
    /// Plain services.
    pub services: Vec<Service>,
    /// Departures from the defaults, each with its reason.
    pub exceptions: Vec<Exception>,
}

/// Limits of loading.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Loading {
    /// Loads that the weight store allows to start, a second.
    pub starts_per_second: f64,
    /// Loads that run at full speed at once.
    pub concurrency: u32,
    /// Adapter loads in flight across all workers.
    pub adapters_in_flight: u32,
    /// Time of a load from the weight store at full speed, a gibibyte, in milliseconds.
    pub remote_ms_per_gib: u64,
    /// Time of a load from a worker's disk, a gibibyte, in milliseconds.
    pub disk_ms_per_gib: u64,
    /// Time of a load from host memory, a gibibyte, in milliseconds.
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

/// How long idle replicas are kept.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Keeping {
    /// Weight of the tail cold-start time against idle accelerator hours.
    pub cold_start_weight: f64,
    /// Weight of idle accelerator hours.
    pub idle_weight: f64,
    /// No idle replica is unloaded sooner, but for a waiting request.
    pub minimum_s: u64,
    /// Every idle replica is unloaded by then.
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

/// Where and how many replicas are placed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Placing {
    /// Replicas of one model at most.
    pub replicas: u32,
    /// Requests that one replica answers at once.
    pub concurrency: u32,
    /// Whether replicas of one model go to different zones where they can.
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

/// When requests are refused.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Refusing {
    /// Requests that wait on one entry host at most.
    pub queue: u32,
    /// Requests of one caller on one entry host at most.
    pub caller: u32,
    /// Deadline of a request that names none and whose class has none, in milliseconds.
    pub deadline_ms: u64,
    /// Largest body in bytes.
    pub body: usize,
    /// How long outcomes of requests with a key are kept, in seconds.
    pub claims_s: u64,
    /// How long a request that took targets down is refused, in seconds.
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

/// A region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Region {
    /// Its name.
    pub name: RegionId,
    /// Time of a byte's way to another region and back, in milliseconds.
    #[serde(default)]
    pub distance_ms: u64,
    /// Price of a gibibyte to another region, in any one currency.
    #[serde(default)]
    pub price: f64,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Class {
    /// Its name.
    pub name: ClassId,
    /// Its weight against other classes; a larger one goes first.
    pub weight: u32,
    /// Deadline of its requests that name none, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether it may be moved or queued for the sake of others.
    #[serde(default)]
    pub patient: bool,
}

/// Models that are moved over together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Group {
    /// Its name.
    pub name: Name,
    /// Whether cornelhitch loads and unloads its models, or only routes to them.
    #[serde(default = "yes")]
    pub managed: bool,
}

/// A model of the catalogue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Model {
    /// Its name.
    pub name: ModelId,
    /// Accelerator memory that a replica takes, in bytes.
    pub bytes: u64,
    /// Accelerators that a replica takes.
    #[serde(default = "one")]
    pub accelerators: u32,
    /// Its group.
    #[serde(default)]
    pub group: Option<Name>,
    /// The version in force.
    #[serde(default)]
    pub version: Option<Name>,
    /// Class of its requests that name none.
    #[serde(default)]
    pub class: Option<ClassId>,
    /// Its adapters.
    #[serde(default)]
    pub adapters: Vec<Name>,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Service {
    /// Its name, which is also the first part of its path below `/services/`.
    pub name: Name,
    /// Methods whose calls may be repeated.
    #[serde(default = "safe")]
    pub repeatable: Vec<Name>,
    /// Class of its requests that name none.
    #[serde(default)]
    pub class: Option<ClassId>,
}

/// A departure from the defaults for some models.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Exception {
    /// Why; it may not be empty.
    pub reason: Name,
    /// The model it is for, or none for a group.
    pub model: Option<ModelId>,
    /// The group it is for, or none for a model.
    pub group: Option<Name>,
    /// In place of [`Keeping::minimum_s`].
    pub minimum_s: Option<u64>,
    /// In place of [`Keeping::maximum_s`].
    pub maximum_s: Option<u64>,
    /// In place of [`Placing::replicas`].
    pub replicas: Option<u32>,
    /// In place of [`Placing::concurrency`].
    pub concurrency: Option<u32>,
    /// In place of [`Refusing::deadline_ms`].
    pub deadline_ms: Option<u64>,
}

impl Fleet {
    /// The model of that name.
    ///
    /// ```
    /// use cornelhitch_settings::fleet::Fleet;
    ///
    /// let fleet: Fleet = "models: [{ name: report, bytes: 1000 }]".parse()?;
    /// assert!(fleet.model("report").is_some());
    /// assert!(fleet.model("preview").is_none());
    /// # Ok::<(), cornelhitch_settings::error::Error>(())
    /// ```
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| &*model.name == name)
    }

    /// The class of that name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| &*class.name == name)
    }

    /// The service of that name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// Whether cornelhitch loads and unloads this model.
    #[must_use]
    pub fn managed(&self, model: &Model) -> bool {
        let group = model.group.as_ref();
        let group = group.and_then(|name| self.groups.iter().find(|group| group.name == *name));
        group.is_none_or(|group| group.managed)
    }

    /// The rules for one model: the defaults, then its group's exceptions, then its own.
    ///
    /// ```
    /// use cornelhitch_settings::fleet::Fleet;
    ///
    /// let text = "
    /// models: [{ name: report, bytes: 1000 }]
    /// exceptions: [{ reason: lanes, model: report, replicas: 2 }]
    /// ";
    /// let fleet: Fleet = text.parse()?;
    /// assert_eq!(fleet.rules("report").replicas, 2);
    /// # Ok::<(), cornelhitch_settings::error::Error>(())
    /// ```
    #[must_use]
    pub fn rules(&self, name: &str) -> Rules {
        let mut rules = Rules::from(self);
        let group = self.model(name).and_then(|model| model.group.clone());
        let of_group = self
            .exceptions
            .iter()
            .filter(|exception| exception.group.is_some() && exception.group == group);
        let own = self
            .exceptions
            .iter()
            .filter(|exception| exception.model.as_deref() == Some(name));
        for exception in of_group.chain(own) {
            rules.set(exception);
        }
        rules
    }
}

impl FromStr for Fleet {
    type Err = Error;

    /// Reads and checks the settings; the error has every fault and its place.
    fn from_str(text: &str) -> Result<Self, Error> {
        read(text, &FLEET, relations::check)
    }
}

/// What holds for one model once exceptions are counted in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rules {
    /// No idle replica is unloaded sooner, but for a waiting request.
    pub minimum: Duration,
    /// Every idle replica is unloaded by then.
    pub maximum: Duration,
    /// Replicas at most.
    pub replicas: u32,
    /// Requests that one replica answers at once.
    pub concurrency: u32,
    /// Deadline of a request that names none and whose class has none.
    pub deadline: Duration,
}

impl From<&Fleet> for Rules {
    fn from(fleet: &Fleet) -> Self {
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
    /// Takes over what an exception sets.
    fn set(&mut self, exception: &Exception) {
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

/// The value of a switch that is on unless it is said otherwise.
fn yes() -> bool {
    true
}

/// The number of accelerators of a small model.
fn one() -> u32 {
    1
}

/// The methods that RFC 9110 calls safe.
fn safe() -> Vec<Name> {
    ["GET", "HEAD", "OPTIONS"].map(Name::from).to_vec()
}
