//! The program with an administration API that answers with scripted outcomes.

use std::collections::VecDeque;
use std::process::Command;
use std::sync::{Arc, Mutex};

use acacia_catalog::Set;
use acacia_catalog::generate::Size;
use acacia_catalog::id::Revision;
use acacia_operator::call::Propagation;
use acacia_operator::{Backend, Key, Keys, Role, Status, server};
use acacia_policy::Snapshot;
use acacia_policy::control::{Change, ChangeOutcome, Order, OrderOutcome};
use salvo::conn::Acceptor;
use salvo::prelude::*;
use serde_json::Value;

const TOKEN: &str = "operator's token";
const SETUP: &str = "the test system works";

/// Answers changes with scripted outcomes; repeats the last one.
struct Script {
    outcomes: Mutex<VecDeque<ChangeOutcome>>,
    requested: Mutex<Vec<Change>>,
    force: Propagation,
}

impl Backend for Script {
    fn snapshot(&self) -> Arc<Snapshot> {
        let document = Size::Actas.plan().document(1);
        let set = Arc::new(Set::check(&document).expect(SETUP));
        Arc::new(Snapshot { revision: 1, set, ..Snapshot::default() })
    }

    async fn change(&self, change: Change) -> ChangeOutcome {
        self.requested.lock().expect(SETUP).push(change);
        let mut outcomes = self.outcomes.lock().expect(SETUP);
        let outcome = outcomes.pop_front().expect("an outcome");
        if outcomes.is_empty() {
            outcomes.push_back(outcome.clone());
        }
        outcome
    }

    async fn order(&self, _: Order) -> OrderOutcome {
        OrderOutcome::Failed
    }

    fn propagation(&self, _: Revision) -> Propagation {
        self.force
    }

    fn status(&self) -> Status {
        Status::of(&self.snapshot())
    }
}

/// Result of a run of the program, and the ids of the changes it sent.
struct Run {
    code: Option<i32>,
    out: Value,
    error: Value,
    ids: Vec<String>,
}

const ALL_DAEMONS: Propagation = Propagation { daemons: 2, live: 2 };

async fn run(outcomes: &[ChangeOutcome], force: Propagation, arguments: &[&str]) -> Run {
    let outcomes = Mutex::new(outcomes.iter().cloned().collect());
    let script = Arc::new(Script { outcomes, requested: Mutex::default(), force });
    let keys = Keys::new(vec![Key::of("ana", TOKEN, [Role::Apply, Role::Move])]);
    let router = server::router(script.clone(), Arc::new(keys));
    let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
    let address = acceptor.holdings()[0].local_addr.clone().into_std().expect(SETUP);
    tokio::spawn(Server::new(acceptor).serve(router));
    let mut command = Command::new(env!("CARGO_BIN_EXE_acacia"));
    command
        .args(arguments)
        .args(["--format", "json"])
        .env_remove("ACACIA_KEY_FILE")
        .env("ACACIA_SERVER", address.to_string())
        .env("ACACIA_KEY", TOKEN);
    let run = tokio::task::spawn_blocking(move || command.output().expect(SETUP));
    let output = run.await.expect(SETUP);
    let json = |bytes: &[u8]| serde_json::from_slice(bytes).unwrap_or(Value::Null);
    let requested = script.requested.lock().expect(SETUP);
    Run {
        code: output.status.code(),
        out: json(&output.stdout),
        error: json(&output.stderr),
        ids: requested.iter().map(|change| change.id.to_string()).collect(),
    }
}

const ZONE_OUT: [&str; 3] = ["zone", "out", "zone-1"];

#[tokio::test(flavor = "multi_thread")]
async fn retry_unknown_then_accepted() {
    let outcomes = [ChangeOutcome::Unknown, ChangeOutcome::Unknown, ChangeOutcome::Accepted(2)];
    let run = run(&outcomes, ALL_DAEMONS, &ZONE_OUT).await;
    assert_eq!((run.code, &run.out["revision"]), (Some(0), &2.into()));
    assert_eq!(run.ids.len(), 3);
    assert!(run.ids.iter().all(|id| *id == run.ids[0]), "all attempts have the same id");
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_unknown() {
    let run = run(&[ChangeOutcome::Unknown], ALL_DAEMONS, &ZONE_OUT).await;
    assert_eq!(run.code, Some(5));
    let hint = run.error["error"]["hint"].as_str().expect("a hint");
    assert!(hint.contains(&run.ids[0]), "{hint}");
    assert!(run.ids.iter().all(|id| *id == run.ids[0]));
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_unknown_then_unavailable() {
    // The first attempt may have been accepted, whether or not the service is available later.
    let outcomes = [ChangeOutcome::Unknown, ChangeOutcome::Unavailable];
    let run = run(&outcomes, ALL_DAEMONS, &ZONE_OUT).await;
    assert_eq!((run.code, &run.error["error"]["code"]), (Some(5), &"unknown".into()));
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_unavailable() {
    let run = run(&[ChangeOutcome::Unavailable], ALL_DAEMONS, &ZONE_OUT).await;
    assert_eq!((run.code, &run.error["error"]["code"]), (Some(4), &"unavailable".into()));
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_unavailable_then_accepted() {
    let outcomes = [ChangeOutcome::Unavailable, ChangeOutcome::Accepted(2)];
    assert_eq!(run(&outcomes, ALL_DAEMONS, &ZONE_OUT).await.code, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_given_id() {
    let arguments = [&ZONE_OUT[..], &["--id", "mine"]].concat();
    let run = run(&[ChangeOutcome::Accepted(2)], ALL_DAEMONS, &arguments).await;
    assert_eq!((run.code, run.ids), (Some(0), vec!["mine".to_owned()]));
}

#[tokio::test(flavor = "multi_thread")]
async fn wait_times_out() {
    let arguments = [&ZONE_OUT[..], &["--wait", "--timeout", "0"]].concat();
    let force = Propagation { daemons: 1, live: 2 };
    let run = run(&[ChangeOutcome::Accepted(2)], force, &arguments).await;
    assert_eq!((run.code, &run.out["force"]["daemons"]), (Some(6), &1.into()));
}
