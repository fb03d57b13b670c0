//! Whole sessions of acceptance: every call to the platform, and what the operator is told.

use cicadagw_accept::{Request, run};

use crate::fixture::{apply, preset, rollback, store_with};
use crate::store::{Fake, Fault};

/// Runs one request after another and returns the calls and the outcomes.
async fn told(store: &Fake, requests: Vec<Request>) -> String {
    let mut lines = Vec::new();
    for request in requests {
        lines.push(format!("# {} by {}", request.change, request.operator));
        let outcome = run(store, request).await;
        lines.push(store.calls());
        lines.push(format!("=> {}", serde_json::to_string(&outcome).unwrap()));
    }
    named(&lines.join("\n"))
}

#[tokio::test(start_paused = true)]
async fn an_ordinary_day() {
    let store = Fake::default();
    let requests = vec![
        apply("one", "asha", "shop"),
        apply("two", "asha", "store"),
        preset("three", "beena", "peak"),
        rollback("four", "asha", 1),
        preset("three", "beena", "peak"),
    ];

    let session = told(&store, requests).await;

    insta::assert_snapshot!(session);
}

#[tokio::test(start_paused = true)]
async fn two_operators_at_once() {
    let store = store_with(&["shop"]).await;
    let other = preset("theirs", "beena", "peak");
    store.fail("put head", Fault::Overtaken(vec![other]));

    let session = told(&store, vec![apply("mine", "asha", "mine")]).await;

    insta::assert_snapshot!(session);
}

#[tokio::test(start_paused = true)]
async fn lost_answers() {
    let store = store_with(&["shop"]).await;
    store.fail("put head", Fault::LostBefore);
    store.fail("put head", Fault::Unavailable);
    store.fail("put head", Fault::LostAfter);

    let session = told(&store, vec![apply("mine", "asha", "mine")]).await;

    insta::assert_snapshot!(session);
}

/// Replaces every digest by a name in the order of appearance.
fn named(text: &str) -> String {
    let mut seen: Vec<String> = Vec::new();
    let is_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    let words = text.split_inclusive(|c: char| !is_hex(c));
    words
        .map(|word| {
            let digest = word.trim_end_matches(|c: char| !is_hex(c));
            if digest.len() != 32 {
                return word.to_owned();
            }
            let known = seen.iter().position(|known| known == digest);
            let index = known.unwrap_or_else(|| {
                seen.push(digest.to_owned());
                seen.len() - 1
            });
            word.replace(digest, &format!("digest-{}", index + 1))
        })
        .collect()
}
