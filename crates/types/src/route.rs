//! Route tables: the routes that operators declare, and the services that requests are routed to.
//!
//! A [`RouteTable`] is replaced atomically; of two tables, the higher version is in force.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::id::{ModelId, Name, Version};
use crate::team::Access;

pub use crate::bounded_time::MAX_TIME;

/// Separates the service from the model name in a [`ModelId`].
const SEPARATOR: char = '/';

/// All routes and services of one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Table")]
pub struct RouteTable {
    /// Version of the table; the highest version is in force.
    pub version: Version,
    /// The routes; each has its own pair of host and prefix.
    pub routes: Vec<Route>,
    /// The services that requests are routed to; names are unique.
    pub services: Vec<Service>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Who may call which routes; `None` if no route needs a key. Not part of the encoded table,
    /// whose bytes stay as they are for tables without teams.
    #[serde(skip)]
    pub access: Option<Arc<Access>>,
}

/// Maps requests for one host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route.
    pub name: Name,
    /// The host that callers name in their requests.
    pub host: Name,
    /// Path prefix of the requests; begins and ends with a slash.
    pub prefix: Name,
    /// Which retries are allowed.
    #[serde(rename = "repeat")]
    pub retry: RetryPolicy,
    /// Whether responses are event streams.
    #[serde(rename = "streams")]
    pub is_stream: bool,
    /// Longest time from a request to the end of its response.
    #[serde(deserialize_with = "crate::bounded_time::deserialize")]
    pub timeout: Duration,
    /// Latency objective: time to the response, or to the first event of a stream; `None` if the
    /// route has none.
    #[serde(with = "crate::optional_time")]
    pub objective: Option<Duration>,
    /// Priority among the requests of a service; 0 is the highest.
    #[serde(rename = "rank")]
    pub priority: u8,
    /// Largest number of targets to which one request may be sent.
    pub attempts: u32,
    /// The services that share the route's requests, by weight.
    pub splits: Vec<Split>,
}

/// Which retries of a request are allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename = "Repeat", rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RetryPolicy {
    /// No retries: the request runs at most once.
    Never,
    /// The complete request may run more than once.
    #[serde(rename = "whole")]
    #[strum(serialize = "whole")]
    Retry,
    /// An interrupted stream may continue on another target after the last event received.
    #[serde(rename = "resumed")]
    #[strum(serialize = "resumed")]
    Resume,
}

/// The share of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    /// The name of the service.
    pub service: Name,
    /// Relative weight among the splits of the route.
    pub weight: u32,
}

/// A service that targets run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The name of the service, unique in the table.
    pub name: Name,
    /// Connections that one target accepts from all entry hosts together.
    pub connections: u32,
    /// Capacity of the workers; `None` if the service's targets don't run models.
    pub engine: Option<WorkerCapacity>,
}

/// Capacity of each worker of a service, and the models that it may hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Engine")]
pub struct WorkerCapacity {
    /// Concurrent requests that a worker runs.
    pub slots: u32,
    /// Capacity of a worker's KV cache, in tokens.
    #[serde(rename = "tokens")]
    pub kv_cache_tokens: u64,
    /// Accelerator memory for weights and adapters, in bytes.
    pub memory: u64,
    /// Host memory in which a worker caches weights, in bytes.
    #[serde(rename = "host")]
    pub host_memory: u64,
    /// Disk space in which a worker caches weights, in bytes.
    pub disk: u64,
    /// Largest number of adapters that a worker keeps loaded.
    pub adapters: u32,
    /// Shortest time between the starts of two loads from the weight store, over all workers: zero if
    /// there is no limit, [`MAX_TIME`] or more if no load may start.
    #[serde(deserialize_with = "crate::bounded_time::deserialize")]
    pub start_interval: Duration,
    /// The models that workers of the service may hold.
    pub models: Vec<Model>,
}

/// A model that workers of a service may hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// The name of the model, unique within the service.
    pub name: Name,
    /// Accelerator memory that the model occupies, in bytes.
    pub bytes: u64,
    /// Duration of a load from the weight store at full speed.
    #[serde(deserialize_with = "crate::bounded_time::deserialize")]
    pub from_store: Duration,
    /// Duration of a load from the worker's disk.
    #[serde(deserialize_with = "crate::bounded_time::deserialize")]
    pub from_disk: Duration,
    /// Duration of a load from the worker's host memory.
    #[serde(deserialize_with = "crate::bounded_time::deserialize")]
    pub from_memory: Duration,
    /// The names of the model's adapters.
    pub adapters: Vec<Name>,
    /// Accelerator memory that one adapter occupies, in bytes.
    pub adapter_bytes: u64,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest request body, in bytes.
    #[serde(rename = "body")]
    pub max_body_bytes: usize,
    /// Time for which a connection may stay idle.
    #[serde(rename = "idle", deserialize_with = "crate::bounded_time::deserialize")]
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A reason for which a table is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableError {
    /// The name of the invalid route or service.
    pub place: Name,
    /// A description of the error.
    pub reason: &'static str,
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.reason)
    }
}

