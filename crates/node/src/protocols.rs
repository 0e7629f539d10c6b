//! The protocols that a process uses with targets, callers and operators.

use std::fmt;
use std::sync::Arc;

use cornelhitch_target::client::Client;
use cornelhitch_target::http::Http;
use cornelhitch_target::inbound::{Json, Protocol};

use crate::ingress::RoutedRequestProtocol;
use crate::registry::RouteTableProtocol;

/// The protocols that a process uses with others, except with its peers.
#[derive(Clone)]
pub struct Protocols {
    /// The encoding of messages from targets.
    pub target_messages: Arc<dyn Protocol>,
    /// The client for requests and orders to targets.
    pub target_client: Arc<dyn Client>,
    /// The callers' protocol for routed requests; `None` for the project's own caller interface.
    pub callers: Option<Arc<dyn RoutedRequestProtocol>>,
    /// The encoding of route tables from operators; `None` if they aren't taken.
    pub route_tables: Option<Arc<dyn RouteTableProtocol>>,
}

impl Default for Protocols {
    /// Returns the project's own protocols.
    fn default() -> Self {
        Self {
            target_messages: Arc::new(Json),
            target_client: Arc::new(Http::default()),
            callers: None,
            route_tables: None,
        }
    }
}

impl fmt::Debug for Protocols {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("Dialect");
        debug.field("routes", &self.callers.is_some());
        debug.finish_non_exhaustive()
    }
}
