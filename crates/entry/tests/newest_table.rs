//! A host that hears of a newer route table acts on its own for a limited time, whatever is lost on the
//! way, and asks for the newer one.

use std::sync::Arc;
use std::time::Duration;

use cornelhitch_entry::event::RouteLimits;
use cornelhitch_entry::newest_table::Statement;
use cornelhitch_entry::prelude::*;
use cornelhitch_settings::process::{IsolationPolicy, Serving};
use cornelhitch_types::id::{Time, Version};
use cornelhitch_types::refusal::Reason;
use cornelhitch_types::route::RouteTable;
use cornelhitch_types::view::{Change, View};

/// How long a table is acted on after it was last known to be the newest, in milliseconds.
const LIMIT_MS: u16 = 3_000;

/// What reaches the host.
#[derive(Debug, Clone, Copy)]
enum Heard {
    /// The leader's statement, to a question of this time.
    Leader(Version, u64),
    /// The statement of a control host that doesn't lead.
    Other(Version, u64),
    /// The table itself.
    Table(Version),
    /// Nothing: time passes.
    Nothing,
}

use Heard::{Leader, Nothing, Other, Table};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn table(version: Version) -> Arc<RouteTable> {
    Arc::new(RouteTable {
        version,
        ..RouteTable::default()
    })
}

/// Returns a host with the table of version 1, which came with the first view.
fn host() -> Core {
    let serving = Serving {
        isolated: IsolationPolicy::Serve,
        table_lag_ms: f64::from(LIMIT_MS),
        ..Serving::default()
    };
    let mut core = Core::new(Config::new(1).serving(serving), Time::ZERO);
    let view = View {
        term: 1,
        from: 0,
        to: 1,
        changes: vec![
            Change::Settings(1, "models: []".into()),
            Change::Table(table(1)),
        ],
    };
    core.handle(Event::View(view), Time::ZERO);
    core
}

fn hear(core: &mut Core, heard: Heard, now: u64) -> Vec<Action> {
    let stated = |version, asked, leads| {
        Event::NewestTable(Statement {
            version,
            asked: at(asked),
            leads,
        })
    };
    let event = match heard {
        Leader(version, asked) => stated(version, asked, true),
        Other(version, asked) => stated(version, asked, false),
        Table(version) => Event::Table(table(version)),
        Nothing => Event::Tick,
    };
    core.handle(event, at(now))
}

/// Returns why a request is refused, if it is refused at once.
fn refusal(core: &mut Core, id: CallId, routed: bool, now: u64) -> Option<Reason> {
    let what = RequestedResource::Service {
        name: "auction".into(),
        method: "GET".into(),
    };
    let mut request = Request::new(id, "dealer", what);
    request.terms = routed.then(|| {
        Box::new(RouteLimits {
            route: "lookup".into(),
            attempts: 2,
            limit: Duration::from_secs(4),
            objective: Some(Duration::from_millis(400)),
            rank: 0,
            sizes: Vec::new(),
        })
    });
    let actions = core.handle(Event::Arrived(request), at(now));
    actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => Some(refusal.reason),
        _ => None,
    })
}

/// What a host hears at these times, and the version that it acts on afterwards; `None` if it must not
/// act on its own any more.
type Row = (&'static str, &'static [(u64, Heard)], Option<Version>);

