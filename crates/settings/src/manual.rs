//! Generates the reference page of all settings keys from their schemas.

use serde_json::Value;

use crate::fleet::FleetSettings;
use crate::schema::{Key, Schema, TextFormat, ValueType};
use crate::table::{FLEET, PROCESS};

/// Returns the text of `docs/SETTINGS.md`.
///
/// ```
/// assert!(cornelhitch_settings::manual::page().contains("`starts-per-second`"));
/// ```
#[must_use]
pub fn page() -> String {
    let fleet: FleetSettings = MINIMAL_FLEET.parse().unwrap_or_default();
    let defaults = serde_json::to_value(fleet).unwrap_or_default();
    [
        PAGE_INTRO,
        "\n## The fleet's settings\n\n",
        FLEET_INTRO,
        &sections(&FLEET, &defaults),
        "\n## The settings of one process\n\n",
        PROCESS_INTRO,
        &sections(&PROCESS, &Value::Null),
    ]
    .concat()
}

/// Fleet settings with only required keys, from which the defaults of the other keys are read.
const MINIMAL_FLEET: &str = "
regions: [{ name: a }]
classes: [{ name: a, weight: 1 }]
groups: [{ name: a }]
models: [{ name: a, bytes: 1 }]
services: [{ name: a }]
";

/// Introduction of the page.
const PAGE_INTRO: &str = "\
# Settings

This page is printed from the tables by which the files are checked
(`crates/settings/src/table.rs`); a test fails where the two differ. `UPDATE_EXPECT=1 cargo test -p
cornelhitch-settings` prints it anew.

Both files are YAML: one document of keys and values, without anchors and tags, at most 4 MiB long
and 16 lists and maps deep. A file with a fault is refused as a whole, and every fault is told with its
line and column. A key that is not listed here is a fault, and so is a key that stands twice.
";

/// Introduction to the fleet's keys.
const FLEET_INTRO: &str = "\
What operators declare for all hosts: defaults, what there is, and exceptions. Besides the limits below,
`minimum-s` may not be over `maximum-s`, not both weights may be 0, names in one list differ, and an
exception is for one `model` or one `group` that has models, gives a reason, and changes something:
a rule that is the same without it, that an earlier exception for the same sets too, or that has no
effect because the models are not loaded by cornelhitch, is a fault.
";

/// Introduction to the process's keys.
const PROCESS_INTRO: &str = "\
What one process reads when it starts. A host that is among the voters has the role control and votes at
its `peers` address; `data` goes with the role control; no address and no file stands for two things.
";

/// Returns a table for a schema, followed by a section for each schema directly below it.
fn sections(schema: &Schema, defaults: &Value) -> String {
    let nested = schema.keys.iter().map(|key| match key.value_type {
        ValueType::Map(nested) => {
            let table = key_table(nested, &defaults[key.name]);
            format!("\n### `{}`\n{table}", key.name)
        }
        ValueType::List(ValueType::Map(nested)) => {
            let table = key_table(nested, &defaults[key.name][0]);
            format!("\n### `{}`: {} each\n{table}", key.name, nested.noun)
        }
        _ => String::new(),
    });
    key_table(schema, defaults) + &nested.collect::<String>()
}

/// Returns the table of a schema's keys.
fn key_table(schema: &Schema, defaults: &Value) -> String {
    let rows = schema
        .keys
        .iter()
        .map(|key| key_row(key, &defaults[key.name]));
    let head = "\n| key | value | where it is left out | meaning |\n| --- | --- | --- | --- |\n";
    let rows: String = rows.collect();
    format!("{head}{rows}")
}

/// Returns the table row of a key.
fn key_row(key: &Key, default: &Value) -> String {
    let default_text = match default {
        _ if key.required => "a fault".to_owned(),
        Value::Number(number) => number.to_string(),
        Value::Bool(switch) => switch.to_string(),
        Value::Array(items) => {
            let words: Vec<_> = items.iter().filter_map(Value::as_str).collect();
            words.join(", ")
        }
        _ => String::new(),
    };
    let value = describe_type(&key.value_type);
    format!(
        "| `{}` | {value} | {default_text} | {} |\n",
        key.name, key.help
    )
}

/// Describes what a value must be.
fn describe_type(value_type: &ValueType) -> String {
    match value_type {
        ValueType::Integer(min, u64::MAX) => format!("a whole number from {min}"),
        ValueType::Integer(min, max) => format!("a whole number from {min} to {max}"),
        ValueType::Number(min, max) => format!("a number from {min} to {max}"),
        ValueType::Bool => "`true` or `false`".to_owned(),
        ValueType::Text(format) => describe_format(*format).to_owned(),
        ValueType::Choice(choices) => format!("`{}`", choices.join("` or `")),
        ValueType::Reference(list) => format!("a name from `{list}`"),
        ValueType::Map(_) => "keys, see below".to_owned(),
        ValueType::List(ValueType::Map(_)) => "a list, see below".to_owned(),
        ValueType::List(item) => format!("a list: {}", describe_type(item)),
    }
}

/// Describes what a text must be.
fn describe_format(format: TextFormat) -> &'static str {
    match format {
        TextFormat::Sentence => "a sentence",
        TextFormat::Name => "a name of ASCII letters, digits, `-`, `_`, `.` and `/`",
        TextFormat::Segment => "a name of ASCII letters, digits, `-`, `_` and `.`",
        TextFormat::Method => "an HTTP method in capitals",
        TextFormat::Address => "an IP address with a port",
        TextFormat::ReachableAddress => "an IP address with a port that others can connect to",
        TextFormat::Path => "a path",
        TextFormat::Url => "a URL of the form `http://HOST[:PORT][/PATH]`",
    }
}
