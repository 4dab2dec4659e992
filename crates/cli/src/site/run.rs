//! One run: a deployment, its callers, and what goes wrong.

use std::sync::Arc;
use std::time::{Duration, Instant};

use acacia_policy::gateway::Placement;
use acacia_standin::platform::caller::Answer;
use futures::future::join_all;
use indicatif::ProgressBar;
use tokio::task::JoinSet;

use super::profile::Profile;
use super::report::Report;
use super::trouble::Trouble;
use super::workload::{self, Shape};
use super::{Error, Site};

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
    pub troubles: Vec<Trouble>,
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
    let site = Arc::new(Site::start(&plan.profile, plan.placement).await?);
    let troubles = join_all(plan.troubles.iter().map(|t| t.play(&site, plan.length)));
    let (records, _) = tokio::join!(play(plan, &site, bar), troubles);
    let report = Report::new(plan, &site, &records);
    if let Some(site) = Arc::into_inner(site) {
        site.stop().await?;
    }
    Ok(report)
}

/// Sends every request at its time.
async fn play(plan: &Plan, site: &Arc<Site>, bar: &ProgressBar) -> Vec<Record> {
    let Plan { profile, shape, length, load, seed, .. } = plan;
    let items = workload::draw(profile, *shape, *length, *load, *seed);
    bar.set_length(items.len() as u64);
    let begun = Instant::now();
    let mut running = JoinSet::new();
    for item in items {
        tokio::time::sleep(item.at.saturating_sub(begun.elapsed())).await;
        let site = site.clone();
        running.spawn(async move {
            let answer = site.caller().send(&item.ask).await;
            Record { class: item.class, answer }
        });
        bar.inc(1);
    }
    running.join_all().await
}
