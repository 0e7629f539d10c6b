//! The keys of both settings files, with their types, limits and help texts.

use crate::schema::{Key, Schema, TextFormat, ValueType};

/// Defines a key that may be left out.
const fn optional(name: &'static str, value_type: ValueType, help: &'static str) -> Key {
    Key {
        name,
        value_type,
        help,
        required: false,
    }
}

/// Defines a key that must be present.
const fn required(name: &'static str, value_type: ValueType, help: &'static str) -> Key {
    Key {
        name,
        value_type,
        help,
        required: true,
    }
}

/// Seconds in a day.
const DAY_S: u64 = 86_400;
/// Milliseconds in a day.
const DAY_MS: u64 = DAY_S * 1_000;
/// Largest accelerator memory of one model, in bytes.
pub const MAX_MODEL_BYTES: u64 = 16 << 40;
/// Largest count of replicas, requests, loads and the like.
const MAX_COUNT: u64 = 100_000;

/// The largest limit of ends under a prompt section: control keeps eight ends, and hosts refuse some
/// sections only at four more than the limit.
const MAX_SECTION_STRIKES: u64 = 4;
/// Largest duration of a load, in milliseconds for each GiB.
const MAX_MS_PER_GIB: u64 = 600_000;

/// Type of names.
const NAME: ValueType = ValueType::Text(TextFormat::Name);
/// Type of the times that an idle replica is kept, in seconds.
const KEEP_S: ValueType = ValueType::Integer(0, 30 * DAY_S);
/// Type of the limit on replicas of one model.
const REPLICAS: ValueType = ValueType::Integer(1, MAX_COUNT);
/// Type of the limit on concurrent requests of one replica.
const CONCURRENCY: ValueType = ValueType::Integer(1, MAX_COUNT);
/// Type of deadlines, in milliseconds.
const DEADLINE_MS: ValueType = ValueType::Integer(1, DAY_MS);
/// Type of weights of costs.
const WEIGHT: ValueType = ValueType::Number(0.0, 1e6);

/// Schema of the fleet settings.
#[rustfmt::skip]
pub const FLEET: Schema = Schema {
    noun: "the fleet's file",
    keys: &[
        optional("loading", ValueType::Map(&LOADING), "How the weight store and the workers are loaded from."),
        optional("keeping", ValueType::Map(&KEEPING), "How long idle replicas are kept."),
        optional("placing", ValueType::Map(&PLACING), "Where and how many replicas are placed."),
        optional("refusing", ValueType::Map(&REFUSING), "When requests are refused."),
        optional("regions", ValueType::List(&ValueType::Map(&REGION)), "Regions, and what a byte between them costs."),
        optional("classes", ValueType::List(&ValueType::Map(&CLASS)), "Classes of requests."),
        optional("groups", ValueType::List(&ValueType::Map(&GROUP)), "Groups of models that are moved over together."),
        optional("models", ValueType::List(&ValueType::Map(&MODEL)), "The catalogue of models."),
        optional("services", ValueType::List(&ValueType::Map(&SERVICE)), "Plain services."),
        optional("exceptions", ValueType::List(&ValueType::Map(&EXCEPTION)), "Departures from the defaults, each with its reason."),
    ],
};

/// Schema of `loading`: limits on loads.
#[rustfmt::skip]
const LOADING: Schema = Schema {
    noun: "`loading`",
    keys: &[
        optional("starts-per-second", ValueType::Number(0.001, 1e5), "Loads that the weight store allows to start, a second."),
        optional("concurrency", ValueType::Integer(1, MAX_COUNT), "Loads that run at full speed at once."),
        optional("adapters-in-flight", ValueType::Integer(1, MAX_COUNT), "Adapter loads in flight across all workers."),
        optional("remote-ms-per-gib", ValueType::Integer(0, MAX_MS_PER_GIB), "Time of a load from the weight store at full speed, a gibibyte, in milliseconds."),
        optional("disk-ms-per-gib", ValueType::Integer(0, MAX_MS_PER_GIB), "Time of a load from a worker's disk, a gibibyte, in milliseconds."),
        optional("memory-ms-per-gib", ValueType::Integer(0, MAX_MS_PER_GIB), "Time of a load from host memory, a gibibyte, in milliseconds."),
    ],
};

