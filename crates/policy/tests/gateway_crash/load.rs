//! What callers send.

use std::time::Duration;

use acacia_policy::gateway::call::content_hash;
use acacia_policy::gateway::{Call, Prompt};
use rand::RngExt;

use super::{FIRST, Request, Site, TICK};
use crate::gateway_simulation::{MODEL, part};

/// The page that callers ask for most.
pub const POPULAR: &str = "/read/popular";

/// A load of requests to plain servers.
#[derive(Clone, Copy, Debug)]
pub struct PlainLoad<'a> {
    /// Sound requests a second.
    pub sound: f64,
    /// Path of the culprit; others differ from it in the path only, or in the body only.
    pub culprit: &'a str,
    /// Culprits a second, at random times.
    pub culprits: f64,
}

impl Site {
    /// A caller sends a prompt with these shared parts after the first, through a random gateway or
    /// the given one; returns its index.
    pub fn call(&mut self, parts: &[&str], gateway: Option<usize>) -> usize {
        let own = format!("own-{}", self.requests.len());
        self.call_prompt(parts, &own, gateway)
    }

    /// The same with a last part that other requests may have, too.
    pub fn call_prompt(&mut self, parts: &[&str], own: &str, gateway: Option<usize>) -> usize {
        let shared = [FIRST].into_iter().chain(parts.iter().copied()).map(|id| part(id, 800));
        let all: Vec<_> = shared.chain([part(own, 200)]).collect();
        let prompt = Prompt {
            model: MODEL.into(),
            input_tokens: all.iter().map(|part| part.tokens).sum(),
            output_tokens: 100,
            parts: all,
        };
        let name = format!("{} {own}", parts.join(" "));
        self.submit("/ask/", "", Some(prompt), name, parts, gateway)
    }

    /// A caller sends a request to a plain server.
    pub fn call_plain(&mut self, path: &str, body: &str, gateway: Option<usize>) -> usize {
        self.submit(path, body, None, plain_name(path, body), &[], gateway)
    }

    fn submit(
        &mut self,
        path: &str,
        body: &str,
        prompt: Option<Prompt>,
        name: String,
        parts: &[&str],
        gateway: Option<usize>,
    ) -> usize {
        let request = self.requests.len();
        let gateway = gateway.unwrap_or_else(|| self.rng.random_range(0..self.gateways.len()));
        let call = Call {
            id: format!("call-{request}"),
            host: "svc.example".to_owned(),
            path: path.to_owned(),
            key: None,
            timeout: Some(Duration::from_secs(5)),
            prompt,
            content: content_hash("POST", path, body.as_bytes()),
            resumption: None,
        };
        let plan =
            self.gateways[gateway].admit(self.now, call.clone()).expect("the route is public");
        self.requests.push(Request {
            arrived: self.elapsed(),
            name,
            parts: parts.iter().map(|part| (*part).to_owned()).collect(),
            sends: Vec::new(),
            outcome: None,
            call,
        });
        self.go_on(gateway, request, plan);
        request
    }

    /// Number of calls in one tick at a rate per second.
    fn arrivals_in_tick(&mut self, rate: f64) -> u32 {
        let expected = rate * TICK.as_secs_f64();
        expected as u32 + u32::from(self.rng.random::<f64>() < expected.fract())
    }

    /// Calls at random times for a while: `sound` requests a second on random subjects, and
    /// `culprits` a second that also have a part that crashes engines.
    pub fn run_load(&mut self, time: Duration, sound: f64, culprits: f64) {
        let end = self.now + time;
        let poison: Vec<String> = self.poison.iter().cloned().collect();
        while self.now < end {
            for (rate, is_culprit) in [(sound, false), (culprits, true)] {
                for _ in 0..self.arrivals_in_tick(rate) {
                    let subject = format!("subject-{}", self.rng.random_range(0..60));
                    match poison.first().filter(|_| is_culprit) {
                        Some(poison) => self.call(&[&subject, poison], None),
                        None => self.call(&[&subject], None),
                    };
                }
            }
            self.tick();
        }
    }

    /// The same for plain servers: a quarter of the sound requests ask for the popular page, and
    /// half of them differ from the culprit in the path only or in the body only.
    pub fn run_plain_load(&mut self, time: Duration, load: PlainLoad<'_>) {
        let end = self.now + time;
        while self.now < end {
            for _ in 0..self.arrivals_in_tick(load.sound) {
                let number = self.rng.random_range(0..10_000);
                match self.rng.random_range(0..4) {
                    0 => self.call_plain(POPULAR, "", None),
                    1 => self.call_plain(&format!("{}-{number}", load.culprit), "x", None),
                    2 => self.call_plain(load.culprit, &format!("x{number}"), None),
                    _ => self.call_plain(&format!("/once/{number}"), "x", None),
                };
            }
            for _ in 0..self.arrivals_in_tick(load.culprits) {
                self.call_plain(load.culprit, "x", None);
            }
            self.tick();
        }
    }
}

/// Name of a request to a plain server.
pub fn plain_name(path: &str, body: &str) -> String {
    format!("{path} {body}")
}
