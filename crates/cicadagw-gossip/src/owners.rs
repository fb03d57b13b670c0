//! Which nodes own the parts of an account's quota.
//!
//! Each failure domain has as many parts as the others, owned by the nodes of the domain that rank
//! highest for the account. So a failure domain that is cut off from the others keeps its parts, and
//! the loss of one node costs an account at most one part of [`PARTS_MIN`].

use std::collections::BTreeMap;

use cicadagw_unit::id;
use smallvec::SmallVec;

use crate::{Member, Table, hash};

/// The number of parts that a quota has at least, if there are as many nodes.
pub const PARTS_MIN: usize = 4;

/// The nodes that may own parts, by failure domain: those that are not leaving.
pub(crate) struct Owners<'t> {
    domains: BTreeMap<&'t id::Domain, Vec<&'t Member>>,
}

impl<'t> Owners<'t> {
    /// Returns the nodes of `table` that may own parts.
    pub(crate) fn of(table: &'t Table) -> Self {
        let mut domains: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for member in table.iter().filter(|member| !member.is_leaving) {
            domains.entry(&member.domain).or_default().push(member);
        }
        Self { domains }
    }

    /// Adds a node that has left.
    pub(crate) fn add(&mut self, member: &'t Member) {
        self.domains.entry(&member.domain).or_default().push(member);
    }

    /// Returns the number of parts of each quota.
    pub(crate) fn parts(&self) -> usize {
        let most = self.parts_per_domain();
        let parts = self.domains.values().map(|members| members.len().min(most));
        parts.sum()
    }

    /// Returns the owners of the parts of a quota, in the order in which `own` asks them: those of its
    /// own failure domain, of its region, and the others.
    pub(crate) fn in_order(
        &self,
        account: &id::Account,
        own: &Member,
    ) -> SmallVec<[&'t Member; 8]> {
        let mut domains: SmallVec<[&id::Domain; 8]> = self.domains.keys().copied().collect();
        let distance = |domain: &id::Domain| {
            let is_near = |member: &&&Member| member.region == own.region;
            let members = self.domains.get(domain);
            let is_far = members
                .and_then(|members| members.iter().find(is_near))
                .is_none();
            (*domain != own.domain, is_far)
        };
        domains.sort_by_key(|domain| distance(domain));
        let owners = domains
            .iter()
            .flat_map(|domain| self.in_domain(account, domain));
        owners.collect()
    }

    /// Returns whether `own` owns a part of a quota.
    pub(crate) fn owns(&self, account: &id::Account, own: &Member) -> bool {
        let owners = self.in_domain(account, &own.domain);
        owners.iter().any(|owner| owner.node == own.node)
    }

    /// Returns the owners in a failure domain: the nodes that rank highest.
    fn in_domain(&self, account: &id::Account, domain: &id::Domain) -> SmallVec<[&'t Member; 4]> {
        let mut ranked: Vec<_> = self
            .domains
            .get(domain)
            .into_iter()
            .flatten()
            .map(|member| (hash::rank(account, &member.node), *member))
            .collect();
        ranked.sort_by(|left, right| (right.0, &right.1.node).cmp(&(left.0, &left.1.node)));
        let owners = ranked.into_iter().take(self.parts_per_domain());
        owners.map(|(_, member)| member).collect()
    }

    /// Returns how many parts a failure domain has at most.
    fn parts_per_domain(&self) -> usize {
        PARTS_MIN.div_ceil(self.domains.len().max(1))
    }
}
