//! The control task handles the replicated log first, and only the newest level of each sender.

mod common;

use std::net::{Ipv4Addr, SocketAddr};

use cornelhitch_node::backlog::{Backlog, Class, Item, class};
use cornelhitch_node::control::TaskMessage;
use cornelhitch_node::message::{Datagram, Incoming, Message, PeerEvent, Question, Upward};
use cornelhitch_target::inbound;
use cornelhitch_types::demand::DemandReport;
use cornelhitch_types::entry::Host;
use cornelhitch_types::id::HostId;
use cornelhitch_types::quota;
use cornelhitch_types::target::CacheEvent;
use cornelhitch_wire::hello::ProcessId;
use tokio::sync::oneshot;

/// An address that nobody connects to.
const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

fn from(host: HostId, event: PeerEvent) -> Item {
    let from = ProcessId {
        host,
        incarnation: 1,
    };
    Item::Peer(Incoming { from, event })
}

fn upward(host: HostId, upward: Upward) -> Item {
    from(host, PeerEvent::Message(Message::Upward(upward)))
}

fn report(host: HostId, sequence: u64) -> Item {
    let report = DemandReport {
        host,
        incarnation: 1,
        sequence,
        region: "perth".into(),
        rows: Vec::new(),
    };
    upward(host, Upward::Report(report))
}

fn renewal(host: HostId, sequence: u64) -> Item {
    let entry = Host {
        host,
        incarnation: 1,
        address: ADDRESS,
        region: "perth".into(),
        zone: "a".into(),
        load: 0,
        draining: false,
        settings: 1,
    };
    let renew = Datagram::Renew {
        sequence,
        host: entry,
        term: 1,
        view: 1,
    };
    from(host, PeerEvent::Datagram(renew, ADDRESS))
}

/// Returns a host's report about its accounts of some teams; each has spent the report's number.
fn quota_report(host: HostId, sequence: u64, teams: &[&str]) -> Item {
    let account = |team: &&str| quota::AccountReport {
        team: (*team).into(),
        account: 1,
        tokens: true,
        received: sequence,
        spent: sequence,
        returned: 0,
        free: 0,
        ahead: 0,
        asks: Vec::new(),
    };
    let report = quota::Report {
        incarnation: 1,
        sequence,
        term: 3,
        accounts: teams.iter().map(account).collect(),
    };
    upward(host, Upward::Quota(report))
}

fn ask(host: HostId, call: u64) -> Item {
    let question = Question::InForce(1);
    upward(host, Upward::Ask { call, question })
}

fn written() -> Item {
    use cornelhitch_quorum::disk::WriteResult;
    Item::Task(TaskMessage::Written(WriteResult::Persisted { token: 1 }))
}

fn presence(target: &str, sequence: u64, leaving: bool, cache: Vec<CacheEvent>) -> Item {
    let mut presence = common::presence(target, 1, sequence);
    presence.heartbeat.leaving = leaving;
    presence.heartbeat.cache = cache;
    let message = inbound::Message::Presence(Box::new(presence));
    let (answer, _) = oneshot::channel();
    Item::Task(TaskMessage::Target(Box::new(message), answer))
}

fn drain(backlog: &mut Backlog) -> Vec<Item> {
    std::iter::from_fn(|| backlog.pop()).collect()
}

#[test]
fn replicated_log_comes_before_all_that_waited_longer() {
    let mut backlog = Backlog::default();
    for host in 0..200 {
        backlog.push(ask(host, 1));
        backlog.push(renewal(host, 1));
        backlog.push(report(host, 1));
    }
    backlog.push(written());
    let first = backlog.pop().map(|item| class(&item));
    assert_eq!(first, Some(Class::Consensus));
    backlog.pop();
    backlog.push(written());
    let next = backlog.pop().map(|item| class(&item));
    assert_eq!(next, Some(Class::Consensus));
}

/// What waits does not grow with the time for which the control task is busy.
#[test]
fn levels_are_bounded_by_their_senders() {
    let mut backlog = Backlog::default();
    for sequence in 1..=50 {
        for host in 0..200 {
            backlog.push(renewal(host, sequence));
            backlog.push(report(host, sequence));
        }
        for target in 0..120 {
            backlog.push(presence(&format!("w{target}"), sequence, false, Vec::new()));
        }
    }
    assert_eq!(backlog.len(), 200 + 200 + 120);
    assert_eq!(backlog.take_superseded(), 49 * 520);
    assert_eq!(backlog.take_superseded(), 0);
    for item in drain(&mut backlog) {
        let text = format!("{item:?}");
        assert!(text.contains("sequence: 50"), "{text}");
    }
}

