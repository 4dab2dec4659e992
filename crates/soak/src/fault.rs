//! Schedules of faults and planned changes, generated from a seed.

use std::ops::Range;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use strum::{Display, EnumIter, EnumString, IntoEnumIterator};

/// Stream of random numbers for [`Scenario::Silences`]; the other faults of a seed use the first.
const SILENCE_STREAM: u64 = 1;
/// The same for [`Scenario::Crashes`].
const CRASH_STREAM: u64 = 2;
/// The same for [`Scenario::ShortBudgets`].
const SHORT_BUDGET_STREAM: u64 = 3;
/// The same for [`Scenario::Limits`].
const LIMIT_STREAM: u64 = 4;
/// The same for [`Scenario::Cuts`].
const CUT_STREAM: u64 = 5;
/// The same for [`Scenario::Brittle`].
const BRITTLE_STREAM: u64 = 6;
/// Durations for which a service's servers are brittle, in milliseconds: longer than the warning.
const BRITTLE_MS: Range<u64> = 5_000..9_000;
/// Time until the servers of a service are brittle, also again, in milliseconds.
const BRITTLE_SPACING_MS: Range<u64> = 200..3_000;
/// Time between two other faults meanwhile, in milliseconds.
const OTHER_SPACING_MS: Range<u64> = 300..3_000;
/// Durations of a cut, in milliseconds.
const CUT_MS: Range<u64> = 4_000..12_000;
/// Time between two cuts, in lengths of the former: some of them overlap.
const CUT_SPACING: Range<f64> = 0.2..1.4;
/// Time from the begin of a cut to an announcement of weights, in milliseconds.
const ANNOUNCEMENT_MS: Range<u64> = 0..1_000;
/// Durations of a rate limit, in milliseconds: some windows in which it is checked.
const LIMIT_MS: Range<u64> = 6_000..12_000;
/// Number of servers with a rate limit.
const LIMITED: Range<u32> = 1..4;
/// Durations of a silence, in milliseconds: around a second.
const SILENCE_MS: Range<u64> = 700..1_600;
/// Time between two silences of a series, in lengths of the former: some of them overlap.
const SILENCE_SPACING: Range<f64> = 0.2..1.4;
/// Number of silences in a series.
const SERIES: Range<u32> = 2..6;
/// Time between two series, in milliseconds.
const SERIES_SPACING_MS: Range<u64> = 200..1_500;
/// Time between two changes of a series.
const CHANGE_INTERVAL: Duration = Duration::from_millis(330);
/// Number of changes in a series.
const CHANGES: Range<u32> = 5..13;
/// Every how many changes one concerns a server's entry instead of the configuration, on average.
const ENTRY_CHANGE_SPACING: u32 = 4;
/// Every how many silences one holds all bytes of the server's connections, on average.
const STALL_SPACING: u32 = 3;
/// Number of different changes of the configuration.
const VARIATIONS: usize = 1 << 20;
/// Longest duration of a fault.
const MAX_DURATION_MS: u64 = 2_500;
/// Shortest duration of a fault.
const MIN_DURATION_MS: u64 = 200;

/// What the faults of a run have in common.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Scenario {
    /// Faults of all kinds that have no scenario of their own.
    #[default]
    Mixed,
    /// Servers fall silent while others fail and the configuration changes.
    Silences,
    /// Culprits crash each server that begins to run them.
    Crashes,
    /// Servers state rate limits in their answers.
    Limits,
    /// Instances are cut off all servers, beside restarts of others and new weights.
    Cuts,
    /// Servers state how many refusals they bear, beside restarts of instances and changes of the
    /// configuration.
    Brittle,
    /// Silences, at routes with time budgets shorter than a silence, beside failures of other
    /// servers and changes of the routes' settings in quick succession.
    ShortBudgets,
}

