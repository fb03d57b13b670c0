//! A duty that ends early stops the node.

use std::io;

use cicadagw_node::{Duty, Error};
use tokio_util::sync::CancellationToken;

fn failed() -> io::Result<()> {
    Err(io::Error::other("no longer possible"))
}

fn panicked() -> io::Result<()> {
    panic!("an unexpected error");
}

#[test]
fn a_duty_that_ends_early_stops_the_node() {
    for (work, is_error) in [
        ((|| Ok(())) as fn() -> io::Result<()>, false),
        (failed, true),
        (panicked, true),
    ] {
        let stop = CancellationToken::new();

        let outcome = Duty::start("gossip", &stop, work).unwrap().join();

        assert!(stop.is_cancelled());
        assert_eq!(matches!(outcome, Err(Error::Duty("gossip", _))), is_error);
    }
}

#[test]
fn a_duty_on_an_event_loop_that_ends_early_stops_the_node() {
    let stop = CancellationToken::new();

    let outcome = Duty::start_system("links", &stop, async || panicked())
        .unwrap()
        .join();

    assert!(stop.is_cancelled());
    assert!(outcome.is_err());
}
