//! Environments: what operators describe in one INI document.
//!
//! The document says what runs and by which rules. Whether the environment is in trial or in
//! production is not part of it: that is changed by promotion alone.

mod difference;
mod parts;
mod read;

use crate::ids::{ClientAccountId, EnvironmentId, FailureDomain, ModelId};
use crate::ini::Faults;
pub use crate::protocol::difference::Difference;
pub(crate) use difference::differences;
pub(crate) use parts::{
    BudgetRules, CacheRules, ClientAccount, DeadlineRules, LimitRules, Model, Objectives,
    PromotionRules, RateLimit, ServiceRules,
};
use std::collections::BTreeMap;

/// All faults of an environment document.
pub type EnvironmentErrors = Faults;

/// Between a model's name and its adapter's.
const ADAPTER_SEPARATOR: char = '/';

/// An environment, as its document describes it.
///
/// ```
/// use galenapick::Environment;
///
/// let text = "[environment]\nname = shop\n[model helper]\nversion = new\n";
/// let faults = Environment::parse(text, "shop.ini").unwrap_err();
/// assert!(faults.to_string().contains("shop.ini:4: [model helper] version"));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Environment {
    /// Its name.
    pub(crate) name: EnvironmentId,
    /// Failure domains in which its endpoints run; empty for all.
    pub(crate) failure_domains: Vec<FailureDomain>,
    /// Its models.
    pub(crate) models: BTreeMap<ModelId, Model>,
    /// Its services.
    pub(crate) services: BTreeMap<String, ServiceRules>,
    /// Who may use it.
    ///
    /// Invariant: no two client accounts have the same token hash.
    pub(crate) client_accounts: BTreeMap<ClientAccountId, ClientAccount>,
    /// What a program may spend.
    pub(crate) budget: BudgetRules,
    /// When a program must be done.
    pub(crate) deadline: DeadlineRules,
    /// What is promised to callers.
    pub(crate) objectives: Objectives,
    /// Limits of the environment as a whole.
    pub(crate) limits: LimitRules,
    /// How caches are kept between calls.
    pub(crate) cache: CacheRules,
    /// What must be shown before promotion.
    pub(crate) promotion: PromotionRules,
}

impl Environment {
    /// Parses a document; `file` is used in messages.
    pub fn parse(text: &str, file: &str) -> Result<Self, EnvironmentErrors> {
        read::read(text, file)
    }

    /// Returns the environment's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the version of a model or adapter, as callers name it; `None` if there is none.
    pub(crate) fn model_version(&self, id: &str) -> Option<u32> {
        match id.split_once(ADAPTER_SEPARATOR) {
            Some((model, adapter)) => self.models.get(model)?.adapters.get(adapter).copied(),
            None => self.models.get(id).map(|model| model.version),
        }
    }

    /// Lists every model and adapter with its version and the number of warm copies.
    pub(crate) fn deployments(&self) -> Vec<(ModelId, u32, u32)> {
        let mut all = Vec::new();
        for (id, model) in &self.models {
            all.push((id.clone(), model.version, model.warm_copies));
            for (adapter, version) in &model.adapters {
                let adapter_id = format!("{id}{ADAPTER_SEPARATOR}{adapter}");
                all.push((adapter_id, *version, model.warm_copies));
            }
        }
        all
    }

    /// Tells whether an operation may be repeated; `None` if there is no such operation.
    ///
    /// A caller may declare a repeatable operation non-repeatable, never the other way round.
    pub(crate) fn repeatable(&self, service: &str, operation: &str, caller: bool) -> Option<bool> {
        let rules = self.services.get(service)?;
        if !rules.operations.iter().any(|known| known == operation) {
            return None;
        }
        Some(caller && !rules.non_repeatable.iter().any(|name| name == operation))
    }
}
