//! Odd values in documents and requests, from the decoder to the decisions on requests: nothing
//! panics, whatever another process has written.

#![expect(clippy::unwrap_used, reason = "a failed helper fails the test")]

use std::sync::Arc;
use std::time::Duration;

use acacia_gateway::replica::Replica;
use acacia_platform::ingress;
use acacia_platform::store::Change;
use acacia_policy::Time;
use acacia_policy::gateway::canary;
use acacia_policy::gateway::window::{ColdTerms, RetryTerms};
use acacia_policy::gateway::{Ending, Gateway, Placement, Step, Terms};
use acacia_policy::kv::Revision;
use http::Request;
use quickcheck::{QuickCheck, TestResult};

/// Documents of one case.
const CHANGES: usize = 12;
/// Requests of one case.
const REQUESTS: usize = 8;
/// Steps of one request.
const STEPS: usize = 6;
/// Cases.
const CASES: u64 = 3_000;

/// JSON texts in the place of a number.
const NUMBERS: [&str; 20] = [
    "0",
    "1",
    "-1",
    "0.5",
    "1000",
    "1e-300",
    "1e9",
    "3e10",
    "1e15",
    "1e19",
    "1e22",
    "1e300",
    "-1e300",
    "4294967295",
    "4294967296",
    "9223372036854775807",
    "18446744073709551615",
    "18446744073709500000000",
    "null",
    "\"7\"",
];

/// Choices that a test case makes, in turn.
struct Choices {
    bytes: Vec<u8>,
    at: usize,
}

impl Choices {
    fn index(&mut self, count: usize) -> usize {
        self.at += 1;
        usize::from(self.bytes[self.at % self.bytes.len()].wrapping_add(self.at as u8)) % count
    }

    /// The usual value, mostly.
    fn number(&mut self, usual: &str) -> String {
        match self.index(12) {
            0 => NUMBERS[self.index(NUMBERS.len())].to_owned(),
            _ => usual.to_owned(),
        }
    }

    /// A number in a header.
    fn digits(&mut self, usual: &str) -> String {
        self.number(usual).trim_matches('"').to_owned()
    }

    fn server(&mut self) -> (String, String) {
        let name = self.index(4);
        let service = ["app", "llm", "", "none"][self.index(4) % 3];
        let address = ["10.0.0.1:80", "0.0.0.0:0", "[::1]:9", "10.0.0.1:70000"][self.index(4)];
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"z\",\
             \"version\":\"v{}\",\"slots\":{},\"state\":\"ready\",\"cold_left_ms\":{},\
             \"sequence\":{},\"born\":{},\"models\":[{{\"name\":\"m\",\"version\":{}}}]}}",
            self.index(2),
            self.number("8"),
            self.number("0"),
            self.number("1"),
            self.number("1"),
            self.number("1"),
        );
        (format!("servers/s{name}"), value)
    }

    fn configuration(&mut self, version: usize) -> (String, String) {
        let mut route = |name: &str, service: &str, kind: &str| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"h\",\"path_prefix\":\"/{name}/\",\
                 \"kind\":\"{kind}\",\"resumable\":true,\"timeout_ms\":{},\
                 \"target_latency_ms\":{},\"gap_target_ms\":{},\"max_attempts\":{},\
                 \"priority\":{},\"traffic_split\":[{{\"service\":\"{service}\",\"weight\":{}}}]}}",
                self.number("2000"),
                self.number("500"),
                self.number("100"),
                self.number("3"),
                self.number("1"),
                self.number("1"),
            )
        };
        let routes =
            [route("read", "app", "idempotent"), route("ask", "llm", "streaming")].join(",");
        let value = format!(
            "{{\"version\":{version},\"routes\":[{routes}],\"services\":[\
             {{\"name\":\"app\",\"max_conns\":{},\"cold_start_s\":{},\"cold_per_s\":{}}},\
             {{\"name\":\"llm\",\"cold_start_s\":{},\"cold_per_s\":{},\"engine\":{{\"slots\":{},\
             \"kv_capacity\":{},\"kv_token_bytes\":{},\"link_mbps\":{},\
             \"models\":[{{\"name\":\"m\"}}]}}}},\
             {{\"name\":\"kv\",\"kv_store_addr\":\"10.0.0.9:80\",\"zone\":\"z\",\"kv_capacity\":{},\
             \"managed\":true,\"link_mbps\":{},\"first_ms\":{}}}]}}",
            self.number("8"),
            self.number("3"),
            self.number("5"),
            self.number("3"),
            self.number("5"),
            self.number("8"),
            self.number("10000"),
            self.number("1000"),
            self.number("1000"),
            self.number("10000"),
            self.number("1000"),
            self.number("1"),
        );
        ("op/config".to_owned(), value)
    }

    fn change(&mut self, number: usize) -> Change {
        let (key, value) = match self.index(8) {
            0..=4 => self.server(),
            5 => self.configuration(number),
            6 => {
                let version = self.number("2");
                ("op/version/m".to_owned(), format!("{{\"model\":\"m\",\"version\":{version}}}"))
            }
            _ => {
                let (version, time) = (self.index(3), self.number("5"));
                ("acacia/naming".to_owned(), format!("{{\"m\":{{\"{version}\":{time}}}}}"))
            }
        };
        let revision = Revision { era: 0, number: number as i64 };
        Change { key, value: Some(value.into_bytes()), revision, created: revision, lease: None }
    }
}

