//! A session's list of the hosts that may be the leader.

use std::time::Duration;

use cornelhitch_settings::process::Peer;
use cornelhitch_types::id::{HostId, Term};
use tokio::time::Instant;

/// Pause before another host is tried: after a voter names no leader, and between two hints
/// followed at once, so that a session doesn't alternate between voters that name each other.
pub const SWITCH_PAUSE: Duration = Duration::from_millis(200);

/// The voters of a host's own settings and those reported by a leader.
///
/// The configured voters are kept whatever is reported: they are the fallback when all learned
/// addresses are out of date.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Candidates {
    settings: Vec<Peer>,
    learned: Vec<Peer>,
    /// This host, if it serves control: it follows the leader that its member of the log follows.
    own: Option<Peer>,
    /// The presumed leader.
    leader: Option<HostId>,
    /// Whether the presumed leader has sent a leader's message since it was chosen.
    leader_confirmed: bool,
    /// The leader last named by a voter since the last switch.
    hinted: Option<HostId>,
    /// When a hint was last followed at once.
    last_immediate: Option<Instant>,
    /// The term of the leader that reported the voters.
    term: Term,
}

impl Candidates {
    /// Creates the list from the voters of the settings.
    ///
    /// The presumed leader is this host if it is one of them, since a query to itself is local, or
    /// else the first.
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

    /// Adds this host, which serves control, and presumes it to be the leader: a query to itself is
    /// local, and it names the leader also where all hosts of the settings are gone.
    #[must_use]
    pub fn with_own(mut self, own: Peer) -> Self {
        self.leader = Some(own.host);
        self.own = Some(own);
        self
    }

    /// Returns the presumed leader.
    #[must_use]
    pub fn leader(&self) -> Option<&Peer> {
        self.find(self.leader?)
    }

    /// Records a leader's message from a host; returns whether that host is the presumed leader.
    pub fn record_leader_message(&mut self, from: HostId) -> bool {
        let leads = self.leader == Some(from);
        self.leader_confirmed |= leads;
        leads
    }

    /// Returns whether to accept a voter's answer that it does not lead: from the presumed leader,
    /// or, until that one has sent a leader's message, from any voter that names the leader. The
    /// latter was queried earlier and has learned of the leader since.
    #[must_use]
    pub fn accepts_hint(&self, from: HostId, has_hint: bool) -> bool {
        self.leader == Some(from) || (has_hint && !self.leader_confirmed)
    }

    /// Stores the leader that a voter named, as the target of the next [`Self::advance`].
    ///
    /// Returns whether to switch at once: false if another hint was followed at once less than
    /// [`SWITCH_PAUSE`] ago.
    ///
    /// ```
    /// use cornelhitch_node::candidates::Candidates;
    /// use cornelhitch_settings::process::Peer;
    /// use tokio::time::Instant;
    ///
    /// let peer = |host| Peer { host, address: ([10, 0, 0, host as u8], 7000).into() };
    /// let mut candidates = Candidates::new(vec![peer(1), peer(2)], 9);
    /// assert!(candidates.hint_leader(peer(5), Instant::now()));
    /// candidates.advance();
    /// assert_eq!(candidates.leader(), Some(&peer(5)));
    /// ```
    #[must_use]
    pub fn hint_leader(&mut self, peer: Peer, now: Instant) -> bool {
        self.hinted = Some(peer.host);
        self.add(peer);
        let immediate = self
            .last_immediate
            .is_none_or(|last_immediate| last_immediate + SWITCH_PAUSE < now);
        if immediate {
            self.last_immediate = Some(now);
        }
        immediate
    }

    /// Adds a learned candidate, or replaces its address.
    fn add(&mut self, peer: Peer) {
        if self.settings.iter().any(|known| known.host == peer.host) {
            return;
        }
        self.learned.retain(|known| known.host != peer.host);
        self.learned.push(peer);
    }

    /// Replaces the candidates of the settings.
    ///
    /// The presumed leader is kept.
    pub fn replace_seeds(&mut self, seeds: Vec<Peer>) {
        if seeds.is_empty() || seeds == self.settings {
            return;
        }
        let leader = self.leader().cloned();
        self.learned
            .retain(|known| !contains_host(&seeds, known.host));
        self.settings = seeds;
        if let Some(leader) = leader {
            self.add(leader);
        }
    }

    /// Replaces the learned candidates by the voters that the leader of a term reports.
    ///
    /// Reports from earlier terms are ignored. The presumed leader is kept until the next switch.
    pub fn update_voters(&mut self, term: Term, voters: Vec<Peer>) {
        if term < self.term {
            return;
        }
        self.term = term;
        let leader = self.leader;
        self.learned
            .retain(|known| Some(known.host) == leader && !contains_host(&voters, known.host));
        for voter in voters {
            self.add(voter);
        }
    }

    /// Switches to the leader named since the last switch, or else to the next candidate.
    pub fn advance(&mut self) {
        let hinted = self.hinted.take();
        let hinted = hinted.filter(|host| self.find(*host).is_some());
        self.leader = hinted.or_else(|| self.next());
        self.leader_confirmed = false;
    }

    /// Returns the candidate after the presumed leader, wrapping around.
    fn next(&self) -> Option<HostId> {
        let mut after = self
            .iter()
            .skip_while(|known| Some(known.host) != self.leader)
            .skip(1);
        let next = after.next().or_else(|| self.iter().next());
        next.map(|known| known.host)
    }

    /// Returns a candidate by its host id.
    fn find(&self, host: HostId) -> Option<&Peer> {
        self.iter().find(|known| known.host == host)
    }

    /// Iterates over all candidates, those of the settings first.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        let others = self.settings.iter().chain(&self.learned);
        let is_other = |peer: &&Peer| self.own.as_ref().is_none_or(|own| own.host != peer.host);
        others.filter(is_other).chain(&self.own)
    }
}

/// Returns whether a host is among the peers.
fn contains_host(peers: &[Peer], host: HostId) -> bool {
    peers.iter().any(|peer| peer.host == host)
}