#[test]
fn older_level_does_not_replace_a_newer_one() {
    let mut backlog = Backlog::default();
    for sequence in [2, 1] {
        backlog.push(renewal(1, sequence));
        backlog.push(report(1, sequence));
        backlog.push(presence("w1", sequence, false, Vec::new()));
    }
    let items = drain(&mut backlog);
    assert_eq!(items.len(), 3);
    for item in items {
        let text = format!("{item:?}");
        assert!(text.contains("sequence: 2"), "{text}");
    }
}

#[test]
fn every_class_gets_its_turn_beside_a_flood_of_commands() {
    let mut backlog = Backlog::default();
    for call in 0..1_000 {
        backlog.push(ask(1, call));
    }
    for host in 0..10 {
        backlog.push(renewal(host, 1));
        backlog.push(report(host, 1));
        backlog.push(presence(&format!("w{host}"), 1, false, Vec::new()));
    }
    let first: Vec<Class> = (0..80)
        .filter_map(|_| backlog.pop())
        .map(|item| class(&item))
        .collect();
    for wanted in [Class::Renewal, Class::Heartbeat, Class::Report] {
        let handled = first.iter().filter(|class| **class == wanted).count();
        assert_eq!(handled, 10, "{wanted}");
    }
}

#[test]
fn commands_keep_their_order_and_none_is_lost() {
    let mut backlog = Backlog::default();
    for call in 0..20 {
        backlog.push(ask(1, call));
    }
    let calls: Vec<u64> = drain(&mut backlog)
        .iter()
        .filter_map(|item| match item {
            Item::Peer(Incoming {
                event: PeerEvent::Message(Message::Upward(Upward::Ask { call, .. })),
                ..
            }) => Some(*call),
            _ => None,
        })
        .collect();
    assert_eq!(calls, (0..20).collect::<Vec<u64>>());
}

#[test]
fn heartbeat_keeps_the_cache_events_of_those_that_it_replaces() {
    let event = |sequence: u64| CacheEvent {
        sequence,
        model: "m".into(),
        prefix: sequence,
        held: true,
    };
    let mut backlog = Backlog::default();
    backlog.push(presence("w1", 1, false, vec![event(1), event(2)]));
    backlog.push(presence("w1", 2, false, vec![event(3)]));
    let item = backlog.pop().expect("a heartbeat");
    let Item::Task(TaskMessage::Target(message, _)) = item else {
        panic!("{item:?}");
    };
    let inbound::Message::Presence(presence) = *message else {
        panic!("{message:?}");
    };
    assert_eq!(presence.heartbeat.cache, [event(1), event(2), event(3)]);
}

/// An older heartbeat that is handled later would open the target again.
#[test]
fn target_that_leaves_has_said_so_last() {
    let mut backlog = Backlog::default();
    backlog.push(presence("w1", 1, false, Vec::new()));
    backlog.push(presence("w2", 1, false, Vec::new()));
    let leaving = presence("w1", 2, true, Vec::new());
    assert_eq!(class(&leaving), Class::Command);
    backlog.push(leaving);
    let items = drain(&mut backlog);
    assert_eq!(items.len(), 2);
    let text = format!("{:?}", items[0]);
    assert!(text.contains("leaving: true"), "{text}");
}

/// Guards against a busy leader that answers each report of a host in turn, and later and later, and
/// against an account that is lost because a newer report does not contain it.
#[test]
fn quota_report_keeps_the_accounts_of_those_that_it_replaces() {
    let mut backlog = Backlog::default();
    backlog.push(quota_report(1, 1, &["a", "b"]));
    backlog.push(quota_report(1, 3, &["b", "c"]));
    backlog.push(quota_report(1, 2, &["d"]));
    backlog.push(quota_report(2, 1, &["a"]));
    assert_eq!(backlog.len(), 2);
    let item = backlog.pop().expect("a report");
    let Item::Peer(Incoming {
        event: PeerEvent::Message(Message::Upward(Upward::Quota(report))),
        ..
    }) = item
    else {
        panic!("{item:?}");
    };
    let accounts = report.accounts.iter();
    let mut accounts: Vec<_> = accounts.map(|it| (&*it.team, it.spent)).collect();
    accounts.sort_unstable();
    assert_eq!(report.sequence, 3);
    assert_eq!(accounts, [("a", 1), ("b", 3), ("c", 3)]);
}
