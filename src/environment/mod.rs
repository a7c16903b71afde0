//! Environments, each described by an INI document.
//!
//! The document lists the models, services and client accounts of an environment and its rules. It
//! does not contain the stage (trial or production), which only a promotion changes.

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

/// All faults found in an environment document.
pub type EnvironmentErrors = Faults;

/// Separates the names of a model and its adapter in a model id.
const ADAPTER_SEPARATOR: char = '/';

/// A validated environment document.
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
    /// Name of the environment.
    pub(crate) name: EnvironmentId,
    /// Failure domains in which the endpoints run; empty for all.
    pub(crate) failure_domains: Vec<FailureDomain>,
    /// Models by id, without adapters.
    pub(crate) models: BTreeMap<ModelId, Model>,
    /// Services by name.
    pub(crate) services: BTreeMap<String, ServiceRules>,
    /// Client accounts that may use the environment.
    ///
    /// Invariant: no two client accounts have the same token hash.
    pub(crate) client_accounts: BTreeMap<ClientAccountId, ClientAccount>,
    /// Default and largest budget of a program.
    pub(crate) budget: BudgetRules,
    /// Default and latest deadline of a program.
    pub(crate) deadline: DeadlineRules,
    /// Service-level objectives.
    pub(crate) objectives: Objectives,
    /// Limits of the whole environment.
    pub(crate) limits: LimitRules,
    /// Rules for caches between calls.
    pub(crate) cache: CacheRules,
    /// Conditions for promotion to production.
    pub(crate) promotion: PromotionRules,
}

impl Environment {
    /// Parses and validates a document. `file` is its name in messages.
    pub fn parse(text: &str, file: &str) -> Result<Self, EnvironmentErrors> {
        read::read(text, file)
    }

    /// Returns the name of the environment.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the configured version of a model `MODEL` or an adapter `MODEL/ADAPTER`; `None` if the
    /// environment does not have it.
    pub(crate) fn model_version(&self, id: &str) -> Option<u32> {
        match id.split_once(ADAPTER_SEPARATOR) {
            Some((model, adapter)) => self.models.get(model)?.adapters.get(adapter).copied(),
            None => self.models.get(id).map(|model| model.version),
        }
    }

    /// Returns the id, version and number of warm copies of all models and adapters.
    pub(crate) fn models_to_load(&self) -> Vec<(ModelId, u32, u32)> {
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

    /// Returns whether an operation may be repeated; `None` if the operation is not known.
    ///
    /// An operation is repeatable only if both the document and the caller allow it.
    pub(crate) fn repeatable(
        &self,
        service: &str,
        operation: &str,
        caller_allows: bool,
    ) -> Option<bool> {
        let rules = self.services.get(service)?;
        if !rules.operations.iter().any(|known| known == operation) {
            return None;
        }
        Some(caller_allows && !rules.non_repeatable.iter().any(|name| name == operation))
    }
}
