//! The example settings of both deployments parse and contain the sizes that the users stated.

use cornelhitch_settings::fleet::FleetSettings;

/// The expected contents of one deployment's example settings.
struct Case {
    /// Text of the settings file.
    text: &'static str,
    /// Number of models in the catalogue.
    models: usize,
    /// Number of adapters over all models.
    adapters: usize,
    /// Loads that may start from the weight store, per second.
    starts: f64,
    /// Names of the regions.
    regions: [&'static str; 3],
    /// Cost weights of cold starts and of idle accelerator hours.
    weights: (f64, f64),
}

const CASES: [Case; 2] = [
    Case {
        text: include_str!("../../../examples/co-op.yaml"),
        models: 40,
        adapters: 80,
        starts: 2.0,
        regions: ["perth-a", "bunbury-a", "kalgoorlie-a"],
        weights: (0.7, 0.3),
    },
    Case {
        text: include_str!("../../../examples/office.yaml"),
        models: 25,
        adapters: 75,
        starts: 3.0,
        regions: ["muenchen-a", "nuernberg-a", "augsburg-a"],
        weights: (0.3, 0.7),
    },
];

#[test]
fn example_settings_have_the_stated_sizes() {
    for case in CASES {
        let fleet: FleetSettings = case.text.parse().expect("example settings should be valid");
        assert_eq!(fleet.models.len(), case.models);
        let adapters: usize = fleet.models.iter().map(|model| model.adapters.len()).sum();
        assert_eq!(adapters, case.adapters);
        assert!((fleet.loading.starts_per_second - case.starts).abs() < f64::EPSILON);
        assert_eq!(fleet.loading.concurrency, 4);
        assert_eq!(fleet.loading.adapters_in_flight, 30);
        let regions: Vec<&str> = fleet.regions.iter().map(|region| &*region.name).collect();
        assert_eq!(regions, case.regions);
        let weights = (fleet.keeping.cold_start_weight, fleet.keeping.idle_weight);
        assert_eq!(weights, case.weights);
    }
}

#[test]
fn example_models_have_a_known_group_and_class() {
    for case in CASES {
        let fleet: FleetSettings = case.text.parse().expect("example settings should be valid");
        for model in &fleet.models {
            let class = model.class.as_ref().expect("model should have a class");
            assert!(fleet.class(class).is_some(), "{}: {class}", model.name);
            let known = fleet
                .groups
                .iter()
                .any(|group| Some(&group.name) == model.group.as_ref());
            assert!(known, "{}: {:?}", model.name, model.group);
        }
    }
}
