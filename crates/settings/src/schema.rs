//! The keys of both settings files, as one table each: name, kind and limits.
//!
//! A new key is a row here and a field in [`crate::fleet`] or [`crate::process`].

/// What a key's value must be.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    /// A whole number within limits.
    Whole(u64, u64),
    /// A number within limits.
    Number(f64, f64),
    /// `true` or `false`.
    Switch,
    /// Text of a form.
    Text(Form),
    /// One of some words.
    Choice(&'static [&'static str]),
    /// The name of an item in a list of the same file.
    Reference(&'static str),
    /// Keys of their own.
    Map(&'static Shape),
    /// Several of a kind; items with names, and items that are words, differ from each other.
    List(&'static Kind),
}

/// The form of a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// A sentence for people, not empty.
    Sentence,
    /// A name: ASCII letters, digits, `-`, `_`, `.` and `/`.
    Name,
    /// A name that is one part of a path: the same without `/`.
    Segment,
    /// An HTTP method in capitals.
    Method,
    /// An IP address with a port.
    Address,
    /// An IP address with a port that others connect to.
    Reachable,
    /// A path in the file system.
    Path,
    /// An `http` URL.
    Url,
}

/// One key.
#[derive(Debug, Clone, Copy)]
pub struct Key {
    /// Its name.
    pub name: &'static str,
    /// What its value must be.
    pub kind: Kind,
    /// Whether it may not be left out.
    pub required: bool,
}

/// The keys of one map.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// What errors call it.
    pub noun: &'static str,
    /// Its keys, in the order in which they are printed.
    pub keys: &'static [Key],
}

impl Shape {
    /// The key of a name.
    pub fn key(&self, name: &str) -> Option<&'static Key> {
        self.keys.iter().find(|key| key.name == name)
    }
}

/// A key that may be left out.
const fn may(name: &'static str, kind: Kind) -> Key {
    Key {
        name,
        kind,
        required: false,
    }
}

/// A key that may not be left out.
const fn must(name: &'static str, kind: Kind) -> Key {
    Key {
        name,
        kind,
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
pub const FLEET: Shape = Shape {
    noun: "the fleet's settings",
    keys: &[
        may("loading", Kind::Map(&LOADING)),
        may("keeping", Kind::Map(&KEEPING)),
        may("placing", Kind::Map(&PLACING)),
        may("refusing", Kind::Map(&REFUSING)),
        may("regions", Kind::List(&Kind::Map(&REGION))),
        may("classes", Kind::List(&Kind::Map(&CLASS))),
        may("groups", Kind::List(&Kind::Map(&GROUP))),
        may("models", Kind::List(&Kind::Map(&MODEL))),
        may("services", Kind::List(&Kind::Map(&SERVICE))),
        may("exceptions", Kind::List(&Kind::Map(&EXCEPTION))),
    ],
};

/// Limits of loading.
const LOADING: Shape = Shape {
    noun: "`loading`",
    keys: &[
        may("starts-per-second", Kind::Number(0.001, 1e5)),
        may("concurrency", Kind::Whole(1, COUNT)),
        may("adapters-in-flight", Kind::Whole(1, COUNT)),
        may("remote-ms-per-gib", Kind::Whole(0, GIB_MS)),
        may("disk-ms-per-gib", Kind::Whole(0, GIB_MS)),
        may("memory-ms-per-gib", Kind::Whole(0, GIB_MS)),
    ],
};

/// How long idle replicas are kept.
const KEEPING: Shape = Shape {
    noun: "`keeping`",
    keys: &[
        may("cold-start-weight", WEIGHT),
        may("idle-weight", WEIGHT),
        may("minimum-s", KEEP_S),
        may("maximum-s", KEEP_S),
    ],
};

/// Where replicas are placed.
const PLACING: Shape = Shape {
    noun: "`placing`",
    keys: &[
        may("replicas", REPLICAS),
        may("concurrency", CONCURRENCY),
        may("spread", Kind::Switch),
    ],
};

/// When requests are refused.
const REFUSING: Shape = Shape {
    noun: "`refusing`",
    keys: &[
        may("queue", Kind::Whole(1, 10_000_000)),
        may("caller", Kind::Whole(1, 10_000_000)),
        may("deadline-ms", DEADLINE_MS),
        may("body", Kind::Whole(1, 1 << 30)),
        may("claims-s", Kind::Whole(1, 365 * DAY_S)),
        may("quarantine-s", Kind::Whole(1, 30 * DAY_S)),
    ],
};

/// A region.
const REGION: Shape = Shape {
    noun: "a region",
    keys: &[
        must("name", NAME),
        may("distance-ms", Kind::Whole(0, 60_000)),
        may("price", Kind::Number(0.0, 1e9)),
    ],
};

/// A class of requests.
const CLASS: Shape = Shape {
    noun: "a class",
    keys: &[
        must("name", NAME),
        must("weight", Kind::Whole(1, 1_000_000)),
        may("deadline-ms", DEADLINE_MS),
        may("patient", Kind::Switch),
    ],
};

/// Models that are moved over together.
const GROUP: Shape = Shape {
    noun: "a group",
    keys: &[must("name", NAME), may("managed", Kind::Switch)],
};

/// A model.
const MODEL: Shape = Shape {
    noun: "a model",
    keys: &[
        must("name", NAME),
        must("bytes", Kind::Whole(1, MODEL_BYTES)),
        may("accelerators", Kind::Whole(1, 1_024)),
        may("group", Kind::Reference("groups")),
        may("version", NAME),
        may("class", Kind::Reference("classes")),
        may("adapters", Kind::List(&NAME)),
    ],
};

/// A plain service.
const SERVICE: Shape = Shape {
    noun: "a service",
    keys: &[
        must("name", Kind::Text(Form::Segment)),
        may("repeatable", Kind::List(&Kind::Text(Form::Method))),
        may("class", Kind::Reference("classes")),
    ],
};

/// A departure from the defaults.
const EXCEPTION: Shape = Shape {
    noun: "an exception",
    keys: &[
        must("reason", Kind::Text(Form::Sentence)),
        may("model", Kind::Reference("models")),
        may("group", Kind::Reference("groups")),
        may("minimum-s", KEEP_S),
        may("maximum-s", KEEP_S),
        may("replicas", REPLICAS),
        may("concurrency", CONCURRENCY),
        may("deadline-ms", DEADLINE_MS),
    ],
};

/// The settings of one process.
pub const PROCESS: Shape = Shape {
    noun: "the process's settings",
    keys: &[
        must("cluster", NAME),
        must("host", Kind::Whole(0, u64::MAX)),
        must("region", NAME),
        must("zone", NAME),
        must("roles", Kind::List(&Kind::Choice(&["entry", "control"]))),
        must("callers", Kind::Text(Form::Address)),
        must("operators", Kind::Text(Form::Address)),
        must("peers", Kind::Text(Form::Reachable)),
        must("voters", Kind::List(&Kind::Map(&PEER))),
        may("data", Kind::Text(Form::Path)),
        must("keys", Kind::Text(Form::Path)),
        must("token", Kind::Text(Form::Path)),
        may("fleet", Kind::Text(Form::Path)),
        may("otlp", Kind::Text(Form::Url)),
    ],
};

/// Another process.
const PEER: Shape = Shape {
    noun: "a voter",
    keys: &[
        must("host", Kind::Whole(0, u64::MAX)),
        must("address", Kind::Text(Form::Reachable)),
    ],
};

#[cfg(test)]
mod tests;
