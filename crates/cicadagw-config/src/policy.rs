//! Service policies.

use bon::Builder;
use cicadagw_unit::rate::{Permille, Priority};
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::Span;

/// How calls are treated.
#[derive(Builder, Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// How often a call is tried at the most, the first time included.
    #[builder(default = 3)]
    pub attempts: u8,
    /// How many calls one backend server runs at once.
    #[builder(default = Slots::new(10))]
    pub concurrency: Slots,
    /// Which calls may run more than once.
    #[builder(default)]
    pub idempotency: Idempotency,
    /// The rank of the calls where they wait for a backend server.
    #[builder(default)]
    #[serde(default, skip_serializing_if = "is_first")]
    pub priority: Priority,
    /// How many calls wait for one backend server.
    #[builder(default = Slots::new(20))]
    pub queue: Slots,
    /// How many retries there may be for every thousand calls.
    #[builder(default = Permille::new(200))]
    pub retry_budget: Permille,
    /// Within which time an answer is worth most; an answer may take as long as `timeout` if there
    /// is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_latency: Option<Span>,
    /// How long a call may take in all.
    #[builder(default = Span::seconds(2))]
    pub timeout: Span,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_first(priority: &Priority) -> bool {
    *priority == Priority::default()
}

/// Which calls are idempotent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// Those whose method is idempotent in HTTP.
    #[default]
    ByMethod,
    /// All of them.
    Always,
    /// None of them.
    Never,
}

/// What a preset changes in a policy; what it does not name stays.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Override {
    /// Replaces [`Policy::attempts`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u8>,
    /// Replaces [`Policy::concurrency`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrency: Option<Slots>,
    /// Replaces [`Policy::queue`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue: Option<Slots>,
    /// Replaces [`Policy::retry_budget`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_budget: Option<Permille>,
    /// Replaces [`Policy::timeout`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub timeout: Option<Span>,
}

impl Override {
    /// Returns `policy` with this change.
    pub fn apply(&self, policy: &Policy) -> Policy {
        Policy {
            attempts: self.attempts.unwrap_or(policy.attempts),
            concurrency: self.concurrency.unwrap_or(policy.concurrency),
            idempotency: policy.idempotency,
            priority: policy.priority,
            queue: self.queue.unwrap_or(policy.queue),
            retry_budget: self.retry_budget.unwrap_or(policy.retry_budget),
            target_latency: policy.target_latency,
            timeout: self.timeout.unwrap_or(policy.timeout),
        }
    }
}