/// Schema of `keeping`: how long idle replicas are kept.
#[rustfmt::skip]
const KEEPING: Schema = Schema {
    noun: "`keeping`",
    keys: &[
        optional("cold-start-weight", WEIGHT, "Weight of the tail cold-start time against idle accelerator hours."),
        optional("idle-weight", WEIGHT, "Weight of idle accelerator hours."),
        optional("minimum-s", KEEP_S, "No idle replica is unloaded sooner, but for a waiting request; in seconds."),
        optional("maximum-s", KEEP_S, "Every idle replica is unloaded by then; in seconds."),
    ],
};

/// Schema of `placing`: where replicas are placed.
#[rustfmt::skip]
const PLACING: Schema = Schema {
    noun: "`placing`",
    keys: &[
        optional("replicas", REPLICAS, "Replicas of one model at most."),
        optional("concurrency", CONCURRENCY, "Requests that one replica answers at once."),
        optional("spread", ValueType::Bool, "Whether replicas of one model go to different zones where they can."),
    ],
};

/// Schema of `refusing`: when requests are refused.
#[rustfmt::skip]
const REFUSING: Schema = Schema {
    noun: "`refusing`",
    keys: &[
        optional("queue", ValueType::Integer(1, 10_000_000), "Requests that wait on one entry host at most."),
        optional("caller", ValueType::Integer(1, 10_000_000), "Requests of one caller on one entry host at most."),
        optional("deadline-ms", DEADLINE_MS, "Deadline of a request that names none and whose class has none, in milliseconds."),
        optional("body", ValueType::Integer(1, 1 << 30), "Largest body in bytes."),
        optional("claims-s", ValueType::Integer(1, 365 * DAY_S), "How long outcomes of requests with a key are kept, in seconds."),
        optional("quarantine-s", ValueType::Integer(1, 30 * DAY_S), "How long a request that took targets down is refused, in seconds."),
    ],
};

/// Schema of an item of `regions`.
#[rustfmt::skip]
const REGION: Schema = Schema {
    noun: "a region",
    keys: &[
        required("name", NAME, "Its name."),
        optional("distance-ms", ValueType::Integer(0, 60_000), "Time of a byte's way to another region and back, in milliseconds."),
        optional("price", ValueType::Number(0.0, 1e9), "Price of a gibibyte to another region, in any one currency."),
    ],
};

/// Schema of an item of `classes`.
#[rustfmt::skip]
const CLASS: Schema = Schema {
    noun: "a class",
    keys: &[
        required("name", NAME, "Its name."),
        required("weight", ValueType::Integer(1, 1_000_000), "Its weight against other classes; a larger one goes first."),
        optional("deadline-ms", DEADLINE_MS, "Deadline of its requests that name none, in milliseconds."),
        optional("patient", ValueType::Bool, "Whether it may be moved or queued for the sake of others."),
    ],
};

/// Schema of an item of `groups`.
#[rustfmt::skip]
const GROUP: Schema = Schema {
    noun: "a group",
    keys: &[
        required("name", NAME, "Its name."),
        optional("managed", ValueType::Bool, "Whether cornelhitch loads and unloads its models, or only routes to them."),
    ],
};

/// Schema of an item of `models`.
#[rustfmt::skip]
const MODEL: Schema = Schema {
    noun: "a model",
    keys: &[
        required("name", NAME, "Its name."),
        required("bytes", ValueType::Integer(1, MAX_MODEL_BYTES), "Accelerator memory that a replica takes, in bytes; at most 1 TiB an accelerator."),
        optional("accelerators", ValueType::Integer(1, 1_024), "Accelerators that a replica takes."),
        optional("group", ValueType::Reference("groups"), "Its group."),
        optional("version", NAME, "The version in force."),
        optional("class", ValueType::Reference("classes"), "Class of its requests that name none."),
        optional("adapters", ValueType::List(&NAME), "Its adapters."),
    ],
};

/// Schema of an item of `services`.
#[rustfmt::skip]
const SERVICE: Schema = Schema {
    noun: "a service",
    keys: &[
        required("name", ValueType::Text(TextFormat::Segment), "Its name, which is also the first part of its path below `/services/`."),
        optional("repeatable", ValueType::List(&ValueType::Text(TextFormat::Method)), "Methods whose calls may be repeated."),
        optional("class", ValueType::Reference("classes"), "Class of its requests that name none."),
    ],
};

/// Schema of an item of `exceptions`.
#[rustfmt::skip]
const EXCEPTION: Schema = Schema {
    noun: "an exception",
    keys: &[
        required("reason", ValueType::Text(TextFormat::Sentence), "Why, for people."),
        optional("model", ValueType::Reference("models"), "The model it is for, or none for a group."),
        optional("group", ValueType::Reference("groups"), "The group it is for, or none for a model."),
        optional("minimum-s", KEEP_S, "In place of that in `keeping`."),
        optional("maximum-s", KEEP_S, "In place of that in `keeping`."),
        optional("replicas", REPLICAS, "In place of that in `placing`."),
        optional("concurrency", CONCURRENCY, "In place of that in `placing`."),
        optional("deadline-ms", DEADLINE_MS, "In place of that in `refusing`."),
    ],
};

