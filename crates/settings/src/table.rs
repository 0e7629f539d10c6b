//! The keys of both settings files, a row each.

use crate::schema::{Form, Key, Kind, Shape};

/// A key that may be left out.
const fn may(name: &'static str, kind: Kind, meaning: &'static str) -> Key {
    Key {
        name,
        kind,
        meaning,
        required: false,
    }
}

/// A key that may not be left out.
const fn must(name: &'static str, kind: Kind, meaning: &'static str) -> Key {
    Key {
        name,
        kind,
        meaning,
        required: true,
    }
}

/// A day in seconds.
const DAY_S: u64 = 86_400;
/// A day in milliseconds.
const DAY_MS: u64 = DAY_S * 1_000;
/// The most accelerator memory of one model, in bytes.
pub const MODEL_BYTES: u64 = 16 << 40;
/// The most of anything that is counted in ones.
const COUNT: u64 = 100_000;
/// The most milliseconds that a gibibyte takes.
const GIB_MS: u64 = 600_000;

/// A name.
const NAME: Kind = Kind::Text(Form::Name);
/// How long an idle replica is kept, in seconds.
const KEEP_S: Kind = Kind::Whole(0, 30 * DAY_S);
/// Replicas of one model.
const REPLICAS: Kind = Kind::Whole(1, COUNT);
/// Requests of one replica at once.
const CONCURRENCY: Kind = Kind::Whole(1, COUNT);
/// A deadline in milliseconds.
const DEADLINE_MS: Kind = Kind::Whole(1, DAY_MS);
/// A weight between costs.
const WEIGHT: Kind = Kind::Number(0.0, 1e6);

/// The fleet's settings.
#[rustfmt::skip]
pub const FLEET: Shape = Shape {
    noun: "the fleet's file",
    keys: &[
        may("loading", Kind::Map(&LOADING), "How the weight store and the workers are loaded from."),
        may("keeping", Kind::Map(&KEEPING), "How long idle replicas are kept."),
        may("placing", Kind::Map(&PLACING), "Where and how many replicas are placed."),
        may("refusing", Kind::Map(&REFUSING), "When requests are refused."),
        may("regions", Kind::List(&Kind::Map(&REGION)), "Regions, and what a byte between them costs."),
        may("classes", Kind::List(&Kind::Map(&CLASS)), "Classes of requests."),
        may("groups", Kind::List(&Kind::Map(&GROUP)), "Groups of models that are moved over together."),
        may("models", Kind::List(&Kind::Map(&MODEL)), "The catalogue of models."),
        may("services", Kind::List(&Kind::Map(&SERVICE)), "Plain services."),
        may("exceptions", Kind::List(&Kind::Map(&EXCEPTION)), "Departures from the defaults, each with its reason."),
    ],
};

/// Limits of loading.
#[rustfmt::skip]
const LOADING: Shape = Shape {
    noun: "`loading`",
    keys: &[
        may("starts-per-second", Kind::Number(0.001, 1e5), "Loads that the weight store allows to start, a second."),
        may("concurrency", Kind::Whole(1, COUNT), "Loads that run at full speed at once."),
        may("adapters-in-flight", Kind::Whole(1, COUNT), "Adapter loads in flight across all workers."),
        may("remote-ms-per-gib", Kind::Whole(0, GIB_MS), "Time of a load from the weight store at full speed, a gibibyte, in milliseconds."),
        may("disk-ms-per-gib", Kind::Whole(0, GIB_MS), "Time of a load from a worker's disk, a gibibyte, in milliseconds."),
        may("memory-ms-per-gib", Kind::Whole(0, GIB_MS), "Time of a load from host memory, a gibibyte, in milliseconds."),
    ],
};

/// How long idle replicas are kept.
#[rustfmt::skip]
const KEEPING: Shape = Shape {
    noun: "`keeping`",
    keys: &[
        may("cold-start-weight", WEIGHT, "Weight of the tail cold-start time against idle accelerator hours."),
        may("idle-weight", WEIGHT, "Weight of idle accelerator hours."),
        may("minimum-s", KEEP_S, "No idle replica is unloaded sooner, but for a waiting request; in seconds."),
        may("maximum-s", KEEP_S, "Every idle replica is unloaded by then; in seconds."),
    ],
};

/// Where replicas are placed.
#[rustfmt::skip]
const PLACING: Shape = Shape {
    noun: "`placing`",
    keys: &[
        may("replicas", REPLICAS, "Replicas of one model at most."),
        may("concurrency", CONCURRENCY, "Requests that one replica answers at once."),
        may("spread", Kind::Switch, "Whether replicas of one model go to different zones where they can."),
    ],
};

