//! Handles calls that check or change the configuration.

use std::sync::Arc;
use std::time::Duration;

use acacia_catalog::diff::diff;
use acacia_catalog::id::Revision;
use acacia_catalog::object::{AdminState, Object};
use acacia_catalog::{Document, Set};
use acacia_policy::control::{Change, ChangeId, ChangeOutcome};
use tokio::time::{Instant, sleep};

use crate::Backend;
use crate::call::{Accepted, Apply, Checked, Propagation, Rollback, SetState};
use crate::fault::{Code, Fault};

/// Maximum time that a call waits for a revision to be in force everywhere.
const WAIT_LIMIT: Duration = Duration::from_secs(120);
/// Interval between checks of the revision in force.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time to wait for this daemon to receive a known revision.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of attempts when changes by others conflict.
const SET_STATE_ATTEMPTS: usize = 8;

/// The object whose state is set.
#[derive(Clone, Debug)]
pub(crate) enum Target {
    /// An availability zone.
    Zone(String),
    /// An upstream.
    Upstream(String),
}

/// Checks a document and compares it with the configuration in force.
pub(crate) fn check(backend: &impl Backend, document: Document) -> Result<Checked, Fault> {
    let snapshot = backend.snapshot();
    let set = Set::check(&document.restore(&snapshot.set)).map_err(Fault::invalid)?;
    let differences = diff(&snapshot.set, &set);
    Ok(Checked { revision: snapshot.revision, objects: set.len(), differences })
}

/// Publishes a document as the new configuration.
pub(crate) async fn apply(
    backend: &impl Backend,
    author: &str,
    apply: Apply,
) -> Result<Accepted, Fault> {
    let Apply { id, base, document, wait_ms } = apply;
    if let Some(revision) = revision_of_retry(backend, &id, &document).await? {
        return Ok(accepted(backend, author, id, revision, wait_ms).await);
    }
    let document = restore_secrets(backend, base, document).await?;
    Set::check(&document).map_err(Fault::invalid)?;
    let change = Change { id: id.clone(), base, author: author.to_owned(), document };
    match backend.change(change).await {
        ChangeOutcome::Accepted(revision) => {
            Ok(accepted(backend, author, id, revision, wait_ms).await)
        }
        ChangeOutcome::Conflict(revision) => Err(conflict(backend, base, revision).await),
        other => Err(fault_of(other)),
    }
}

/// The revision that an earlier call with the same change created; its answer may have been lost.
async fn revision_of_retry(
    backend: &impl Backend,
    id: &ChangeId,
    document: &Document,
) -> Result<Option<Revision>, Fault> {
    let history = backend.history().await;
    let Some(past) = history.iter().find(|past| past.change == *id) else { return Ok(None) };
    let Some(known) = backend.set_at(past.revision).await else { return Ok(Some(past.revision)) };
    let requested = Set::check(&document.clone().restore(&known));
    if requested.is_ok_and(|requested| requested == *known) {
        return Ok(Some(past.revision));
    }
    let message =
        format!("change id `{id}` was used by revision {} with different content", past.revision);
    Err(Fault::new(Code::Conflict, message, "use a new id for each change"))
}

/// Restores redacted secrets from the base revision, never from another revision.
async fn restore_secrets(
    backend: &impl Backend,
    base: Revision,
    document: Document,
) -> Result<Document, Fault> {
    // Before the first revision there are no secrets to restore; the check rejects redacted ones.
    if base == 0 || !document.is_redacted() {
        return Ok(document);
    }
    catch_up(backend, base).await;
    match backend.set_at(base).await {
        Some(known) => Ok(document.restore(&known)),
        None => Err(conflict(backend, base, backend.snapshot().revision).await),
    }
}

/// Publishes an earlier configuration again.
pub(crate) async fn rollback(
    backend: &impl Backend,
    author: &str,
    rollback: Rollback,
) -> Result<Accepted, Fault> {
    let Rollback { id, base, revision, wait_ms } = rollback;
    let Some(earlier) = backend.set_at(revision).await else {
        let message = format!("revision {revision} is not in the history");
        let hint = "list the available revisions with `acacia history`";
        return Err(Fault::new(Code::NotFound, message, hint));
    };
    let document = keep_admin_states(&earlier, &backend.snapshot().set);
    apply(backend, author, Apply { id, base, document, wait_ms }).await
}

