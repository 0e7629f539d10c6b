//! The schemas list the same keys as the types that are deserialized.

use serde_json::Value;

use super::{FLEET, PROCESS};
use crate::fleet::{Exception, FleetSettings};
use crate::process::ProcessSettings;
use crate::schema::{Schema, ValueType};

/// Asserts that a value has exactly the keys of a schema, recursively.
fn assert_same_keys(value: &Value, schema: &Schema) {
    let fields = value.as_object().expect("value should be a map");
    for field in fields.keys() {
        assert!(
            schema.key(field).is_some(),
            "{}: {field} is not in the table",
            schema.noun
        );
    }
    for key in schema.keys {
        let value = fields.get(key.name);
        let value = value.unwrap_or_else(|| panic!("{}: {} is not read", schema.noun, key.name));
        match key.value_type {
            ValueType::Map(schema) => assert_same_keys(value, schema),
            ValueType::List(ValueType::Map(schema)) => assert_same_keys(&value[0], schema),
            _ => (),
        }
    }
}

#[test]
fn fleet_schema_lists_the_fields_of_fleet() {
    let text = "
regions: [{ name: a }]
classes: [{ name: a, weight: 1 }]
groups: [{ name: a }]
models: [{ name: a, bytes: 1, group: a }]
services: [{ name: a }]
";
    let mut fleet: FleetSettings = text.parse().expect("settings should be valid");
    fleet.exceptions.push(Exception::default());
    assert_same_keys(&serde_json::to_value(&fleet).expect("JSON"), &FLEET);
}

#[test]
fn process_schema_lists_the_fields_of_process() {
    let text = "
{ cluster: a, host: 1, region: a, zone: a, roles: [entry], callers: '10.0.0.1:1',
  operators: '10.0.0.1:2', peers: '10.0.0.1:3', voters: [{ host: 2, address: '10.0.0.2:3' }],
  zones: [{ name: a, region: a }], keys: a, token: b }
";
    let process: ProcessSettings = text.parse().expect("settings should be valid");
    assert_same_keys(&serde_json::to_value(&process).expect("JSON"), &PROCESS);
}
