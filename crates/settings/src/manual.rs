//! The page that tells operators every key, printed from the tables.

use serde_json::Value;

use crate::fleet::Fleet;
use crate::schema::{Form, Key, Kind, Shape};
use crate::table::{FLEET, PROCESS};

/// The text of `docs/SETTINGS.md`.
///
/// ```
/// assert!(cornelhitch_settings::manual::page().contains("`starts-per-second`"));
/// ```
#[must_use]
pub fn page() -> String {
    let sample: Fleet = SAMPLE.parse().unwrap_or_default();
    let defaults = serde_json::to_value(sample).unwrap_or_default();
    [
        HEAD,
        "\n## The fleet's settings\n\n",
        FLEET_HEAD,
        &sections(&FLEET, &defaults),
        "\n## The settings of one process\n\n",
        PROCESS_HEAD,
        &sections(&PROCESS, &Value::Null),
    ]
    .concat()
}

/// Settings with nothing but what may not be left out, for the defaults of the rest.
const SAMPLE: &str = "
regions: [{ name: a }]
classes: [{ name: a, weight: 1 }]
groups: [{ name: a }]
models: [{ name: a, bytes: 1 }]
services: [{ name: a }]
";

/// What stands before all.
const HEAD: &str = "\
# Settings

This page is printed from the tables by which the files are checked
(`crates/settings/src/table.rs`); a test fails where the two differ. `UPDATE_EXPECT=1 cargo test -p
cornelhitch-settings` prints it anew.

Both files are YAML: one document of keys and values, without anchors and tags, at most 4 MiB long
and 16 lists and maps deep. A file with a fault is refused as a whole, and every fault is told with its
line and column. A key that is not listed here is a fault, and so is a key that stands twice.
";

/// What stands before the fleet's keys.
const FLEET_HEAD: &str = "\
What operators declare for all hosts: defaults, what there is, and exceptions. Besides the limits below,
`minimum-s` may not be over `maximum-s`, not both weights may be 0, names in one list differ, and an
exception is for one `model` or one `group` that has models, gives a reason, and changes something:
a rule that is the same without it, that an earlier exception for the same sets too, or that has no
effect because the models are not loaded by cornelhitch, is a fault.
";

/// What stands before the process's keys.
const PROCESS_HEAD: &str = "\
What one process reads when it starts. A host that is among the voters has the role control and votes at
its `peers` address; `data` goes with the role control; no address and no file stands for two things.
";

/// A section for a shape and one for each shape below it.
fn sections(shape: &Shape, defaults: &Value) -> String {
    let below = shape.keys.iter().map(|key| match key.kind {
        Kind::Map(below) => {
            let table = table(below, &defaults[key.name]);
            format!("\n### `{}`\n{table}", key.name)
        }
        Kind::List(Kind::Map(below)) => {
            let table = table(below, &defaults[key.name][0]);
            format!("\n### `{}`: {} each\n{table}", key.name, below.noun)
        }
        _ => String::new(),
    });
    table(shape, defaults) + &below.collect::<String>()
}

/// The table of a shape's keys.
fn table(shape: &Shape, defaults: &Value) -> String {
    let rows = shape.keys.iter().map(|key| row(key, &defaults[key.name]));
    let head = "\n| key | value | where it is left out | meaning |\n| --- | --- | --- | --- |\n";
    let rows: String = rows.collect();
    format!("{head}{rows}")
}

/// The row of a key.
fn row(key: &Key, default: &Value) -> String {
    let absent = match default {
        _ if key.required => "a fault".to_owned(),
        Value::Number(number) => number.to_string(),
        Value::Bool(switch) => switch.to_string(),
        Value::Array(items) => {
            let words: Vec<_> = items.iter().filter_map(Value::as_str).collect();
            words.join(", ")
        }
        _ => String::new(),
    };
    let value = value(&key.kind);
    format!(
        "| `{}` | {value} | {absent} | {} |\n",
        key.name, key.meaning
    )
}

/// What a value must be.
fn value(kind: &Kind) -> String {
    match kind {
        Kind::Whole(least, u64::MAX) => format!("a whole number from {least}"),
        Kind::Whole(least, most) => format!("a whole number from {least} to {most}"),
        Kind::Number(least, most) => format!("a number from {least} to {most}"),
        Kind::Switch => "`true` or `false`".to_owned(),
        Kind::Text(form) => form_text(*form).to_owned(),
        Kind::Choice(words) => format!("`{}`", words.join("` or `")),
        Kind::Reference(list) => format!("a name from `{list}`"),
        Kind::Map(_) => "keys, see below".to_owned(),
        Kind::List(Kind::Map(_)) => "a list, see below".to_owned(),
        Kind::List(item) => format!("a list: {}", value(item)),
    }
}

/// What a text must be.
fn form_text(form: Form) -> &'static str {
    match form {
        Form::Sentence => "a sentence",
        Form::Name => "a name of ASCII letters, digits, `-`, `_`, `.` and `/`",
        Form::Segment => "a name of ASCII letters, digits, `-`, `_` and `.`",
        Form::Method => "an HTTP method in capitals",
        Form::Address => "an IP address with a port",
        Form::Reachable => "an IP address with a port that others can connect to",
        Form::Path => "a path",
        Form::Url => "a URL of the form `http://HOST[:PORT][/PATH]`",
    }
}
