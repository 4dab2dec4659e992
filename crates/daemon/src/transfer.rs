//! Moves KV cache blocks between cache stores and engines.
//!
//! A failure here only costs time: a block that is not imported is recomputed, and one that is not
//! exported is recomputed when a later request has the same prefix.

use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::id::{StoreId, UpstreamId, VersionId};
use acacia_policy::dispatch::{Attempt, Event, Holding, Import};
use acacia_policy::request::BlockKey;
use acacia_store::Metadata;
use acacia_upstream::engine::Block;
use futures::{StreamExt, future, stream};
use tokio::sync::mpsc;
use tracing::Instrument;

use crate::job::{Job, Prompt, Work};
use crate::traffic::Traffic;

/// Most blocks that an attempt imports at once.
const MAX_CONCURRENT_IMPORTS: usize = 2;
/// Timeout of a store's lookup.
const FIND_TIMEOUT: Duration = Duration::from_millis(500);

/// Blocks to copy from an engine to cache stores.
#[derive(Debug)]
pub struct Export {
    /// The engine that holds them.
    pub upstream: UpstreamId,
    /// The weight version that computed the blocks.
    pub version: VersionId,
    /// The blocks, each with the store that is to receive it.
    pub blocks: Vec<(BlockKey, StoreId)>,
    /// Most bytes per second to transfer.
    pub bytes_per_second: u64,
}

/// Asks cache stores which blocks of a prompt they hold, and reports this to the dispatcher.
pub async fn find(traffic: Arc<Traffic>, job: Arc<Job>, stores: Vec<StoreId>) {
    let Work::Prompt(prompt) = &job.work else { return };
    let find_in_store = |store: StoreId| find_in(&traffic, prompt, store);
    let holdings = future::join_all(stores.into_iter().map(find_in_store));
    let span = tracing::info_span!(parent: &job.span, "find");
    let holdings = holdings.instrument(span).await.into_iter().flatten().collect();
    traffic.step(Event::Found(job.ticket, holdings));
}

async fn find_in(traffic: &Traffic, prompt: &Prompt, store: StoreId) -> Option<Holding> {
    let client = traffic.store(&store)?;
    let answer = tokio::time::timeout(FIND_TIMEOUT, client.find(&prompt.blocks)).await;
    let found = answer.ok()?.ok()?;
    let blocks = found.manifests.iter().map(|m| m.as_ref().map(|m| m.logical_bytes)).collect();
    let held = prompt.blocks.iter().zip(found.manifests);
    let mut manifests = prompt.manifests.lock();
    for (block, manifest) in held {
        if let Some(manifest) = manifest {
            manifests.insert((store.clone(), *block), manifest);
        }
    }
    Some(Holding { store, incarnation: found.incarnation, blocks })
}

/// Imports an attempt's blocks into its engine, in order, up to the first that fails.
pub async fn import(traffic: &Arc<Traffic>, job: &Job, prompt: &Prompt, attempt: &Attempt) {
    if attempt.imports.is_empty() {
        return;
    }
    let span = tracing::info_span!(parent: &job.span, "import", blocks = attempt.imports.len());
    let each = (0..attempt.imports.len()).map(|i| import_one(traffic, prompt, attempt, i));
    let imported = stream::iter(each).buffered(MAX_CONCURRENT_IMPORTS);
    let succeeded = imported.take_while(|ok| future::ready(*ok));
    succeeded.count().instrument(span).await;
}

/// Imports one block and reports the transfer; returns whether it succeeded.
async fn import_one(
    traffic: &Arc<Traffic>,
    prompt: &Prompt,
    attempt: &Attempt,
    index: usize,
) -> bool {
    let import = &attempt.imports[index];
    let started = traffic.clock.now();
    let ok = import_block(traffic, prompt, attempt, import).await.is_some();
    if ok {
        traffic.metrics.imported(import.logical_bytes);
    } else {
        traffic.metrics.imports_failed.add(1, &[]);
    }
    traffic.step(Event::Transferred {
        store: import.store.clone(),
        upstream: attempt.upstream.clone(),
        bytes: import.logical_bytes,
        took: traffic.clock.now().saturating_sub(started),
        ok,
    });
    ok
}

async fn import_block(
    traffic: &Traffic,
    prompt: &Prompt,
    attempt: &Attempt,
    import: &Import,
) -> Option<()> {
    let version = attempt.version.clone()?;
    let manifest = prompt.manifests.lock().get(&(import.store.clone(), import.block)).cloned()?;
    if manifest.incarnation != import.incarnation || manifest.version != version {
        return None;
    }
    let bytes = traffic.store(&import.store)?.fetch(&import.block, &manifest).await.ok()?;
    let (checksum, logical_bytes) = (manifest.checksum, manifest.logical_bytes);
    let block = Block { bytes, version, checksum, logical_bytes };
    traffic.engine(&attempt.upstream)?.import_block(&import.block, &block).await.ok()
}

/// Performs exports one after another until the daemon ends.
pub async fn export_all(traffic: Arc<Traffic>, mut exports: mpsc::Receiver<Export>) {
    while let Some(export) = exports.recv().await {
        for (block, store) in &export.blocks {
            let started = traffic.clock.now();
            let bytes = save(&traffic, &export, block, store).await;
            let took = traffic.clock.now().saturating_sub(started);
            traffic.step(Event::Transferred {
                store: store.clone(),
                upstream: export.upstream.clone(),
                bytes: bytes.unwrap_or_default(),
                took,
                ok: bytes.is_some(),
            });
            let Some(bytes) = bytes else { continue };
            traffic.metrics.exported(bytes);
            tokio::time::sleep(min_duration(bytes, export.bytes_per_second).saturating_sub(took))
                .await;
        }
    }
}

/// Time to transfer `bytes` at a rate.
fn min_duration(bytes: u64, bytes_per_second: u64) -> Duration {
    let micros = u128::from(bytes) * 1_000_000 / u128::from(bytes_per_second.max(1));
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}

/// Exports one block; returns its logical size in bytes.
async fn save(traffic: &Traffic, export: &Export, key: &BlockKey, store: &StoreId) -> Option<u64> {
    let block = traffic.engine(&export.upstream)?.export_block(key).await.ok()?;
    if block.version != export.version {
        return None;
    }
    let meta = Metadata { logical_bytes: block.logical_bytes, version: block.version };
    traffic.store(store)?.save(key, block.bytes, meta).await.ok()?;
    Some(block.logical_bytes)
}
