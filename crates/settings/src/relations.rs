//! What the keys of the fleet's settings must be to each other.

use marked_yaml::Node;
use marked_yaml::types::MarkedScalarNode;

use crate::document::{Place, items, place, scalar, whole};
use crate::error::Fault;
use crate::fleet::Fleet;
use crate::table::MODEL_BYTES;

/// The most accelerator memory of one model on one accelerator, in bytes.
const ACCELERATOR: u64 = 1 << 40;

/// A rule that exceptions can change.
struct Rule {
    /// Its key in an exception.
    key: &'static str,
    /// The section with its default.
    section: &'static str,
    /// Whether it matters for models that cornelhitch does not load.
    unmanaged: bool,
}

/// All rules that exceptions can change.
const RULES: [Rule; 5] = [
    rule("minimum-s", "keeping", false),
    rule("maximum-s", "keeping", false),
    rule("replicas", "placing", false),
    rule("concurrency", "placing", true),
    rule("deadline-ms", "refusing", true),
];

/// The values of [`RULES`], in their order.
type Values = [u64; RULES.len()];

/// Where [`RULES`] has the shortest time that a replica is kept.
const MINIMUM: usize = 0;
/// Where it has the longest.
const MAXIMUM: usize = 1;

/// One rule.
const fn rule(key: &'static str, section: &'static str, unmanaged: bool) -> Rule {
    Rule {
        key,
        section,
        unmanaged,
    }
}

/// All faults between keys.
pub fn check(root: &Node) -> Vec<Fault> {
    let fleet = Relations::new(root);
    let mut faults = fleet.defaults(root);
    faults.extend(items(root, "models").filter_map(size));
    for (at, exception) in fleet.exceptions.iter().enumerate() {
        faults.extend(fleet.exception(at, exception));
    }
    faults
}

/// What the relations are between; whatever is no sound value is left out.
struct Relations<'a> {
    /// The defaults.
    defaults: Values,
    /// The models.
    models: Vec<Model<'a>>,
    /// Groups whose models cornelhitch does not load.
    unmanaged: Vec<&'a str>,
    /// The exceptions.
    exceptions: Vec<Exception<'a>>,
}

/// A model.
struct Model<'a> {
    /// Its name.
    name: &'a str,
    /// Its group.
    group: Option<&'a str>,
}

/// An exception.
struct Exception<'a> {
    /// Where it starts.
    place: Place,
    /// The map.
    node: &'a Node,
    /// Its model.
    model: Option<&'a str>,
    /// Its group.
    group: Option<&'a str>,
    /// What it sets, in the order of [`RULES`].
    sets: [Option<u64>; RULES.len()],
}

impl Exception<'_> {
    /// Whether it is for the same models as another one.
    fn same_scope(&self, other: &Self) -> bool {
        self.model == other.model && self.group == other.group
    }

    /// Whether it is for a model.
    fn covers(&self, model: &Model) -> bool {
        match self.model {
            Some(name) => name == model.name,
            None => self.group.is_some() && self.group == model.group,
        }
    }

    /// The place of a rule that it sets.
    fn place_of(&self, rule: &Rule) -> Place {
        scalar(self.node, rule.key).map_or(self.place, |scalar| scalar.span().into())
    }
}

impl<'a> Relations<'a> {
    /// Reads a document.
    fn new(root: &'a Node) -> Self {
        let text = |node: &'a Node, key: &str| scalar(node, key).map(MarkedScalarNode::as_str);
        let models = items(root, "models").filter_map(|node| {
            let name = text(node, "name")?;
            let group = text(node, "group");
            Some(Model { name, group })
        });
        let unmanaged = items(root, "groups").filter(|node| {
            let managed = scalar(node, "managed").and_then(MarkedScalarNode::as_bool);
            managed == Some(false)
        });
        let exceptions = items(root, "exceptions").filter(|node| node.as_mapping().is_some());
        Self {
            defaults: defaults(root),
            models: models.collect(),
            unmanaged: unmanaged.filter_map(|node| text(node, "name")).collect(),
            exceptions: exceptions
                .map(|node| Exception {
                    place: place(node),
                    node,
                    model: text(node, "model"),
                    group: text(node, "group"),
                    sets: RULES.map(|rule| whole(node, rule.key)),
                })
                .collect(),
        }
    }

    /// Faults among the defaults.
    fn defaults(&self, root: &Node) -> Vec<Fault> {
        let mut faults = Vec::new();
        let keeping = root.as_mapping().and_then(|map| map.get_node("keeping"));
        let at = |key| {
            let value = keeping.and_then(|keeping| scalar(keeping, key));
            let value = value.map(|value| value.span().into());
            value.or(keeping.map(place)).unwrap_or(Place::START)
        };
        if self.defaults[MINIMUM] > self.defaults[MAXIMUM] {
            let [minimum, maximum, ..] = self.defaults;
            let message = format!("`minimum-s` is {minimum}, over `maximum-s` {maximum}");
            faults.push(at("minimum-s").fault(message));
        }
        let zero = |key| {
            let value = keeping.and_then(|keeping| scalar(keeping, key)?.as_f64());
            value == Some(0.0)
        };
        if zero("cold-start-weight") && zero("idle-weight") {
            let message = "`cold-start-weight` and `idle-weight` are both 0, so nothing is weighed";
            faults.push(at("idle-weight").fault(message));
        }
        faults
    }

