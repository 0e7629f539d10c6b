//! Slots go to the highest priority, then to the earliest arrival, and none leaks.

use std::time::Duration;

use super::Batch;

#[tokio::test]
async fn slots_are_granted_by_priority_then_by_arrival() {
    let batch = Batch::new(1, 4, Duration::ZERO, 1.0);
    let first = batch
        .acquire(0)
        .await
        .expect("batch should have a free slot");
    let order = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let mut tasks = Vec::new();
    for (name, priority) in [("a", 1), ("b", 5), ("c", 5), ("left", 9)] {
        let (batch, order) = (batch.clone(), std::sync::Arc::clone(&order));
        tasks.push(tokio::spawn(async move {
            let _slot = batch
                .acquire(priority)
                .await
                .expect("queue should have room");
            order.lock().expect("no task should panic").push(name);
        }));
        tokio::task::yield_now().await;
    }
    assert!(batch.acquire(9).await.is_none(), "the queue is full");
    let left = tasks.pop().expect("four tasks should have been spawned");
    left.abort();
    assert!(left.await.is_err());
    assert_eq!(batch.queued(), 3);
    drop(first);
    for task in tasks {
        task.await.expect("no task should panic");
    }
    assert_eq!(
        *order.lock().expect("no task should panic"),
        ["b", "c", "a"]
    );
    assert_eq!((batch.running(), batch.queued()), (0, 0));
}
