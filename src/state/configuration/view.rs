//! The configuration in the form that nodes use.

use crate::environment::Environment;
use crate::ids::{ClientAccountId, EnvironmentId, Offset};
use crate::protocol::configuration::{AcceptedChange, ConfigurationImage, EnvironmentImage, Stage};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The configuration in force at one version.
///
/// Invariant: all fields are derived from the image.
#[derive(Clone, Debug, Default)]
pub(crate) struct Configuration {
    image: ConfigurationImage,
    environments: BTreeMap<EnvironmentId, EnvironmentView>,
    client_accounts: HashMap<[u8; 32], (EnvironmentId, ClientAccountId)>,
}

/// An environment in service.
#[derive(Clone, Debug)]
pub(crate) struct EnvironmentView {
    /// Its stage.
    pub(crate) stage: Stage,
    /// Its parsed document.
    pub(crate) environment: Arc<Environment>,
}

impl Configuration {
    /// Builds the configuration from an image. Documents equal to those of `previous` are not
    /// parsed again.
    pub(crate) fn new(image: ConfigurationImage, previous: &Configuration) -> Self {
        let mut configuration = Self::default();
        for environment in image
            .environments
            .iter()
            .filter(|environment| !environment.retired)
        {
            if let Some(view) = build_view(environment, previous) {
                configuration.insert(&environment.name, view);
            }
        }
        configuration.image = image;
        configuration
    }

    fn insert(&mut self, name: &EnvironmentId, view: EnvironmentView) {
        for (client_account, rules) in &view.environment.client_accounts {
            let caller = (name.clone(), client_account.clone());
            self.client_accounts
                .entry(rules.token_hash)
                .or_insert(caller);
        }
        self.environments.insert(name.clone(), view);
    }

    /// Returns the offset of the last accepted change; 0 if there is none.
    pub(crate) fn version(&self) -> Offset {
        self.image.version
    }

    /// Returns the image from which the configuration was built.
    pub(crate) fn image(&self) -> &ConfigurationImage {
        &self.image
    }

    /// Finds an environment in service.
    pub(crate) fn environment(&self, name: &str) -> Option<&EnvironmentView> {
        self.environments.get(name)
    }

    /// Returns all environments in service, sorted by name.
    pub(crate) fn environments(&self) -> &BTreeMap<EnvironmentId, EnvironmentView> {
        &self.environments
    }

    /// Finds the environment and client account whose bearer token has this BLAKE3 hash.
    pub(crate) fn client_account_by_token(
        &self,
        hash: &[u8; 32],
    ) -> Option<&(EnvironmentId, ClientAccountId)> {
        self.client_accounts.get(hash)
    }

    /// Finds the image of an environment, including a retired one.
    pub(crate) fn environment_image(&self, name: &str) -> Option<&EnvironmentImage> {
        find_environment(&self.image, name)
    }

    /// Returns the version of an environment; 0 if it does not exist.
    pub(crate) fn environment_version(&self, name: &str) -> Offset {
        self.environment_image(name)
            .map_or(0, |image| image.version)
    }

    /// Finds the accepted change with an operator's idempotency key.
    pub(crate) fn accepted_change(
        &self,
        name: &str,
        operator: &str,
        key: &str,
    ) -> Option<&AcceptedChange> {
        let changes = &self.environment_image(name)?.changes;
        changes
            .iter()
            .rev()
            .find(|change| change.operator == operator && change.key == key)
    }
}

/// Finds an environment in an image.
pub(super) fn find_environment<'a>(
    image: &'a ConfigurationImage,
    name: &str,
) -> Option<&'a EnvironmentImage> {
    let index = environment_position(image, name).ok()?;
    image.environments.get(index)
}

/// Returns the index of an environment in an image, or its insertion index as the error.
pub(super) fn environment_position(image: &ConfigurationImage, name: &str) -> Result<usize, usize> {
    let compare = |environment: &EnvironmentImage| environment.name.as_str().cmp(name);
    image.environments.binary_search_by(compare)
}

fn build_view(image: &EnvironmentImage, previous: &Configuration) -> Option<EnvironmentView> {
    let unchanged =
        find_environment(&previous.image, &image.name).filter(|old| old.document == image.document);
    let reusable = unchanged.and_then(|_| previous.environment(&image.name));
    let environment = match reusable {
        Some(view) => view.environment.clone(),
        None => parse(image)?,
    };
    Some(EnvironmentView {
        stage: image.stage,
        environment,
    })
}

/// Parses a document. Entries accept only valid documents, so a fault means that this process runs
/// an older release.
fn parse(image: &EnvironmentImage) -> Option<Arc<Environment>> {
    match Environment::parse(&image.document, &image.name) {
        Ok(environment) => Some(Arc::new(environment)),
        Err(faults) => {
            log::error!(
                target: "configuration",
                "configuration: {} at version {} cannot be parsed by this release: {faults}",
                image.name,
                image.version
            );
            None
        }
    }
}
