//! The program with real daemons and a stand-in key-value service.

use std::process::{Command, Output};

use acacia_daemon::{Daemon, Running, Settings};
use acacia_operator::{Key, Role};
use acacia_standin::fault::Fault;
use acacia_standin::{kv, list};
use serde_json::Value;

const TOKEN: &str = "operator's token";
/// Daemons of the test system.
const DAEMONS: usize = 3;
/// Attempts at the first configuration while the daemons start, and polls of their status.
const MAX_POLLS: usize = 200;
/// Message of a failure of the test system itself.
const SETUP: &str = "the test system works";

/// Daemons with the example configuration in force, whose upstreams do not answer.
struct System {
    kv: kv::Handle,
    _list: list::Handle,
    daemons: Vec<Running>,
    directory: std::path::PathBuf,
}

/// Result of a run of the program.
struct Run {
    code: i32,
    out: String,
    error: String,
}

impl Run {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|_| panic!("no JSON: {}", self.error))
    }

    fn success(self) -> Self {
        assert_eq!(self.code, 0, "{}{}", self.out, self.error);
        self
    }

    fn failure(&self, code: i32) -> Value {
        assert_eq!(self.code, code, "{}{}", self.out, self.error);
        let error: Value = serde_json::from_str(&self.error).expect("a JSON error");
        assert_eq!(error["error"]["exit"], code);
        assert!(error["error"]["hint"].is_string());
        error["error"].clone()
    }
}