/// Kinds of faults and planned changes.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// An instance is stopped gracefully and started again.
    Replace,
    /// An instance's settings file is rewritten and the instance reloads it.
    Reload,
    /// A new configuration with the same routes is published.
    Configure,
    /// Newer weights are announced.
    #[strum(to_string = "renew")]
    AnnounceWeights,
    /// An instance is killed and started again.
    Kill,
    /// An instance is suspended for a while.
    Pause,
    /// The metadata store refuses every call.
    StoreDown,
    /// The metadata store does not answer.
    StoreFrozen,
    /// The metadata store executes calls but loses their answers.
    StoreLosesAnswers,
    /// Every lease in the metadata store expires.
    LeasesLapse,
    /// The connection to the metadata store is slow.
    StoreSlow,
    /// A server refuses connections.
    ServerGone,
    /// A server's connections stall in both directions.
    ServerSilent,
    /// A server's answers stall.
    ServerOneWay,
    /// A server's connections are reset.
    ServerReset,
    /// The connection to a server is slow.
    ServerSlow,
    /// A model engine interrupts streams.
    StreamsBreak,
    /// The managed KV cache store loses its contents.
    CacheLost,
    /// The metadata store is restored from an older copy.
    StoreRestored,
    /// A server says in its answers that it is leaving, and restarts later.
    ServerLeaving,
    /// A server refuses requests and asks for a pause.
    ServerPaused,
    /// A model engine's streams end with their connection, and it interrupts them.
    StreamsBreakUntilClose,
    /// A server sends nothing for a while and then goes on.
    Silence,
    /// The other servers of the same service refuse requests as not run.
    OthersRefuse,
    /// The other servers of the same service close connections instead of answering.
    OthersClose,
    /// The other servers of the same service interrupt streams.
    OthersBreakOff,
    /// A configuration with other timeouts, attempts, splits, limits and organisations is
    /// published.
    Vary,
    /// A server's entry is removed and written again; the server runs on.
    EntryRemoved,
    /// A server states a rate limit in its answers.
    ServerLimited,
    /// Connections of some instances to all servers hang.
    CutHang,
    /// Connections of some instances to all servers are reset.
    CutReset,
    /// New connections of some instances to all servers are reset.
    CutRefuseNew,
    /// All servers of a service are brittle.
    ServersBrittle,
    /// An instance that is not cut off is stopped gracefully and started again.
    ReplaceOther,
    /// An instance that is not cut off is killed and started again.
    KillOther,
    /// Every lease in the metadata store expires, and the store executes the first write of each entry
    /// of the instances late, without an answer.
    StoreDelaysWrites,
    /// An organisation becomes isolated, is shared again, and becomes isolated again.
    Isolate,
}

/// Kinds that were added after seeds had been recorded; they are drawn separately, so that the
/// other faults of a seed stay the same.
const LATER_KINDS: [Kind; 6] = [
    Kind::StoreRestored,
    Kind::ServerLeaving,
    Kind::ServerPaused,
    Kind::StreamsBreakUntilClose,
    Kind::StoreDelaysWrites,
    Kind::Isolate,
];

/// Kinds that only [`Scenario::Silences`] has.
const SILENCE_KINDS: [Kind; 4] =
    [Kind::Silence, Kind::OthersRefuse, Kind::OthersClose, Kind::OthersBreakOff];

/// Kinds that only [`Scenario::ShortBudgets`] has.
const SHORT_BUDGET_KINDS: [Kind; 2] = [Kind::Vary, Kind::EntryRemoved];

/// Kinds that only [`Scenario::Limits`] has.
const LIMIT_KINDS: [Kind; 1] = [Kind::ServerLimited];

/// Kinds that only [`Scenario::Cuts`] has, and some of them [`Scenario::Brittle`].
const CUT_KINDS: [Kind; 5] =
    [Kind::CutHang, Kind::CutReset, Kind::CutRefuseNew, Kind::ReplaceOther, Kind::KillOther];

/// Kinds that only [`Scenario::Brittle`] has.
const BRITTLE_KINDS: [Kind; 1] = [Kind::ServersBrittle];

