//! Which client account a call belongs to.

use cicadagw_call::access::is_stale;
use cicadagw_call::{Access, Reason};
use cicadagw_config::account::KeyDigest;
use cicadagw_config::{Account, Config};
use cicadagw_unit::rate::Priority;
use cicadagw_unit::time::{Span, Timestamp};

/// A configuration with one account, which has the key `one` and `priority`.
fn config(priority: Option<u8>) -> Config {
    let account = Account {
        keys: [KeyDigest::of(b"one")].into(),
        priority: priority.map(Priority::new),
        quota: None,
    };
    Config {
        accounts: [("north".parse().unwrap(), account)].into(),
        ..Config::default()
    }
}

/// Returns the name of the account that makes a call with `key`.
fn account(
    access: &Access,
    is_public: bool,
    key: Option<&str>,
    is_stale: bool,
) -> Result<Option<String>, Reason> {
    let key = key.map(|key| KeyDigest::of(key.as_bytes()));
    let account = access.account(is_public, key.as_ref(), is_stale)?;
    Ok(account.map(ToString::to_string))
}

#[test]
fn only_keys_of_accounts_give_access_to_routes_that_are_not_public() {
    let access = Access::new(&config(None));
    let north = || Ok(Some("north".to_owned()));

    for (is_public, key, expected) in [
        (false, Some("one"), north()),
        (false, Some("two"), Err(Reason::Unauthorized)),
        (false, Some(""), Err(Reason::Unauthorized)),
        (false, None, Err(Reason::Unauthorized)),
        (true, Some("one"), north()),
        (true, Some("two"), Ok(None)),
        (true, None, Ok(None)),
    ] {
        assert_eq!(account(&access, is_public, key, false), expected, "{key:?}");
    }
}

#[test]
fn without_accounts_no_call_needs_a_key() {
    let access = Access::new(&Config::default());

    assert_eq!(account(&access, false, Some("one"), true), Ok(None));
    assert_eq!(account(&access, false, None, true), Ok(None));
}

#[test]
fn the_priority_of_an_account_replaces_that_of_the_policy() {
    let of_policy = Priority::new(2);
    let north = "north".parse().unwrap();
    let priority = |config: &Config, account| Access::new(config).priority(account, of_policy);

    assert_eq!(priority(&config(Some(0)), Some(&north)), Priority::new(0));
    assert_eq!(priority(&config(None), Some(&north)), of_policy);
    assert_eq!(priority(&config(Some(0)), None), of_policy);
}

#[test]
fn no_key_counts_under_a_stale_configuration() {
    let access = Access::new(&config(None));

    for (is_public, key, expected) in [
        (false, Some("one"), Err(Reason::Stale)),
        (false, Some("two"), Err(Reason::Stale)),
        (false, None, Err(Reason::Stale)),
        (true, Some("one"), Ok(None)),
    ] {
        assert_eq!(account(&access, is_public, key, true), expected, "{key:?}");
    }
}

#[test]
fn configuration_is_stale_before_a_key_outlives_its_revocation() {
    let limit = Span::seconds(5);
    let now = Timestamp::new(100_000);

    for (age, expected) in [
        (0, false),
        (3_000, false),
        (4_800, false),
        (4_999, true),
        (9_000, true),
    ] {
        let confirmed_at = Some(now.before(Span::new(age)));
        assert_eq!(is_stale(now, confirmed_at, limit), expected, "{age}");
    }
    assert!(is_stale(now, None, limit));
}

#[test]
fn calls_need_keys_where_accounts_are_declared_even_if_there_is_none() {
    let config = Config {
        requires_keys: true,
        ..Config::default()
    };
    let access = Access::new(&config);

    let refused = account(&access, false, Some("one"), false);
    let public = account(&access, true, Some("one"), false);

    assert_eq!((refused, public), (Err(Reason::Unauthorized), Ok(None)));
}