/// Sets the state of a zone or an upstream; retries if another change comes first.
pub(crate) async fn set_state(
    backend: &impl Backend,
    author: &str,
    target: &Target,
    call: SetState,
) -> Result<Accepted, Fault> {
    let SetState { id, state, wait_ms } = call;
    for _ in 0..SET_STATE_ATTEMPTS {
        let snapshot = backend.snapshot();
        let mut document = snapshot.set.document();
        // Published even if the state is unchanged: only this proves that the snapshot is current.
        let changed = set_admin_state(&mut document, target, state)?;
        let (base, author) = (snapshot.revision, author.to_owned());
        let change = Change { id: id.clone(), base, author, document };
        let author = change.author.clone();
        match backend.change(change).await {
            ChangeOutcome::Accepted(revision) => {
                let accepted = accepted(backend, &author, id, revision, wait_ms).await;
                return Ok(Accepted { changed, ..accepted });
            }
            ChangeOutcome::Conflict(revision) => catch_up(backend, revision).await,
            other => return Err(fault_of(other)),
        }
    }
    Err(conflict(backend, backend.snapshot().revision, backend.snapshot().revision).await)
}

/// The earlier set, with the current states of zones and upstreams.
///
/// A rollback must not send work to an availability zone that was taken out since.
fn keep_admin_states(earlier: &Set, current: &Set) -> Document {
    let mut set = earlier.clone();
    for (name, zone) in &mut set.zones {
        zone.state = current.zones.get(name).map_or(zone.state, |z| z.state);
    }
    for (name, upstream) in &mut set.upstreams {
        upstream.state = current.upstreams.get(name).map_or(upstream.state, |u| u.state);
    }
    set.document()
}

/// Sets the state of `target`; returns whether it changed.
fn set_admin_state(
    document: &mut Document,
    target: &Target,
    state: AdminState,
) -> Result<bool, Fault> {
    for object in &mut document.objects {
        let duty = match (object, target) {
            (Object::Zone(o), Target::Zone(name)) if *o.name == **name => &mut o.state,
            (Object::Upstream(o), Target::Upstream(name)) if *o.name == **name => &mut o.state,
            _ => continue,
        };
        let changed = *duty != state;
        *duty = state;
        return Ok(changed);
    }
    Err(match target {
        Target::Zone(name) => Fault::not_found("zone", name),
        Target::Upstream(name) => Fault::not_found("upstream", name),
    })
}

async fn accepted(
    backend: &impl Backend,
    author: &str,
    id: ChangeId,
    revision: Revision,
    wait_ms: u64,
) -> Accepted {
    tracing::info!(target: "acacia::audit", author, change = %id, revision, "change accepted");
    let propagation = wait(backend, revision, wait_ms).await;
    Accepted { id, revision, changed: true, propagation }
}

/// Waits until a revision is in force on every live daemon, for at most `wait_ms`.
async fn wait(backend: &impl Backend, revision: Revision, wait_ms: u64) -> Propagation {
    let deadline = Instant::now() + Duration::from_millis(wait_ms).min(WAIT_LIMIT);
    loop {
        let propagation = backend.propagation(revision);
        if propagation.is_complete() || Instant::now() >= deadline {
            return propagation;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits until this daemon has received a revision, for at most [`CATCH_UP_TIMEOUT`].
async fn catch_up(backend: &impl Backend, revision: Revision) {
    let deadline = Instant::now() + CATCH_UP_TIMEOUT;
    while backend.snapshot().revision < revision && Instant::now() < deadline {
        sleep(POLL_INTERVAL).await;
    }
}

/// The fault of a conflict, with what others changed since the operator's base.
async fn conflict(backend: &impl Backend, base: Revision, revision: Revision) -> Fault {
    catch_up(backend, revision).await;
    let current: Arc<Set> = backend.snapshot().set.clone();
    let before = backend.set_at(base).await;
    let message = format!("revision {revision} is in force, but the change is based on {base}");
    let hint = "get the configuration in force and apply the change to it";
    Fault {
        revision: Some(revision),
        differences: before.map(|before| diff(&before, &current)),
        ..Fault::new(Code::Conflict, message, hint)
    }
}

fn fault_of(outcome: ChangeOutcome) -> Fault {
    match outcome {
        ChangeOutcome::Invalid(problems) => Fault::invalid(problems),
        ChangeOutcome::Unavailable => Fault::new(
            Code::Unavailable,
            "the key-value service is unavailable; the change was not accepted and will not be",
            "retry when the service is available",
        ),
        _ => Fault::new(
            Code::Unknown,
            "the key-value service did not confirm whether the change was accepted",
            "retry with the same change id",
        ),
    }
}