/// When requests are refused.
#[rustfmt::skip]
const REFUSING: Shape = Shape {
    noun: "`refusing`",
    keys: &[
        may("queue", Kind::Whole(1, 10_000_000), "Requests that wait on one entry host at most."),
        may("caller", Kind::Whole(1, 10_000_000), "Requests of one caller on one entry host at most."),
        may("deadline-ms", DEADLINE_MS, "Deadline of a request that names none and whose class has none, in milliseconds."),
        may("body", Kind::Whole(1, 1 << 30), "Largest body in bytes."),
        may("claims-s", Kind::Whole(1, 365 * DAY_S), "How long outcomes of requests with a key are kept, in seconds."),
        may("quarantine-s", Kind::Whole(1, 30 * DAY_S), "How long a request that took targets down is refused, in seconds."),
    ],
};

/// A region.
#[rustfmt::skip]
const REGION: Shape = Shape {
    noun: "a region",
    keys: &[
        must("name", NAME, "Its name."),
        may("distance-ms", Kind::Whole(0, 60_000), "Time of a byte's way to another region and back, in milliseconds."),
        may("price", Kind::Number(0.0, 1e9), "Price of a gibibyte to another region, in any one currency."),
    ],
};

/// A class of requests.
#[rustfmt::skip]
const CLASS: Shape = Shape {
    noun: "a class",
    keys: &[
        must("name", NAME, "Its name."),
        must("weight", Kind::Whole(1, 1_000_000), "Its weight against other classes; a larger one goes first."),
        may("deadline-ms", DEADLINE_MS, "Deadline of its requests that name none, in milliseconds."),
        may("patient", Kind::Switch, "Whether it may be moved or queued for the sake of others."),
    ],
};

/// Models that are moved over together.
#[rustfmt::skip]
const GROUP: Shape = Shape {
    noun: "a group",
    keys: &[
        must("name", NAME, "Its name."),
        may("managed", Kind::Switch, "Whether cornelhitch loads and unloads its models, or only routes to them."),
    ],
};

/// A model.
#[rustfmt::skip]
const MODEL: Shape = Shape {
    noun: "a model",
    keys: &[
        must("name", NAME, "Its name."),
        must("bytes", Kind::Whole(1, MODEL_BYTES), "Accelerator memory that a replica takes, in bytes; at most 1 TiB an accelerator."),
        may("accelerators", Kind::Whole(1, 1_024), "Accelerators that a replica takes."),
        may("group", Kind::Reference("groups"), "Its group."),
        may("version", NAME, "The version in force."),
        may("class", Kind::Reference("classes"), "Class of its requests that name none."),
        may("adapters", Kind::List(&NAME), "Its adapters."),
    ],
};

/// A plain service.
#[rustfmt::skip]
const SERVICE: Shape = Shape {
    noun: "a service",
    keys: &[
        must("name", Kind::Text(Form::Segment), "Its name, which is also the first part of its path below `/services/`."),
        may("repeatable", Kind::List(&Kind::Text(Form::Method)), "Methods whose calls may be repeated."),
        may("class", Kind::Reference("classes"), "Class of its requests that name none."),
    ],
};

/// A departure from the defaults.
#[rustfmt::skip]
const EXCEPTION: Shape = Shape {
    noun: "an exception",
    keys: &[
        must("reason", Kind::Text(Form::Sentence), "Why, for people."),
        may("model", Kind::Reference("models"), "The model it is for, or none for a group."),
        may("group", Kind::Reference("groups"), "The group it is for, or none for a model."),
        may("minimum-s", KEEP_S, "In place of that in `keeping`."),
        may("maximum-s", KEEP_S, "In place of that in `keeping`."),
        may("replicas", REPLICAS, "In place of that in `placing`."),
        may("concurrency", CONCURRENCY, "In place of that in `placing`."),
        may("deadline-ms", DEADLINE_MS, "In place of that in `refusing`."),
    ],
};

