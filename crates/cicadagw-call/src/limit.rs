//! The rate limit that a backend server names in its responses, as `charts/limit.jsonc` defines it.
//!
//! All calls to a backend server pass through the node on its host, so a token bucket there holds
//! the limit over the whole fleet.

use std::sync::LazyLock;

use cicadagw_chart::names;
use cicadagw_unit::rate::{CallRate, Priority};
use cicadagw_unit::time::{Span, Timestamp};

names! {
    /// What is known of the limit.
    pub enum State {
        /// No response has arrived yet; a limit may apply.
        Unknown = "unknown",
        /// The last response named no limit.
        Unlimited = "unlimited",
        /// The last response named a limit.
        Limited = "limited",
    }
}

names! {
    /// A response of the backend server.
    pub enum Event {
        /// The response named a limit.
        Named = "named",
        /// The response named none.
        NotNamed = "not-named",
    }
}

names! {
    /// The guards of this chart; it has none.
    pub enum Guard {}
}

names! {
    /// An action that a transition asks for.
    pub enum Action {
        /// Hold the named limit from now on.
        Apply = "apply",
        /// Hold no limit.
        Lift = "lift",
    }
}

/// The state chart of a limit.
pub type Chart = cicadagw_chart::Chart<State, Event, Guard, Action>;

/// Returns the state chart of a limit, parsed once.
pub fn chart() -> &'static Chart {
    static CHART: LazyLock<Chart> = LazyLock::new(|| {
        let text = include_str!("../../../charts/limit.jsonc");
        Chart::load("charts/limit.jsonc", text).expect("the embedded chart is checked by a test")
    });
    &CHART
}

/// How many calls may be in flight to a backend server that an earlier process of this node has
/// served, before the first response tells whether a limit applies.
const UNKNOWN_IN_FLIGHT_MAX: u32 = 4;

/// How long that holds; responses of a backend server may take much longer than a call usually does.
const UNKNOWN_MAX: Span = Span::seconds(1);

/// How long a call is asked to wait while it is not known whether a limit applies: about the time
/// of a call.
const UNKNOWN_WAIT: Span = Span::new(100);

/// The time whose calls may be made at once, in milliseconds.
const BURST_MS: u64 = 500;

/// The lowest rate at which calls are made: only a response tells that a limit has ended.
const RATE_MIN: CallRate = CallRate::from_milli(200);

/// One call, in the unit of the bucket: millionths of a call. A rate in thousandths of a call per
/// second adds its number of them each millisecond.
const CALL: u64 = 1_000_000;

/// The part of the burst that each step of priority leaves to more urgent calls, in thousandths.
const RESERVE_PERMILLE_PER_PRIORITY: u64 = 150;

/// The largest part of the burst that is left to more urgent calls, in thousandths.
const RESERVE_PERMILLE_MAX: u64 = 600;

/// The limit of one backend server, and the calls that it leaves.
#[derive(Clone, Debug)]
pub struct Limit {
    state: State,
    /// The rate that is held; `None` without a limit.
    rate: Option<CallRate>,
    /// Until when few calls are made while the limit is unknown.
    unknown_until: Timestamp,
    /// What is in the bucket, in millionths of a call.
    tokens: u64,
    /// When `tokens` was last brought up to date.
    updated: Timestamp,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            state: chart().initial(),
            rate: None,
            unknown_until: Timestamp::default(),
            tokens: 0,
            updated: Timestamp::default(),
        }
    }
}

impl Limit {
    /// Creates the limit of a backend server that an earlier process of this node has served: it may
    /// have named a limit then.
    pub fn forgotten(now: Timestamp) -> Self {
        Self {
            unknown_until: now.after(UNKNOWN_MAX),
            ..Self::default()
        }
    }

    /// Returns the named rate, if a limit applies.
    pub const fn rate(&self) -> Option<CallRate> {
        self.rate
    }

    /// Returns what is known of the limit.
    pub const fn state(&self) -> State {
        self.state
    }

    /// Processes a response that names `stated` or no limit; returns whether the limit has changed.
    pub fn observe(&mut self, now: Timestamp, stated: Option<CallRate>) -> bool {
        self.refill(now);
        let before = self.rate;
        let event = if stated.is_some() {
            Event::Named
        } else {
            Event::NotNamed
        };
        let step = chart().step(self.state, event, |guard| match guard {});
        self.state = step.to;
        for action in step.actions {
            match action {
                Action::Apply => {
                    self.rate = stated;
                    self.tokens = self.tokens.min(self.burst());
                }
                Action::Lift => self.rate = None,
            }
        }
        self.rate != before
    }

    /// Takes a call of `priority` from the limit; `in_flight` calls are running or queued.
    ///
    /// # Errors
    ///
    /// Returns the time after which the limit allows the call, if it does not now.
    pub fn take(&mut self, now: Timestamp, priority: Priority, in_flight: u32) -> Result<(), Span> {
        match self.state {
            State::Unknown if now < self.unknown_until && in_flight >= UNKNOWN_IN_FLIGHT_MAX => {
                Err(UNKNOWN_WAIT)
            }
            State::Unknown | State::Unlimited => Ok(()),
            State::Limited => {
                self.refill(now);
                let needed = CALL + self.reserve(priority);
                if self.tokens >= needed {
                    self.tokens -= CALL;
                    return Ok(());
                }
                let wait = (needed - self.tokens).div_ceil(self.refill_rate());
                Err(Span::new(wait))
            }
        }
    }

    /// Gives back a call that was taken and is not made.
    pub fn give_back(&mut self) {
        self.tokens = (self.tokens + CALL).min(self.burst());
    }

    /// Adds what has accrued since the last update.
    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated).get();
        self.updated = now;
        let accrued = elapsed.saturating_mul(self.refill_rate());
        self.tokens = self.tokens.saturating_add(accrued).min(self.burst());
    }

    /// Returns how much is added each millisecond, in millionths of a call.
    fn refill_rate(&self) -> u64 {
        self.rate.unwrap_or(RATE_MIN).max(RATE_MIN).milli()
    }

    /// Returns the capacity of the bucket, in millionths of a call.
    fn burst(&self) -> u64 {
        (self.refill_rate() * BURST_MS).max(CALL)
    }

    /// Returns how much a call of `priority` leaves to more urgent ones, in millionths of a call; the
    /// bucket always has room for a call beyond it.
    fn reserve(&self, priority: Priority) -> u64 {
        let permille = u64::from(priority.get()) * RESERVE_PERMILLE_PER_PRIORITY;
        (self.burst() - CALL) * permille.min(RESERVE_PERMILLE_MAX) / 1_000
    }
}
