//! Every part of a quota has one owner, whichever node asks for it and whatever nodes join and leave.

mod support;

use cicadagw_call::quota::{Answer, Ask, Request};
use cicadagw_gossip::owners::PARTS_MIN;
use cicadagw_gossip::{Effect, Event, Message, Reply};
use cicadagw_platform::Revision;
use cicadagw_unit::rate::Tokens;
use cicadagw_unit::time::Span;
use support::{Fleet, address, snapshot, snapshot_with_quota};

/// Returns a fleet whose nodes hold a configuration with a quota of 40 calls a second.
fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new(count);
    fleet.platform.revision = 1;
    fleet.run(Span::seconds(12));
    (0..count).for_each(|index| configure(&mut fleet, index));
    fleet
}

/// Gives a node the configuration with the quota.
fn configure(fleet: &mut Fleet, index: usize) {
    let configuration = (Revision::new(2), Some(snapshot_with_quota(2)));
    let reply = Reply::Watched(Ok(configuration));
    fleet.step(index, Event::Reply(reply));
}

/// Asks the owner of a part for a token; returns how many are granted, or `None` if the node that is
/// asked owns no part or does not answer.
fn ask(fleet: &mut Fleet, index: usize, part: u16, number: u64) -> Option<u32> {
    let ask = Ask {
        account: "club".parse().unwrap(),
        ahead: Tokens::new(0),
        held: Tokens::new(0),
        number,
        waiting: Tokens::new(100),
    };
    fleet.nodes[index].grants.clear();
    fleet.step(index, Event::Quota(Request { ask, part }));
    fleet.run(Span::new(200));
    match fleet.nodes[index].grants.first()?.answer {
        Answer::Elsewhere => None,
        Answer::Granted { tokens, .. } => Some(tokens.get()),
    }
}

#[test]
fn quota_without_accounts_has_no_parts() {
    let mut fleet = Fleet::new(3);
    fleet.publish_configuration(1);

    fleet.run(Span::seconds(3));

    let snapshot_held = fleet.nodes[0].view.snapshot.clone();
    assert_eq!(
        snapshot_held.map(|held| held.stamp),
        Some(snapshot(1).stamp)
    );
    assert_eq!(fleet.nodes[0].view.quota_parts, 0);
}

#[test]
fn each_part_has_one_owner_whichever_node_asks() {
    let mut fleet = fleet(12);

    let parts = fleet.nodes[3].view.quota_parts;
    let first: Vec<_> = (0..parts).map(|part| ask(&mut fleet, 3, part, 1)).collect();
    // The first node has taken all there was, so a second one gets what was created since.
    let second: Vec<_> = (0..parts).map(|part| ask(&mut fleet, 8, part, 1)).collect();

    assert_eq!(usize::from(parts), PARTS_MIN);
    // A burst of 40, a twentieth of 240 calls in 5 s, and 10 in four parts.
    assert!(first.iter().all(|tokens| *tokens == Some(15)), "{first:?}");
    let is_less = |tokens: &Option<u32>| tokens.is_some_and(|tokens| tokens < 15);
    assert!(second.iter().all(is_less), "{second:?}");
}

#[test]
fn part_is_owned_by_another_node_after_its_owner_has_left() {
    let mut fleet = fleet(12);
    (0..4).for_each(|part| assert!(ask(&mut fleet, 3, part, 1).is_some()));
    let owners: Vec<_> = (0..12).filter(|index| owns(&fleet, *index)).collect();

    fleet.step(owners[0], Event::Shutdown);
    fleet.run(Span::new(500));

    let answers: Vec<_> = (0..4).map(|part| ask(&mut fleet, 3, part, 2)).collect();
    assert!(answers.iter().all(Option::is_some), "{answers:?}");
    let now_owners: Vec<_> = (0..12).filter(|index| owns(&fleet, *index)).collect();
    assert_eq!(owners.len(), PARTS_MIN);
    // The node that left still has its record of the part, which it does not grant from.
    assert_eq!(now_owners.len(), PARTS_MIN + 1);
}

#[test]
fn restarted_owner_grants_nothing_until_it_is_known_and_less_at_first() {
    let mut fleet = fleet(12);
    (0..4).for_each(|part| assert!(ask(&mut fleet, 3, part, 1).is_some()));
    let owner = (0..12).find(|index| owns(&fleet, *index)).unwrap();
    let part = (0..4)
        .find(|part| {
            let before = fleet.nodes[owner].core.quotas_owned();
            fleet.isolated.insert(owner);
            let answer = ask(&mut fleet, 3, *part, 2);
            fleet.isolated.clear();
            before == 1 && answer.is_none()
        })
        .unwrap();

    fleet.restart(owner, 100_000);
    configure(&mut fleet, owner);
    let at_once = ask(&mut fleet, 3, part, 3);
    fleet.run(Span::new(1_500));
    let later = ask(&mut fleet, 3, part, 4);

    assert_eq!(at_once, None);
    // At most half of the capacity, as nodes may still hold tokens of before.
    assert!(later.is_some_and(|tokens| tokens <= 8), "{later:?}");
}

#[test]
fn nodes_that_have_left_own_no_part_after_all_others_have_restarted() {
    let mut fleet = fleet(12);
    (0..4).for_each(|part| assert!(ask(&mut fleet, 3, part, 1).is_some()));
    let left = (0..12).find(|index| owns(&fleet, *index)).unwrap();
    fleet.step(left, Event::Shutdown);
    fleet.run(Span::seconds(1));
    fleet.isolated.insert(left);

    for index in (0..12).filter(|index| *index != left) {
        fleet.restart(index, 100_000);
    }
    fleet.run(Span::seconds(12));
    for index in (0..12).filter(|index| *index != left) {
        configure(&mut fleet, index);
    }

    let asker = (0..12).find(|index| *index != left).unwrap();
    let answers: Vec<_> = (0..4).map(|part| ask(&mut fleet, asker, part, 2)).collect();
    assert!(answers.iter().all(Option::is_some), "{answers:?}");
}

/// Returns whether a node has granted tokens of a part.
fn owns(fleet: &Fleet, index: usize) -> bool {
    fleet.nodes[index].core.quotas_owned() > 0
}

#[test]
fn node_that_is_not_known_gets_no_tokens() {
    let mut fleet = fleet(12);
    let ask = |from: &str| Message::Ask {
        ask: Ask {
            account: "club".parse().unwrap(),
            ahead: Tokens::new(0),
            held: Tokens::new(0),
            number: 1,
            waiting: Tokens::new(1),
        },
        from: from.parse().unwrap(),
        parts: 4,
        start_ms: 1,
    };
    let mut answers = |from: &str| -> usize {
        let steps = (0..12).map(|index| {
            let event = Event::Message(address(3), ask(from));
            let effects = fleet.nodes[index].core.step(fleet.now, event);
            let is_answer = |effect: &&Effect| matches!(effect, Effect::Send(_, Message::Grant(_)));
            effects.iter().filter(is_answer).count()
        });
        steps.sum()
    };

    assert_eq!((answers("node-0003"), answers("stranger")), (12, 0));
}
