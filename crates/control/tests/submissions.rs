//! Which of the operators' submitted route tables are proposed, and who is answered when.

use cornelhitch_control::submissions::{Step, Submissions};
use cornelhitch_types::id::Version;

/// What happens to the submissions, and what is expected.
enum Row {
    /// A table of this version is submitted while another is in force.
    Submit(Version, Option<Version>, &'static str, Step<&'static str>),
    /// The table of this version is committed; these are answered.
    Committed(Version, &'static [&'static str]),
    /// The proposal of this version fails; these are told that the outcome is unknown.
    Failed(Version, &'static [&'static str]),
    /// This host no longer leads.
    LeadershipLost,
}

use Row::{Committed, Failed, LeadershipLost, Submit};

/// Runs rows on new submissions.
fn run(rows: impl IntoIterator<Item = Row>) {
    let mut submissions = Submissions::default();
    for (number, row) in rows.into_iter().enumerate() {
        match row {
            Submit(version, in_force, waiter, step) => {
                let got = submissions.submit(version, in_force, waiter);
                assert_eq!(got, step, "row {number}");
            }
            Committed(version, answered) => {
                assert_eq!(submissions.committed(version), answered, "row {number}");
            }
            Failed(version, told) => {
                assert_eq!(submissions.failed(version), told, "row {number}");
            }
            LeadershipLost => submissions.leadership_lost(),
        }
    }
}

/// Guards against logs that fill with copies of one table while nothing can be committed.
#[test]
fn a_table_that_is_underway_is_proposed_once_and_every_operator_is_answered() {
    run([
        Submit(7, None, "a", Step::Propose),
        Submit(7, None, "b", Step::Wait),
        Submit(6, None, "c", Step::Wait),
        Submit(9, None, "d", Step::Propose),
        Submit(8, None, "e", Step::Wait),
        Committed(7, &["a", "b", "c"]),
        Submit(7, Some(7), "f", Step::Acknowledge("f")),
        Submit(9, Some(7), "g", Step::Wait),
        Committed(9, &["d", "e", "g"]),
        Committed(9, &[]),
        Submit(10, Some(9), "h", Step::Propose),
    ]);
}

#[test]
fn the_first_table_is_proposed_whatever_its_version() {
    run([
        Submit(0, None, "a", Step::Propose),
        Committed(0, &["a"]),
        Submit(0, Some(0), "b", Step::Acknowledge("b")),
    ]);
}

/// Guards against operators who wait for a proposal that failed.
#[test]
fn after_a_failure_the_table_is_proposed_again() {
    run([
        Submit(7, None, "a", Step::Propose),
        Submit(6, None, "b", Step::Wait),
        Failed(7, &["a", "b"]),
        Submit(7, None, "c", Step::Propose),
        Submit(9, None, "d", Step::Propose),
        // The newer proposal serves the older table as well.
        Failed(7, &[]),
        Submit(8, None, "e", Step::Wait),
        Failed(9, &["c", "d", "e"]),
    ]);
}

/// Guards against operators who wait for what a leader before proposed and no one has any more.
#[test]
fn a_host_that_leads_again_proposes_again() {
    run([
        Submit(7, None, "a", Step::Propose),
        LeadershipLost,
        Submit(7, None, "b", Step::Propose),
        // Which of the two proposals was lost is not known, so nobody is left waiting.
        Failed(7, &["a", "b"]),
        Submit(8, None, "c", Step::Propose),
        LeadershipLost,
        // The next leader has committed it.
        Committed(8, &["c"]),
    ]);
}