    /// Faults of one exception.
    fn exception(&self, at: usize, exception: &Exception) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut fault = |place: Place, message: String| faults.push(place.fault(message));
        if exception.model.is_some() == exception.group.is_some() {
            let message = "an exception is for a `model` or for a `group`, one of the two";
            fault(exception.place, message.to_owned());
            return faults;
        }
        let covered: Vec<&Model> = self.models.iter().filter(|m| exception.covers(m)).collect();
        if covered.is_empty() {
            if let Some(group) = exception.group {
                let message = format!("no model is in the group {group:?}, so nothing is changed");
                fault(exception.place, message);
            }
            return faults;
        }
        if exception.sets.iter().all(Option::is_none) {
            fault(
                exception.place,
                format!("the exception sets none of {}", keys()),
            );
            return faults;
        }
        faults.extend(self.repeated(at, exception));
        faults.extend(self.without_effect(at, exception, &covered));
        faults.extend(self.contradiction(exception, &covered));
        faults
    }

    /// Rules that an earlier exception for the same models sets too.
    fn repeated(&self, at: usize, exception: &Exception) -> Vec<Fault> {
        let earlier = &self.exceptions[..at];
        let rules = RULES.iter().enumerate().filter_map(|(i, rule)| {
            exception.sets[i]?;
            let same = |other: &&Exception| other.same_scope(exception) && other.sets[i].is_some();
            let before = earlier.iter().find(same)?;
            let line = before.place_of(rule).line;
            let message = format!("`{}` is set on line {line} for the same", rule.key);
            Some(exception.place_of(rule).fault(message))
        });
        rules.collect()
    }

    /// Rules that are the same without the exception.
    fn without_effect(&self, at: usize, exception: &Exception, covered: &[&Model]) -> Vec<Fault> {
        let loaded = covered.iter().any(|model| self.managed(model));
        let mut faults = Vec::new();
        for (i, rule) in RULES.iter().enumerate() {
            if exception.sets[i].is_none() {
                continue;
            }
            let place = exception.place_of(rule);
            if !rule.unmanaged && !loaded {
                let message = format!(
                    "`{}` changes nothing, since cornelhitch does not load these models",
                    rule.key
                );
                faults.push(place.fault(message));
                continue;
            }
            let without = |model: &Model| self.values(model, Some(at))[i];
            let changes = |model: &&Model| self.values(model, None)[i] != without(model);
            if !covered.iter().any(changes) {
                let other = covered.first().map(|model| without(model));
                faults.push(place.fault(idle(rule, exception.sets[i], other)));
            }
        }
        faults
    }

    /// A shortest time over the longest, for a model that the exception is for.
    fn contradiction(&self, exception: &Exception, covered: &[&Model]) -> Option<Fault> {
        let sets = &exception.sets;
        if sets[MINIMUM].is_none() && sets[MAXIMUM].is_none() {
            return None;
        }
        let over = |model: &&&Model| {
            let values = self.values(model, None);
            values[MINIMUM] > values[MAXIMUM]
        };
        let model = covered.iter().find(over)?;
        let [minimum, maximum, ..] = self.values(model, None);
        let name = model.name;
        let message =
            format!("for {name:?} `minimum-s` becomes {minimum}, over `maximum-s` {maximum}");
        let rule = if sets[MINIMUM].is_some() {
            MINIMUM
        } else {
            MAXIMUM
        };
        Some(exception.place_of(&RULES[rule]).fault(message))
    }

    /// The values in force for a model, with one exception left out; as [`Fleet::rules`].
    fn values(&self, model: &Model, without: Option<usize>) -> Values {
        let mut values = self.defaults;
        let covers =
            |(at, exception): &(usize, &Exception)| Some(*at) != without && exception.covers(model);
        let all = || self.exceptions.iter().enumerate().filter(covers);
        let of_group = all().filter(|(_, exception)| exception.model.is_none());
        let own = all().filter(|(_, exception)| exception.model.is_some());
        for (_, exception) in of_group.chain(own) {
            for (value, set) in values.iter_mut().zip(exception.sets) {
                *value = set.unwrap_or(*value);
            }
        }
        values
    }

    /// Whether cornelhitch loads a model.
    fn managed(&self, model: &Model) -> bool {
        model
            .group
            .is_none_or(|group| !self.unmanaged.contains(&group))
    }
}

/// What is said of a rule that an exception sets without effect.
fn idle(rule: &Rule, set: Option<u64>, without: Option<u64>) -> String {
    match set {
        Some(value) if set == without => {
            format!("`{}` is {value} without the exception too", rule.key)
        }
        _ => format!("`{}` is overruled for each of these models", rule.key),
    }
}

/// The defaults of a document, or those of the program.
fn defaults(root: &Node) -> Values {
    let program = Fleet::default();
    let program = [
        program.keeping.minimum_s,
        program.keeping.maximum_s,
        program.placing.replicas.into(),
        program.placing.concurrency.into(),
        program.refusing.deadline_ms,
    ];
    let mut values = program;
    for (value, rule) in values.iter_mut().zip(&RULES) {
        let section = root.as_mapping().and_then(|map| map.get_node(rule.section));
        let set = section.and_then(|section| whole(section, rule.key));
        *value = set.unwrap_or(*value);
    }
    values
}

/// A model that does not fit on its accelerators.
fn size(model: &Node) -> Option<Fault> {
    let bytes = scalar(model, "bytes")?;
    let accelerators = whole(model, "accelerators").unwrap_or(1);
    let most = ACCELERATOR.saturating_mul(accelerators);
    let told_already = bytes.as_u64()? > MODEL_BYTES;
    if told_already || bytes.as_u64()? <= most {
        return None;
    }
    let message = format!(
        "`bytes` is {}, over {most} on {accelerators} accelerators",
        bytes.as_str()
    );
    Some(Place::from(bytes.span()).fault(message))
}

/// The keys that an exception can set.
fn keys() -> String {
    RULES.map(|rule| rule.key).join(", ")
}
