//! The page on settings is the one that the tables print.

use cornelhitch_settings::manual;
use expect_test::expect_file;

#[test]
fn the_page_is_printed_from_the_tables() {
    expect_file!["../../../docs/SETTINGS.md"].assert_eq(&manual::page());
}
