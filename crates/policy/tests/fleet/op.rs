//! Random operations on the simulated fleet.

use std::time::Duration;

use acacia_catalog::id::Name;
use acacia_policy::control::{Event, Mutation};
use quickcheck::{Arbitrary, Gen};
use serde::{Deserialize, Serialize};

use super::{NodeId, Simulation};

/// Maximum daemons at a time.
const MAX_NODES: usize = 6;
/// Time within which the fleet must have recovered after all faults ended.
const RECOVERY_TIME: Duration = Duration::from_secs(40);

/// An operation.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    Run(u16),
    #[serde(rename = "ask")]
    Request(u8, u8, u8),
    Claim(u8, u8),
    Change(u8, u8),
    Order(u8, u8),
    Restart(u8),
    Start,
    Kill(u8),
    Stop(u8),
    Pause(u8, u16),
    #[serde(rename = "down")]
    Outage(u16),
    Slow(u16),
    #[serde(rename = "lose")]
    LoseAnswers(u8),
    Drop(u8),
    Delay(u16),
    #[serde(rename = "double")]
    Duplicate(u8),
    #[serde(rename = "part")]
    Partition(u8, bool),
    Heal,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        let time = u16::arbitrary(g) % 4_000;
        match u8::arbitrary(g) % 48 {
            0..=11 => Self::Run(time),
            12..=23 => Self::Request(a, b, 1 + u8::arbitrary(g) % 6),
            24..=27 => Self::Claim(a, b % 16),
            28..=29 => Self::Change(a, b),
            30..=31 => Self::Order(a, b),
            32..=33 => Self::Restart(a),
            34 => Self::Start,
            35 => Self::Kill(a),
            36 => Self::Stop(a),
            37..=38 => Self::Pause(a, time),
            39 => Self::Outage(time),
            40 => Self::Slow(time),
            41 => Self::LoseAnswers(a % 80),
            42 => Self::Drop(a % 60),
            43 => Self::Delay(time / 4),
            44 => Self::Duplicate(a % 50),
            45 => Self::Partition(a, b % 2 == 0),
            _ => Self::Heal,
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        match self {
            Self::Run(t) if *t > 100 => {
                Box::new([Self::Run(t / 2), Self::Run(t - 100)].into_iter())
            }
            Self::Request(a, b, n) if *n > 1 => {
                Box::new(std::iter::once(Self::Request(*a, *b, n - 1)))
            }
            _ => quickcheck::empty_shrinker(),
        }
    }
}

/// A seed and a sequence of operations.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub ops: Vec<Op>,
}

impl Arbitrary for Scenario {
    fn arbitrary(g: &mut Gen) -> Self {
        let ops = (0..g.size()).map(|_| Op::arbitrary(g)).collect();
        Self { seed: u64::arbitrary(g), ops }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let seed = self.seed;
        Box::new(self.ops.shrink().map(move |ops| Self { seed, ops }))
    }
}

impl Scenario {
    /// Runs the scenario; returns the simulation in its final state, with the first violation.
    pub fn run(&self, mutation: Option<Mutation>) -> Simulation {
        let mut simulation = Simulation::new(self.seed, mutation);
        for _ in 0..4 {
            simulation.start();
        }
        simulation.run_for(Duration::from_secs(3));
        simulation.change(1);
        simulation.run_for(Duration::from_secs(2));
        for op in &self.ops {
            simulation.apply(op);
            if simulation.oracle.violation.is_some() {
                return simulation;
            }
        }
        simulation.recover();
        simulation
    }
}

impl Simulation {
    /// Applies an operation.
    pub fn apply(&mut self, op: &Op) {
        match op {
            Op::Run(time) => self.run_for(ms(*time)),
            Op::Request(node, upstream, count) => {
                let (node, upstream) = (self.node(*node), self.upstream(*upstream));
                self.request(node, &upstream, u32::from(*count));
            }
            Op::Claim(node, key) => self.claim(self.node(*node), u32::from(*key)),
            Op::Change(node, what) => {
                let names = ["a", "b", "e1", "s0"];
                let name: Name = names[usize::from(*what) % names.len()].into();
                let out = self.out.entry(name).or_default();
                *out = !*out;
                self.change(self.node(*node));
            }
            Op::Order(node, upstream) => {
                let upstream: Name = format!("e{}", upstream % 4).into();
                self.order(self.node(*node), &upstream);
            }
            Op::Restart(upstream) => {
                let upstream: Name = format!("e{}", upstream % 4).into();
                self.restart(&upstream);
            }
            Op::Start if self.nodes.len() < MAX_NODES => {
                self.start();
            }
            Op::Start => {}
            op => self.apply_fault(op),
        }
    }

    fn apply_fault(&mut self, op: &Op) {
        self.note_fault();
        match op {
            Op::Kill(node) if self.nodes.len() > 1 => {
                self.kill(self.node(*node));
                self.start();
            }
            Op::Stop(node) if self.nodes.len() > 1 => {
                self.step(self.node(*node), Event::Stop);
                self.start();
            }
            Op::Pause(node, time) => self.pause(self.node(*node), ms(*time)),
            Op::Outage(time) => {
                self.stop_service();
                self.run_for(ms(*time));
            }
            Op::Slow(time) => self.faults.slow = ms(*time),
            Op::LoseAnswers(share) => self.faults.lose_answers = u32::from(*share),
            Op::Drop(share) => self.faults.drop = u32::from(*share),
            Op::Delay(time) => self.faults.delay = ms(*time),
            Op::Duplicate(share) => self.faults.duplicate = u32::from(*share),
            Op::Partition(mask, service_cut) => {
                let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
                let partition = ids.iter().map(|n| (*n, (mask >> (n % 8)) & 1));
                self.faults.partition = partition.collect();
                self.faults.service_cut = *service_cut;
            }
            Op::Heal => self.heal(),
            _ => {}
        }
    }

    /// Ends every fault and checks that the fleet recovers.
    pub fn recover(&mut self) {
        self.heal();
        self.run_for(RECOVERY_TIME);
        if let Some(root) = self.root() {
            let past = root.history.iter().map(|r| r.change.clone());
            self.oracle.history(past.chain([root.change.clone()]));
        }
        let live: Vec<Name> = self.nodes.keys().map(|n| format!("d{n}").into()).collect();
        for (id, node) in &self.nodes {
            let members: Vec<Name> =
                node.control.epoch().members.iter().map(|m| m.daemon.clone()).collect();
            let same = live.iter().all(|l| members.contains(l)) && members.len() == live.len();
            if !same {
                self.oracle.fail(format!("recovery: daemon {id} knows {members:?} of {live:?}"));
            }
            let stuck: u32 = node.waiting.values().sum();
            if stuck > 0 {
                let what = format!("{:?}", node.waiting);
                self.oracle.fail(format!("recovery: requests wait at daemon {id}: {what}"));
            }
            if !node.claims.is_empty() {
                self.oracle.fail(format!("recovery: claims wait at daemon {id}"));
            }
        }
    }

    fn node(&self, at: u8) -> NodeId {
        let at = usize::from(at) % self.nodes.len().max(1);
        self.nodes.keys().nth(at).copied().unwrap_or_default()
    }

    fn upstream(&self, at: u8) -> Name {
        let at = usize::from(at) % self.engines.len();
        self.engines.keys().nth(at).cloned().unwrap_or_else(|| "e0".into())
    }
}

fn ms(time: u16) -> Duration {
    Duration::from_millis(u64::from(time))
}
