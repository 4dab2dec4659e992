//! One run: a deployment, its callers, and what goes wrong.

use std::sync::Arc;
use std::time::{Duration, Instant};

use acacia_policy::gateway::Placement;
use acacia_standin::platform::caller::Answer;
use futures::future::join_all;
use indicatif::ProgressBar;
use tokio::task::JoinSet;

use super::fault::Fault;
use super::profile::Profile;
use super::report::Report;
use super::workload::{self, Shape};
use super::{Cluster, Error};

/// What is run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The deployment and its callers.
    pub profile: Profile,
    /// How engines are chosen.
    pub placement: Placement,
    /// How load changes.
    pub shape: Shape,
    /// Factor on the load.
    pub load: f64,
    /// How long callers ask.
    pub length: Duration,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// Seed of the workload.
    pub seed: u64,
}

/// One request and its end.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its class, by number.
    pub class: usize,
    /// What its caller got.
    pub answer: Answer,
}

/// Runs a plan.
pub async fn run(plan: &Plan, bar: &ProgressBar) -> Result<Report, Error> {
    let cluster = Arc::new(Cluster::start(&plan.profile, plan.placement).await?);
    let faults = join_all(plan.faults.iter().map(|fault| fault.inject(&cluster, plan.length)));
    let (records, _) = tokio::join!(play(plan, &cluster, bar), faults);
    let report = Report::new(plan, &cluster, &records);
    if let Some(cluster) = Arc::into_inner(cluster) {
        cluster.stop().await?;
    }
    Ok(report)
}

/// Sends every request at its time.
async fn play(plan: &Plan, cluster: &Arc<Cluster>, bar: &ProgressBar) -> Vec<Record> {
    let Plan { profile, shape, length, load, seed, .. } = plan;
    let items = workload::draw(profile, *shape, *length, *load, *seed);
    bar.set_length(items.len() as u64);
    let started = Instant::now();
    let mut running = JoinSet::new();
    for item in items {
        tokio::time::sleep(item.at.saturating_sub(started.elapsed())).await;
        let cluster = cluster.clone();
        running.spawn(async move {
            let answer = cluster.caller().ask(&item.ask).await;
            Record { class: item.class, answer }
        });
        bar.inc(1);
    }
    running.join_all().await
}
