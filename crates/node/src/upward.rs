//! Handles messages and queries that other hosts send to the leader.

use std::fmt::Write;

use bytes::Bytes;
use cornelhitch_control::command::Command;
use cornelhitch_control::input::Input;
use cornelhitch_quorum::event::MembershipChange;
use cornelhitch_quorum::id::Peer as Member;
use cornelhitch_types::entry::Host;
use cornelhitch_types::id::HostId;
use cornelhitch_wire::hello::ProcessId;
use serde::Serialize;

use crate::control::{Control, Renewal, origins};
use crate::message::{Membership, Question, Upward};
use crate::section_ids::SectionIds;

/// The accepted settings and those in force, as shown to operators.
#[derive(Debug, Serialize)]
struct Settings<'a> {
    version: u64,
    in_force: u64,
    text: &'a str,
}

impl Control {
    /// Handles a message to the leader; names the leader if this host does not lead.
    pub(crate) fn upward(&mut self, from: ProcessId, upward: Upward) {
        if let Upward::Table { held } = upward {
            return self.send_newer_table(from.host, held);
        }
        if !self.leading {
            let call = match upward {
                Upward::Propose { call, .. } | Upward::Ask { call, .. } => Some(call),
                _ => None,
            };
            let leader = self.known_leader.filter(|leader| *leader != self.setup.me);
            self.send_not_leader(from.host, call, leader);
            if leader.is_none() {
                self.awaiting_leader.insert(from.host);
            }
            return;
        }
        match upward {
            Upward::Subscribe { term, sequence } => {
                self.send_voters(from.host);
                self.handle(Input::Subscribe {
                    host: from.host,
                    term,
                    sequence,
                });
            }
            Upward::Report(report) => self.handle(Input::Report(report)),
            Upward::Announce(announcement) => self.handle(Input::Announcement(announcement)),
            Upward::Heartbeat(heartbeat) => self.handle(Input::Heartbeat(heartbeat)),
            Upward::Presence(presence) => self.handle(Input::Presence(presence)),
            Upward::Unreserve {
                target,
                incarnation,
            } => self.reservations.release(from.host, target, incarnation),
            Upward::Propose { call, command } => self.propose(command, Some((from.host, call))),
            Upward::Heartbeats {
                term,
                registry,
                batch,
            } => self.heartbeats_forwarded(from.host, term, registry, batch),
            Upward::StreamsBegun(streams) => {
                let now = self.now();
                self.software.record_streams(streams, now);
            }
            Upward::Quota(report) => self.quota_report(from, &report),
            Upward::Ask { call, question } => self.answer_question(from.host, call, question),
            about_target => self.on_target_report(from.host, about_target),
        }
    }

    /// Handles what an entry host reports of a target.
    fn on_target_report(&mut self, from: HostId, upward: Upward) {
        match upward {
            Upward::Leaving {
                target,
                incarnation,
            } => {
                let leave = Command::Leave {
                    target,
                    incarnation,
                };
                self.propose(leave.encode(), None);
            }
            Upward::Lost {
                target,
                incarnation,
            } => self.handle(Input::ConnectionLost {
                target,
                incarnation,
            }),
            Upward::Limit {
                target,
                incarnation,
                limit,
            } => self.handle(Input::LimitNamed {
                target,
                incarnation,
                limit,
            }),
            // Another host's machine may go on sending orders.
            Upward::Paused { .. } if from != self.setup.me => {}
            Upward::Paused {
                target,
                incarnation,
                pause,
            } => self.handle(Input::TargetPaused {
                target,
                incarnation,
                pause,
            }),
            other => tracing::error!(?other, "unexpected message: not about a target"),
        }
    }

    /// Handles an entry host's lease renewal.
    pub(crate) fn lease_renewal(&mut self, renewal: Renewal, host: Host) {
        if !self.leading {
            let leader = self.known_leader.filter(|leader| *leader != self.setup.me);
            self.send_not_leader(renewal.peer.host, None, leader);
            self.state_newest_table(&renewal, false);
            return;
        }
        self.renewals.insert(renewal.peer.host, renewal);
        self.handle(Input::Renewal(host));
    }

    /// Answers a question that only the leader can answer.
    fn answer_question(&mut self, host: HostId, call: u64, question: Question) {
        let json = match question {
            Question::InForce(version) => json(&(self.settings_in_force >= version)),
            Question::Settings => json(&Settings {
                version: self.state.current_settings().version(),
                in_force: self.settings_in_force,
                text: self.state.current_settings().text(),
            }),
            Question::Status => json(&self.dump()),
            Question::Explain(model) => json(&self.setup.leader.explain(&model, self.unix_time())),
            Question::Members(membership) => return self.operator_change(host, call, &membership),
            Question::Reserve {
                target,
                incarnation,
            } => {
                let now = self.now();
                json(&self.reservations.reserve(host, target, incarnation, now))
            }
            Question::StreamOrigin { service, attempt } => {
                return self.ask_origin(origins::Question {
                    host,
                    call,
                    service,
                    attempt,
                });
            }
            Question::Trial(parts) => {
                let now = self.now();
                let granted = self.trials.grant(&parts, now);
                let parts = SectionIds::from(&parts[..]);
                tracing::info!(host, %parts, granted, "entry host asked for a trial of refused parts");
                json(&granted)
            }
        };
        self.send_answer(host, call, json);
    }

    /// Starts the membership change that an operator requests.
    fn operator_change(&mut self, host: HostId, call: u64, membership: &Membership) {
        let change = match *membership {
            Membership::Add(peer) => MembershipChange::Add(member(peer)),
            Membership::Promote(id) => MembershipChange::Promote(id),
            Membership::Remove(id) => MembershipChange::Remove(id),
            Membership::Replace { old, new } => MembershipChange::Replace {
                old,
                new: member(new),
            },
        };
        self.change_members(change, host, call);
    }

    /// Returns the state of this control host as JSON.
    pub(crate) fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "quorum": self.setup.core.status(),
            "group": self.setup.core.group_view(),
            "leading": self.leading,
            "settings_version": self.state.current_settings().version(),
            "in_force": self.settings_in_force,
            "digest": hex(&self.state.digest()),
            "state": self.state.dump(),
            "software": self.software.dump(),
            "quotas": self.dump_quotas(),
            "leader": self.setup.leader.dump(&self.state, self.unix_time()),
        })
    }
}

/// Converts a peer to a member of the log's group.
fn member(peer: ProcessId) -> Member {
    Member {
        id: peer.host,
        incarnation: peer.incarnation,
    }
}

/// Encodes a value as JSON.
fn json(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

/// Formats bytes as lowercase hexadecimal.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}