/// Kinds beside which servers are brittle, in turn. Falls during restarts may not count, so that
/// most are others.
const BESIDE_BRITTLE_KINDS: [Kind; 6] = [
    Kind::ReplaceOther,
    Kind::Configure,
    Kind::Reload,
    Kind::KillOther,
    Kind::Configure,
    Kind::Reload,
];

impl Kind {
    /// Whether it is a planned change by operators, which must not lose requests.
    pub fn is_planned(self) -> bool {
        matches!(self, Self::Replace | Self::Reload | Self::Configure | Self::AnnounceWeights)
    }
}

/// One fault of a schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// When it begins, from the start.
    pub at: Duration,
    /// How long it lasts; some kinds have no duration.
    pub length: Duration,
    /// Kind.
    pub kind: Kind,
    /// Number of the affected instance or server, modulo their count.
    pub target: usize,
}

/// A schedule of faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Whether all of them are planned changes.
    pub is_planned: bool,
    /// The faults, unordered.
    pub faults: Vec<Fault>,
}

impl Schedule {
    /// Generates a schedule of the given length; every third seed has only planned changes.
    pub fn draw(seed: u64, length: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let is_planned = seed.is_multiple_of(3);
        let is_excluded = |kind: &Kind| {
            let excluded: [&[Kind]; 6] = [
                &LATER_KINDS,
                &SILENCE_KINDS,
                &SHORT_BUDGET_KINDS,
                &LIMIT_KINDS,
                &CUT_KINDS,
                &BRITTLE_KINDS,
            ];
            excluded.iter().any(|kinds| kinds.contains(kind))
        };
        let is_drawn = |kind: &Kind| !is_excluded(kind) && (!is_planned || kind.is_planned());
        let kinds: Vec<Kind> = Kind::iter().filter(is_drawn).collect();
        // About one per second; as faults last up to 2.5 s, several overlap.
        let count = length.as_secs().max(1) + rng.random_range(0..4);
        let faults = (0..count).map(|_| Fault {
            at: length.mul_f64(rng.random()),
            length: Duration::from_millis(rng.random_range(MIN_DURATION_MS..MAX_DURATION_MS)),
            kind: kinds[rng.random_range(0..kinds.len())],
            target: rng.random_range(0..64),
        });
        Self { is_planned, faults: faults.collect() }
    }

    /// Adds one fault of each of [`LATER_KINDS`], unless only planned changes are made.
    #[must_use]
    pub fn with_later_kinds(mut self, seed: u64, length: Duration) -> Self {
        if self.is_planned {
            return self;
        }
        let mut rng = ChaCha8Rng::seed_from_u64(!seed);
        self.faults.extend(LATER_KINDS.map(|kind| Fault {
            at: length.mul_f64(rng.random()),
            length: Duration::from_millis(rng.random_range(MIN_DURATION_MS..MAX_DURATION_MS)),
            kind,
            target: rng.random_range(0..64),
        }));
        self
    }

    /// Generates planned changes for the time in which servers crash.
    pub fn beside_crashes(seed: u64, length: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(CRASH_STREAM);
        let kinds = [Kind::Configure, Kind::Configure, Kind::Reload, Kind::AnnounceWeights];
        let faults = kinds.map(|kind| {
            let (at, target) = (length.mul_f64(rng.random()), rng.random_range(0..64));
            Fault { at, length: Duration::ZERO, kind, target }
        });
        Self { is_planned: false, faults: faults.into() }
    }

    /// Generates rate limits of some servers, beside planned changes and silences.
    pub fn limits(seed: u64, length: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(LIMIT_STREAM);
        let mut faults = Vec::new();
        for _ in 0..rng.random_range(LIMITED) {
            let limited = Duration::from_millis(rng.random_range(LIMIT_MS));
            let (at, target) = (length.mul_f64(rng.random()), rng.random_range(0..VARIATIONS));
            faults.push(Fault { at, length: limited, kind: Kind::ServerLimited, target });
        }
        let others = [Kind::Configure, Kind::Replace, Kind::Reload, Kind::AnnounceWeights];
        for kind in others.into_iter().chain([Kind::Silence, Kind::EntryRemoved]) {
            let at = length.mul_f64(rng.random());
            let ms = rng.random_range(MIN_DURATION_MS..MAX_DURATION_MS);
            let target = rng.random_range(0..VARIATIONS);
            faults.push(Fault { at, length: Duration::from_millis(ms), kind, target });
        }
        Self { is_planned: false, faults }
    }