const ROWS: [Row; 12] = [
    (
        "nothing newer is known, however long",
        &[(100, Leader(1, 90)), (60_000, Nothing)],
        Some(1),
    ),
    (
        "no control host was ever heard",
        &[(60_000, Nothing)],
        Some(1),
    ),
    (
        "a newer one is known, and its own was the newest until shortly before",
        &[
            (1_000, Leader(1, 990)),
            (1_500, Leader(2, 1_490)),
            (3_889, Nothing),
        ],
        Some(1),
    ),
    (
        "its own was last known to be the newest too long ago",
        &[
            (1_000, Leader(1, 990)),
            (1_500, Leader(2, 1_490)),
            (3_890, Nothing),
        ],
        None,
    ),
    (
        "it counts from the question and not from the answer",
        &[
            (3_000, Leader(1, 990)),
            (3_500, Leader(2, 3_490)),
            (3_890, Nothing),
        ],
        None,
    ),
    (
        "a control host that does not lead knows of it",
        &[
            (1_000, Leader(1, 990)),
            (1_500, Other(2, 1_490)),
            (3_890, Nothing),
        ],
        None,
    ),
    (
        "one that does not lead, and is behind, proves nothing",
        &[
            (1_000, Leader(1, 990)),
            (1_500, Leader(2, 1_490)),
            (3_500, Other(1, 3_490)),
            (3_890, Nothing),
        ],
        None,
    ),
    (
        "an answer that arrives late proves nothing newer",
        &[
            (1_500, Leader(2, 1_490)),
            (1_600, Leader(1, 990)),
            (1_601, Nothing),
        ],
        None,
    ),
    (
        "it hears for the first time in a minute, and there is a newer one",
        &[(1_000, Leader(1, 990)), (61_000, Other(2, 60_990))],
        None,
    ),
    (
        "two newer ones, and only the first of them arrives",
        &[
            (1_000, Leader(1, 990)),
            (1_500, Leader(3, 1_490)),
            (2_000, Table(2)),
            (3_890, Nothing),
        ],
        None,
    ),
    (
        "the newest arrives in time",
        &[
            (1_500, Leader(2, 1_490)),
            (2_000, Table(2)),
            (60_000, Nothing),
        ],
        Some(2),
    ),
    (
        "the newest arrives after its own was given up",
        &[
            (1_500, Leader(2, 1_490)),
            (9_000, Table(2)),
            (9_001, Table(1)),
        ],
        Some(2),
    ),
];

#[test]
fn an_older_table_is_acted_on_for_a_limited_time_once_a_newer_one_is_known() {
    for (what, steps, expected) in ROWS {
        let mut core = host();
        let mut now = 0;
        for (time, heard) in steps {
            now = *time;
            hear(&mut core, *heard, now);
        }
        assert_eq!(core.table().map(|table| table.version), expected, "{what}");
        assert_eq!(core.accepts_requests(), expected.is_some(), "{what}");
        let refused = refusal(&mut core, 7, true, now) == Some(Reason::Isolated);
        assert_eq!(refused, expected.is_none(), "{what}");
        let refused = refusal(&mut core, 8, false, now) == Some(Reason::Isolated);
        assert!(!refused, "{what}: a request without a route");
    }
}

#[test]
fn a_host_wakes_up_when_its_table_has_to_be_given_up() {
    let mut core = host();
    hear(&mut core, Leader(1, 990), 1_000);
    assert_eq!(core.next_wake(), None);
    hear(&mut core, Leader(2, 1_490), 1_500);
    assert_eq!(core.next_wake(), Some(at(3_890)));
    hear(&mut core, Nothing, 3_890);
    assert_eq!(core.next_wake(), None);
}

#[test]
fn a_table_that_does_not_come_with_the_view_is_asked_for_until_it_comes() {
    let ask = [Action::RequestTable { held: 1 }];
    let rows: [(u64, Heard, &[Action]); 9] = [
        (1_000, Leader(1, 990), &[]),
        (1_500, Leader(2, 1_490), &[]),
        (2_000, Leader(2, 1_990), &ask),
        (2_500, Other(2, 2_490), &ask),
        (2_600, Other(1, 2_590), &ask),
        (2_650, Leader(3, 2_640), &ask),
        (2_660, Leader(4, 2_650), &ask),
        (2_700, Table(4), &[]),
        (3_000, Leader(4, 2_990), &[]),
    ];
    let mut core = host();
    for (now, heard, expected) in rows {
        assert_eq!(hear(&mut core, heard, now), expected, "{now} ms, {heard:?}");
    }
    assert_eq!(core.table_delay(), at(1_200));
}

#[test]
fn a_host_whose_table_is_given_up_asks_at_once() {
    let mut core = host();
    hear(&mut core, Leader(1, 990), 1_000);
    let actions = hear(&mut core, Other(2, 60_990), 61_000);
    assert_eq!(actions, [Action::RequestTable { held: 1 }]);
}

/// Guards against a host that waits anew for each of many changes in a row, of which none arrives.
#[test]
fn a_table_is_asked_for_though_newer_ones_are_named_all_the_time() {
    let mut core = host();
    hear(&mut core, Leader(1, 90), 100);
    for step in 1..10 {
        let now = 500 * step;
        let actions = hear(&mut core, Leader(1 + step, now - 10), now);
        let asked = actions == [Action::RequestTable { held: 1 }];
        assert_eq!(asked, step > 1, "{now} ms");
    }
}
