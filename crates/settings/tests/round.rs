//! Parsing never panics on any text, and printed settings parse back to equal settings.

use cornelhitch_settings::fleet::{Class, Exception, FleetSettings, Group, Model, Region, Service};
use cornelhitch_settings::process::ProcessSettings;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Configuration with a fixed seed, so that each run tests the same cases.
fn fixed() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Generates distinct names, including words that YAML could read as another type.
fn names(most: usize) -> impl Strategy<Value = Vec<String>> {
    let word = prop_oneof![
        Just("report"),
        Just("null"),
        Just("1e3"),
        Just("-"),
        Just("true")
    ];
    vec(word, 0..most).prop_map(|words| {
        let numbered = words.iter().enumerate();
        let name = |(at, word): (usize, &&str)| match at {
            0 => (*word).to_owned(),
            _ => format!("{word}-{at}"),
        };
        numbered.map(name).collect()
    })
}

prop_compose! {
    /// Generates settings with items of all kinds that refer to each other.
    fn fleet()(
        names in names(5),
        weight in 1_u32..1_000_000,
        price in 0.0..1e9_f64,
        starts in 0.001..1e5_f64,
        bytes in 1_u64..1 << 40,
        minimum in 0_u64..7_000,
        deadline in option::of(1_u64..86_400_000),
        reason in "[^\u{0}]{0,12}[a-z:\"'#]",
        flag: bool,
    ) -> FleetSettings {
        let mut fleet = FleetSettings::default();
        fleet.loading.starts_per_second = starts;
        fleet.keeping.minimum_s = minimum;
        for name in &names {
            let name: std::sync::Arc<str> = name.as_str().into();
            fleet.regions.push(Region { name: name.clone(), distance_ms: 30, price });
            fleet.groups.push(Group { name: name.clone(), managed: true });
            let class = Class {
                name: name.clone(), weight, deadline_ms: deadline, patient: flag,
            };
            fleet.classes.push(class);
            fleet.services.push(Service {
                name: name.clone(),
                repeatable: vec!["GET".into()],
                class: flag.then(|| name.clone()),
            });
            fleet.exceptions.push(Exception {
                reason: reason.as_str().into(),
                model: flag.then(|| name.clone()),
                group: (!flag).then(|| name.clone()),
                minimum_s: Some(minimum + 1),
                replicas: Some(3),
                ..Exception::default()
            });
            fleet.models.push(Model {
                name: name.clone(),
                bytes,
                accelerators: 2,
                group: Some(name.clone()),
                version: flag.then(|| "3".into()),
                class: Some(name.clone()),
                adapters: vec![name.clone(), format!("{name}.x").into()],
            });
        }
        fleet
    }
}

/// Generates texts that resemble settings files.
fn nearly() -> impl Strategy<Value = String> {
    let piece = prop_oneof![
        Just("models:\n"),
        Just("  - "),
        Just("- "),
        Just("name: a"),
        Just("bytes: 1"),
        Just("\n"),
        Just("{ "),
        Just(" }"),
        Just("["),
        Just("]"),
        Just(", "),
        Just("exceptions: "),
        Just("reason: "),
        Just("&a "),
        Just("*a"),
        Just("!!int "),
        Just("? "),
        Just(": "),
        Just("---\n"),
        Just("...\n"),
        Just("|\n"),
        Just("\t"),
        Just("'"),
        Just("\""),
        Just("#"),
        Just("%YAML 1.2\n"),
        Just("keeping: "),
        Just("minimum-s: 9"),
        Just("\u{feff}"),
    ];
    vec(piece, 0..40).prop_map(|pieces| pieces.concat())
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn printed_settings_parse_back_equal(fleet in fleet()) {
        let text = fleet.to_string();
        let read: Result<FleetSettings, _> = text.parse();
        prop_assert_eq!(read.map_err(|error| format!("{error}\n{text}")), Ok(fleet));
    }

    #[test]
    fn any_text_is_parsed_or_rejected_with_valid_positions(text in prop_oneof![nearly(), any::<String>()]) {
        for faults in [
            text.parse::<FleetSettings>().err().map(|error| error.faults),
            text.parse::<ProcessSettings>().err().map(|error| error.faults),
        ].into_iter().flatten() {
            prop_assert!(!faults.is_empty());
            let lines = text.split(['\n', '\r']).count();
            for fault in faults {
                prop_assert!(fault.line >= 1 && fault.line <= lines + 1, "{}", fault);
                prop_assert!(fault.column >= 1, "{}", fault);
            }
        }
    }
}
