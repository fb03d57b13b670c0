//! The reports that the leader of a rollout has received.

use std::collections::{BTreeMap, VecDeque};

use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};
use smallvec::SmallVec;

use crate::{Report, Tally};

/// How far back the recent counts reach: a release may turn bad late, and many good answers before
/// must not hide that.
const WINDOW: Span = Span::seconds(3);

/// How many reports of one backend server are kept.
const KEPT_MAX: usize = 16;

/// What is known of the calls to one backend server.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Sample {
    /// The counts by policy.
    pub policies: SmallVec<[(id::Policy, Tally); 4]>,
    /// The counts of all calls.
    pub total: Tally,
}

impl Sample {
    /// Returns the counts of a policy, or of all calls.
    pub fn of(&self, policy: Option<&id::Policy>) -> Tally {
        let Some(policy) = policy else {
            return self.total;
        };
        let found = self.policies.iter().find(|(known, _)| known == policy);
        found.map_or_else(Tally::default, |(_, tally)| *tally)
    }

    fn since(&self, earlier: &Self) -> Self {
        let policies = self.policies.iter().map(|(policy, tally)| {
            let before = earlier.of(Some(policy));
            (policy.clone(), tally.since(before))
        });
        Self {
            policies: policies.collect(),
            total: self.total.since(earlier.total),
        }
    }
}

/// The reports about one backend server.
#[derive(Clone, Debug)]
pub(crate) struct Host {
    /// When the last report arrived, and the report.
    pub(crate) last: (Timestamp, Report),
    /// Earlier counts, oldest first.
    earlier: VecDeque<(Timestamp, Sample)>,
    /// The calls that an earlier process of the node had counted.
    forgotten: u64,
}

impl Host {
    /// Returns how many calls were sent to the backend server.
    const fn sent(&self) -> u64 {
        self.forgotten.saturating_add(self.last.1.total.sent)
    }

    fn sample(&self) -> Sample {
        Sample {
            policies: self.last.1.policies.clone(),
            total: self.last.1.total,
        }
    }

    /// Returns the counts of about the last [`WINDOW`].
    fn recent(&self) -> Sample {
        let first = self.earlier.front();
        first.map_or_else(|| self.sample(), |(_, first)| self.sample().since(first))
    }
}

/// The reports about the backend servers of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reports {
    hosts: BTreeMap<id::Endpoint, Host>,
}

impl Reports {
    /// Adds a report; a delayed one that counts less than the last one of the same process only
    /// counts as one of a new process.
    pub(crate) fn add(&mut self, now: Timestamp, report: Report) {
        let Some(host) = self.hosts.get_mut(&report.endpoint) else {
            let host = Host {
                last: (now, report.clone()),
                earlier: VecDeque::from([(now, Sample::default())]),
                forgotten: 0,
            };
            self.hosts.insert(report.endpoint, host);
            return;
        };
        if report.total.sent < host.last.1.total.sent {
            host.forgotten = host.sent();
            host.earlier.clear();
        } else {
            let (at, sample) = (host.last.0, host.sample());
            host.earlier.push_back((at, sample));
        }
        let is_old = |(at, _): &(Timestamp, Sample)| now.since(*at) > WINDOW;
        while host.earlier.len() > KEPT_MAX || host.earlier.front().is_some_and(is_old) {
            host.earlier.pop_front();
        }
        host.last = (now, report);
    }

    /// Returns the last report about an endpoint.
    pub(crate) fn get(&self, endpoint: &id::Endpoint) -> Option<&Host> {
        self.hosts.get(endpoint)
    }

    /// Returns the reports about all backend servers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
    }

    /// Returns how many calls were sent to the backend servers whose release `belongs`.
    pub(crate) fn sent(&self, belongs: impl Fn(&Report) -> bool) -> u64 {
        let hosts = self.hosts.values().filter(|host| belongs(&host.last.1));
        hosts.map(Host::sent).fold(0, u64::saturating_add)
    }

    /// Returns the counts of the backend servers whose release `belongs`: those since the beginning,
    /// and the recent ones.
    pub(crate) fn samples(
        &self,
        belongs: impl Fn(&Report) -> bool,
    ) -> (SmallVec<[Sample; 8]>, SmallVec<[Sample; 8]>) {
        let hosts = || self.hosts.values().filter(|host| belongs(&host.last.1));
        (
            hosts().map(Host::sample).collect(),
            hosts().map(Host::recent).collect(),
        )
    }
}
