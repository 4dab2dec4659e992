//! Runs a deployment under load while faults are injected.

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

/// Plan of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The deployment and its callers.
    pub profile: Profile,
    /// Placement rule.
    pub placement: Placement,
    /// How the load changes over the run.
    pub shape: Shape,
    /// Factor by which the load is multiplied.
    pub load: f64,
    /// How long callers send requests.
    pub length: Duration,
    /// Faults to inject.
    pub faults: Vec<Fault>,
    /// Seed of the workload.
    pub seed: u64,
}

/// One request and its result.
#[derive(Clone, Debug)]
pub struct Record {
    /// Index of its class.
    pub class: usize,
    /// The answer that its caller received.
    pub answer: Answer,
}

/// Runs a plan.
///
/// # Errors
/// If the deployment can't run.
pub async fn run(plan: &Plan, bar: &ProgressBar) -> Result<Report, Error> {
    let cluster = Arc::new(Cluster::start(&plan.profile, plan.placement).await?);
    let faults = join_all(plan.faults.iter().map(|fault| fault.inject(&cluster, plan.length)));
    let (records, _) = tokio::join!(send_requests(plan, &cluster, bar), faults);
    let report = Report::new(plan, &cluster, &records);
    if let Some(cluster) = Arc::into_inner(cluster) {
        cluster.stop().await?;
    }
    Ok(report)
}

/// Sends every request at its time.
async fn send_requests(plan: &Plan, cluster: &Arc<Cluster>, bar: &ProgressBar) -> Vec<Record> {
    let Plan { profile, shape, length, load, seed, .. } = plan;
    let items = workload::draw(profile, *shape, *length, *load, *seed);
    bar.set_length(items.len() as u64);
    let started = Instant::now();
    let mut running = JoinSet::new();
    for item in items {
        tokio::time::sleep(item.at.saturating_sub(started.elapsed())).await;
        let cluster = cluster.clone();
        running.spawn(async move {
            let answer = cluster.caller().send(&item.ask).await;
            Record { class: item.class, answer }
        });
        bar.inc(1);
    }
    running.join_all().await
}
