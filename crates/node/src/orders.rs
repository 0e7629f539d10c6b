//! Sends an order to a worker, if the leader's lease is still valid when the first byte leaves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelhitch_target::client::Client;
use cornelhitch_types::order::{Order, Outcome};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::control::{Lease, TaskMessage};
use crate::metrics::{Count, Metrics, Timing};

/// Timeout for sending an order and receiving its answer.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for a numbered order. It is shorter since a late delivery does no harm: the worker
/// refuses it by its number.
const NUMBERED_ORDER_TIMEOUT: Duration = Duration::from_secs(1);

/// An order to send, with everything its task needs.
pub struct OrderTask {
    /// The order.
    pub order: Order,
    /// The worker's address.
    pub address: SocketAddr,
    /// The leader's current lease.
    pub lease: watch::Receiver<Option<Lease>>,
    /// The client for orders to workers.
    pub client: Arc<dyn Client>,
    /// The control task's queue, to which the outcome is sent.
    pub task_sender: mpsc::UnboundedSender<TaskMessage>,
    /// The metrics of this process.
    pub metrics: Metrics,
}

impl OrderTask {
    /// Sends the order and reports its outcome to the control task.
    pub async fn run(self) {
        let fence = self.order.fence;
        let (lease, metrics) = (self.lease, self.metrics.clone());
        let gate = Box::new(move || {
            let current = *lease.borrow();
            let lease_valid = current
                .is_some_and(|current| current.term == fence && Instant::now() < current.until);
            if !lease_valid {
                metrics.increment(Count::OrdersWithheld);
            }
            lease_valid
        });
        let limit = match self.order.after {
            Some(_) => NUMBERED_ORDER_TIMEOUT,
            None => ORDER_TIMEOUT,
        };
        let sending = self.client.order(self.address, &self.order, limit, gate);
        let started = Instant::now();
        let outcome = sending.await;
        self.metrics.record(Timing::Order, started.elapsed());
        if outcome == Outcome::Unknown {
            self.metrics.increment(Count::OrdersUnknown);
        }
        tracing::info!(
            target = &*self.order.target, replica = self.order.replica,
            action = ?self.order.action, ?outcome, "order to worker completed"
        );
        let _ = self
            .task_sender
            .send(TaskMessage::Order(self.order, outcome));
    }
}
