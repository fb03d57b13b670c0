//! A ring preserves order, `try_send` returns the message when the ring is full, and `send` fails
//! when the receiver was dropped.

use cicadagw_ring::{Closed, TrySendError, channel};

const CAPACITY: usize = 2;

#[tokio::test]
async fn messages_are_received_in_the_order_of_sending() {
    let (sender, receiver) = channel("test", CAPACITY);
    sender.try_send(1).unwrap();
    sender.try_send(2).unwrap();
    drop(sender);

    let messages = [
        receiver.recv().await,
        receiver.recv().await,
        receiver.recv().await,
    ];

    assert_eq!(messages, [Some(1), Some(2), None]);
}

#[tokio::test]
async fn try_send_on_a_full_ring_returns_the_message() {
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
async fn send_fails_when_the_receiver_was_dropped() {
    let (sender, receiver) = channel("test", CAPACITY);
    drop(receiver);

    let outcome = sender.send(1).await;

    assert_eq!(outcome, Err(Closed));
}