/// Schema of the process settings.
#[rustfmt::skip]
pub const PROCESS: Schema = Schema {
    noun: "the process's file",
    keys: &[
        required("cluster", NAME, "The cluster's name; frames of another one are dropped."),
        optional("host", ValueType::Integer(0, u64::MAX), "This host's number; with `seeds` it follows from `peers`, else it is required."),
        required("region", NAME, "Its region."),
        required("zone", NAME, "Its availability zone."),
        optional("zones", ValueType::List(&ValueType::Map(&ZONE)), "The region of each availability zone, for targets that tell only their zone."),
        optional("protocol", ValueType::Choice(&["own", "platform"]), "What is spoken with targets, callers and operators: the project's own interface, or the platform's; own."),
        required("roles", ValueType::List(&ValueType::Choice(&["entry", "control"])), "What it does: it takes requests from callers, or it keeps the replicated state."),
        required("callers", ValueType::Text(TextFormat::Address), "Where callers and targets connect."),
        required("operators", ValueType::Text(TextFormat::Address), "Where operators connect."),
        required("peers", ValueType::Text(TextFormat::ReachableAddress), "Where other cornelhitch processes reach it, over UDP and TCP."),
        optional("peers-listen", ValueType::Text(TextFormat::ReachableAddress), "Where it listens for them and connects from, if address translation stands between; `peers`."),
        optional("voters", ValueType::List(&ValueType::Map(&PEER)), "The voters, this one too if it is one; 1 to 9; required without `seeds`."),
        optional("seeds", ValueType::List(&ValueType::Text(TextFormat::ReachableAddress)), "Control hosts that are asked who votes; only their IP addresses count, since the peers of one cluster have one port."),
        optional("bootstrap", ValueType::Bool, "Whether the seeds found the group where their folders are empty."),
        optional("losses", ValueType::Integer(1, 4), "Voters that may be lost together; with `seeds` the group grows to twice as many and one; 1."),
        optional("registry", ValueType::Text(TextFormat::Address), "Where targets announce themselves and tables of routes are handed in; for the role control."),
        optional("directory", ValueType::Text(TextFormat::Address), "Where callers ask which hosts to use, besides `callers`; for the role entry."),
        optional("ready", ValueType::Text(TextFormat::Address), "Where others ask whether this host takes requests, besides `callers`; for the role entry."),
        optional("metrics", ValueType::Text(TextFormat::Address), "Where counters are read as text."),
        optional("serving", ValueType::Map(&SERVING), "How an entry host serves."),
        optional("features", ValueType::List(&ValueType::Text(TextFormat::Sentence)), "Names of features that the deployment requires. The protocol `platform` sets `serving` by those that it knows; others have no effect."),
        optional("trusted-network", ValueType::Bool, "Whether only hosts of this cluster reach `peers` and `operators`, so that `keys` and `token` may be left out."),
        optional("data", ValueType::Text(TextFormat::Path), "The folder for durable state; for the role control, and only for it."),
        optional("keys", ValueType::Text(TextFormat::Path), "The file with the keys that peers share, one a line; the first is used to send; required without `trusted-network`."),
        optional("token", ValueType::Text(TextFormat::Path), "The file with the token that operators show; required without `trusted-network`. Without one they are refused."),
        optional("fleet", ValueType::Text(TextFormat::Path), "A fleet settings file that a new cluster starts from."),
        optional("otlp", ValueType::Text(TextFormat::Url), "Where metrics go over OTLP/HTTP; to the log where it is not set."),
    ],
};

/// Schema of an item of `zones`.
#[rustfmt::skip]
const ZONE: Schema = Schema {
    noun: "an availability zone",
    keys: &[
        required("name", NAME, "Its name."),
        required("region", NAME, "Its region."),
    ],
};

