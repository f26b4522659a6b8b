//! The tenants that a version of the configuration declares.

use displaydoc::Display;

use crate::key::KeyDigest;
use crate::name::TenantName;
use crate::rate::OperationRate;
use crate::rate::TenantQuota;

/// Declaration of a tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantRule {
    /// Name of the tenant.
    pub name: TenantName,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Quota of the tenant; `None` if it has no limit.
    pub quota: Option<TenantQuota>,
}

/// Parts of the declarations that are left out of a directory.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum DirectoryError {
    /// the tenant {0} is declared more than once
    DuplicateTenant(TenantName),
    /// the tenants {0} and {1} are declared with the same key
    SharedKey(TenantName, TenantName),
}

impl std::error::Error for DirectoryError {}

/// Tenants and their keys.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TenantDirectory {
    /// Sorted by name.
    tenants: Vec<(TenantName, Option<TenantQuota>)>,
    /// Keys with the index of their tenant, sorted by key.
    keys: Vec<(KeyDigest, u32)>,
    highest_rate: Option<OperationRate>,
}

impl TenantDirectory {
    /// Creates a directory of `rules`, and returns what had to be left out.
    ///
    /// Of several tenants with one name, none is known, as their limits and keys contradict each
    /// other. A key that several tenants have names none of them, since a target could be told the
    /// wrong one.
    pub fn new(mut rules: Vec<TenantRule>) -> (Self, Vec<DirectoryError>) {
        let mut errors = Vec::new();
        rules.sort_by(|a, b| a.name.cmp(&b.name));
        let is_duplicate = rules
            .iter()
            .enumerate()
            .map(|(i, rule)| {
                let is_equal =
                    |other: Option<&TenantRule>| other.is_some_and(|other| other.name == rule.name);
                is_equal(i.checked_sub(1).and_then(|i| rules.get(i))) || is_equal(rules.get(i + 1))
            })
            .collect::<Vec<_>>();
        let mut tenants = Vec::new();
        let mut keys = Vec::new();
        for (rule, is_duplicate) in rules.into_iter().zip(is_duplicate) {
            if is_duplicate {
                let error = DirectoryError::DuplicateTenant(rule.name);
                if !errors.contains(&error) {
                    errors.push(error);
                }
                continue;
            }
            let index = u32::try_from(tenants.len()).expect("fewer than 2^32 tenants");
            keys.extend(rule.keys.into_iter().map(|key| (key, index)));
            tenants.push((rule.name, rule.quota));
        }
        keys.sort_unstable();
        keys.dedup();
        let shared = keys
            .windows(2)
            .filter(|pair| pair[0].0 == pair[1].0)
            .map(|pair| (pair[0].0, pair[0].1, pair[1].1))
            .collect::<Vec<_>>();
        for (key, first, second) in shared {
            let name = |index: u32| tenants[index as usize].0.clone();
            errors.push(DirectoryError::SharedKey(name(first), name(second)));
            keys.retain(|(known, _)| *known != key);
        }
        let rates = tenants
            .iter()
            .filter_map(|(_, quota)| Some(quota.as_ref()?.rate));
        let highest_rate =
            rates.max_by(|a: &OperationRate, b| a.per_second().total_cmp(&b.per_second()));
        let directory = Self {
            tenants,
            keys,
            highest_rate,
        };
        (directory, errors)
    }

    /// Returns the tenant that holds a key, or `None` if no tenant does.
    pub fn tenant_of(&self, key: &KeyDigest) -> Option<&TenantName> {
        let found = self.keys.binary_search_by(|(known, _)| known.cmp(key));
        found.ok().map(|i| &self.tenants[self.keys[i].1 as usize].0)
    }

    /// Returns the quota of a tenant; `None` if it has no limit or is not declared.
    pub fn quota_of(&self, tenant: &TenantName) -> Option<TenantQuota> {
        let found = self.tenants.binary_search_by(|(name, _)| name.cmp(tenant));
        found.ok().and_then(|i| self.tenants[i].1)
    }

    /// Returns the highest rate of a tenant; `None` if no tenant has a limit.
    pub fn highest_rate(&self) -> Option<OperationRate> {
        self.highest_rate
    }

    /// Returns the tenants that have a limit, in the order of their names.
    pub fn limited_tenants(&self) -> impl Iterator<Item = &TenantName> {
        let limited = self.tenants.iter().filter(|(_, quota)| quota.is_some());
        limited.map(|(name, _)| name)
    }

    /// Returns the number of tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Returns whether no tenant is declared.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}
