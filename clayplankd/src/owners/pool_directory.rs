//! Directory of pools by model, built once from the settings.

use std::collections::BTreeMap;

use clayplank_settings::HostSettings;
use clayplank_types::{DataCentre, PoolId};

/// Pools that serve each model, and the data centre of each pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolDirectory {
    by_model: BTreeMap<String, Vec<PoolId>>,
    /// Data centre of the first engine of each pool.
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

    /// Pools that serve `model`, in the order of the settings; empty for an unknown model.
    pub(crate) fn of_model(&self, model: &str) -> &[PoolId] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }

    /// All models that some pool serves.
    pub(crate) fn models(&self) -> impl Iterator<Item = &String> {
        self.by_model.keys()
    }

    /// All pools, in the order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &PoolId> {
        self.data_centres.keys()
    }

    pub(crate) fn data_centre(&self, pool: &PoolId) -> Option<&DataCentre> {
        self.data_centres.get(pool)
    }
}