/// The settings of one process.
#[rustfmt::skip]
pub const PROCESS: Shape = Shape {
    noun: "the process's file",
    keys: &[
        must("cluster", NAME, "The cluster's name; frames of another one are dropped."),
        may("host", Kind::Whole(0, u64::MAX), "This host's number; with `seeds` it follows from `peers`, else it is required."),
        must("region", NAME, "Its region."),
        must("zone", NAME, "Its availability zone."),
        may("zones", Kind::List(&Kind::Map(&ZONE)), "The region of each availability zone, for targets that tell only their zone."),
        may("protocol", Kind::Choice(&["own", "platform"]), "What is spoken with targets, callers and operators: the project's own interface, or the platform's; own."),
        must("roles", Kind::List(&Kind::Choice(&["entry", "control"])), "What it does: it takes requests from callers, or it keeps the replicated state."),
        must("callers", Kind::Text(Form::Address), "Where callers and targets connect."),
        must("operators", Kind::Text(Form::Address), "Where operators connect."),
        must("peers", Kind::Text(Form::Reachable), "Where other cornelhitch processes reach it, over UDP and TCP."),
        may("peers-listen", Kind::Text(Form::Reachable), "Where it listens for them and connects from, if address translation stands between; `peers`."),
        may("voters", Kind::List(&Kind::Map(&PEER)), "The voters, this one too if it is one; 1 to 9; required without `seeds`."),
        may("seeds", Kind::List(&Kind::Text(Form::Reachable)), "Control hosts that are asked who votes; only their IP addresses count, since the peers of one cluster have one port."),
        may("bootstrap", Kind::Switch, "Whether the seeds found the group where their folders are empty."),
        may("losses", Kind::Whole(1, 4), "Voters that may be lost together; with `seeds` the group grows to twice as many and one; 1."),
        may("registry", Kind::Text(Form::Address), "Where targets announce themselves and tables of routes are handed in; for the role control."),
        may("directory", Kind::Text(Form::Address), "Where callers ask which hosts to use, besides `callers`; for the role entry."),
        may("ready", Kind::Text(Form::Address), "Where others ask whether this host takes requests, besides `callers`; for the role entry."),
        may("metrics", Kind::Text(Form::Address), "Where counters are read as text."),
        may("serving", Kind::Map(&SERVING), "How an entry host serves."),
        may("trusted-network", Kind::Switch, "Whether only hosts of this cluster reach `peers` and `operators`, so that `keys` and `token` may be left out."),
        may("data", Kind::Text(Form::Path), "The folder for durable state; for the role control, and only for it."),
        may("keys", Kind::Text(Form::Path), "The file with the keys that peers share, one a line; the first is used to send; required without `trusted-network`."),
        may("token", Kind::Text(Form::Path), "The file with the token that operators show; required without `trusted-network`. Without one they are refused."),
        may("fleet", Kind::Text(Form::Path), "A fleet settings file that a new cluster starts from."),
        may("otlp", Kind::Text(Form::Url), "Where metrics go over OTLP/HTTP; to the log where it is not set."),
    ],
};

/// An availability zone.
#[rustfmt::skip]
const ZONE: Shape = Shape {
    noun: "an availability zone",
    keys: &[
        must("name", NAME, "Its name."),
        must("region", NAME, "Its region."),
    ],
};

/// How an entry host serves.
#[rustfmt::skip]
const SERVING: Shape = Shape {
    noun: "`serving`",
    keys: &[
        may("isolated", Kind::Choice(&["refuse", "serve"]), "What a host does that has lost its lease on the settings: it refuses new requests, or goes on with what it knows; refuse."),
        may("max-age-ms", Kind::Whole(100, DAY_MS), "How long callers keep the answer which hosts to use, at most, in milliseconds; 10000."),
        may("leave-ms", Kind::Whole(0, DAY_MS), "How long a host that ends goes on taking requests, in milliseconds; 10000."),
        may("strikes", Kind::Whole(1, COUNT), "Targets that a request may take down before it is refused; 2."),
        may("quarantine", Kind::Switch, "Whether a request that took a target down runs again only where no other request does; true."),
        may("retry-ratio", Kind::Number(0.0, 10.0), "Retries that each first send earns for the entry hosts together; 0.2."),
        may("retry-slack", Kind::Whole(0, COUNT), "Retries that all entry hosts together may make besides, in `retry-window-ms`; 64."),
        may("retry-window-ms", Kind::Number(0.0, 86_400_000.0), "The time over which retries are counted, in milliseconds; 0, the default, counts them on each host alone."),
    ],
};

/// Another process.
#[rustfmt::skip]
const PEER: Shape = Shape {
    noun: "a voter",
    keys: &[
        must("host", Kind::Whole(0, u64::MAX), "Its number."),
        must("address", Kind::Text(Form::Reachable), "Its address, over UDP and TCP."),
    ],
};

#[cfg(test)]
mod tests;
