//! A session with the leader whose views are lost on the way.

use std::sync::Arc;
use std::time::Duration;

use cornelhitch_node::datagrams::{self, DatagramSocket};
use cornelhitch_node::links::{self, Inbox, Links};
use cornelhitch_node::message::{Datagram, Downward, Incoming, Message, PeerEvent, Upward};
use cornelhitch_node::metrics::Metrics;
use cornelhitch_node::session::{self, Event};
use cornelhitch_settings::process::Peer;
use cornelhitch_types::entry;
use cornelhitch_types::id::{HostId, Term, Version};
use cornelhitch_types::route::RouteTable;
use cornelhitch_types::view::{Change, View};
use cornelhitch_wire::hello::{Identity, ProcessId, cluster_id};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// The ids of the control hosts, the presumed leader first, and of the entry host.
const CONTROL: [HostId; 6] = [2, 3, 4, 5, 6, 7];
const ENTRY: HostId = 1;
/// The place of the control host that a session would take for the leader last, after 8 s.
const LAST: usize = CONTROL.len() - 1;
/// Time within which what is awaited has to come.
const BOUND: Duration = Duration::from_secs(4);
/// Time in which nothing may come.
const QUIET: Duration = Duration::from_millis(150);

/// A process's sockets on one loopback port, and what arrives for its control task or session.
struct Process {
    links: Links,
    datagrams: DatagramSocket,
    address: std::net::SocketAddr,
    control: mpsc::UnboundedReceiver<Incoming>,
    session: mpsc::UnboundedReceiver<Incoming>,
}

/// Starts the sockets of a process that knows these control hosts.
async fn start_process(host: HostId, voters: Vec<Peer>) -> Process {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let socket = UdpSocket::bind(address).await.expect("the same port");
    let (_, identity) = watch::channel(Identity {
        cluster: cluster_id("test"),
        host,
        incarnation: 1,
        address,
        keys: "a secret that all peers share".parse().expect("keys"),
    });
    let (control_sender, control) = mpsc::unbounded_channel();
    let (session_sender, session) = mpsc::unbounded_channel();
    let inbox = Inbox {
        control: Some(control_sender),
        session: session_sender,
    };
    let (_, blocked_peers) = watch::channel(Vec::new());
    let datagrams = DatagramSocket::start(datagrams::Setup {
        identity: identity.clone(),
        socket,
        inbox: inbox.clone(),
        metrics: Metrics::default(),
        stop: CancellationToken::new(),
        blocked_peers: blocked_peers.clone(),
    });
    let links = Links::start(links::Setup {
        identity,
        listener,
        voters,
        common_port: None,
        local: None,
        inbox,
        metrics: Metrics::default(),
        stop: CancellationToken::new(),
        blocked_peers,
    });
    Process {
        links,
        datagrams,
        address,
        control,
        session,
    }
}

/// An entry host's session, and the control hosts that it knows.
struct Fleet {
    control: Vec<Process>,
    events: mpsc::UnboundedReceiver<Event>,
    /// The session ends with its last handle.
    _session: session::Handle,
}

impl Fleet {
    /// Starts a session that takes the first control host for the leader.
    async fn start() -> Self {
        let mut control = Vec::new();
        for host in CONTROL {
            control.push(start_process(host, Vec::new()).await);
        }
        let voters: Vec<Peer> = CONTROL
            .iter()
            .zip(&control)
            .map(|(host, process)| Peer {
                host: *host,
                address: process.address,
            })
            .collect();
        let process = start_process(ENTRY, voters.clone()).await;
        let (_, host) = watch::channel(entry::Host {
            host: ENTRY,
            incarnation: 1,
            address: process.address,
            region: "perth".into(),
            zone: "a".into(),
            load: 0,
            draining: false,
            settings: 1,
        });
        let (sender, events) = mpsc::unbounded_channel();
        let session = session::start(session::Setup {
            me: ENTRY,
            voters,
            own: None,
            links: process.links,
            datagrams: process.datagrams,
            incoming: process.session,
            host: Some(host),
            events: sender,
            stop: CancellationToken::new(),
        });
        Self {
            control,
            events,
            _session: session,
        }
    }

    /// Returns what the session tells the control host of this place next, besides renewals.
    async fn next_upward(&mut self, place: usize) -> Option<Upward> {
        loop {
            if let PeerEvent::Message(Message::Upward(upward)) =
                self.control[place].control.recv().await?.event
            {
                return Some(upward);
            }
        }
    }

    /// Returns the next renewal at the control host of this place.
    async fn next_renewal(
        &mut self,
        place: usize,
    ) -> Option<(ProcessId, std::net::SocketAddr, u64)> {
        loop {
            let incoming = self.control[place].control.recv().await?;
            if let PeerEvent::Datagram(Datagram::Renew { sequence, .. }, address) = incoming.event {
                return Some((incoming.from, address, sequence));
            }
        }
    }

