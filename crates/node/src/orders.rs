//! Sends one order, if the leader's lease still runs when its first byte leaves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelhitch_target::client::Client;
use cornelhitch_types::order::{Order, Outcome};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::control::{Lease, Told};
use crate::metrics::{Count, Metrics, Timing};

/// Time that an order and its answer may take.
const LIMIT: Duration = Duration::from_secs(5);

/// How long a numbered order waits for its answer: a later one does no harm, since the worker
/// refuses it by its number.
const NUMBERED: Duration = Duration::from_secs(1);

/// One order on its way.
pub struct Sending {
    /// The order.
    pub order: Order,
    /// Where the worker takes it.
    pub address: SocketAddr,
    /// The leader's lease.
    pub lease: watch::Receiver<Option<Lease>>,
    /// The way to workers.
    pub client: Arc<dyn Client>,
    /// Where the outcome goes.
    pub tell: mpsc::UnboundedSender<Told>,
    /// Counters.
    pub metrics: Metrics,
}

impl Sending {
    /// Sends the order and tells its outcome.
    pub async fn run(self) {
        let fence = self.order.fence;
        let (lease, metrics) = (self.lease, self.metrics.clone());
        let gate = Box::new(move || {
            let held = *lease.borrow();
            let sure = held.is_some_and(|held| held.term == fence && Instant::now() < held.until);
            if !sure {
                metrics.one(Count::OrdersWithheld);
            }
            sure
        });
        let limit = match self.order.after {
            Some(_) => NUMBERED,
            None => LIMIT,
        };
        let sending = self.client.order(self.address, &self.order, limit, gate);
        let since = Instant::now();
        let outcome = sending.await;
        self.metrics.took(Timing::Order, since.elapsed());
        if outcome == Outcome::Unknown {
            self.metrics.one(Count::OrdersUnknown);
        }
        tracing::info!(
            target = &*self.order.target, replica = self.order.replica,
            action = ?self.order.action, ?outcome, "order"
        );
        let _ = self.tell.send(Told::Ordered(self.order, outcome));
    }
}
