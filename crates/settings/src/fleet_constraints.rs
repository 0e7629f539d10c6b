//! Validates constraints between keys of the fleet settings.

use marked_yaml::Node;
use marked_yaml::types::MarkedScalarNode;

use crate::document::{Position, integer, items, position, scalar};
use crate::error::Fault;
use crate::fleet::FleetSettings;
use crate::table::MAX_MODEL_BYTES;

/// Largest accelerator memory of one model on one accelerator, in bytes.
const MAX_BYTES_PER_ACCELERATOR: u64 = 1 << 40;

/// A rule that exceptions can override.
struct Rule {
    /// The key of the rule in an exception.
    key: &'static str,
    /// The section that holds the default.
    section: &'static str,
    /// Whether it applies to models that cornelhitch does not load.
    applies_to_unmanaged: bool,
}

/// All rules that exceptions can override.
const RULES: [Rule; 5] = [
    rule("minimum-s", "keeping", false),
    rule("maximum-s", "keeping", false),
    rule("replicas", "placing", false),
    rule("concurrency", "placing", true),
    rule("deadline-ms", "refusing", true),
];

/// The values of [`RULES`], in their order.
type RuleValues = [u64; RULES.len()];

/// Index in [`RULES`] of the shortest time that an idle replica is kept.
const MINIMUM_INDEX: usize = 0;
/// Index in [`RULES`] of the longest time that an idle replica is kept.
const MAXIMUM_INDEX: usize = 1;

const fn rule(key: &'static str, section: &'static str, applies_to_unmanaged: bool) -> Rule {
    Rule {
        key,
        section,
        applies_to_unmanaged,
    }
}

/// Returns all violations of constraints between keys.
pub fn check(root: &Node) -> Vec<Fault> {
    let fleet = FleetConstraints::new(root);
    let mut faults = fleet.check_defaults(root);
    faults.extend(items(root, "models").filter_map(check_model_size));
    for (at, exception) in fleet.exceptions.iter().enumerate() {
        faults.extend(fleet.check_exception(at, exception));
    }
    faults
}

/// The values that constraints refer to; invalid ones are left out, since the schema check reports
/// them.
struct FleetConstraints<'a> {
    /// The default of each rule.
    defaults: RuleValues,
    /// The models of the catalogue.
    models: Vec<Model<'a>>,
    /// Names of groups whose models cornelhitch does not load.
    unmanaged: Vec<&'a str>,
    /// All exceptions, in file order.
    exceptions: Vec<Exception<'a>>,
}

/// A model of the catalogue.
struct Model<'a> {
    name: &'a str,
    group: Option<&'a str>,
}

/// An exception from the defaults.
struct Exception<'a> {
    /// Position where the exception starts.
    position: Position,
    /// The node of the exception.
    node: &'a Node,
    /// The model that it names.
    model: Option<&'a str>,
    /// The group that it names.
    group: Option<&'a str>,
    /// The values that it sets, in the order of [`RULES`].
    sets: [Option<u64>; RULES.len()],
}

impl Exception<'_> {
    /// Returns whether both exceptions apply to the same models.
    fn has_same_scope(&self, other: &Self) -> bool {
        self.model == other.model && self.group == other.group
    }

    /// Returns whether the exception applies to a model.
    fn covers(&self, model: &Model) -> bool {
        match self.model {
            Some(name) => name == model.name,
            None => self.group.is_some() && self.group == model.group,
        }
    }

    /// Returns the position of a rule's value, or of the exception if it does not set the rule.
    fn position_of(&self, rule: &Rule) -> Position {
        scalar(self.node, rule.key).map_or(self.position, |scalar| scalar.span().into())
    }
}

