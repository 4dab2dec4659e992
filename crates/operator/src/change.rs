//! Changes of the configuration: from what an operator asks to what became of it.

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

/// Longest wait that an operator may ask for.
const WAIT_LIMIT: Duration = Duration::from_secs(120);
/// Time between two looks at what is in force.
const POLL: Duration = Duration::from_millis(20);
/// Longest wait for this daemon to see the change that came first.
const CATCH_UP: Duration = Duration::from_secs(5);
/// Times that a move is tried against changes by others.
const MOVE_ATTEMPTS: usize = 8;

/// What is moved out or back.
#[derive(Clone, Debug)]
pub(crate) enum Target {
    /// An availability zone.
    Zone(String),
    /// An upstream.
    Upstream(String),
}

/// Checks a document without changing anything.
pub(crate) fn check(backend: &impl Backend, document: Document) -> Result<Checked, Fault> {
    let snapshot = backend.snapshot();
    let set = Set::check(&document.restore(&snapshot.set)).map_err(Fault::invalid)?;
    let differences = diff(&snapshot.set, &set);
    Ok(Checked { revision: snapshot.revision, objects: set.len(), differences })
}

/// Puts a document in force.
pub(crate) async fn apply(
    backend: &impl Backend,
    author: &str,
    apply: Apply,
) -> Result<Accepted, Fault> {
    let Apply { id, base, document, wait_ms } = apply;
    if let Some(revision) = repeated(backend, &id, &document).await? {
        return Ok(accepted(backend, author, id, revision, wait_ms).await);
    }
    let document = restore(backend, base, document).await?;
    Set::check(&document).map_err(Fault::invalid)?;
    let change = Change { id: id.clone(), base, author: author.to_owned(), document };
    match backend.change(change).await {
        ChangeOutcome::Accepted(revision) => {
            Ok(accepted(backend, author, id, revision, wait_ms).await)
        }
        ChangeOutcome::Conflict(revision) => Err(conflict(backend, base, revision).await),
        other => Err(refused(other)),
    }
}

/// The revision that the same change made before, when its answer was lost.
async fn repeated(
    backend: &impl Backend,
    id: &ChangeId,
    document: &Document,
) -> Result<Option<Revision>, Fault> {
    let history = backend.history().await;
    let Some(past) = history.iter().find(|past| past.change == *id) else { return Ok(None) };
    let Some(made) = backend.set_at(past.revision).await else { return Ok(Some(past.revision)) };
    let asked = Set::check(&document.clone().restore(&made));
    if asked.is_ok_and(|asked| asked == *made) {
        return Ok(Some(past.revision));
    }
    let message = format!("change id `{id}` made revision {} of other content", past.revision);
    Err(Fault::new(Code::Conflict, message, "give each change an id of its own"))
}

/// The document with the secrets of its base, never those of another revision.
async fn restore(
    backend: &impl Backend,
    base: Revision,
    document: Document,
) -> Result<Document, Fault> {
    // Before the first revision there is nothing to restore from, which the check will tell.
    if base == 0 || !document.is_redacted() {
        return Ok(document);
    }
    catch_up(backend, base).await;
    match backend.set_at(base).await {
        Some(known) => Ok(document.restore(&known)),
        None => Err(conflict(backend, base, backend.snapshot().revision).await),
    }
}

/// Puts an earlier configuration in force.
pub(crate) async fn rollback(
    backend: &impl Backend,
    author: &str,
    rollback: Rollback,
) -> Result<Accepted, Fault> {
    let Rollback { id, base, revision, wait_ms } = rollback;
    let Some(earlier) = backend.set_at(revision).await else {
        let message = format!("revision {revision} is not remembered");
        let hint = "see the remembered ones with `acacia history`";
        return Err(Fault::new(Code::NotFound, message, hint));
    };
    let document = keep_admin_states(&earlier, &backend.snapshot().set);
    apply(backend, author, Apply { id, base, document, wait_ms }).await
}

/// Takes a zone or an upstream out or back, whatever else changes meanwhile.
pub(crate) async fn shift(
    backend: &impl Backend,
    author: &str,
    target: &Target,
    shift: SetState,
) -> Result<Accepted, Fault> {
    let SetState { id, state, wait_ms } = shift;
    for _ in 0..MOVE_ATTEMPTS {
        let snapshot = backend.snapshot();
        let mut document = snapshot.set.document();
        // Published even when nothing changes: only that shows that the snapshot is the newest.
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
            other => return Err(refused(other)),
        }
    }
    Err(conflict(backend, backend.snapshot().revision, backend.snapshot().revision).await)
}

/// The earlier set, with what is out now still out and what is in now still in.
///
/// A rollback must not send work to an availability zone that was taken out since.
fn keep_admin_states(earlier: &Set, now: &Set) -> Document {
    let mut set = earlier.clone();
    for (name, zone) in &mut set.zones {
        zone.state = now.zones.get(name).map_or(zone.state, |z| z.state);
    }
    for (name, upstream) in &mut set.upstreams {
        upstream.state = now.upstreams.get(name).map_or(upstream.state, |u| u.state);
    }
    set.document()
}

/// Whether the document was changed.
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

/// Waits until a revision is in force everywhere, or for `wait_ms`.
async fn wait(backend: &impl Backend, revision: Revision, wait_ms: u64) -> Propagation {
    let end = Instant::now() + Duration::from_millis(wait_ms).min(WAIT_LIMIT);
    loop {
        let propagation = backend.propagation(revision);
        if propagation.is_complete() || Instant::now() >= end {
            return propagation;
        }
        sleep(POLL).await;
    }
}

/// Waits until this daemon has seen a revision.
async fn catch_up(backend: &impl Backend, revision: Revision) {
    let end = Instant::now() + CATCH_UP;
    while backend.snapshot().revision < revision && Instant::now() < end {
        sleep(POLL).await;
    }
}

/// What others changed since the operator's base.
async fn conflict(backend: &impl Backend, base: Revision, revision: Revision) -> Fault {
    catch_up(backend, revision).await;
    let now: Arc<Set> = backend.snapshot().set.clone();
    let before = backend.set_at(base).await;
    let message = format!("revision {revision} is in force, but the change started from {base}");
    let hint = "get the configuration in force, make the change in it and apply that";
    Fault {
        revision: Some(revision),
        differences: before.map(|before| diff(&before, &now)),
        ..Fault::new(Code::Conflict, message, hint)
    }
}

fn refused(outcome: ChangeOutcome) -> Fault {
    match outcome {
        ChangeOutcome::Invalid(problems) => Fault::invalid(problems),
        ChangeOutcome::Unavailable => Fault::new(
            Code::Unavailable,
            "the key-value service is down; the change is not accepted and will not be",
            "ask again once the service is back",
        ),
        _ => Fault::new(
            Code::Unknown,
            "the key-value service did not tell whether the change is accepted",
            "ask again with the same change id",
        ),
    }
}