    /// Waits until the session subscribes after this position at the first control host.
    async fn await_subscription(&mut self, term: Term, sequence: u64) {
        let expected = Upward::Subscribe { term, sequence };
        let subscribed = async { while self.next_upward(0).await != Some(expected.clone()) {} };
        let subscribed = timeout(BOUND, subscribed).await;
        assert!(
            subscribed.is_ok(),
            "no subscription after {sequence} of term {term}"
        );
    }

    fn send(&self, place: usize, downward: Downward) {
        self.control[place]
            .links
            .send(ENTRY, Message::Downward(downward));
    }

    /// Returns the position of the next view that the session passes on, or the version of a table.
    async fn passed_on(&mut self) -> (u64, u64) {
        let event = timeout(BOUND, self.events.recv()).await;
        match event.ok().flatten().expect("a view or table") {
            Event::View(view) => (view.from, view.to),
            Event::Table(table) => (0, table.version),
            other => panic!("neither a view nor a table: {other:?}"),
        }
    }

    /// Asserts that the session passes nothing on for a while.
    async fn assert_quiet(&mut self) {
        let event = timeout(QUIET, self.events.recv()).await;
        assert!(event.is_err(), "{event:?}");
    }
}

fn table(version: Version) -> Change {
    Change::Table(Arc::new(RouteTable {
        version,
        ..RouteTable::default()
    }))
}

fn view(term: Term, from: u64, to: u64, changes: Vec<Change>) -> Downward {
    Downward::View(View {
        term,
        from,
        to,
        changes,
    })
}

/// Guards against a host that tells the leader it has a view whose earlier changes it has lost, and
/// against full views where a few changes are missing.
#[tokio::test]
async fn after_a_gap_the_missing_changes_are_asked_for_and_a_route_table_is_not_lost() {
    let mut fleet = Fleet::start().await;
    fleet.await_subscription(0, 0).await;
    fleet.send(0, view(4, 0, 7, Vec::new()));
    assert_eq!(fleet.passed_on().await, (0, 7));
    // What comes in place of publication 8 follows once the pause after a subscription is over.
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.send(0, view(4, 8, 9, vec![table(5)]));
    assert_eq!(fleet.passed_on().await, (0, 5));
    fleet.await_subscription(4, 7).await;
    fleet.send(0, view(4, 7, 9, Vec::new()));
    assert_eq!(fleet.passed_on().await, (7, 9));
    fleet.send(0, view(4, 9, 10, Vec::new()));
    assert_eq!(fleet.passed_on().await, (9, 10));
}

#[tokio::test]
async fn changes_of_a_later_term_wait_for_its_full_view() {
    let mut fleet = Fleet::start().await;
    fleet.await_subscription(0, 0).await;
    fleet.send(0, view(4, 0, 7, Vec::new()));
    assert_eq!(fleet.passed_on().await, (0, 7));
    fleet.send(0, view(5, 1, 2, Vec::new()));
    fleet.assert_quiet().await;
    fleet.send(0, view(5, 0, 3, Vec::new()));
    assert_eq!(fleet.passed_on().await, (0, 3));
    fleet.send(0, view(4, 7, 8, Vec::new()));
    fleet.assert_quiet().await;
}

/// Guards against a host that hears of newer route tables from the presumed leader alone, which is silent.
#[tokio::test]
async fn without_a_grant_other_control_hosts_are_asked_for_the_newest_table() {
    let mut fleet = Fleet::start().await;
    let renewal = timeout(BOUND, fleet.next_renewal(1)).await;
    let (host, address, sequence) = renewal.ok().flatten().expect("a renewal at the other host");
    let newest = Datagram::NewestTable {
        sequence,
        version: 9,
        leads: false,
    };
    fleet.control[1].datagrams.send(host, address, newest);
    let heard = timeout(BOUND, fleet.events.recv()).await;
    let heard = heard.ok().flatten();
    assert!(
        matches!(
            heard,
            Some(Event::NewestTable {
                version: 9,
                leads: false,
                ..
            })
        ),
        "{heard:?}"
    );
}

/// Guards against a host that asks one control host after the other though it knows who grants leases.
#[tokio::test]
async fn a_host_that_grants_a_lease_is_followed_when_the_presumed_leader_is_silent() {
    let mut fleet = Fleet::start().await;
    let renewal = timeout(2 * BOUND, fleet.next_renewal(LAST)).await;
    let (host, address, sequence) = renewal.ok().flatten().expect("a renewal at the last host");
    let lease = Datagram::Lease {
        sequence,
        length: Duration::from_secs(4),
        version: 1,
        term: 1,
        view: 0,
    };
    fleet.control[LAST].datagrams.send(host, address, lease);
    let followed = timeout(BOUND / 2, fleet.next_upward(LAST)).await;
    let followed = followed.ok().flatten();
    assert!(
        matches!(followed, Some(Upward::Subscribe { .. })),
        "{followed:?}"
    );
}
