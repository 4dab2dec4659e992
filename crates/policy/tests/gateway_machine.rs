//! What becomes of a request: admission, repeats, refusals.

mod gateway_world;

use std::sync::Arc;
use std::time::Duration;

use acacia_policy::Verdict;
use acacia_policy::gateway::configuration::Repeat;
use acacia_policy::gateway::mesh::Detail;
use acacia_policy::gateway::stock::{Shelf, Stock};
use acacia_policy::gateway::{Ending, Fetch, Reason, Step};

use gateway_world::World;

#[test]
fn admit_takes_longest_prefix() {
    let world = World::new(3);
    let configuration = &world.view().configuration;
    let name = |path: &str| configuration.route("Svc.example:80", path).map(|r| r.name.clone());
    assert_eq!(name("/once/x").as_deref(), Some("once"));
    assert_eq!(name("/once/deep/x").as_deref(), Some("deep"));
    assert_eq!(name("/once/deeper").as_deref(), Some("once"));
    assert_eq!(name("/once"), None);
    assert_eq!(configuration.route("other.example", "/once/"), None);
}

#[test]
fn admit_denies_only_by_current_configuration() {
    let mut world = World::new(3);
    assert_eq!(world.admit("/nowhere/", "key").unwrap_err().reason, Reason::UnknownRoute);
    assert_eq!(world.admit("/once/", "other").unwrap_err().reason, Reason::UnknownKey);
    world.change(|view, now| view.detached = Some(now));
    world.pass(Duration::from_secs(5));
    let refusal = world.admit("/once/", "other").unwrap_err();
    assert_eq!((refusal.reason, refusal.verdict), (Reason::StaleConfiguration, Verdict::NotRun));
    assert!(refusal.retry_after.is_some());
    assert!(world.admit("/once/", "key").is_ok(), "what it knows is still served");
}

#[test]
fn next_repeats_only_what_did_not_run() {
    for (ending, again) in [
        (Ending::Refused, true),
        (Ending::Unreachable, true),
        (Ending::Misdirected, true),
        (Ending::Broken, false),
        (Ending::Lost, false),
        (Ending::Silent, false),
        (Ending::Failed, false),
    ] {
        let mut world = World::new(3);
        let mut plan = world.admit("/once/", "key").unwrap();
        let attempt = world.send(&mut plan);
        world.end(&mut plan, &attempt, ending);
        let step = world.next(&mut plan);
        assert_eq!(matches!(step, Step::Send(_)), again, "{ending}");
        if let Step::Refuse(refusal) = step {
            assert_ne!(refusal.verdict, Verdict::NotRun, "{ending}");
            assert_eq!(refusal.retry_after, None);
        }
    }
}

#[test]
fn next_repeats_idempotent_request_within_attempts() {
    let mut world = World::new(4);
    let mut plan = world.admit("/read/", "key").unwrap();
    assert_eq!(plan.route.repeat, Repeat::Idempotent);
    let first = world.send(&mut plan);
    world.end(&mut plan, &first, Ending::Broken);
    let second = world.send(&mut plan);
    assert_ne!(first.server.id, second.server.id);
    world.end(&mut plan, &second, Ending::Broken);
    assert!(matches!(world.next(&mut plan), Step::Refuse(r) if r.verdict == Verdict::MayHaveRun));
}

#[test]
fn next_refuses_at_once_without_upstream() {
    let mut world = World::new(2);
    world.change(|view, _| view.servers.clear());
    let mut plan = world.admit("/once/", "key").unwrap();
    let Step::Refuse(refusal) = world.next(&mut plan) else { panic!("nobody can take it") };
    assert_eq!((refusal.reason, refusal.verdict), (Reason::NoUpstream, Verdict::NotRun));
    let after = refusal.retry_after.unwrap();
    assert!(after > Duration::ZERO && after <= plan.left(world.now()) / 3);
}

#[test]
fn next_leaves_evacuated_zone_and_leaving_servers_alone() {
    let mut world = World::new(4);
    world.change(|view, _| {
        view.evacuated.insert("z0".into());
    });
    world.leave("s1");
    for _ in 0..50 {
        let mut plan = world.admit("/once/", "key").unwrap();
        let attempt = world.send(&mut plan);
        assert_eq!(&*attempt.server.id, "s3");
        world.end(&mut plan, &attempt, Ending::Answered);
    }
}

