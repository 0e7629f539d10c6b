//! Frames and authenticated transport between cornelhitch processes.
//!
//! There are two transports. A [`link::Link`] is a TCP connection on which both sides have proved
//! that they hold a shared key; a [`datagram`] is a single UDP packet. Both authenticate every
//! payload with keyed BLAKE3 and reject replays. Neither encrypts or interprets the payload.
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
