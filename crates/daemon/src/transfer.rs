//! Moves cache pieces between stores and engines.
//!
//! Whatever fails here costs only time: a piece that is not imported is computed again, and one
//! that is not exported is computed again when its history returns.

use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::id::{StoreId, UpstreamId, VersionId};
use acacia_policy::dispatch::{Attempt, Event, Holding, Import};
use acacia_policy::request::BlockKey;
use acacia_store::Meta;
use acacia_upstream::engine::Piece;
use futures::{StreamExt, future, stream};
use tokio::sync::mpsc;
use tracing::Instrument;

use crate::job::{Job, Prompt, Work};
use crate::traffic::Traffic;

/// Pieces that one attempt imports at once.
const IMPORTS_AT_ONCE: usize = 2;
/// Longest wait for stores to tell what they hold.
const FIND_TIMEOUT: Duration = Duration::from_millis(500);

/// Blocks to save from an engine to stores.
#[derive(Debug)]
pub struct Export {
    /// The engine that holds them.
    pub upstream: UpstreamId,
    /// The version they belong to.
    pub version: VersionId,
    /// The blocks and where each goes.
    pub blocks: Vec<(BlockKey, StoreId)>,
    /// Most bytes a second to use.
    pub bytes_per_second: u64,
}

/// Asks stores which blocks of a prompt they hold, and tells the dispatcher.
pub async fn find(traffic: Arc<Traffic>, job: Arc<Job>, stores: Vec<StoreId>) {
    let Work::Prompt(prompt) = &job.work else { return };
    let ask = |store: StoreId| find_in(&traffic, prompt, store);
    let holdings = future::join_all(stores.into_iter().map(ask));
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

/// Brings an attempt's blocks into its engine, in order, up to the first that can't be had.
pub async fn import(traffic: &Arc<Traffic>, job: &Job, prompt: &Prompt, attempt: &Attempt) {
    if attempt.imports.is_empty() {
        return;
    }
    let span = tracing::info_span!(parent: &job.span, "import", blocks = attempt.imports.len());
    let each = (0..attempt.imports.len()).map(|i| import_one(traffic, prompt, attempt, i));
    let moved = stream::iter(each).buffered(IMPORTS_AT_ONCE);
    let whole = moved.take_while(|ok| future::ready(*ok));
    whole.count().instrument(span).await;
}

/// Brings one block in; whether it is there now.
async fn import_one(
    traffic: &Arc<Traffic>,
    prompt: &Prompt,
    attempt: &Attempt,
    index: usize,
) -> bool {
    let import = &attempt.imports[index];
    let started = traffic.clock.now();
    let ok = carry(traffic, prompt, attempt, import).await.is_some();
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

async fn carry(
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
    let piece = Piece { bytes, version, checksum, logical_bytes };
    traffic.engine(&attempt.upstream)?.import_piece(&import.block, &piece).await.ok()
}

/// Exports one after another for as long as the daemon lives.
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
            tokio::time::sleep(pace(bytes, export.bytes_per_second).saturating_sub(took)).await;
        }
    }
}

/// Time that bytes take at a rate.
fn pace(bytes: u64, bytes_per_second: u64) -> Duration {
    let micros = u128::from(bytes) * 1_000_000 / u128::from(bytes_per_second.max(1));
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}

/// Saves one block; the bytes that it counts for.
async fn save(
    traffic: &Traffic,
    export: &Export,
    block: &BlockKey,
    store: &StoreId,
) -> Option<u64> {
    let piece = traffic.engine(&export.upstream)?.export_piece(block).await.ok()?;
    if piece.version != export.version {
        return None;
    }
    let meta = Meta { logical_bytes: piece.logical_bytes, version: piece.version };
    traffic.store(store)?.save(block, piece.bytes, meta).await.ok()?;
    Some(piece.logical_bytes)
}
