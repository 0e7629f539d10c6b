//! Errors in fleet settings: each has its position, and all are reported at once.

use cornelhitch_settings::fleet::FleetSettings;
use cornelhitch_settings::prelude::Error;
use expect_test::expect;

/// Returns the error message for a text, or "none" if it is valid.
fn faults(text: &str) -> String {
    let fleet: Result<FleetSettings, Error> = text.parse();
    fleet.map_or_else(|error| error.to_string(), |_| "none".to_owned())
}

/// Settings on one line, and the complete error message.
const ROWS: &str = r#"
placing: { replica: 2 }                              => 1:12: `placing` has no key "replica"; did you mean `replicas`?
colour: red                                          => 1:1: the fleet's file has no key "colour"; it has loading, keeping, placing, refusing, regions, classes, groups, models, services, exceptions
placing: { replicas: two }                           => 1:22: `replicas` is "two", not a whole number from 1 to 100000
placing: { replicas: "2" }                           => 1:22: `replicas` is "2", not a whole number from 1 to 100000
placing: { replicas: 0 }                             => 1:22: `replicas` is "0", not a whole number from 1 to 100000
placing: { replicas: -1 }                            => 1:22: `replicas` is "-1", not a whole number from 1 to 100000
placing: { replicas: 1.5 }                           => 1:22: `replicas` is "1.5", not a whole number from 1 to 100000
placing: { replicas: [2] }                           => 1:22: `replicas` is a list
placing: { replicas: { of: 2 } }                     => 1:22: `replicas` is a map
placing: { spread: yes }                             => 1:20: `spread` is "yes", not true or false
placing: 3                                           => 1:10: `placing` is no map of keys
placing: { replicas: 2, replicas: 3 }                => 1:25: the key `replicas` stands here again, after line 1
keeping: { idle-weight: -0.5 }                       => 1:25: `idle-weight` is "-0.5", not a number from 0 to 1000000
keeping: { idle-weight: NaN }                        => 1:25: `idle-weight` is "NaN", not a number from 0 to 1000000
keeping: { idle-weight: 0, cold-start-weight: 0.0 }  => 1:25: `cold-start-weight` and `idle-weight` are both 0, so nothing is weighed
keeping: { minimum-s: 9000 }                         => 1:23: `minimum-s` is 9000, over `maximum-s` 7200
keeping: { maximum-s: 3 }                            => 1:10: `minimum-s` is 5, over `maximum-s` 3
loading: { starts-per-second: 0 }                    => 1:31: `starts-per-second` is "0", not a number from 0.001 to 100000
loading: { starts-per-second: ~ }                    => 1:12: `starts-per-second` has no value
refusing: { queue: 0 }                               => 1:20: `queue` is "0", not a whole number from 1 to 10000000
regions: perth-a                                     => 1:10: `regions` is no list
regions: [perth-a]                                   => 1:11: `regions` is no map of keys
regions: [{ name: "perth a" }]                       => 1:19: `name` is "perth a", not a name of up to 128 ASCII letters, digits, `-`, `_`, `.` and `/`
regions: [{ name: a }, { name: b }, { name: a }]     => 1:45: `a` stands in `regions` twice, first on line 1
classes: [{ name: lane }]                            => 1:11: a class has no `weight`
classes: [{ name: lane, weight: -1 }]                => 1:33: `weight` is "-1", not a whole number from 1 to 1000000
models: [{ name: m }]                                => 1:10: a model has no `bytes`
models: [{ name: m, bytes: 0 }]                      => 1:28: `bytes` is "0", not a whole number from 1 to 17592186044416
models: [{ name: m, bytes: 2199023255552 }]          => 1:28: `bytes` is 2199023255552, over 1099511627776 on 1 accelerators
models: [{ name: m, bytes: 1, group: g }]            => 1:38: `group` is "g", which is not in `groups`
models: [{ name: m, bytes: 1, class: "" }]           => 1:38: `class` is "", which is not in `classes`
models: [{ name: m, bytes: 1, adapters: [a, a] }]    => 1:45: `a` stands in `adapters` twice, first on line 1
models: [{ name: m@1, bytes: 1 }]                    => 1:18: `name` is "m@1", not a name of up to 128 ASCII letters, digits, `-`, `_`, `.` and `/`
services: [{ name: a/b }]                            => 1:20: `name` is "a/b", not a name of up to 128 ASCII letters, digits, `-`, `_` and `.`
services: [{ name: .. }]                             => 1:20: `name` is "..", not a name of up to 128 ASCII letters, digits, `-`, `_` and `.`
services: [{ name: a, repeatable: [get] }]           => 1:36: `repeatable` is "get", not an HTTP method in capitals
exceptions: [{ reason: r, replicas: 2 }]             => 1:14: an exception is for a `model` or for a `group`, one of the two
exceptions: [{ reason: r, model: m, replicas: 2 }]   => 1:34: `model` is "m", which is not in `models`
[]                                                   => 1:1: the file is no map of keys and values
just text                                            => 1:1: the file is no map of keys and values
a: &x 1                                              => 1:7: anchors are not allowed
a: !!str 1                                           => 1:10: tags are not allowed
{ a: 1                                               => 2:1: no YAML: while parsing a flow mapping, did not find expected ',' or '}'
[[[[[[[[[[[[[[[[[[[[                                 => 1:17: lists and maps lie more than 16 deep
- - - - - - - - - - - - - - - - - - a                => 1:33: lists and maps lie more than 16 deep
---\nplacing: { spread: true }                          => none
--- {}\n...\n                                         => none
placing: {}\n---\nkeeping: {}                          => 2:1: a second document starts here, and one is read
placing: {}\n...\nkeeping: {}                          => 3:8: a second document starts here, and one is read
"#;

#[test]
fn each_fault_is_reported_with_its_position() {
    for row in ROWS.trim().lines() {
        let (text, expected) = row.split_once("=>").expect("row should contain `=>`");
        let lines = text.trim_end().replace("\\n", "\n");
        assert_eq!(faults(&lines), expected.trim(), "{text}");
    }
}

/// Settings in front of the exceptions of each row.
const CATALOGUE: &str = "
groups: [{ name: yard }, { name: old, managed: false }, { name: none }]
models:
- { name: report, bytes: 1, group: yard }
- { name: preview, bytes: 1, group: yard }
- { name: legacy, bytes: 1, group: old }
exceptions:
";

/// Exceptions, the first on line 8, and the complete error message.
const EXCEPTIONS: [(&str, &str); 17] = [
    ("- { reason: r, model: report, replicas: 2 }", "none"),
    ("- { reason: r, group: yard, minimum-s: 60 }", "none"),
    ("- { reason: r, group: old, deadline-ms: 60 }", "none"),
    (
        "- { model: report, replicas: 2 }",
        "8:3: an exception has no `reason`",
    ),
    (
        "- { reason: ' ', model: report, replicas: 2 }",
        "8:13: `reason` is \" \", which says nothing",
    ),
    (
        "- { reason: r, model: report, group: yard, replicas: 2 }",
        "8:3: an exception is for a `model` or for a `group`, one of the two",
    ),
    (
        "- { reason: r, model: repotr, replicas: 2 }",
        "8:23: `model` is \"repotr\", which is not in `models`; did you mean \"report\"?",
    ),
    (
        "- { reason: r, model: report }",
        "8:3: the exception sets none of minimum-s, maximum-s, replicas, concurrency, deadline-ms",
    ),
    (
        "- { reason: r, model: report, replicas: 4 }",
        "8:41: `replicas` is 4 without the exception too",
    ),
    (
        "- { reason: r, group: none, replicas: 2 }",
        "8:3: no model is in the group \"none\", so nothing is changed",
    ),
    (
        "- { reason: r, group: old, replicas: 2 }",
        "8:38: `replicas` changes nothing, since cornelhitch does not load these models",
    ),
    (
        "- { reason: r, model: report, minimum-s: 9000 }",
        "8:42: for \"report\" `minimum-s` becomes 9000, over `maximum-s` 7200",
    ),
    (
        "- { reason: r, model: report, replicas: 2 }\n- { reason: r, group: yard, replicas: 3 }",
        "none",
    ),
    (
        "- { reason: r, model: legacy, concurrency: 2 }\n- { reason: r, group: old, concurrency: 3 }",
        "9:41: `concurrency` is overruled for each of these models",
    ),
    (
        "- { reason: r, group: yard, replicas: 2 }\n- { reason: r, model: report, replicas: 2 }",
        "9:41: `replicas` is 2 without the exception too",
    ),
    (
        "- { reason: r, model: report, replicas: 2 }\n- { reason: r, model: report, replicas: 3 }",
        "8:41: `replicas` is overruled for each of these models\n\
         9:41: `replicas` is set on line 8 for the same",
    ),
    (
        "- { reason: r, group: yard, maximum-s: 60 }\n- { reason: r, model: report, minimum-s: 90 }",
        "8:40: for \"report\" `minimum-s` becomes 90, over `maximum-s` 60\n\
         9:42: for \"report\" `minimum-s` becomes 90, over `maximum-s` 60",
    ),
];

#[test]
fn exception_needs_a_reason_and_an_effect() {
    for (text, expected) in EXCEPTIONS {
        let found = faults(&format!("{CATALOGUE}{text}"));
        assert_eq!(found, expected, "{text}");
    }
}

#[test]
fn all_faults_are_reported_at_once_and_in_order() {
    let text = "
loading:
  starts-per-second: fast
  concurency: 4
placing:
  replicas: 0
classes:
  - name: lane
    weight: 10
  - name: lane
    weight: 5
models:
  - name: report
    bytes: 1000
    class: lanes
    group: yard
  - bytes: 12
exceptions:
  - model: report
    replicas: 2
  - reason: the lanes run on Wednesdays
    model: report
    minimum-s: 7201
";
    let expected = expect![[r#"
        3:22: `starts-per-second` is "fast", not a number from 0.001 to 100000
        4:3: `loading` has no key "concurency"; did you mean `concurrency`?
        6:13: `replicas` is "0", not a whole number from 1 to 100000
        10:11: `lane` stands in `classes` twice, first on line 8
        15:12: `class` is "lanes", which is not in `classes`; did you mean "lane"?
        16:12: `group` is "yard", which is not in `groups`
        17:5: a model has no `name`
        19:5: an exception has no `reason`
        23:16: for "report" `minimum-s` becomes 7201, over `maximum-s` 7200"#]];
    expected.assert_eq(&faults(text));
}