/// Found on mix --seed 861306548170 of Actas: a stream was given up for its silence though nothing
/// could take it over.
#[test]
fn has_alternative_only_where_another_could_take_it() {
    let mut world = World::new(2);
    let mut plan = world.admit("/read/", "key").unwrap();
    let attempt = world.send(&mut plan);
    assert!(world.has_alternative(&plan, &attempt));
    world.leave("s1");
    world.leave("s0");
    assert!(!world.has_alternative(&plan, &attempt));

    let mut world = World::new(2);
    world.forbid_repeats();
    let mut plan = world.admit("/read/", "key").unwrap();
    let attempt = world.send(&mut plan);
    assert!(!world.has_alternative(&plan, &attempt), "no repeat is left");
}

#[test]
fn next_uses_older_weights_for_limited_time() {
    let mut world = World::new(2);
    world.name_weights(2);
    let mut plan = world.admit("/ask/", "key").unwrap();
    assert!(matches!(world.next(&mut plan), Step::Send(attempt)
        if attempt.engine.as_ref().is_some_and(|run| run.weights == 1 && run.salt == "1")));
    world.pass(Duration::from_secs(9));
    let mut plan = world.admit("/ask/", "key").unwrap();
    assert!(matches!(world.next(&mut plan), Step::Refuse(r) if r.verdict == Verdict::NotRun));
}

/// Found on trouble-2 --seed 984860934193 of Ferreira: a prompt was sent in time and began 0.75 s
/// later, past the bound, as it had waited in the engine's queue.
#[test]
fn next_uses_older_weights_only_where_a_prompt_begins_in_time() {
    let mut world = World::new(1);
    world.name_weights(2);
    world.pass(Duration::from_millis(6_500));
    let mut plan = world.admit("/ask/", "key").unwrap();
    assert!(matches!(world.next(&mut plan), Step::Send(_)), "the engine is idle");
    for number in 0..3 {
        let mut long = world.admit_prompt(&format!("long-{number}"), 17_000);
        world.next(&mut long);
    }
    let mut plan = world.admit("/ask/", "key").unwrap();
    assert!(matches!(world.next(&mut plan), Step::Refuse(r) if r.verdict == Verdict::NotRun));
}

/// Found on trouble-2 --seed 85652722708 of Ferreira: the naming was heard of 0.28 s late, and a prompt
/// that was sent 7 s after that waited 0.83 s longer than expected.
#[test]
fn next_leaves_time_for_a_naming_that_was_heard_of_late() {
    let mut world = World::new(1);
    world.name_weights(2);
    world.pass(Duration::from_millis(6_650));
    let mut plan = world.admit("/ask/", "key").unwrap();
    assert!(matches!(world.next(&mut plan), Step::Refuse(r) if r.verdict == Verdict::NotRun));
}

/// Found on trouble-2 --seed 984860934193 too: a third version was named when the bound for the second had passed, and
/// engines on the first counted from the third.
#[test]
fn next_judges_each_version_from_its_own_naming() {
    let mut world = World::new(1);
    world.name_weights(2);
    world.pass(Duration::from_secs(9));
    world.name_weights(3);
    let mut plan = world.admit("/ask/", "key").unwrap();
    assert!(matches!(world.next(&mut plan), Step::Refuse(r) if r.verdict == Verdict::NotRun));
}

#[test]
fn ended_learns_weights_from_misdirection() {
    let mut world = World::new(1);
    world.name_weights(2);
    let mut plan = world.admit("/ask/", "key").unwrap();
    let attempt = world.send(&mut plan);
    assert_eq!(attempt.engine.as_ref().unwrap().weights, 1);
    world.end(&mut plan, &attempt, Ending::Misdirected);
    let attempt = world.send(&mut plan);
    assert_eq!(
        attempt.engine.as_ref().unwrap().weights,
        2,
        "the same engine, by its newer weights"
    );
}

/// Found on scale-1 of Actas: a quarter of the engines fell dark, and each instance went on sending
/// there.
#[test]
fn next_leaves_a_lost_upstream_alone_for_a_while() {
    let mut world = World::new(2);
    let mut plan = world.admit("/read/", "key").unwrap();
    let attempt = world.send(&mut plan);
    world.end(&mut plan, &attempt, Ending::Lost);
    for _ in 0..10 {
        let mut plan = world.admit("/read/", "key").unwrap();
        let next = world.send(&mut plan);
        assert_ne!(next.server.id, attempt.server.id);
        world.end(&mut plan, &next, Ending::Answered);
    }
}

