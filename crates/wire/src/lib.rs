//! Frames and authenticated transport between cornelhitch processes.
//!
//! Two ways carry frames. A [`link::Link`] is a TCP connection on which both
//! sides proved that they hold a shared key; a [`datagram`] is one UDP packet.
//! Both are authenticated with keyed BLAKE3 and refuse replays. The payload is
//! opaque here.
//!
//! ```
//! use cornelhitch_wire::key::Keyring;
//!
//! let keys: Keyring = "a long shared secret\nthe one before it\n".parse()?;
//! assert_eq!(keys.len(), 2);
//! # Ok::<(), cornelhitch_wire::key::Error>(())
//! ```

pub mod datagram;
pub mod frame;
pub mod hello;
pub mod key;
pub mod link;
pub mod prelude;
pub mod window;