impl<'a> FleetConstraints<'a> {
    /// Collects the values from a document.
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
                    position: position(node),
                    node,
                    model: text(node, "model"),
                    group: text(node, "group"),
                    sets: RULES.map(|rule| integer(node, rule.key)),
                })
                .collect(),
        }
    }

    /// Checks the defaults.
    fn check_defaults(&self, root: &Node) -> Vec<Fault> {
        let mut faults = Vec::new();
        let keeping = root.as_mapping().and_then(|map| map.get_node("keeping"));
        let position_of_key = |key| {
            let value = keeping.and_then(|keeping| scalar(keeping, key));
            let value = value.map(|value| value.span().into());
            value.or(keeping.map(position)).unwrap_or(Position::START)
        };
        if self.defaults[MINIMUM_INDEX] > self.defaults[MAXIMUM_INDEX] {
            let [minimum, maximum, ..] = self.defaults;
            let message = format!("`minimum-s` is {minimum}, over `maximum-s` {maximum}");
            faults.push(position_of_key("minimum-s").fault(message));
        }
        let is_zero = |key| {
            let value = keeping.and_then(|keeping| scalar(keeping, key)?.as_f64());
            value == Some(0.0)
        };
        if is_zero("cold-start-weight") && is_zero("idle-weight") {
            let message = "`cold-start-weight` and `idle-weight` are both 0, so nothing is weighed";
            faults.push(position_of_key("idle-weight").fault(message));
        }
        faults
    }

    /// Checks the exception at index `at`.
    fn check_exception(&self, at: usize, exception: &Exception) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut fault = |position: Position, message: String| faults.push(position.fault(message));
        if exception.model.is_some() == exception.group.is_some() {
            let message = "an exception is for a `model` or for a `group`, one of the two";
            fault(exception.position, message.to_owned());
            return faults;
        }
        let covered: Vec<&Model> = self.models.iter().filter(|m| exception.covers(m)).collect();
        if covered.is_empty() {
            if let Some(group) = exception.group {
                let message = format!("no model is in the group {group:?}, so nothing is changed");
                fault(exception.position, message);
            }
            return faults;
        }
        if exception.sets.iter().all(Option::is_none) {
            fault(
                exception.position,
                format!("the exception sets none of {}", rule_keys()),
            );
            return faults;
        }
        faults.extend(self.check_duplicates(at, exception));
        faults.extend(self.check_effect(at, exception, &covered));
        faults.extend(self.check_minimum(exception, &covered));
        faults
    }

    /// Reports rules that an earlier exception for the same models also sets.
    fn check_duplicates(&self, at: usize, exception: &Exception) -> Vec<Fault> {
        let earlier = &self.exceptions[..at];
        let rules = RULES.iter().enumerate().filter_map(|(i, rule)| {
            exception.sets[i]?;
            let same =
                |other: &&Exception| other.has_same_scope(exception) && other.sets[i].is_some();
            let duplicate = earlier.iter().find(same)?;
            let line = duplicate.position_of(rule).line;
            let message = format!("`{}` is set on line {line} for the same", rule.key);
            Some(exception.position_of(rule).fault(message))
        });
        rules.collect()
    }

    /// Reports rules whose values are the same without the exception.
    fn check_effect(&self, at: usize, exception: &Exception, covered: &[&Model]) -> Vec<Fault> {
        let any_managed = covered.iter().any(|model| self.managed(model));
        let mut faults = Vec::new();
        for (i, rule) in RULES.iter().enumerate() {
            if exception.sets[i].is_none() {
                continue;
            }
            let position = exception.position_of(rule);
            if !rule.applies_to_unmanaged && !any_managed {
                let message = format!(
                    "`{}` changes nothing, since cornelhitch does not load these models",
                    rule.key
                );
                faults.push(position.fault(message));
                continue;
            }
            let without = |model: &Model| self.values(model, Some(at))[i];
            let changes = |model: &&Model| self.values(model, None)[i] != without(model);
            if !covered.iter().any(changes) {
                let other = covered.first().map(|model| without(model));
                faults.push(position.fault(no_effect_message(rule, exception.sets[i], other)));
            }
        }
        faults
    }

    /// Reports a minimum above the maximum for a model that the exception covers.
    fn check_minimum(&self, exception: &Exception, covered: &[&Model]) -> Option<Fault> {
        let sets = &exception.sets;
        if sets[MINIMUM_INDEX].is_none() && sets[MAXIMUM_INDEX].is_none() {
            return None;
        }
        let exceeds = |model: &&&Model| {
            let values = self.values(model, None);
            values[MINIMUM_INDEX] > values[MAXIMUM_INDEX]
        };
        let model = covered.iter().find(exceeds)?;
        let [minimum, maximum, ..] = self.values(model, None);
        let name = model.name;
        let message =
            format!("for {name:?} `minimum-s` becomes {minimum}, over `maximum-s` {maximum}");
        let rule = if sets[MINIMUM_INDEX].is_some() {
            MINIMUM_INDEX
        } else {
            MAXIMUM_INDEX
        };
        Some(exception.position_of(&RULES[rule]).fault(message))
    }

    /// Returns the values in force for a model, with one exception left out; mirrors
    /// [`FleetSettings::rules`].
    fn values(&self, model: &Model, without: Option<usize>) -> RuleValues {
        let mut values = self.defaults;
        let covers =
            |(at, exception): &(usize, &Exception)| Some(*at) != without && exception.covers(model);
        let all = || self.exceptions.iter().enumerate().filter(covers);
        let for_group = all().filter(|(_, exception)| exception.model.is_none());
        let for_model = all().filter(|(_, exception)| exception.model.is_some());
        for (_, exception) in for_group.chain(for_model) {
            for (value, set) in values.iter_mut().zip(exception.sets) {
                *value = set.unwrap_or(*value);
            }
        }
        values
    }

    /// Returns whether cornelhitch loads a model.
    fn managed(&self, model: &Model) -> bool {
        model
            .group
            .is_none_or(|group| !self.unmanaged.contains(&group))
    }
}

