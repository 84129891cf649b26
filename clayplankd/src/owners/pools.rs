//! Which pools serve which models, looked up once from the settings.

use std::collections::BTreeMap;

use clayplank_settings::HostSettings;
use clayplank_types::{DataCentre, PoolId};

/// Pools by model, and where each pool stands.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolDirectory {
    by_model: BTreeMap<String, Vec<PoolId>>,
    /// A pool stands where its first engine does.
    data_centres: BTreeMap<PoolId, DataCentre>,
}

impl PoolDirectory {
    pub(crate) fn new(settings: &HostSettings) -> Self {
        let mut directory = Self::default();
        for engine in settings.engines() {
            directory
                .data_centres
                .entry(engine.pool.clone())
                .or_insert_with(|| engine.data_centre.clone());
            for model in &engine.models {
                let pools = directory.by_model.entry(model.clone()).or_default();
                if !pools.contains(&engine.pool) {
                    pools.push(engine.pool.clone());
                }
            }
        }
        directory
    }

    /// The pools that serve a model.
    pub(crate) fn of_model(&self, model: &str) -> &[PoolId] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }

    /// Every model.
    pub(crate) fn models(&self) -> impl Iterator<Item = &String> {
        self.by_model.keys()
    }

    /// Every pool.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &PoolId> {
        self.data_centres.keys()
    }

    pub(crate) fn data_centre(&self, pool: &PoolId) -> Option<&DataCentre> {
        self.data_centres.get(pool)
    }
}
