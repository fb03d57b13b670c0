//! Odd records and messages of other writers, and digests that must be the same in every build.

mod support;

use cicadagw_endpoint::{Departures, State};
use cicadagw_gossip::{Backend, Effect, Event, Member, Message, Partition, Stamp, Table};
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::{Span, Timestamp};
use quickcheck::{Gen, QuickCheck};
use support::{Fleet, address, local, member, new_core};

/// Size and seed of the generated test cases, and how many are run.
const SIZE: usize = 400;
const SEED: u64 = 7;
const CASES: u64 = 2_000;

/// Stamps that no node publishes.
const ODD_STAMPS: [Stamp; 4] = [
    Stamp(u64::MAX, u64::MAX),
    Stamp(1, u64::MAX),
    Stamp(u64::MAX, 0),
    Stamp(1 << 53, 1 << 53),
];

/// Creates `count` nodes that have discovered each other, with an endpoint each.
fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new(count);
    fleet.publish_configuration(1);
    fleet.run(Span::seconds(3));
    for index in 0..count {
        let update = local(&format!("i-{index}"), State::Ready);
        fleet.step(index, Event::Local(update));
    }
    fleet.run(Span::new(500));
    fleet
}

fn push(from: usize, members: Vec<Member>) -> Event {
    Event::Message(
        address(1),
        Message::Push {
            from: member(from, Stamp(1, 1)).node,
            members,
            wants_ack: true,
            spread: true,
        },
    )
}

#[test]
fn a_record_with_an_odd_stamp_does_not_replace_the_one_of_its_owner() {
    for stamp in ODD_STAMPS {
        let mut fleet = fleet(4);
        let odd = member(2, stamp);

        fleet
            .platform
            .members
            .insert("node-0002".to_owned(), odd.clone());
        fleet.step(1, push(3, vec![odd.clone()]));
        fleet.step(2, push(3, vec![odd]));
        fleet.run(Span::seconds(25));

        assert_eq!(fleet.endpoint_counts(), vec![4; 4], "{stamp}");
        fleet.step(2, Event::Local(local("i-new", State::Ready)));
        fleet.run(Span::new(500));
        assert_eq!(fleet.endpoint_counts(), vec![4; 4], "{stamp}");
    }
}

#[test]
fn a_false_record_with_a_plausible_stamp_is_refuted_by_its_owner() {
    let most = Stamp(1_900_000_000_000, u64::from(u32::MAX));
    let mut fleet = fleet(4);

    fleet.step(1, push(3, vec![member(2, most)]));
    fleet.run(Span::seconds(25));

    assert_eq!(fleet.endpoint_counts(), vec![4; 4]);
}

#[test]
fn an_endpoint_with_an_odd_number_of_slots_is_not_used() {
    let mut fleet = fleet(4);
    let mut odd = member(9, Stamp(1, 1));
    odd.backend = Some(Backend {
        release: None,
        endpoint: "i-odd".parse().unwrap(),
        is_ready: true,
        service: "orders".parse().unwrap(),
        slots: Slots::new(u32::MAX),
        limit: None,
        started_ms: 0,
    });

    fleet.step(1, push(3, vec![odd]));
    fleet.run(Span::new(500));

    assert_eq!(fleet.endpoint_counts(), vec![4; 4]);
}

#[test]
fn a_node_without_any_record_of_a_partition_asks_for_all() {
    let mut core = new_core(0, 1);
    core.step(Timestamp::new(0), push(1, vec![member(1, Stamp(1, 1))]));
    let lacks_all = |part: &Partition| core.table().iter().all(|known| !part.contains(&known.node));
    let mut parts = (0..4).map(|index| Partition { index, count: 4 });
    let part = parts.find(lacks_all).unwrap();
    let have = Message::Have {
        from: member(1, Stamp(1, 1)).node,
        part,
        after: None,
        last: None,
        stamps: vec![(member(7, Stamp(1, 1)).node, Stamp(1, 1))],
        may_answer: true,
    };

    let effects = core.step(Timestamp::new(1), Event::Message(address(1), have));

    let is_empty_have = |effect: &Effect| matches!(effect, Effect::Send(_, Message::Have { stamps, may_answer: false, .. }) if stamps.is_empty());
    assert!(effects.iter().any(is_empty_have), "{effects:?}");
}

