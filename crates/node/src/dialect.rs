//! The protocols that a process uses with targets, callers and operators.

use std::fmt;
use std::sync::Arc;

use cornelhitch_target::client::Client;
use cornelhitch_target::http::Http;
use cornelhitch_target::inbound::{Json, Protocol};

use crate::ingress::Ingress;
use crate::registry::Documents;

/// The protocols that a process uses with others, except with its peers.
#[derive(Clone)]
pub struct Dialect {
    /// The encoding of messages from targets.
    pub targets: Arc<dyn Protocol>,
    /// The client for requests and orders to targets.
    pub client: Arc<dyn Client>,
    /// The callers' protocol for routed requests; `None` for the project's own caller interface.
    pub callers: Option<Arc<dyn Ingress>>,
    /// The encoding of route tables from operators; `None` if they aren't taken.
    pub documents: Option<Arc<dyn Documents>>,
}

impl Default for Dialect {
    /// Returns the project's own protocols.
    fn default() -> Self {
        Self {
            targets: Arc::new(Json),
            client: Arc::new(Http::default()),
            callers: None,
            documents: None,
        }
    }
}

impl fmt::Debug for Dialect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("Dialect");
        debug.field("routes", &self.callers.is_some());
        debug.finish_non_exhaustive()
    }
}