/// Returns the message for a rule that an exception sets without effect.
fn no_effect_message(rule: &Rule, set: Option<u64>, without: Option<u64>) -> String {
    match set {
        Some(value) if set == without => {
            format!("`{}` is {value} without the exception too", rule.key)
        }
        _ => format!("`{}` is overruled for each of these models", rule.key),
    }
}

/// Returns the defaults of a document, with built-in defaults where it sets none.
fn defaults(root: &Node) -> RuleValues {
    let built_in = FleetSettings::default();
    let built_in = [
        built_in.keeping.minimum_s,
        built_in.keeping.maximum_s,
        built_in.placing.replicas.into(),
        built_in.placing.concurrency.into(),
        built_in.refusing.deadline_ms,
    ];
    let mut values = built_in;
    for (value, rule) in values.iter_mut().zip(&RULES) {
        let section = root.as_mapping().and_then(|map| map.get_node(rule.section));
        let set = section.and_then(|section| integer(section, rule.key));
        *value = set.unwrap_or(*value);
    }
    values
}

/// Reports a model that does not fit on its accelerators.
fn check_model_size(model: &Node) -> Option<Fault> {
    let bytes = scalar(model, "bytes")?;
    let accelerators = integer(model, "accelerators").unwrap_or(1);
    let max_bytes = MAX_BYTES_PER_ACCELERATOR.saturating_mul(accelerators);
    let already_reported = bytes.as_u64()? > MAX_MODEL_BYTES;
    if already_reported || bytes.as_u64()? <= max_bytes {
        return None;
    }
    let message = format!(
        "`bytes` is {}, over {max_bytes} on {accelerators} accelerators",
        bytes.as_str()
    );
    Some(Position::from(bytes.span()).fault(message))
}

/// Returns the keys that an exception can set, separated by commas.
fn rule_keys() -> String {
    RULES.map(|rule| rule.key).join(", ")
}