/// Schema of `serving`: how an entry host serves.
#[rustfmt::skip]
const SERVING: Schema = Schema {
    noun: "`serving`",
    keys: &[
        optional("isolated", ValueType::Choice(&["refuse", "serve"]), "What a host does that has lost its lease on the settings: it refuses new requests, or goes on with what it knows; refuse."),
        optional("table-lag-ms", ValueType::Number(200.0, 86_400_000.0), "How long a host that has heard of a newer route table acts on its own after that was last known to be the newest, in milliseconds; 3000. Then it refuses routed requests until it has the newer one."),
        optional("memory-mb", ValueType::Number(32.0, 1e6), "Memory of the process, in MB; 256. What the process allocates stays within 0.62 of it less the program's own size: near that bodies, answers, requests and connections are refused, in this order. Half of it at most may hold bodies of requests, an eighth those of targets' and operators' messages."),
        optional("max-age-ms", ValueType::Integer(100, DAY_MS), "How long callers keep the answer which hosts to use, at most, in milliseconds; 10000."),
        optional("leave-ms", ValueType::Integer(0, DAY_MS), "How long a host that ends goes on taking requests, in milliseconds; 10000."),
        optional("grace-ms", ValueType::Number(100.0, 86_400_000.0), "After how long a host that ends is killed, in milliseconds; 30000. It takes only requests that end before."),
        optional("strikes", ValueType::Integer(1, MAX_COUNT), "Targets that a request may take down before it is refused; 2."),
        optional("section-strikes", ValueType::Integer(1, MAX_SECTION_STRIKES), "Targets that may fail under a section of prompts before requests with it are refused; 3."),
        optional("quarantine", ValueType::Bool, "Whether a request that took a target down runs again only where no other request does; true."),
        optional("retry-ratio", ValueType::Number(0.0, 10.0), "Retries that each first send earns for the entry hosts together; 0.2."),
        optional("retry-slack", ValueType::Number(0.0, 100_000.0), "Retries that all entry hosts together may make besides, in `retry-window-ms`; 64."),
        optional("retry-window-ms", ValueType::Number(0.0, 86_400_000.0), "The time over which retries are counted, in milliseconds; 0, the default, counts them on each host alone."),
        optional("quota-window-ms", ValueType::Number(100.0, 86_400_000.0), "The time over which quotas of teams are measured, in milliseconds; 8000. Read by the leader."),
        optional("quota-overshoot", ValueType::Number(0.0, 10.0), "The part by which a team may exceed its quota in `quota-window-ms`; 0.1. Read by the leader."),
        optional("quota-slack", ValueType::Number(0.0, 1e12), "Units (tokens or requests) by which a team may exceed its quota in `quota-window-ms` besides; 0. Read by the leader."),
        optional("routing", ValueType::Choice(&["load", "expected-time", "auto"]), "How the target of a request is chosen: by the number of requests in flight, by the expected time to the first byte of the response, or by the latter once a target states its pace (auto); load."),
        optional("head-bytes", ValueType::Integer(32_768, 1 << 20), "Largest head of a request on any listener, in bytes; 65536. A longer one is answered with 431 and its connection closed."),
        optional("head-ms", ValueType::Integer(100, DAY_MS), "Longest time from the first byte of a request's head to its end, in milliseconds; 10000. A slower one is answered with 408 and its connection closed."),
        optional("body-ms", ValueType::Integer(100, DAY_MS), "Longest time without a byte of a request's body, in milliseconds; 15000. A slower one is refused, not run."),
        optional("heads-mb", ValueType::Number(0.0, 1e6), "Memory for the incomplete heads of one listener, in MB; 0, the default, is a sixteenth of `memory-mb`. Beyond it the connections that hold most are closed first."),
        optional("connections", ValueType::Integer(0, MAX_COUNT), "Connections on `callers`; 0, the default, is two fifths of the process's limit on file descriptors. Beyond it the connections that never had a request, and then the longest idle ones, are closed first."),
        optional("address-connections", ValueType::Integer(0, MAX_COUNT), "Connections on `callers` from one address; 0, the default, is three times as many as are free."),
        optional("targets", ValueType::Integer(0, MAX_COUNT), "Targets that the leader registers; 0, the default, is 24 for each MB of `memory-mb`. Further ones are refused with 503; those that have been silent for some seconds, and for longer than they were heard, make room."),
        optional("unused-kb-s", ValueType::Integer(16, MAX_COUNT), "Bytes of one address that become neither a request nor a part of a body, in KB for each second, and twice as many at once; 256. Beyond it the connections of the address are read from no faster."),
    ],
};

/// Schema of an item of `voters`.
#[rustfmt::skip]
const PEER: Schema = Schema {
    noun: "a voter",
    keys: &[
        required("host", ValueType::Integer(0, u64::MAX), "Its number."),
        required("address", ValueType::Text(TextFormat::ReachableAddress), "Its address, over UDP and TCP."),
    ],
};

#[cfg(test)]
mod tests;