impl System {
    async fn start(name: &str) -> Self {
        let kv = kv::start(kv::Settings::default()).await.expect(SETUP);
        let list = list::start(list::Settings::default()).await.expect(SETUP);
        let mut daemons = Vec::new();
        for index in 0..DAEMONS {
            let zone = format!("zone-{}", index + 1);
            let mut settings = Settings::new(zone, vec![kv.address], list.address);
            settings.operators = vec![Key::of("ana", TOKEN, [Role::Apply, Role::Move])];
            settings.seed = Some(index as u64 + 1);
            daemons.push(Daemon::start(settings).expect(SETUP));
        }
        let directory = std::env::temp_dir().join(format!("acacia-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect(SETUP);
        let system = Self { kv, _list: list, daemons, directory };
        system.write("first.json", &example());
        system.apply_first().await;
        system.wait_joined().await;
        system
    }

    /// Waits until every daemon knows all others and has the first configuration.
    async fn wait_joined(&self) {
        for _ in 0..MAX_POLLS {
            let mut count = 0;
            for daemon in 0..DAEMONS {
                let status = self.run(daemon, &["status"]).await.success().json();
                let live = status["daemons"].as_array().map(Vec::len);
                count += usize::from(live == Some(DAEMONS) && status["revision"] == 1);
            }
            if count == DAEMONS {
                return;
            }
        }
        panic!("not every daemon knew all others and revision 1 in time");
    }

    /// Applies the example; retries while the daemons discover each other.
    async fn apply_first(&self) {
        for _ in 0..MAX_POLLS {
            let run = self.run(0, &["apply", "--id", "first", "--wait", "first.json"]).await;
            if run.code == 0 {
                return;
            }
            assert!(matches!(run.code, 4..=6), "{}", run.error);
        }
        panic!("the first configuration was never accepted");
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.directory.join(name), text).expect(SETUP);
    }

    /// Runs the program as an operator, connected to one daemon.
    async fn run(&self, daemon: usize, arguments: &[&str]) -> Run {
        self.run_as(TOKEN, daemon, arguments).await
    }

    async fn run_as(&self, token: &str, daemon: usize, arguments: &[&str]) -> Run {
        let mut command = Command::new(env!("CARGO_BIN_EXE_acacia"));
        command
            .args(arguments)
            .args(["--format", "json"])
            .current_dir(&self.directory)
            .env_remove("ACACIA_KEY_FILE")
            .env("ACACIA_SERVER", self.daemons[daemon].operator_address().to_string())
            .env("ACACIA_KEY", token);
        let run = tokio::task::spawn_blocking(move || command.output().expect(SETUP));
        let Output { status, stdout, stderr } = run.await.expect(SETUP);
        Run {
            code: status.code().expect("the program ends by itself"),
            out: String::from_utf8(stdout).expect("text"),
            error: String::from_utf8(stderr).expect("text"),
        }
    }

    /// Waits until a daemon shows a revision.
    async fn wait_revision(&self, daemon: usize, revision: u64) {
        for _ in 0..MAX_POLLS {
            if self.revision(daemon).await == revision {
                return;
            }
        }
        panic!("daemon {daemon} never showed revision {revision}");
    }

    /// Ids of accepted changes, latest first.
    async fn history(&self, daemon: usize) -> Vec<String> {
        let history = self.run(daemon, &["history"]).await.success().json();
        let names = history.as_array().expect("a list").iter();
        names.map(|past| past["change"].as_str().expect("a name").to_owned()).collect()
    }

    async fn revision(&self, daemon: usize) -> Value {
        self.run(daemon, &["status"]).await.success().json()["revision"].clone()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// The example with every address on loopback, where nothing listens.
fn example() -> String {
    include_str!("../../../examples/actas.json").replace("\"10.0.0.", "\"127.0.0.")
}

#[tokio::test(flavor = "multi_thread")]
async fn operate_apply_and_rollback() {
    let system = System::start("changes").await;
    assert_eq!(system.revision(0).await, 1);
    let got = system.run(1, &["get"]).await.success();
    assert!(!got.out.contains("0165244eddf0bf33"), "a secret is not redacted");
    system.write("second.json", &got.out.replacen("\"weight\": 8", "\"weight\": 9", 1));

    let diff = system.run(1, &["diff", "second.json"]).await.success().json();
    assert_eq!(diff.as_array().map(Vec::len), Some(1));
    let applied = system.run(1, &["apply", "--wait", "second.json"]).await.success().json();
    assert_eq!(applied["revision"], 2);
    assert_eq!((&applied["force"]["daemons"], &applied["force"]["live"]), (&3.into(), &3.into()));

    system.wait_revision(2, 2).await;
    let conflict = system.run(2, &["apply", "second.json"]).await.failure(3);
    assert_eq!(conflict["fault"]["revision"], 2);
    let history = system.run(2, &["history"]).await.success().json();
    assert_eq!((&history[0]["revision"], &history[0]["author"]), (&2.into(), &"ana".into()));

    let back = system.run(2, &["rollback", "1", "--wait"]).await.success().json();
    assert_eq!(back["revision"], 3);
    system.wait_revision(0, 3).await;
    assert_eq!(system.run(0, &["diff", "first.json"]).await.success().json(), Value::Array(vec![]));
}

#[tokio::test(flavor = "multi_thread")]
async fn operate_zone_and_upstream() {
    let system = System::start("moves").await;
    let out = system.run(1, &["zone", "out", "zone-2", "--wait"]).await.success().json();
    assert_eq!((&out["revision"], &out["force"]["live"]), (&2.into(), &DAEMONS.into()), "{out}");
    for daemon in 0..DAEMONS {
        system.wait_revision(daemon, 2).await;
        let status = system.run(daemon, &["status"]).await.success().json();
        assert_eq!(status["zones_out"], serde_json::json!(["zone-2"]), "daemon {daemon}");
    }
    system.run(2, &["upstream", "drain", "engine-1", "--wait"]).await.success();
    system.wait_revision(0, 3).await;
    let status = system.run(0, &["status"]).await.success().json();
    let upstreams = status["upstreams"].as_array().expect("a list");
    for upstream in upstreams {
        let closed = upstream["zone"] == "zone-2" || upstream["name"] == "engine-1";
        assert_eq!(upstream["warmth"] == "closed", closed, "{upstream}");
    }
    system.run(0, &["zone", "back", "zone-2", "--wait"]).await.success();
    system.run(1, &["upstream", "undrain", "engine-1", "--wait"]).await.success();
    system.wait_revision(2, 5).await;
    assert_eq!(system.run(2, &["diff", "first.json"]).await.success().json(), Value::Array(vec![]));
    assert_eq!(system.run(0, &["zone", "out", "zone-9"]).await.failure(1)["code"], "not_found");
}

#[tokio::test(flavor = "multi_thread")]
async fn operate_wait_until_in_force() {
    let system = System::start("wait").await;
    for revision in 2..22 {
        let direction = if revision % 2 == 0 { "out" } else { "back" };
        let moved = system.run(1, &["zone", direction, "zone-2", "--wait"]).await.success().json();
        assert_eq!((&moved["revision"], &moved["force"]["daemons"]), (&revision.into(), &3.into()));
        for daemon in 0..DAEMONS {
            assert_eq!(system.revision(daemon).await, revision, "daemon {daemon}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn operate_concurrent_changes() {
    let system = System::start("racing").await;
    for weight in 0..6 {
        let text = example().replacen("\"weight\": 8", &format!("\"weight\": {}", weight + 20), 1);
        system.write(&format!("{weight}.json"), &text);
    }
    let applies = (0..6).map(|weight| {
        let (system, file) = (&system, format!("{weight}.json"));
        async move { system.run(weight % DAEMONS, &["apply", "--base", "1", &file]).await }
    });
    let runs = futures::future::join_all(applies).await;
    assert_eq!(runs.iter().filter(|run| run.code == 0).count(), 1);
    runs.iter().filter(|run| run.code != 0).for_each(|run| {
        run.failure(3);
    });
    let moves = ["zone-1", "zone-2", "zone-3"].into_iter().enumerate().map(|(daemon, zone)| {
        let system = &system;
        async move { system.run(daemon, &["zone", "out", zone, "--id", zone]).await.success() }
    });
    futures::future::join_all(moves).await;
    for daemon in 0..DAEMONS {
        system.wait_revision(daemon, 5).await;
        let status = system.run(daemon, &["status"]).await.success().json();
        assert_eq!(status["zones_out"], serde_json::json!(["zone-1", "zone-2", "zone-3"]));
        let history = system.history(daemon).await;
        assert_eq!(history.len(), 5);
        assert!(["zone-1", "zone-2", "zone-3"].iter().all(|z| history.contains(&(*z).to_owned())));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn operate_answer_lost() {
    let system = System::start("lost").await;
    let text = example().replacen("\"weight\": 8", "\"weight\": 9", 1);
    system.write("second.json", &text);
    for times in [1, 2, 3, 5] {
        system.kv.fault(Fault::LostAnswer { times }).expect(SETUP);
        let run = system.run(0, &["apply", "--id", "second", "--base", "1", "second.json"]).await;
        // A change reported as accepted must have been applied exactly once, a change reported as
        // not accepted not at all.
        match run.code {
            0 => assert_eq!(run.json()["revision"], 2),
            4 => assert_eq!(system.history(1).await, ["first"]),
            code => panic!("exit code {code}: {}", run.error),
        }
    }
    // The stand-in may still have answers to lose.
    for _ in 0..MAX_POLLS {
        let run = system.run(0, &["apply", "--id", "second", "--base", "1", "second.json"]).await;
        if run.code == 0 {
            assert_eq!(run.json()["revision"], 2);
            break;
        }
        assert_eq!(run.code, 4, "{}", run.error);
    }
    system.run(0, &["zone", "out", "zone-1", "--wait", "--id", "third"]).await.success();
    system.wait_revision(1, 3).await;
    assert_eq!(system.history(1).await, ["third", "second", "first"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn operate_kv_service_down() {
    let system = System::start("down").await;
    let text = example().replacen("\"weight\": 8", "\"weight\": 9", 1);
    system.write("second.json", &text);
    system.kv.fault(Fault::Down { on: true }).expect(SETUP);
    let failure = system.run(0, &["apply", "--base", "1", "second.json"]).await.failure(4);
    assert_eq!(failure["code"], "unavailable");
    // Reads are served without the key-value service.
    assert_eq!(system.revision(1).await, 1);
    system.run(1, &["get"]).await.success();
    system.kv.fault(Fault::Down { on: false }).expect(SETUP);
    assert_eq!(system.history(0).await, ["first"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn operate_refused() {
    let system = System::start("refused").await;
    let run = system.run_as("another token", 0, &["status"]).await;
    assert_eq!(run.failure(1)["code"], "unauthenticated");
    system.write("bad.json", &example().replace("\"cold_limit\": 4", "\"cold_limit\": 0"));
    let invalid = system.run(0, &["apply", "--base", "1", "bad.json"]).await.failure(1);
    assert_eq!(invalid["places"].as_array().map(Vec::len), Some(9));
    assert_eq!(system.run(0, &["trace", "abc"]).await.failure(1)["code"], "not_found");
    let unknown = system.run(0, &["order", "engine-99", "set-role", "prefill"]).await;
    assert_eq!(unknown.failure(1)["code"], "not_found");
    assert_eq!(system.revision(0).await, 1);
}
