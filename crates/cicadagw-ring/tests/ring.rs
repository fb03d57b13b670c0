//! A ring keeps order, refuses when full and tells when its other end is gone.

use cicadagw_ring::{Closed, TrySendError, channel};

const CAPACITY: usize = 2;

#[tokio::test]
async fn messages_come_out_in_order() {
    let (sender, receiver) = channel("test", CAPACITY);
    sender.try_send(1).unwrap();
    sender.try_send(2).unwrap();
    drop(sender);

    let taken = [
        receiver.recv().await,
        receiver.recv().await,
        receiver.recv().await,
    ];

    assert_eq!(taken, [Some(1), Some(2), None]);
}

#[tokio::test]
async fn a_full_ring_gives_the_message_back() {
    let (sender, receiver) = channel("test", CAPACITY);
    sender.try_send(1).unwrap();
    sender.try_send(2).unwrap();

    let refused = sender.try_send(3);

    assert_eq!(refused, Err(TrySendError::Full(3)));
    assert_eq!(
        (receiver.gauge().fill(), receiver.gauge().refused()),
        (2, 1)
    );
}

#[tokio::test]
async fn a_sender_learns_that_the_receiver_is_gone() {
    let (sender, receiver) = channel("test", CAPACITY);
    drop(receiver);

    let outcome = sender.send(1).await;

    assert_eq!(outcome, Err(Closed));
}
