//! A Raft replicated log with leader election, leases, snapshots and membership changes.
//!
//! [`core::Core`] implements the protocol for one member and performs no I/O: its owner passes in
//! events and the current time and executes the returned actions. [`disk::DiskStore`] persists the
//! records that the core produces; a [`disk::Writer`] runs it on its own thread.
//!
//! Three in-memory members elect a leader and commit a proposal:
//!
//! ```
//! use std::collections::VecDeque;
//! use std::time::Duration;
//!
//! use cornelhitch_quorum::prelude::*;
//!
//! let peers = [1, 2, 3].map(|id| Peer { id, incarnation: 1 });
//! let members = Membership::of(&peers);
//! let mut cores: Vec<Core> = Vec::new();
//! for peer in peers {
//!     let identity = Identity { cluster: 7, group: 0, peer };
//!     let recovered = Recovered::seeded(identity, &members);
//!     cores.push(Core::new(Config::default(), recovered, peer.id, Time::ZERO));
//! }
//!
//! let mut now = Time::ZERO;
//! let mut events = VecDeque::new();
//! let mut applied = Vec::new();
//! let mut proposed = false;
//! while applied.len() < 3 {
//!     now += Duration::from_millis(10);
//!     for at in 0..3 {
//!         events.push_back((at, Event::Tick));
//!     }
//!     while let Some((at, event)) = events.pop_front() {
//!         for action in cores[at].handle(event, now) {
//!             match action {
//!                 // A real owner hands the batch to its writer.
//!                 Action::Persist(batch) => {
//!                     events.push_back((at, Event::Persisted { token: batch.token }));
//!                 }
//!                 // A real owner encodes the message and sends it.
//!                 Action::Send { to, message } => {
//!                     let from = message.from.id;
//!                     events.push_back((to as usize - 1, Event::Receive { from, message }));
//!                 }
//!                 Action::Apply(entry) => applied.push((at, entry.payload)),
//!                 _ => {}
//!             }
//!         }
//!     }
//!     let leader = cores.iter_mut().find(|core| core.lease(now).is_some());
//!     if let (Some(leader), false) = (leader, proposed) {
//!         proposed = true;
//!         let at = leader.status().peer.id as usize - 1;
//!         events.push_back((at, Event::Propose { id: 1, payload: "load a model".into() }));
//!     }
//! }
//! assert!(applied.iter().all(|(_, payload)| payload == "load a model"));
//! assert!(now < Duration::from_secs(3));
//! ```

pub mod action;
pub mod config;
pub mod core;
pub mod disk;
pub mod event;
pub mod id;
pub mod log;
pub mod member;
pub mod membership_policy;
pub mod memory;
pub mod message;
pub mod prelude;
pub mod status;
pub mod store;
