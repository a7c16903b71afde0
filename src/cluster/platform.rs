//! Stand-ins of the platform and the endpoints in a local cluster.

use super::layout::{ClusterOptions, Endpoint, Layout};
use crate::adapter::HttpLog;
use crate::environment::Environment;
use crate::ids::{Offset, ProgramId};
use crate::protocol::configuration::{
    CONFIGURATION_STREAM, Change, ChangeAction, ConfigurationRecord, Promotion,
};
use crate::protocol::log::Log;
use crate::protocol::vms::Vm;
use crate::standin::{
    EngineConfig, EngineStandin, LogConfig, LogStandin, ServiceAction, ServiceConfig,
    ServiceStandin, TokenLedger, VmsConfig, VmsStandin, WeightsConfig, WeightsStandin,
};
use crate::workload::{ActionRuns, Deployment, count_actions};
use anyhow::Context;
use std::collections::HashMap;
use std::time::Duration;
use strum::IntoEnumIterator;

/// Processing time of a service call before it takes effect, before scaling.
const SERVICE_WORK_TIME: Duration = Duration::from_millis(10);

/// Timeout of one append while environments are published.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);

/// Stand-ins of the platform and the endpoints in a local cluster.
pub struct Platform {
    /// Stand-in of the log.
    pub log: LogStandin,
    /// Stand-in of the service that lists VMs.
    pub vms: VmsStandin,
    /// Stand-in of the weight store.
    pub weights: WeightsStandin,
    /// Tokens that the engines have computed for each program.
    pub ledger: TokenLedger,
    engines: HashMap<Endpoint, EngineStandin>,
    services: HashMap<Endpoint, ServiceStandin>,
}

impl Platform {
    pub(super) async fn start(options: &ClusterOptions, layout: &Layout) -> anyhow::Result<Self> {
        let ledger = TokenLedger::default();
        let mut platform = Self {
            log: LogStandin::start(log_config(options)).await?,
            vms: VmsStandin::start(VmsConfig::default()).await?,
            weights: WeightsStandin::start(WeightsConfig::default()).await?,
            ledger,
            engines: HashMap::new(),
            services: HashMap::new(),
        };
        for (spec, seed) in layout.nodes.iter().zip(options.seed..) {
            if let Some(endpoint) = spec.endpoint {
                platform.start_endpoint(endpoint, options, seed).await?;
            }
        }
        Ok(platform)
    }

    async fn start_endpoint(
        &mut self,
        endpoint: Endpoint,
        options: &ClusterOptions,
        seed: u64,
    ) -> anyhow::Result<()> {
        match endpoint {
            Endpoint::Engine(deployment, _) => {
                let config = engine_config(deployment, options, seed);
                let engine = EngineStandin::start(config, self.ledger.clone()).await?;
                self.engines.insert(endpoint, engine);
            }
            Endpoint::Service(..) => {
                let config = ServiceConfig {
                    work: SERVICE_WORK_TIME.mul_f64(options.time_scale),
                    work_spread: SERVICE_WORK_TIME.mul_f64(options.time_scale),
                    seed,
                };
                let service = ServiceStandin::start(config).await?;
                self.services.insert(endpoint, service);
            }
        }
        Ok(())
    }

    /// Appends the environment of each deployment to the log and promotes it to production.
    pub(super) async fn publish_environments(&self) -> anyhow::Result<()> {
        let log = HttpLog::new(&self.log.url(), PUBLISH_TIMEOUT);
        for deployment in Deployment::iter() {
            let document = deployment.document().to_owned();
            let name = Environment::parse(&document, "example")?.name().to_owned();
            let version = append_change(&log, &name, 0, ChangeAction::Apply { document }).await?;
            let promotion = Promotion {
                evidence: Vec::new(),
                override_reason: Some("a local system".to_owned()),
            };
            append_change(&log, &name, version, ChangeAction::Promote(promotion)).await?;
        }
        Ok(())
    }

    /// Replaces the list of VMs.
    pub(super) fn set_vms(&self, vms: Vec<Vm>) {
        self.vms.set(vms);
    }

    /// Returns the URL of an endpoint, or an empty string if it is unknown.
    pub(super) fn endpoint_url(&self, endpoint: Endpoint) -> String {
        let engine = self.engines.get(&endpoint).map(EngineStandin::url);
        let service = || self.services.get(&endpoint).map(ServiceStandin::url);
        engine.or_else(service).unwrap_or_default()
    }

    /// Returns an engine; `None` for a service.
    pub fn engine(&self, endpoint: Endpoint) -> Option<&EngineStandin> {
        self.engines.get(&endpoint)
    }

    /// Returns a server of a service; `None` for an engine.
    pub fn service(&self, endpoint: Endpoint) -> Option<&ServiceStandin> {
        self.services.get(&endpoint)
    }

    /// Iterates over all engines, in no particular order.
    pub fn engines(&self) -> impl Iterator<Item = &EngineStandin> {
        self.engines.values()
    }

    /// Iterates over all servers of services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceStandin> {
        self.services.values()
    }

    /// Returns how often each non-repeatable action took effect.
    pub fn action_runs(&self) -> ActionRuns {
        let actions: Vec<ServiceAction> =
            self.services().flat_map(ServiceStandin::actions).collect();
        count_actions(&actions)
    }

    /// Returns the programs with cached tokens, and their sum over all engines.
    pub fn cached_programs(&self) -> HashMap<ProgramId, u64> {
        let mut cached = HashMap::new();
        for (program, tokens) in self.engines().flat_map(EngineStandin::cached_programs) {
            *cached.entry(program).or_insert(0) += tokens;
        }
        cached
    }
}

/// Appends a change of an environment to the log. Returns its offset, which is the new version.
async fn append_change(
    log: &HttpLog,
    environment: &str,
    expects: Offset,
    action: ChangeAction,
) -> anyhow::Result<Offset> {
    let change = ConfigurationRecord::Change(Change {
        environment: environment.to_owned(),
        expects,
        operator: "local".to_owned(),
        key: format!("{environment}-{expects}"),
        at_ms: 0,
        root: 0,
        action,
    });
    let mut data = Vec::new();
    ciborium::into_writer(&change, &mut data).context("cannot encode a configuration change")?;
    Ok(log.append(CONFIGURATION_STREAM, data).await?)
}

fn log_config(options: &ClusterOptions) -> LogConfig {
    LogConfig {
        appends_per_s: options.appends_per_s,
        burst: options.appends_per_s / 4.0,
        seed: options.seed,
        ..LogConfig::default()
    }
}

fn engine_config(deployment: Deployment, options: &ClusterOptions, seed: u64) -> EngineConfig {
    EngineConfig {
        time_scale: options.time_scale,
        models: vec![(deployment.model().to_owned(), 1)],
        seed,
        ..EngineConfig::default()
    }
}
