//! The settings page in the documentation matches the schemas.

use cornelhitch_settings::manual;
use expect_test::expect_file;

#[test]
fn settings_page_matches_the_schemas() {
    expect_file!["../../../docs/SETTINGS.md"].assert_eq(&manual::page());
}
