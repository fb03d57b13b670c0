//! Transcripts of sessions: every request to the platform and the reported outcome.

use cicadagw_accept::{Request, apply_change};

use crate::fixture::{apply, preset, rollback, store_with};
use crate::store::{Fake, Fault};

/// Runs the change requests in order and returns the requests to the platform and the outcomes.
async fn transcript(store: &Fake, requests: Vec<Request>) -> String {
    let mut lines = Vec::new();
    for request in requests {
        lines.push(format!("# {} by {}", request.change, request.operator));
        let outcome = apply_change(store, request).await;
        lines.push(store.calls());
        lines.push(format!("=> {}", serde_json::to_string(&outcome).unwrap()));
    }
    normalize_digests(&lines.join("\n"))
}

#[tokio::test(start_paused = true)]
async fn accepted_changes_and_a_repeated_change() {
    let store = Fake::default();
    let requests = vec![
        apply("one", "asha", "shop"),
        apply("two", "asha", "store"),
        preset("three", "beena", "peak"),
        rollback("four", "asha", 1),
        preset("three", "beena", "peak"),
    ];

    let transcript = transcript(&store, requests).await;

    insta::assert_snapshot!(transcript);
}

#[tokio::test(start_paused = true)]
async fn a_conflict_with_another_operator() {
    let store = store_with(&["shop"]).await;
    let other = preset("theirs", "beena", "peak");
    store.fail("put head", Fault::Superseded(vec![other]));

    let transcript = transcript(&store, vec![apply("mine", "asha", "mine")]).await;

    insta::assert_snapshot!(transcript);
}

#[tokio::test(start_paused = true)]
async fn lost_responses_to_head_updates() {
    let store = store_with(&["shop"]).await;
    store.fail("put head", Fault::LostBeforeEffect);
    store.fail("put head", Fault::Unavailable);
    store.fail("put head", Fault::LostAfterEffect);

    let transcript = transcript(&store, vec![apply("mine", "asha", "mine")]).await;

    insta::assert_snapshot!(transcript);
}

/// Replaces every digest by a name, numbered in the order of appearance.
fn normalize_digests(text: &str) -> String {
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
