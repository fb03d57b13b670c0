//! Two duties join, talk and part over loopback.

mod fixture;

use cicadagw_link::traffic::{Kind, Reach, Way};
use cicadagw_unit::Version;
use cicadagw_unit::time::Span;
use cicadagw_wire::link::{Command, Event, Session};
use cicadagw_wire::{Down, Refusal, Report, Up};
use fixture::{DIALLED, beat, duty, join, member, snapshot};
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
async fn a_parent_is_heard_by_its_child() {
    let (parent, child) = (duty(), duty());
    let session = join(&child, &parent).await;

    parent.send_down(&[session], beat(8)).await;

    let expected = Event::Down {
        session: DIALLED,
        message: Box::new(beat(8)),
    };
    assert_eq!(child.event().await, expected);
}

#[tokio::test]
async fn a_child_is_heard_by_its_parent_in_order() {
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
        child.order(Command::Up { session, message }).await;
    }

    for message in sent {
        let message = Box::new(message);
        assert_eq!(parent.event().await, Event::Up { session, message });
    }
}

#[tokio::test]
async fn sessions_of_incoming_links_are_odd_and_new() {
    let (parent, first, second) = (duty(), duty(), duty());

    let sessions = (join(&first, &parent).await, join(&second, &parent).await);

    assert_eq!(sessions, (Session(1), Session(3)));
}

#[tokio::test]
async fn the_other_side_learns_that_a_child_closed() {
    let (parent, child) = (duty(), duty());
    let session = join(&child, &parent).await;

    child.order(Command::Close { session: DIALLED }).await;

    assert_eq!(parent.closed().await.0, session);
}

#[tokio::test]
async fn the_other_side_learns_that_a_parent_closed() {
    let (parent, child) = (duty(), duty());
    let session = join(&child, &parent).await;

    parent.order(Command::Close { session }).await;

    assert_eq!(child.closed().await.0, DIALLED);
}

#[tokio::test]
async fn the_other_side_learns_that_a_duty_ended() {
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
        let session = parent.joining().await;
        let refuse = Command::Refuse {
            session,
            refusal: refusal.clone(),
        };

        parent.order(refuse).await;

        let session = DIALLED;
        assert_eq!(child.event().await, Event::Refused { session, refusal });
    }
}

#[tokio::test]
async fn a_dial_to_nobody_is_told_as_closed() {
    let child = duty();
    let nobody = duty();
    nobody.cancel.cancel();
    let address = nobody.address;
    nobody.ended.await.unwrap().unwrap();
    let dial = Command::Dial {
        session: DIALLED,
        address,
        hello: Box::new(fixture::hello()),
    };

    child.order(dial).await;

    assert_eq!(child.closed().await.0, DIALLED);
}

#[tokio::test]
async fn a_join_that_nobody_answers_ends() {
    let (parent, child) = (duty(), duty());
    child.dial(&parent).await;
    let asked = parent.joining().await;

    // From here on the time runs by itself while nothing else is to be done.
    tokio::time::pause();

    assert_eq!(parent.closed().await.0, asked);
    assert_eq!(child.closed().await.0, DIALLED);
}

#[tokio::test]
async fn a_large_snapshot_passes_and_is_small_on_the_way() {
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
        .count(Way::Received, Reach::Within, Kind::Configuration);
    assert_eq!(count.messages, 1);
    assert!(
        count.bytes.get() < plain as u64 / 4,
        "{} of {plain}",
        count.bytes
    );
    assert_eq!(
        parent
            .traffic
            .count(Way::Sent, Reach::Within, Kind::Configuration),
        count
    );
}

#[tokio::test]
async fn garbage_does_no_harm() {
    let (parent, child) = (duty(), duty());
    let mut stranger = TcpStream::connect(parent.address).await.unwrap();

    stranger.write_all(&[0xff; 512]).await.unwrap();
    let mut answer = Vec::new();
    // Whether the connection ends orderly or not makes no difference.
    let _ended = stranger.read_to_end(&mut answer).await;

    let session = join(&child, &parent).await;
    parent.send_down(&[session], beat(8)).await;
    assert!(matches!(child.event().await, Event::Down { .. }));
}
