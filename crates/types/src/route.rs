//! The routes that operators declare, and the services behind them.
//!
//! A [`Table`] is replaced as a whole; of two tables the one with the higher version is in force.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::id::{ModelId, Name, Version};

/// What stands between a service and one of its models in a [`ModelId`].
const SEPARATOR: char = '/';

/// All routes and services of one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Its version; the highest is in force.
    pub version: Version,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes lead to.
    pub services: Vec<Service>,
    /// What callers may send.
    pub limits: Limits,
}

/// Requests of one host and path, and the service that answers them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// The host that callers name.
    pub host: Name,
    /// What the path begins with; it begins and ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Whether the answer is a stream of events.
    pub streams: bool,
    /// How long a request may be kept waiting for the end of its answer.
    pub timeout: Duration,
    /// The objective: time to the answer, or to the first event of a stream.
    pub objective: Duration,
    /// The rank among the requests of a service; 0 goes first.
    pub rank: u8,
    /// Targets that one request may be sent to at most.
    pub attempts: u32,
    /// Where requests go, by weight.
    pub splits: Vec<Split>,
}

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Repeat {
    /// It runs at most once.
    Never,
    /// It may run more than once.
    Whole,
    /// Its stream may go on at another target after the last event.
    Resumed,
}

/// A part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    /// The service.
    pub service: Name,
    /// Its share against the other splits of the route.
    pub weight: u32,
}

/// A service that targets run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Connections that one target accepts from all hosts together.
    pub connections: u32,
    /// The engine, where its targets run models.
    pub engine: Option<Engine>,
}

/// What the workers of one service can hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that a worker runs at once.
    pub slots: u32,
    /// Tokens that fit into a worker's KV cache.
    pub tokens: u64,
    /// Accelerator memory for weights and adapters, in bytes.
    pub memory: u64,
    /// Copies of weights that a worker keeps in host memory, in bytes.
    pub host: u64,
    /// Copies of weights that a worker keeps on its disk, in bytes.
    pub disk: u64,
    /// Adapters that a worker holds at most.
    pub adapters: u32,
    /// Time between two loads that the weight store allows to start, over all workers.
    pub start_interval: Duration,
    /// The models.
    pub models: Vec<Model>,
}

/// A model that workers of a service may hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Its name within the service.
    pub name: Name,
    /// Accelerator memory that it takes, in bytes.
    pub bytes: u64,
    /// Time of a load from the weight store at full speed.
    pub from_store: Duration,
    /// Time of a load from the worker's disk.
    pub from_disk: Duration,
    /// Time of a load from the worker's host memory.
    pub from_memory: Duration,
    /// Its adapters.
    pub adapters: Vec<Name>,
    /// Accelerator memory that one adapter takes, in bytes.
    pub adapter_bytes: u64,
}

/// What callers may send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest body in bytes.
    pub body: usize,
    /// How long a connection may stay idle.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 4 << 20,
            idle: Duration::from_secs(15),
        }
    }
}

/// Why a table cannot be brought in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The route or service that is wrong.
    pub place: Name,
    /// What is wrong with it.
    pub reason: &'static str,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.reason)
    }
}

impl Table {
    /// The faults between its parts.
    ///
    /// ```
    /// use cornelhitch_types::route::Table;
    ///
    /// assert!(Table::default().faults().is_empty());
    /// ```
    #[must_use]
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut places = BTreeSet::new();
        let mut services = BTreeSet::new();
        for service in &self.services {
            if !services.insert(&service.name) {
                faults.push(fault(&service.name, "two services have this name"));
            }
        }
        for route in &self.routes {
            if !places.insert((&route.host, &route.prefix)) {
                faults.push(fault(&route.name, "another route has this host and prefix"));
            }
            if route
                .splits
                .iter()
                .any(|split| !services.contains(&split.service))
            {
                faults.push(fault(
                    &route.name,
                    "it leads to a service that is not listed",
                ));
            }
            faults.extend(route.fault());
        }
        faults
    }

    /// The service of a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// Each engine with its service.
    pub fn engines(&self) -> impl Iterator<Item = (&Service, &Engine)> {
        let services = self.services.iter();
        services.filter_map(|service| Some((service, service.engine.as_ref()?)))
    }
}

impl Route {
    /// A fault within the route.
    fn fault(&self) -> Option<Fault> {
        let weights = self.splits.iter().map(|split| u64::from(split.weight));
        let slashes = self.prefix.starts_with('/') && self.prefix.ends_with('/');
        if weights.sum::<u64>() == 0 {
            return Some(fault(&self.name, "its weights add up to 0"));
        }
        if self.timeout.is_zero() {
            return Some(fault(&self.name, "its timeout is 0"));
        }
        (!slashes).then(|| fault(&self.name, "its prefix does not begin and end with a slash"))
    }

    /// The service for a draw between 0 and 1.
    #[must_use]
    pub fn pick(&self, draw: f64) -> Option<&Name> {
        let total: f64 = self
            .splits
            .iter()
            .map(|split| f64::from(split.weight))
            .sum();
        let mut left = draw * total;
        for split in &self.splits {
            left -= f64::from(split.weight);
            if left < 0.0 {
                return Some(&split.service);
            }
        }
        self.splits
            .iter()
            .rfind(|split| split.weight > 0)
            .map(|split| &split.service)
    }
}

impl Model {
    /// The model under a name that no other service's models have.
    #[must_use]
    pub fn id(&self, service: &str) -> ModelId {
        model_id(service, &self.name)
    }
}

/// A service's model under a name that no other service's models have.
///
/// ```
/// use cornelhitch_types::route;
///
/// let id = route::model_id("summaries", "report");
/// assert_eq!(route::model_name(&id), "report");
/// ```
#[must_use]
pub fn model_id(service: &str, model: &str) -> ModelId {
    format!("{service}{SEPARATOR}{model}").into()
}

/// The name of a model within its service.
#[must_use]
pub fn model_name(id: &str) -> &str {
    id.split_once(SEPARATOR).map_or(id, |(_, name)| name)
}

/// The service of a model that was named by [`model_id`]; none for a model of no service.
///
/// ```
/// use cornelhitch_types::route;
///
/// let id = route::model_id("summaries", "report");
/// assert_eq!(route::service_name(&id), Some("summaries"));
/// assert_eq!(route::service_name("report"), None);
/// ```
#[must_use]
pub fn service_name(id: &str) -> Option<&str> {
    id.split_once(SEPARATOR).map(|(service, _)| service)
}

/// A fault at a place.
fn fault(place: &Name, reason: &'static str) -> Fault {
    Fault {
        place: place.clone(),
        reason,
    }
}

/// Routes by host and prefix, for lookups.
#[derive(Debug, Clone, Default)]
pub struct Index {
    /// The routes of each host by prefix.
    hosts: BTreeMap<Name, BTreeMap<Name, usize>>,
}

impl Index {
    /// An index of a table's routes.
    #[must_use]
    pub fn of(table: &Table) -> Self {
        let mut hosts: BTreeMap<Name, BTreeMap<Name, usize>> = BTreeMap::new();
        for (at, route) in table.routes.iter().enumerate() {
            let prefixes = hosts.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), at);
        }
        Self { hosts }
    }

    /// The position of the route with the longest prefix that begins the path.
    ///
    /// Prefixes end with a slash, so only the parts of the path up to a slash can match.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let prefixes = self.hosts.get(host)?;
        let mut ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.find_map(|end| prefixes.get(&path[..end])).copied()
    }
}
