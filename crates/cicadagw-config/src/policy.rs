//! Policies, and the overrides of their fields by presets.

use bon::Builder;
use cicadagw_unit::rate::{Permille, Priority};
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::Span;

/// The timeouts, retries and concurrency limits of calls.
#[derive(Builder, Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// The maximum number of attempts of a call, the first one included.
    #[builder(default = 3)]
    pub attempts: u8,
    /// The maximum number of calls that one backend server executes concurrently.
    #[builder(default = Slots::new(10))]
    pub concurrency: Slots,
    /// Which calls may be retried after they may have been executed.
    #[builder(default)]
    pub idempotency: Idempotency,
    /// The priority of the calls in the queue of a backend server.
    #[builder(default)]
    #[serde(default, skip_serializing_if = "is_first")]
    pub priority: Priority,
    /// The maximum length of the queue of calls in front of one backend server.
    #[builder(default = Slots::new(20))]
    pub queue: Slots,
    /// The share of a retry that each call adds to the retry budget of its service.
    #[builder(default = Permille::new(200))]
    pub retry_budget: Permille,
    /// The response time to aim for; without one, a response may take as long as `timeout`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_latency: Option<Span>,
    /// The maximum duration of a call, all attempts included.
    #[builder(default = Span::seconds(2))]
    pub timeout: Span,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
/// Returns whether `priority` is the default, which is not serialized.
fn is_first(priority: &Priority) -> bool {
    *priority == Priority::default()
}

/// Which calls are idempotent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// Calls whose method HTTP defines as idempotent.
    #[default]
    ByMethod,
    /// All calls.
    Always,
    /// No calls.
    Never,
}

/// The fields of a policy that a preset overrides; those that are not set keep the value of the
/// policy, and so do the idempotency, the priority and the target latency, which no preset overrides.
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
    /// Returns `policy` with the overrides applied.
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