    /// Generates cuts of instances, some of which overlap, with an announcement of weights shortly
    /// after the begin of each, beside restarts of other instances.
    pub fn cuts(seed: u64, length: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(CUT_STREAM);
        let mut faults = Vec::new();
        let mut at = Duration::ZERO;
        while at < length {
            let cut = Duration::from_millis(rng.random_range(CUT_MS));
            let kind = CUT_KINDS[rng.random_range(0..3)];
            let target = rng.random_range(0..VARIATIONS);
            faults.push(Fault { at, length: cut, kind, target });
            let announced = at + Duration::from_millis(rng.random_range(ANNOUNCEMENT_MS));
            let (length, kind) = (Duration::ZERO, Kind::AnnounceWeights);
            faults.push(Fault { at: announced, length, kind, target: 0 });
            for kind in [Kind::ReplaceOther, Kind::KillOther] {
                let at = at + cut.mul_f64(rng.random());
                let ms = rng.random_range(MIN_DURATION_MS..MAX_DURATION_MS);
                let target = rng.random_range(0..VARIATIONS);
                faults.push(Fault { at, length: Duration::from_millis(ms), kind, target });
            }
            at += cut.mul_f64(rng.random_range(CUT_SPACING));
        }
        for kind in [Kind::AnnounceWeights, Kind::Configure] {
            let at = length.mul_f64(rng.random());
            faults.push(Fault { at, length: Duration::ZERO, kind, target: 0 });
        }
        Self { is_planned: false, faults }
    }

    /// Generates times in which the servers of a service are brittle, some of which overlap with
    /// those of the other service, beside restarts and changes.
    pub fn brittle(seed: u64, length: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(BRITTLE_STREAM);
        let mut faults = Vec::new();
        // Even targets are plain servers, odd ones engines.
        for service in 0..2 {
            let mut at = draw_ms(BRITTLE_SPACING_MS, &mut rng);
            while at < length {
                let length = draw_ms(BRITTLE_MS, &mut rng);
                let target = 2 * rng.random_range(0..VARIATIONS) + service;
                faults.push(Fault { at, length, kind: Kind::ServersBrittle, target });
                at += length + draw_ms(BRITTLE_SPACING_MS, &mut rng);
            }
        }
        let end = faults.iter().map(|fault| fault.at + fault.length).max().unwrap_or(length);
        let mut at = draw_ms(OTHER_SPACING_MS, &mut rng);
        let first = rng.random_range(0..BESIDE_BRITTLE_KINDS.len());
        let kinds = BESIDE_BRITTLE_KINDS.into_iter().cycle().skip(first);
        for kind in kinds {
            if at >= end {
                break;
            }
            let length = draw_ms(MIN_DURATION_MS..MAX_DURATION_MS, &mut rng);
            faults.push(Fault { at, length, kind, target: rng.random_range(0..VARIATIONS) });
            at += draw_ms(OTHER_SPACING_MS, &mut rng);
        }
        Self { is_planned: false, faults }
    }

