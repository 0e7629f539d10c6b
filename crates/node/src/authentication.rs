//! Decides whether a routed request may be served, from its API key and the route table in force.

use std::sync::Arc;

use cornelhitch_entry::event::Request as Call;
use cornelhitch_types::refusal::{Reason, Refusal};
use cornelhitch_types::route::RouteTable;
use cornelhitch_types::team::{ApiKeyDigest, Team};
use http::HeaderMap;

use crate::exchange::Routed;
use crate::ingress::RoutedRequestProtocol;
use crate::problem::not_run;

/// The team that sends a request, and the key with which it does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuthenticatedCaller {
    /// The team.
    team: Arc<Team>,
    /// The digest of the key.
    key: ApiKeyDigest,
}

impl AuthenticatedCaller {
    /// Assigns a request to the team: the team's priority, if it has one, replaces the route's, and
    /// the target is told the team's name.
    pub fn assign_to(self, call: &mut Call, routed: &mut Routed) {
        if let Some(priority) = self.team.priority {
            if let Some(terms) = &mut call.terms {
                terms.rank = priority;
            }
            routed.rank = priority;
        }
        routed.team = Some(self.team.name.clone());
        call.api_key = Some(self.key);
        call.team = Some(self.team);
    }
}

/// Returns who sends a request to a route; `None` if the route needs no key. If the table has teams,
/// the key is removed from the headers, also on routes that need none.
///
/// # Errors
/// Returns a refusal if the route needs a key and the headers carry none that the table contains.
pub fn authenticate(
    protocol: &dyn RoutedRequestProtocol,
    table: &RouteTable,
    route: &str,
    headers: &mut HeaderMap,
) -> Result<Option<AuthenticatedCaller>, Refusal> {
    let access = table.access.as_ref();
    let Some(access) = access.filter(|access| !access.teams.is_empty()) else {
        return Ok(None);
    };
    let key = protocol.take_api_key(headers);
    if !access.needs_key(route) {
        return Ok(None);
    }
    let refused = |detail| not_run(Reason::Unauthenticated, detail);
    let key = key.ok_or_else(|| refused("the request carries no API key"))?;
    let team = access.team_of(key);
    let team = team
        .ok_or_else(|| refused("the API key is unknown"))?
        .clone();
    Ok(Some(AuthenticatedCaller { team, key }))
}