#[test]
fn next_finds_holder_among_thousands() {
    let mut world = World::new(2_000);
    let mut plan = world.admit_prompt("report", 20_000);
    let first = world.send(&mut plan);
    world.end(&mut plan, &first, Ending::Answered);
    for _ in 0..50 {
        let mut plan = world.admit_prompt("report", 20_000);
        let again = world.send(&mut plan);
        assert_eq!(again.server.id, first.server.id);
        world.end(&mut plan, &again, Ending::Answered);
    }
}

#[test]
fn next_finds_holder_that_is_busy() {
    let mut world = World::new(2);
    // More prompts run than the engine's memory holds at their ends.
    let mut running = Vec::new();
    for number in 0..14 {
        let mut plan = world.admit_prompt(&format!("report-{number}"), 10_000);
        let attempt = world.send(&mut plan);
        running.push((plan, attempt));
    }
    let (_, last) = running.last().unwrap();
    let (holder, reader) = (last.server.id.clone(), last.server.address);
    let mut plan = world.admit_prompt("report-13", 10_000);
    let again = world.send(&mut plan);
    let run = again.engine.as_ref().unwrap();
    let is_used = again.server.id == holder || run.fetch == Fetch::Engine(reader);
    assert!(is_used, "{} reads what {holder} has just read", again.server.id);
    assert!(again.unread_tokens < 1_000, "{}", again.unread_tokens);
}

#[test]
fn next_reads_a_new_part_where_all_instances_do() {
    let places = (0..5).map(|seed| {
        let mut world = World::with_seed(2_000, seed);
        let mut plan = world.admit_prompt("report", 20_000);
        world.send(&mut plan).server.id.clone()
    });
    let places: std::collections::BTreeSet<_> = places.collect();
    assert_eq!(places.len(), 1, "{places:?}");
}

#[test]
fn next_finds_the_only_upstream_left_among_thousands() {
    let mut world = World::new(2_000);
    world.change(|view, _| {
        let others = view.servers.keys().filter(|id| &***id != "s1234").cloned();
        view.loading = others.collect();
    });
    for _ in 0..5 {
        let mut plan = world.admit("/read/", "key").unwrap();
        let attempt = world.send(&mut plan);
        assert_eq!(&*attempt.server.id, "s1234");
        world.end(&mut plan, &attempt, Ending::Answered);
    }
}

#[test]
fn next_spreads_over_a_large_service() {
    let mut world = World::new(200);
    let mut most = std::collections::BTreeMap::new();
    for _ in 0..400 {
        let mut plan = world.admit("/read/", "key").unwrap();
        *most.entry(world.send(&mut plan).server.id.clone()).or_insert(0) += 1;
    }
    // Two each is even; the choice among a sample stays within twice that.
    assert!(most.values().all(|count| *count <= 4), "{most:?}");
}

#[test]
fn tally_to_hundreds_leaves_small_prompts_out() {
    let mut world = World::new(3);
    let mut short = world.admit_prompt("short", 100);
    world.send(&mut short);
    assert_eq!(world.tally(Detail::Large), None);
    let mut long = world.admit_prompt("long", 10_000);
    let attempt = world.send(&mut long);
    let tally = world.tally(Detail::Large).expect("a large prompt is told");
    assert_eq!(tally.reads.len(), 1);
    assert_eq!(tally.loads.len(), 1);
    assert_eq!(world.tally(Detail::Large), None, "nothing is new");
    world.end(&mut long, &attempt, Ending::Answered);
    let tally = world.tally(Detail::Large).expect("its end is told");
    assert!(tally.loads.values().all(|load| load.unread_tokens < 1_000));
    let mut plain = world.admit("/read/", "key").unwrap();
    world.send(&mut plain);
    assert!(world.tally(Detail::Large).is_some(), "a plain upstream's load is told");
}

#[test]
fn next_saves_no_parts_of_older_weights() {
    let mut world = World::new(2);
    world.change(|view, now| {
        view.heard = now;
        view.shelves = vec![Shelf {
            address: ([127, 0, 0, 1], 2).into(),
            zone: "z0".into(),
            capacity_tokens: 100_000,
            link_bytes: 35e9,
            first_byte: Duration::from_millis(1),
            stock: Arc::new(Stock { epoch: 1, is_open: true, ..Stock::default() }),
        }];
    });
    let saved = |world: &mut World, part: &str| {
        let mut plan = world.admit_prompt(part, 5_000);
        let attempt = world.send(&mut plan);
        let run = attempt.engine.clone().unwrap();
        world.end(&mut plan, &attempt, Ending::Answered);
        run.save.iter().flatten().count()
    };
    assert_eq!(saved(&mut world, "a"), 1);
    world.name_weights(2);
    assert_eq!(saved(&mut world, "b"), 0, "the engine still has the older weights");
}