    /// Generates series of silences that overlap with changes of the configuration and, except in
    /// every third seed, with failures of the other servers.
    pub fn silences(seed: u64, length: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(SILENCE_STREAM);
        let failures = if seed.is_multiple_of(3) { &[] } else { &SILENCE_KINDS[1..] };
        let mut faults = Vec::new();
        let mut at = Duration::ZERO;
        while at < length {
            for _ in 0..rng.random_range(SERIES) {
                let length = Duration::from_millis(rng.random_range(SILENCE_MS));
                let target = rng.random_range(0..64);
                let mut add = |kind, delay, length| {
                    faults.push(Fault { at: at + delay, length, kind, target });
                };
                add(Kind::Silence, Duration::ZERO, length);
                add(Kind::Configure, length.mul_f64(rng.random()), Duration::ZERO);
                if !failures.is_empty() {
                    let kind = failures[rng.random_range(0..failures.len())];
                    let ms = rng.random_range(MIN_DURATION_MS..MAX_DURATION_MS);
                    add(kind, length.mul_f64(rng.random()), Duration::from_millis(ms));
                }
                at += length.mul_f64(rng.random_range(SILENCE_SPACING));
            }
            at += Duration::from_millis(rng.random_range(SERIES_SPACING_MS));
        }
        for kind in [Kind::Replace, Kind::Reload, Kind::AnnounceWeights] {
            let (at, target) = (length.mul_f64(rng.random()), rng.random_range(0..64));
            faults.push(Fault { at, length: Duration::ZERO, kind, target });
        }
        Self { is_planned: false, faults }
    }

    /// Whether servers have no failures but silences in this seed of [`Scenario::ShortBudgets`].
    pub fn has_sound_servers(seed: u64) -> bool {
        seed.is_multiple_of(3)
    }

    /// Generates series of silences beside series of quick changes and, except in every third seed,
    /// failures of the other servers.
    pub fn short_budgets(seed: u64, length: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(SHORT_BUDGET_STREAM);
        let failures = if Self::has_sound_servers(seed) { &[] } else { &SILENCE_KINDS[1..] };
        let mut faults = silences_beside(failures, length, &mut rng);
        faults.extend(quick_changes(length, &mut rng));
        let others = [Kind::Reload, Kind::Reload, Kind::Reload, Kind::Reload];
        for kind in others.into_iter().chain([Kind::AnnounceWeights, Kind::AnnounceWeights]) {
            let (at, target) = (length.mul_f64(rng.random()), rng.random_range(0..64));
            faults.push(Fault { at, length: Duration::ZERO, kind, target });
        }
        Self { is_planned: false, faults }
    }
}

fn draw_ms(range: Range<u64>, rng: &mut ChaCha8Rng) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

/// Series of silences; during each, the other servers of the same kind fail in one of the given
/// ways.
fn silences_beside(failures: &[Kind], length: Duration, rng: &mut ChaCha8Rng) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        for _ in 0..rng.random_range(SERIES) {
            let silence = Duration::from_millis(rng.random_range(SILENCE_MS));
            let target = rng.random_range(0..64);
            let is_stall = rng.random_range(0..STALL_SPACING) == 0;
            let kind = if is_stall { Kind::ServerSilent } else { Kind::Silence };
            faults.push(Fault { at, length: silence, kind, target });
            if !failures.is_empty() {
                let kind = failures[rng.random_range(0..failures.len())];
                let at = at + silence.mul_f64(rng.random());
                let ms = rng.random_range(MIN_DURATION_MS..MAX_DURATION_MS);
                faults.push(Fault { at, length: Duration::from_millis(ms), kind, target });
            }
            at += silence.mul_f64(rng.random_range(SILENCE_SPACING));
        }
        at += Duration::from_millis(rng.random_range(SERIES_SPACING_MS));
    }
    faults
}

/// Series of changes, [`CHANGE_INTERVAL`] apart.
fn quick_changes(length: Duration, rng: &mut ChaCha8Rng) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        for _ in 0..rng.random_range(CHANGES) {
            let is_entry = rng.random_range(0..ENTRY_CHANGE_SPACING) == 0;
            let kind = if is_entry { Kind::EntryRemoved } else { Kind::Vary };
            let ms = rng.random_range(MIN_DURATION_MS..MAX_DURATION_MS);
            let target = rng.random_range(0..VARIATIONS);
            faults.push(Fault { at, length: Duration::from_millis(ms), kind, target });
            at += CHANGE_INTERVAL;
        }
        at += Duration::from_millis(rng.random_range(SERIES_SPACING_MS));
    }
    faults
}