impl RouteTable {
    /// Returns all inconsistencies within the table; empty if it is valid.
    ///
    /// ```
    /// use cornelhitch_types::route::RouteTable;
    ///
    /// assert!(RouteTable::default().validate().is_empty());
    /// ```
    #[must_use]
    pub fn validate(&self) -> Vec<TableError> {
        let mut errors = Vec::new();
        let mut prefixes = BTreeSet::new();
        let mut services = BTreeSet::new();
        for service in &self.services {
            if !services.insert(&service.name) {
                errors.push(new_error(&service.name, "two services have this name"));
            }
        }
        for route in &self.routes {
            if !prefixes.insert((&route.host, &route.prefix)) {
                errors.push(new_error(
                    &route.name,
                    "another route has this host and prefix",
                ));
            }
            if route
                .splits
                .iter()
                .any(|split| !services.contains(&split.service))
            {
                errors.push(new_error(
                    &route.name,
                    "it leads to a service that is not listed",
                ));
            }
            errors.extend(route.first_error());
        }
        errors
    }

    /// Returns the service with the given name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// Returns each service that has an engine, with its engine.
    pub fn engines(&self) -> impl Iterator<Item = (&Service, &WorkerCapacity)> {
        let services = self.services.iter();
        services.filter_map(|service| Some((service, service.engine.as_ref()?)))
    }
}

impl Route {
    /// Returns the first error within the route itself.
    fn first_error(&self) -> Option<TableError> {
        let weights = self.splits.iter().map(|split| u64::from(split.weight));
        let has_slashes = self.prefix.starts_with('/') && self.prefix.ends_with('/');
        if weights.sum::<u64>() == 0 {
            return Some(new_error(&self.name, "its weights add up to 0"));
        }
        if self.timeout.is_zero() {
            return Some(new_error(&self.name, "its timeout is 0"));
        }
        (!has_slashes)
            .then(|| new_error(&self.name, "its prefix does not begin and end with a slash"))
    }

    /// Selects a service by weight for a random `draw` in `[0, 1)`; `None` if no service has a
    /// positive weight.
    #[must_use]
    pub fn select_service(&self, draw: f64) -> Option<&Name> {
        let total: f64 = self
            .splits
            .iter()
            .map(|split| f64::from(split.weight))
            .sum();
        let mut remaining = draw * total;
        for split in &self.splits {
            remaining -= f64::from(split.weight);
            if remaining < 0.0 {
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
    /// Returns an id for the model that is unique across services.
    #[must_use]
    pub fn id(&self, service: &str) -> ModelId {
        model_id(service, &self.name)
    }
}

/// Returns an id for a service's model that is unique across services.
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

/// Returns the name of a model within its service.
#[must_use]
pub fn model_name(id: &str) -> &str {
    id.split_once(SEPARATOR).map_or(id, |(_, name)| name)
}

/// Returns the service from an id made by [`model_id`]; `None` if the id names no service.
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

fn new_error(place: &Name, reason: &'static str) -> TableError {
    TableError {
        place: place.clone(),
        reason,
    }
}

/// Index of routes by host and path prefix.
#[derive(Debug, Clone, Default)]
pub struct RouteIndex {
    /// Positions in [`RouteTable::routes`], by host and then by prefix.
    hosts: BTreeMap<Name, BTreeMap<Name, usize>>,
}

impl RouteIndex {
    /// Builds the index for a table.
    #[must_use]
    pub fn new(table: &RouteTable) -> Self {
        let mut hosts: BTreeMap<Name, BTreeMap<Name, usize>> = BTreeMap::new();
        for (at, route) in table.routes.iter().enumerate() {
            let prefixes = hosts.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), at);
        }
        Self { hosts }
    }

    /// Returns the position in [`RouteTable::routes`] of the route with the longest prefix of `path`.
    ///
    /// Prefixes end with a slash, so only the substrings of `path` up to each slash are looked up.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let prefixes = self.hosts.get(host)?;
        let mut ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.find_map(|end| prefixes.get(&path[..end])).copied()
    }
}