fn terms() -> Terms {
    Terms {
        zone: "z".into(),
        retries: RetryTerms { ratio: 0.2, slack: 20.0, window: Duration::from_secs(10) },
        cold: ColdTerms { factor: 1.5, slack: 5.0 },
        weights_limit: Duration::from_secs(8),
        stale_after: Duration::from_millis(500),
        placement: Placement::default(),
        under_pressure: false,
        canary: canary::Terms::default(),
    }
}

/// Sends a request with odd headers until it is answered or refused.
fn send(choices: &mut Choices, gateway: &mut Gateway, now: &mut Time, number: usize) {
    let path = ["/read/", "/ask/"][choices.index(2)];
    let usage = format!("{},{}", choices.digits("1000"), choices.digits("10"));
    let prefix = format!("a:{},{number:x}:{}", choices.digits("500"), choices.digits("500"));
    let request = Request::builder()
        .uri(path)
        .header("host", "h")
        .header("x-request-id", format!("r{number}"))
        .header("x-deadline-ms", choices.digits("1500"))
        .header("x-model", "m")
        .header("x-token-usage", usage)
        .header("x-prompt-prefix", prefix);
    let (head, ()) = request.body(()).unwrap().into_parts();
    let Ok(call) = ingress::call(&head) else { return };
    let Ok(mut plan) = gateway.admit(*now, call) else { return };
    for _ in 0..STEPS {
        let mut attempt = match gateway.next(*now, &mut plan) {
            Step::Send(attempt) => *attempt,
            Step::Wait(at) => {
                *now = (*now + Duration::from_millis(1)).max(at);
                continue;
            }
            Step::Forward(_) | Step::Refuse(_) => return,
        };
        *now += Duration::from_millis(50);
        let ending = [Ending::Answered, Ending::Refused, Ending::Broken, Ending::Misdirected];
        let ending = ending[choices.index(ending.len())];
        if ending == Ending::Answered {
            gateway.began(*now, &plan, &mut attempt);
        }
        let server = attempt.server.clone();
        gateway.ended(*now, &mut plan, &attempt, ending, Some(&*server.id));
        if ending == Ending::Answered {
            return;
        }
    }
}

/// Regression, LOST: an entry of another writer ended the processes that read it.
#[test]
fn decide_odd_documents() {
    fn runs(bytes: Vec<u8>) -> TestResult {
        if bytes.is_empty() {
            return TestResult::discard();
        }
        let mut choices = Choices { bytes, at: 0 };
        let mut now = Duration::from_secs(172_800);
        let mut replica = Replica::new(1);
        replica.replace(now, Revision { era: 0, number: 0 }, &[]);
        replica.set_server_clock(now, 1_700_000_000_000);
        let mut gateway = Gateway::new(terms(), 1);
        let (key, value) = choices.configuration(1);
        let revision = Revision { era: 0, number: 1 };
        let first = Change {
            key,
            value: Some(value.into_bytes()),
            revision,
            created: revision,
            lease: None,
        };
        replica.apply(now, &first);
        for number in 2..CHANGES {
            replica.apply(now, &choices.change(number));
            let _ = replica.unwritten_announcements();
            let _ = replica.rollout_progress(now, Duration::from_secs(8));
            if let Some(view) = replica.view("own") {
                gateway.observe(now, Arc::new(view));
            }
            for request in 0..REQUESTS {
                send(&mut choices, &mut gateway, &mut now, request);
            }
            now += Duration::from_millis(200);
        }
        TestResult::passed()
    }
    QuickCheck::new().tests(CASES).quickcheck(runs as fn(Vec<u8>) -> TestResult);
}
