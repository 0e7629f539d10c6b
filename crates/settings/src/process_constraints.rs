//! Validates constraints between keys of the process settings.

use marked_yaml::Node;
use marked_yaml::types::MarkedScalarNode;

use crate::document::{Position, items, position, scalar};
use crate::error::Fault;
use crate::process::Role;
use crate::table::PROCESS;

/// Largest number of voters; a larger group is slower and no safer.
const MAX_VOTERS: usize = 9;

/// Keys whose values are addresses that the process listens on.
const LISTEN_KEYS: [&str; 8] = [
    "callers",
    "operators",
    "peers",
    "peers-listen",
    "registry",
    "directory",
    "ready",
    "metrics",
];

/// Returns all violations of constraints between keys.
pub fn check(root: &Node) -> Vec<Fault> {
    let mut faults = check_voters(root);
    faults.extend(missing_keys(root));
    faults.extend(check_voter_address(root));
    if let Some(control) = has_control_role(root) {
        faults.extend(check_voter_role(root, control));
        faults.extend(check_data(root, control));
    }
    faults.extend(duplicates(
        LISTEN_KEYS.iter().filter_map(|key| scalar(root, key)),
        "is configured as a listen address",
    ));
    faults.extend(duplicates(
        ["keys", "token"].iter().filter_map(|key| scalar(root, key)),
        "is configured as a file",
    ));
    if items(root, "roles").next().is_none() {
        let roles = root.as_mapping().and_then(|map| map.get_node("roles"));
        faults
            .extend(roles.map(|roles| {
                position(roles).fault("`roles` is empty, expected at least one role")
            }));
    }
    faults
}

/// Reports missing keys that are required only in some configurations.
fn missing_keys(root: &Node) -> Vec<Fault> {
    let seeded = items(root, "seeds").next().is_some();
    let trusted = scalar(root, "trusted-network").is_some_and(|switch| &**switch == "true");
    let has = |key: &str| {
        root.as_mapping()
            .is_some_and(|map| map.get_node(key).is_some())
    };
    let conditional = [
        ("host", !seeded),
        ("voters", !seeded),
        ("keys", !trusted),
        ("token", !trusted),
    ];
    let absent = conditional
        .iter()
        .filter(|(key, is_required)| *is_required && !has(key));
    let fault = |(key, _): &(&str, bool)| {
        let message = format!("{} has no `{key}`", PROCESS.noun);
        position(root).fault(message)
    };
    absent.map(fault).collect()
}

/// Checks the list of voters.
fn check_voters(root: &Node) -> Vec<Fault> {
    let mut faults = Vec::new();
    let list = root.as_mapping().and_then(|map| map.get_node("voters"));
    let Some(list) = list else { return faults };
    let count = items(root, "voters").count();
    if count == 0 || count > MAX_VOTERS {
        let message = format!("{count} voters are listed, expected 1 to {MAX_VOTERS}");
        faults.push(position(list).fault(message));
    }
    for (key, description) in [
        ("host", "is listed as a voter's host"),
        ("address", "is listed as a voter's address"),
    ] {
        let values = items(root, "voters").filter_map(|voter| scalar(voter, key));
        faults.extend(duplicates(values, description));
    }
    faults
}

/// Returns this host's entry in the list of voters.
fn own_voter(root: &Node) -> Option<&Node> {
    let host = scalar(root, "host")?;
    let same = |voter: &&Node| scalar(voter, "host").is_some_and(|own| **own == **host);
    items(root, "voters").find(same)
}

/// Reports a voter that lacks the role `control`.
fn check_voter_role(root: &Node, control: bool) -> Option<Fault> {
    let voter = own_voter(root).filter(|_| !control)?;
    Some(position(voter).fault("this host is a voter, but lacks the role `control`"))
}

/// Reports a voter whose address differs from the host's `peers` address.
fn check_voter_address(root: &Node) -> Option<Fault> {
    let address = scalar(own_voter(root)?, "address")?;
    let peers = scalar(root, "peers")?;
    let message = format!(
        "this host is listed as a voter at {}, but `peers` is {}",
        &**address, &**peers
    );
    (**address != **peers).then(|| Position::from(address.span()).fault(message))
}

/// Reports a data folder without the role `control`, or the role without a data folder.
fn check_data(root: &Node, control: bool) -> Option<Fault> {
    match (scalar(root, "data"), control) {
        (None, true) => Some(
            position(root).fault("the role `control` requires `data`, a folder on durable storage"),
        ),
        (Some(data), false) => {
            let message = "`data` requires the role `control`, which this process lacks";
            Some(Position::from(data.span()).fault(message))
        }
        _ => None,
    }
}

/// Returns whether the process has the role `control`; `None` if the roles are invalid.
fn has_control_role(root: &Node) -> Option<bool> {
    let roles = items(root, "roles").map(|role| role.as_scalar()?.parse::<Role>().ok());
    let roles: Vec<Role> = roles.collect::<Option<_>>()?;
    (!roles.is_empty()).then(|| roles.contains(&Role::Control))
}

/// Reports values that occur more than once; port 0 is exempt, since the system chooses the port.
fn duplicates<'a>(
    values: impl Iterator<Item = &'a MarkedScalarNode>,
    description: &str,
) -> Vec<Fault> {
    let mut seen: Vec<&MarkedScalarNode> = Vec::new();
    let mut faults = Vec::new();
    for value in values.filter(|value| !value.ends_with(":0")) {
        if let Some(first) = seen.iter().find(|first| first.as_str() == value.as_str()) {
            let line = Position::from(first.span()).line;
            let message = format!(
                "{} {description} twice, first on line {line}",
                value.as_str()
            );
            faults.push(Position::from(value.span()).fault(message));
        }
        seen.push(value);
    }
    faults
}
