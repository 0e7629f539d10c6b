//! How long members have not responded, counted over successive leaders.
//!
//! Each leader counts for how long a member has not responded to it, and reports what it counts to
//! the other members. The next leader goes on from the last report, so that a lost voter is found
//! out also while no leader leads for long. Time without a leader does not count, since nobody
//! listens then.

use std::collections::BTreeMap;

use super::Core;
use crate::id::{MemberId, Peer, Term, Time};
use crate::message::{Message, Silence};

/// Maximum number of members in a report that is stored.
const MAX_SILENCES: usize = 64;

impl Core {
    /// Returns how long each other member has not responded to this leader. What earlier leaders
    /// counted is added once the member has had an election timeout to respond to this one.
    pub(super) fn unresponsive_for(&self) -> BTreeMap<MemberId, Time> {
        let members = self.progress.iter();
        let unresponsive_for = members.map(|(id, progress)| {
            let own = progress.own_silence(self.now);
            let counts_earlier = own >= self.config.election_timeout;
            let earlier = if counts_earlier {
                progress.earlier_silence()
            } else {
                Time::ZERO
            };
            (*id, own.saturating_add(earlier))
        });
        unresponsive_for.collect()
    }

    /// Returns the members that have not responded for an election timeout, to this leader or to
    /// earlier ones before it.
    pub(super) fn silences(&self) -> Vec<Silence> {
        let silences = self.progress.iter().map(|(id, progress)| Silence {
            member: Peer {
                id: *id,
                incarnation: progress.incarnation,
            },
            lasted: progress
                .own_silence(self.now)
                .saturating_add(progress.earlier_silence()),
        });
        silences
            .filter(|silence| silence.lasted >= self.config.election_timeout)
            .collect()
    }

    /// Reports the silent members to the others with each heartbeat, and once when there are none
    /// any more.
    pub(super) fn report_silences(&mut self) {
        let silences = self.silences();
        if silences.is_empty() && self.reported_silences.is_empty() {
            return;
        }
        let silent = |id: &MemberId| silences.iter().any(|silence| silence.member.id == *id);
        let members = self.progress.keys().filter(|id| !silent(id));
        let responsive: Vec<Peer> = members
            .filter_map(|id| self.membership().peer(*id))
            .collect();
        for peer in responsive {
            self.send(peer, Message::Silences(silences.clone()));
        }
        self.reported_silences = silences;
    }

    /// Stores a report of the current leader.
    pub(super) fn on_silences(&mut self, from: Peer, term: Term, mut silences: Vec<Silence>) {
        if term != self.hard_state.term || self.leader != Some(from) || self.is_leader() {
            self.dropped += 1;
            return;
        }
        silences.truncate(MAX_SILENCES);
        self.reported_silences = silences;
    }

    /// Returns for how long a member had not responded by the last report.
    pub(super) fn reported_silence(&self, member: Peer) -> Time {
        let mut reported = self.reported_silences.iter();
        let silence = reported.find(|silence| silence.member == member);
        silence.map_or(Time::ZERO, |silence| silence.lasted)
    }
}