#[test]
fn more_partition_digests_than_any_node_sends_are_ignored() {
    let mut core = new_core(0, 1);
    core.step(Timestamp::new(0), push(1, vec![member(1, Stamp(1, 1))]));
    let parts = Message::Parts {
        from: member(1, Stamp(1, 1)).node,
        digests: vec![0; 15_000],
    };

    let effects = core.step(Timestamp::new(1), Event::Message(address(1), parts));

    assert!(effects.is_empty(), "{} effects", effects.len());
}

#[test]
fn digests_are_the_same_in_every_build() {
    let mut table = Table::default();
    table.merge(&member(1, Stamp(1_700_000_000_000, 3)));
    table.merge(&member(2, Stamp(1_700_000_000_001, 9)));
    table.merge(&member(2, Stamp(1_700_000_000_001, 10)));

    let partitions = table.digests(3);

    assert_eq!(table.digest(), 15_196_721_399_837_844_632);
    assert_eq!(
        partitions,
        [0, 4_334_409_963_828_953_730, 10_862_311_436_008_890_902]
    );
    let sum = partitions
        .iter()
        .fold(0_u64, |sum, part| sum.wrapping_add(*part));
    assert_eq!(sum, table.digest());
}

#[test]
fn odd_datagrams_are_rejected() {
    let nested = "[".repeat(10_000) + &"]".repeat(10_000);
    let odd = [
        nested.clone(),
        format!(r#"{{"push":{{"from":"a","members":{nested},"wants_ack":true,"spread":false}}}}"#),
        r#"{"digest":{"from":"a","digest":1e400,"follows":true,"version":1}}"#.to_owned(),
        r#"{"digest":{"from":"","digest":1,"follows":true,"version":1}}"#.to_owned(),
        format!(
            r#"{{"digest":{{"from":"{}","digest":1,"follows":true,"version":1}}}}"#,
            "n".repeat(60_000)
        ),
        String::from_utf8(Message::encode(
            &match push(1, vec![member(1, Stamp(1, 1))]) {
                Event::Message(_, message) => message,
                _ => unreachable!("a push is a message"),
            },
        ))
        .unwrap()
        .replace("10.0.0.1:2", "10.0.0.1:70000"),
    ];

    for text in odd {
        assert!(Message::decode(text.as_bytes()).is_err(), "{text:.80}");
    }
}

#[test]
fn changed_datagrams_never_cause_panic() {
    fn property(kind: u8, changes: Vec<(usize, u8)>) -> bool {
        let mut core = new_core(0, 1);
        core.step(Timestamp::new(0), push(1, vec![member(1, Stamp(1, 1))]));
        let from = member(1, Stamp(1, 1)).node;
        let message = match kind % 5 {
            0 => Message::Push {
                from,
                members: vec![member(0, Stamp(5, 5)), member(2, Stamp(5, 5))],
                wants_ack: true,
                spread: true,
            },
            1 => Message::Ack {
                departures: Departures::default(),
                from,
                stamp: Stamp(5, 5),
            },
            2 => Message::Digest {
                rollouts: 0,
                from,
                digest: 5,
                follows: true,
                version: cicadagw_unit::Version::new(5),
            },
            3 => Message::Parts {
                from,
                digests: vec![5, 6],
            },
            _ => Message::Have {
                from,
                part: Partition { index: 5, count: 6 },
                after: None,
                last: None,
                stamps: vec![(member(2, Stamp(1, 1)).node, Stamp(9, 9))],
                may_answer: true,
            },
        };
        let mut bytes = message.encode();
        for (at, byte) in changes {
            let length = bytes.len();
            // Digits are the likeliest to leave a message that can be decoded.
            bytes[at % length] = if byte < 128 { b'0' + byte % 10 } else { byte };
        }
        if let Ok(message) = Message::decode(&bytes) {
            core.step(Timestamp::new(1), Event::Message(address(1), message));
            core.step(Timestamp::new(200), Event::Tick);
        }
        true
    }
    QuickCheck::new()
        .tests(CASES)
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .quickcheck(property as fn(u8, Vec<(usize, u8)>) -> bool);
}
