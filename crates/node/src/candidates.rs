//! Who may lead, as a host's session knows it.

use std::time::Duration;

use cornelhitch_settings::process::Peer;
use cornelhitch_types::id::{HostId, Term};
use tokio::time::Instant;

/// Time before another host is asked: after one that names no leader, and between two names that are
/// obeyed at once, so that voters which name one another are not followed in circles.
pub const PAUSE: Duration = Duration::from_millis(200);

/// The voters of the host's own settings and those that a leader told of.
///
/// Those of the settings stay, whatever is told: they are what a host has when
/// all it learned is out of date.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Candidates {
    settings: Vec<Peer>,
    learned: Vec<Peer>,
    /// The one that is taken for the leader.
    leader: Option<HostId>,
    /// Whether it has spoken as the leader since it was turned to.
    heard: bool,
    /// The one that a voter named as the leader since the last turn.
    named: Option<HostId>,
    /// When a named host was last to be turned to at once.
    obeyed: Option<Instant>,
    /// The term of the leader that told the voters.
    term: Term,
}

impl Candidates {
    /// The voters of the settings.
    ///
    /// This host comes first where it is one of them: asking it costs no message.
    #[must_use]
    pub fn new(settings: Vec<Peer>, me: HostId) -> Self {
        let own = settings.iter().find(|voter| voter.host == me);
        let leader = own.or(settings.first()).map(|voter| voter.host);
        Self {
            settings,
            leader,
            ..Self::default()
        }
    }

    /// The one that is taken for the leader.
    #[must_use]
    pub fn leader(&self) -> Option<&Peer> {
        self.find(self.leader?)
    }

    /// Notes that a voter spoke as the leader; says whether it is the one that is taken for it.
    pub fn hear(&mut self, from: HostId) -> bool {
        let leads = self.leader == Some(from);
        self.heard |= leads;
        leads
    }

    /// Whether to heed a voter that names the leader: the one that is taken for the leader, or, until
    /// that one has spoken as the leader, any other that was asked before and has learned of it since.
    #[must_use]
    pub fn heeds(&self, from: HostId, names_one: bool) -> bool {
        self.leader == Some(from) || (names_one && !self.heard)
    }

    /// Notes the leader that a voter named: the next turn goes to it, whenever that is.
    ///
    /// Says whether to turn now, which is so unless another name was obeyed less than [`PAUSE`] ago.
    ///
    /// ```
    /// use cornelhitch_node::candidates::Candidates;
    /// use cornelhitch_settings::process::Peer;
    /// use tokio::time::Instant;
    ///
    /// let peer = |host| Peer { host, address: ([10, 0, 0, host as u8], 7000).into() };
    /// let mut candidates = Candidates::new(vec![peer(1), peer(2)], 9);
    /// assert!(candidates.name(peer(5), Instant::now()));
    /// candidates.turn();
    /// assert_eq!(candidates.leader(), Some(&peer(5)));
    /// ```
    #[must_use]
    pub fn name(&mut self, peer: Peer, now: Instant) -> bool {
        self.named = Some(peer.host);
        self.add(peer);
        let at_once = self.obeyed.is_none_or(|obeyed| obeyed + PAUSE < now);
        if at_once {
            self.obeyed = Some(now);
        }
        at_once
    }

    /// Adds a candidate.
    fn add(&mut self, peer: Peer) {
        if self.settings.iter().any(|known| known.host == peer.host) {
            return;
        }
        self.learned.retain(|known| known.host != peer.host);
        self.learned.push(peer);
    }

    /// Takes other hosts to ask in place of those that the settings named before.
    ///
    /// The host that is taken for the leader stays known.
    pub fn reseed(&mut self, seeds: Vec<Peer>) {
        if seeds.is_empty() || seeds == self.settings {
            return;
        }
        let leader = self.leader().cloned();
        self.learned.retain(|known| !is_in(&seeds, known.host));
        self.settings = seeds;
        if let Some(leader) = leader {
            self.add(leader);
        }
    }

    /// Takes the voters that the leader of a term tells, and drops what was learned before.
    ///
    /// What a leader of an earlier term tells is passed over. The one that is
    /// taken for the leader stays until another is turned to.
    pub fn tell(&mut self, term: Term, voters: Vec<Peer>) {
        if term < self.term {
            return;
        }
        self.term = term;
        let leader = self.leader;
        self.learned
            .retain(|known| Some(known.host) == leader && !is_in(&voters, known.host));
        for voter in voters {
            self.add(voter);
        }
    }

    /// Turns to the host that was named since the last turn, or else to the next.
    pub fn turn(&mut self) {
        let named = self.named.take();
        let named = named.filter(|host| self.find(*host).is_some());
        self.leader = named.or_else(|| self.next());
        self.heard = false;
    }

    /// The one after the one that is taken for the leader.
    fn next(&self) -> Option<HostId> {
        let mut after = self
            .iter()
            .skip_while(|known| Some(known.host) != self.leader)
            .skip(1);
        let next = after.next().or_else(|| self.iter().next());
        next.map(|known| known.host)
    }

    /// A candidate by its number.
    fn find(&self, host: HostId) -> Option<&Peer> {
        self.iter().find(|known| known.host == host)
    }

    /// All of them, those of the settings first.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.settings.iter().chain(&self.learned)
    }
}

/// Whether a host is among some.
fn is_in(peers: &[Peer], host: HostId) -> bool {
    peers.iter().any(|peer| peer.host == host)
}
