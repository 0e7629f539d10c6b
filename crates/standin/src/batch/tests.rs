//! Places go to the larger priority, then to the older, and none is lost.

use std::time::Duration;

use super::Batch;

#[tokio::test]
async fn places_go_by_priority_and_then_by_age() {
    let batch = Batch::new(1, 4, Duration::ZERO, 1.0);
    let first = batch.place(0).await.expect("it is empty");
    let order = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let mut tasks = Vec::new();
    for (name, priority) in [("a", 1), ("b", 5), ("c", 5), ("left", 9)] {
        let (batch, order) = (batch.clone(), std::sync::Arc::clone(&order));
        tasks.push(tokio::spawn(async move {
            let _place = batch.place(priority).await.expect("room to wait");
            order.lock().expect("no panic").push(name);
        }));
        tokio::task::yield_now().await;
    }
    assert!(batch.place(9).await.is_none(), "no room to wait");
    let left = tasks.pop().expect("four tasks");
    left.abort();
    assert!(left.await.is_err());
    assert_eq!(batch.queued(), 3);
    drop(first);
    for task in tasks {
        task.await.expect("no panic");
    }
    assert_eq!(*order.lock().expect("no panic"), ["b", "c", "a"]);
    assert_eq!((batch.running(), batch.queued()), (0, 0));
}
