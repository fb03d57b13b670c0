//! Two links duties join, exchange messages and close their link over loopback.

mod fixture;

use cicadagw_link::traffic::{Direction, Kind, Reach};
use cicadagw_unit::Version;
use cicadagw_unit::time::Span;
use cicadagw_wire::link::{Command, Event, LinkId};
use cicadagw_wire::{Down, Refusal, Report, Up};
use fixture::{DIALLED, duty, heartbeat, join, member, snapshot};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn report() -> Up {
    Up::Report(Box::new(Report {
        lowest: Version::new(7),
        count: 3,
        serving: 3,
        laggards: [].into_iter().collect(),
    }))
}

#[tokio::test]
async fn a_message_of_a_parent_reaches_its_child() {
    let (parent, child) = (duty(), duty());
    let session = join(&child, &parent).await;

    parent.send_down(&[session], heartbeat(8)).await;

    let expected = Event::Down {
        session: DIALLED,
        message: Box::new(heartbeat(8)),
    };
    assert_eq!(child.event().await, expected);
}

#[tokio::test]
async fn messages_of_a_child_reach_its_parent_in_order() {
    let (parent, child) = (duty(), duty());
    let session = join(&child, &parent).await;
    let sent = [
        report(),
        Up::SnapshotRequest,
        Up::Present(vec![member(4).node]),
    ];

    for message in sent.clone() {
        let message = Box::new(message);
        let session = DIALLED;
        child.send_command(Command::Up { session, message }).await;
    }

    for message in sent {
        let message = Box::new(message);
        assert_eq!(parent.event().await, Event::Up { session, message });
    }
}

#[tokio::test]
async fn ids_of_incoming_links_are_odd_and_unique() {
    let (parent, first, second) = (duty(), duty(), duty());

    let sessions = (join(&first, &parent).await, join(&second, &parent).await);

    assert_eq!(sessions, (LinkId(1), LinkId(3)));
}

#[tokio::test]
async fn a_parent_learns_that_its_child_closed_the_link() {
    let (parent, child) = (duty(), duty());
    let session = join(&child, &parent).await;

    child
        .send_command(Command::Close { session: DIALLED })
        .await;

    assert_eq!(parent.closed().await.0, session);
}

#[tokio::test]
async fn a_child_learns_that_its_parent_closed_the_link() {
    let (parent, child) = (duty(), duty());
    let session = join(&child, &parent).await;

    parent.send_command(Command::Close { session }).await;

    assert_eq!(child.closed().await.0, DIALLED);
}

#[tokio::test]
async fn a_child_learns_that_the_duty_of_its_parent_ended() {
    let (parent, child) = (duty(), duty());
    join(&child, &parent).await;

    parent.cancel.cancel();

    assert_eq!(child.closed().await.0, DIALLED);
    parent.ended.await.unwrap().unwrap();
}

#[tokio::test]
async fn every_refusal_reaches_the_child() {
    let refusals = [
        Refusal::Busy(Span::seconds(2)),
        Refusal::Full(vec![member(4), member(5)]),
        Refusal::Loop,
    ];
    for refusal in refusals {
        let (parent, child) = (duty(), duty());
        child.dial(&parent).await;
        let session = parent.join_requested().await;
        let refuse = Command::Refuse {
            session,
            refusal: refusal.clone(),
        };

        parent.send_command(refuse).await;

        let session = DIALLED;
        assert_eq!(child.event().await, Event::Refused { session, refusal });
    }
}

#[tokio::test]
async fn dialling_an_address_without_a_listener_reports_a_closed_link() {
    let child = duty();
    let ended_duty = duty();
    ended_duty.cancel.cancel();
    let address = ended_duty.address;
    ended_duty.ended.await.unwrap().unwrap();
    let dial = Command::Dial {
        session: DIALLED,
        address,
        hello: Box::new(fixture::hello()),
    };

    child.send_command(dial).await;

    assert_eq!(child.closed().await.0, DIALLED);
}

#[tokio::test]
async fn a_join_without_a_response_times_out_at_both_ends() {
    let (parent, child) = (duty(), duty());
    child.dial(&parent).await;
    let asked = parent.join_requested().await;

    // From here on, tokio's paused clock advances whenever all tasks are idle.
    tokio::time::pause();

    assert_eq!(parent.closed().await.0, asked);
    assert_eq!(child.closed().await.0, DIALLED);
}

#[tokio::test]
async fn a_large_snapshot_is_carried_compressed() {
    let (parent, child) = (duty(), duty());
    let session = join(&child, &parent).await;
    let whole = Down::Snapshot(Box::new(snapshot(2_000)));
    let plain = serde_json::to_vec(&whole).unwrap().len();

    parent.send_down(&[session], whole.clone()).await;

    let expected = Event::Down {
        session: DIALLED,
        message: Box::new(whole),
    };
    assert_eq!(child.event().await, expected);
    let count = child
        .traffic
        .count(Direction::Received, Reach::Within, Kind::Configuration);
    assert_eq!(count.messages, 1);
    assert!(
        count.bytes.get() < plain as u64 / 4,
        "{} of {plain}",
        count.bytes
    );
    assert_eq!(
        parent
            .traffic
            .count(Direction::Sent, Reach::Within, Kind::Configuration),
        count
    );
}

#[tokio::test]
async fn invalid_bytes_on_a_connection_do_not_affect_other_links() {
    let (parent, child) = (duty(), duty());
    let mut client = TcpStream::connect(parent.address).await.unwrap();

    client.write_all(&[0xff; 512]).await.unwrap();
    let mut response = Vec::new();
    // The connection may end with an error or without.
    let _ended = client.read_to_end(&mut response).await;

    let session = join(&child, &parent).await;
    parent.send_down(&[session], heartbeat(8)).await;
    assert!(matches!(child.event().await, Event::Down { .. }));
}
