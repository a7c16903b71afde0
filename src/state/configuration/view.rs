//! The configuration as the nodes use it.

use crate::environment::Environment;
use crate::ids::{ClientAccountId, EnvironmentId, Offset};
use crate::protocol::configuration::{AcceptedChange, ConfigurationImage, EnvironmentImage, Stage};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The configuration in force at one version.
///
/// Invariant: everything here is a function of the image.
#[derive(Clone, Debug, Default)]
pub(crate) struct Configuration {
    image: ConfigurationImage,
    environments: BTreeMap<EnvironmentId, EnvironmentView>,
    client_accounts: HashMap<[u8; 32], (EnvironmentId, ClientAccountId)>,
}

/// An environment in service.
#[derive(Clone, Debug)]
pub(crate) struct EnvironmentView {
    /// Trial or production.
    pub(crate) stage: Stage,
    /// What its document says.
    pub(crate) environment: Arc<Environment>,
}

impl Configuration {
    /// Reads an image. Documents are parsed again only if they differ from those of `before`.
    pub(crate) fn new(image: ConfigurationImage, before: &Configuration) -> Self {
        let mut configuration = Self::default();
        for environment in image.environments.iter().filter(|image| !image.retired) {
            if let Some(view) = read_view(environment, before) {
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

    /// Returns the image that this was read from.
    pub(crate) fn image(&self) -> &ConfigurationImage {
        &self.image
    }

    /// Returns an environment in service.
    pub(crate) fn environment(&self, name: &str) -> Option<&EnvironmentView> {
        self.environments.get(name)
    }

    /// Returns all environments in service, by name.
    pub(crate) fn environments(&self) -> &BTreeMap<EnvironmentId, EnvironmentView> {
        &self.environments
    }

    /// Finds whose bearer token has this BLAKE3 hash.
    pub(crate) fn client_account_by_token(
        &self,
        hash: &[u8; 32],
    ) -> Option<&(EnvironmentId, ClientAccountId)> {
        self.client_accounts.get(hash)
    }

    /// Returns an environment's image, retired or not.
    pub(crate) fn environment_image(&self, name: &str) -> Option<&EnvironmentImage> {
        find_environment(&self.image, name)
    }

    /// Returns an environment's version; 0 if it never was.
    pub(crate) fn environment_version(&self, name: &str) -> Offset {
        self.environment_image(name)
            .map_or(0, |image| image.version)
    }

    /// Finds the accepted change of an operation.
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
            .find(|note| note.operator == operator && note.key == key)
    }
}

/// Finds an environment in an image.
pub(super) fn find_environment<'a>(
    image: &'a ConfigurationImage,
    name: &str,
) -> Option<&'a EnvironmentImage> {
    let position = environment_position(image, name).ok()?;
    image.environments.get(position)
}

/// Returns where an environment stands in an image, or would stand.
pub(super) fn environment_position(image: &ConfigurationImage, name: &str) -> Result<usize, usize> {
    let names = |environment: &EnvironmentImage| environment.name.as_str().cmp(name);
    image.environments.binary_search_by(names)
}

fn read_view(image: &EnvironmentImage, before: &Configuration) -> Option<EnvironmentView> {
    let same =
        find_environment(&before.image, &image.name).filter(|old| old.document == image.document);
    let known = same.and_then(|_| before.environment(&image.name));
    let environment = match known {
        Some(view) => view.environment.clone(),
        None => parse(image)?,
    };
    Some(EnvironmentView {
        stage: image.stage,
        environment,
    })
}

/// Parses a document. Entries accept sound documents only, so a fault means an older release.
fn parse(image: &EnvironmentImage) -> Option<Arc<Environment>> {
    match Environment::parse(&image.document, &image.name) {
        Ok(environment) => Some(Arc::new(environment)),
        Err(faults) => {
            log::error!(
                target: "configuration",
                "configuration: {} at version {} cannot be read here: {faults}",
                image.name,
                image.version
            );
            None
        }
    }
}
