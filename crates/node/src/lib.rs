//! The tasks of one cornelhitch process around the sans-I/O cores.
//!
//! [`node::Node`] starts them all. Each task owns its sockets and its core, and the tasks
//! communicate by channels:
//!
//! - [`callers`], [`ingress`], [`registry`] and [`operators`] serve HTTP.
//! - [`entry`] owns the core of an entry host, and [`attempt`] sends one request to one target.
//! - [`session`] maintains the contact with the leader.
//! - [`control`] owns the replicated log, the replicated state and the leader's decisions.
//! - [`links`] and [`datagrams`] carry messages between processes.
//!
//! What callers can make a process hold is bounded in these modules; `docs/design/caller-limits.md` has the limits:
//!
//! - [`process_memory`] bounds all memory. [`shared_memory`] gives each address or target its share of a part of it:
//!   of bodies in [`request_memory`], of incomplete answers in [`answer_memory`], of unread ones in [`unread_answers`].
//! - [`connection_limits`] decides which connection makes room, and [`read_pacing`] how fast an address is read from.
//!   `connection` keeps their state for a listener, and [`listener_limits`] has its numbers.
//! - `guarded_stream` limits the times of a connection, and `answer_progress` those of an answer over HTTP/2.

mod answer_body;
pub mod answer_memory;
mod answer_progress;
pub mod attempt;
pub mod authentication;
pub mod backlog;
pub mod body;
pub mod callers;
pub mod candidates;
pub mod claim_outcome;
pub mod connection;
pub mod connection_limits;
pub mod control;
pub mod datagrams;
pub mod entry;
pub mod error;
pub mod exchange;
pub mod exposition;
mod guarded_stream;
pub mod header;
pub mod ingress;
pub mod intake;
pub mod latency;
pub mod leaderships;
pub mod links;
pub mod listener_limits;
pub mod log_limit;
pub mod message;
pub mod metrics;
pub mod node;
pub mod operators;
pub mod orders;
mod peer_threads;
pub mod problem;
pub mod process_memory;
pub mod protocols;
pub mod read_pacing;
pub mod registry;
mod relay;
pub mod request;
pub mod request_log;
pub mod request_memory;
pub mod reservation;
pub mod secret;
pub mod section_ids;
pub mod server;
pub mod session;
pub mod shared_memory;
pub mod socket;
pub mod software;
mod stall_watch;
mod startup;
pub mod takers;
pub mod target_state;
pub mod timestamped;
pub mod trials;
pub mod unread_answers;
mod upward;
