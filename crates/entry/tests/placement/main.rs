//! What an entry asks and chooses among 20 to 6,500 targets, in injected time.

mod fleet;

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coord::Map;
use coord::Set;
use coord::id;
use coord::id::Tokens;
use coord::shard;
use entry::duty::Duty;
use entry::duty::RESPONSIBLE;
use entry::place::Question;
use entry::place::Table;
use entry::roster::Roster;
use fleet::Fleet;
use fleet::TICK;
use rstest::rstest;

/// Simulated time of one case.
const SPAN: Duration = Duration::from_secs(60);
/// Probes a second that an entry may send in steady state, and beside them for changes.
const RATE: usize = 6;
const NEWS_RATE: usize = 10;
/// Probes that the paces make up for after a pause.
const CATCH_UP: usize = 3;
/// Decisions at each tick.
const DECISIONS: usize = 5;
/// Looks at a target that one decision may take.
const LOOKS: usize = 160;
/// Targets of which an entry may know anything.
const KNOWN: usize = 1000;

#[rstest]
#[case(650)]
#[case(6500)]
fn probes_and_table_are_bounded_whatever_the_number_of_targets(#[case] count: usize) {
    let mut fleet = Fleet::new(count, 7);
    let mut probes = Vec::new();
    let start = fleet.now;
    while fleet.now < start + SPAN {
        fleet.decide(DECISIONS);
        let asked = fleet.probe();
        let at = fleet.now;
        probes.extend(std::iter::repeat_n(at, asked));
        assert!(fleet.table.len() <= KNOWN);
        fleet.now += TICK;
    }
    // What it was told first, at the start, counts as news.
    let steady = start + SPAN / 2;
    let second = |at: Instant| {
        let within = |probe: &&Instant| **probe >= at && **probe < at + Duration::from_secs(1);
        probes.iter().filter(within).count()
    };
    let limit = |at: Instant| match at >= steady {
        true => RATE,
        false => RATE + NEWS_RATE,
    };
    // Paces make up for a fraction of a second.
    let excess = |at: &Instant| second(*at) > limit(*at) + CATCH_UP;
    assert!(!probes.iter().any(excess));
    let all = probes.iter().filter(|at| **at >= steady).count();
    let span = (SPAN / 2).as_secs() as usize;
    assert!(all <= RATE * span + CATCH_UP, "{all} in {span} s");
    let rate = all as f64 / span as f64;
    let most = probes.iter().map(|at| second(*at)).max();
    println!("{count} targets: {rate:.1} probes a second, {most:?} at most");
    assert!(all > 0);
}

#[rstest]
#[case(20)]
#[case(30)]
fn a_small_fleet_is_covered_as_a_whole_every_400_ms(#[case] count: usize) {
    let mut fleet = Fleet::new(count, 7);
    let asked: Vec<usize> = (0..10).map(|_| fleet.step()).collect();
    let expected: Vec<usize> = [count, 0].repeat(5);
    assert_eq!(asked, expected);
    assert_eq!(fleet.table.reports().len(), count);
}

#[rstest]
#[case(20)]
#[case(650)]
#[case(6500)]
fn the_work_of_a_decision_does_not_grow_with_the_targets(#[case] count: usize) {
    let mut fleet = Fleet::new(count, 11);
    fleet.warm_up(Duration::from_secs(10));
    let looks = Cell::new(0);
    let mut most = 0;
    let begun = Instant::now();
    for _ in 0..200 {
        looks.set(0);
        let counted = |_: &id::Target| {
            looks.set(looks.get() + 1);
            false
        };
        assert!(fleet.choose_among(counted).is_some());
        most = most.max(looks.get());
    }
    let each = begun.elapsed() / 200;
    println!("{count} targets: {each:?} a decision, {most} looks at most");
    assert!(most <= LOOKS, "{most} looks at {count} targets");
}

#[rstest]
#[case(650)]
#[case(6500)]
fn choices_stay_close_to_the_least_loaded(#[case] count: usize) {
    let mut ranks = Vec::new();
    for seed in 0..10 {
        let mut fleet = Fleet::new(count, seed);
        fleet.warm_up(Duration::from_secs(20));
        ranks.extend((0..20).map(|_| {
            let chosen = fleet.choose().expect("a choice");
            fleet.step();
            fleet.less_loaded(&chosen)
        }));
    }
    let mean = ranks.iter().sum::<f64>() / ranks.len() as f64;
    println!("{count} targets: {mean:.3} of them less loaded than the chosen one");
    assert!(mean <= 0.15, "{mean}");
}

#[test]
fn choices_stay_close_to_the_least_loaded_of_20_models_while_loads_change() {
    let mut fleet = Fleet::new(6500, 2);
    fleet.share(20);
    let mut ranks = Vec::new();
    for tick in 0..600 {
        for turn in 0..DECISIONS {
            fleet.serve((tick * DECISIONS + turn) % 20);
            let chosen = fleet.choose().expect("a choice");
            if tick >= 300 {
                ranks.push(fleet.less_loaded(&chosen));
            }
            fleet.decide(1);
        }
        assert!(fleet.probe() <= RATE + NEWS_RATE);
        // A hundredth of all loads in a second.
        fleet.drift(13);
        fleet.now += TICK;
    }
    let mean = ranks.iter().sum::<f64>() / ranks.len() as f64;
    println!("20 models: {mean:.3} of them less loaded than the chosen one");
    assert!(mean <= 0.2, "{mean}");
}

#[test]
fn each_target_has_two_responsible_entries_evenly_spread() {
    let members = fleet::members(330);
    let config = fleet::config(300, 1);
    let roster = Arc::new(Roster::new(&config, &fleet::data_centre(0)));
    let mut responsible: Map<id::Target, usize> = Map::default();
    for member in &members.members {
        let mut duty = Duty::default();
        duty.update(&roster, &members, &member.node);
        assert!(duty.own().len() <= 12, "{} targets", duty.own().len());
        for listed in duty.own() {
            *responsible.entry(listed.target.id.clone()).or_default() += 1;
        }
    }
    assert_eq!(responsible.len(), 300);
    assert!(responsible.values().all(|count| *count == RESPONSIBLE));
}

#[test]
fn an_entry_of_330_is_responsible_for_about_40_of_6500_targets() {
    let members = fleet::members(330);
    let config = fleet::config(6500, 1);
    let roster = Arc::new(Roster::new(&config, &fleet::data_centre(0)));
    let mut duty = Duty::default();
    duty.update(&roster, &members, &members.members[17].node);
    let own = duty.own().len();
    assert!((20..=65).contains(&own), "{own}");
}

#[test]
fn every_change_of_a_target_reaches_its_responsible_entries_within_seconds() {
    let (config, members) = (fleet::config(650, 1), fleet::members(33));
    let tables: Vec<Table> = (0..33)
        .map(|seed| Table::new(&fleet::data_centre(0), seed))
        .collect();
    let mut now = Instant::now();
    let end = now + Duration::from_secs(30);
    while now < end {
        tell(&tables, &members, &config, now);
        now += TICK;
    }
    let changed = fleet::changed(&config, 650, 2);
    let mut told: Map<id::Target, usize> = Map::default();
    let begun = now;
    while now < begun + Duration::from_secs(8) {
        for target in tell(&tables, &members, &changed, now) {
            *told.entry(target).or_default() += 1;
        }
        now += TICK;
    }
    assert_eq!(told.len(), 650);
    assert!(told.values().all(|count| *count >= RESPONSIBLE));
}

#[test]
fn a_single_change_is_told_at_the_next_tick_though_decisions_want_probes() {
    let mut fleet = Fleet::new(6500, 3);
    fleet.members = fleet::members(330);
    fleet.warm_up(Duration::from_secs(30));
    let own = fleet.table.responsible();
    let touched = own.first().expect("a target of its own").clone();
    fleet.config = fleet::touched(&fleet.config, &touched, 2);
    let mut asked = Vec::new();
    for _ in 0..2 {
        fleet.decide(DECISIONS);
        asked.extend(fleet.ask());
        fleet.now += TICK;
    }
    assert!(asked.contains(&touched));
}

#[test]
fn a_target_that_has_not_confirmed_is_told_again() {
    let (config, members) = (fleet::config(650, 1), fleet::members(33));
    let table = Table::new(&fleet::data_centre(0), 1);
    let me = &members.members[0].node;
    let mut times: Map<id::Target, usize> = Map::default();
    let mut now = Instant::now();
    for _ in 0..300 {
        for listed in table.due(&config, &members, me, now) {
            table.failed(&listed.target.id, now);
            *times.entry(listed.target.id.clone()).or_default() += 1;
        }
        now += TICK;
    }
    let own = table.responsible();
    assert!(own.iter().all(|target| times[target] >= 3));
}

#[test]
fn the_target_with_the_cache_is_a_candidate_among_many() {
    let mut fleet = Fleet::new(6500, 5);
    fleet.warm_up(Duration::from_secs(10));
    let holder = fleet.target(4321);
    fleet.set_load(&holder, 0);
    let cached = Some((holder.clone(), Tokens(200_000)));
    let chosen = fleet.choose_with(cached, Tokens(200_000), &Set::default());
    assert_eq!(chosen, Some(holder));
}

#[test]
fn a_target_in_service_is_found_though_nearly_all_leave() {
    let fleet = Fleet::new(6500, 5);
    let last = fleet.target(4000);
    let chosen = fleet.choose_among(|target| *target != last);
    assert_eq!(chosen, Some(last));
}

#[test]
fn barred_targets_are_not_chosen_among_many() {
    let mut fleet = Fleet::new(650, 9);
    fleet.warm_up(Duration::from_secs(5));
    let mut barred: Set<id::Target> = Set::default();
    for _ in 0..8 {
        let chosen = fleet.choose_with(None, Tokens(100), &barred);
        assert!(barred.insert(chosen.expect("a choice")));
    }
}

#[test]
fn a_target_that_failed_is_passed_over_until_it_has_answered() {
    let mut fleet = Fleet::new(650, 6);
    fleet.warm_up(Duration::from_secs(20));
    let dead = fleet.choose().expect("a choice");
    fleet.table.failed(&dead, fleet.now);
    for _ in 0..50 {
        assert_ne!(fleet.choose(), Some(dead.clone()));
        fleet.now += TICK;
    }
    fleet.set_load(&dead, 0);
    let cached = Some((dead.clone(), Tokens(100)));
    let chosen = fleet.choose_with(cached, Tokens(100), &Set::default());
    assert_eq!(chosen, Some(dead));
}

#[test]
fn affinity_keeps_its_target_among_many() {
    let mut fleet = Fleet::new(6500, 9);
    fleet.policy.choice = sched::policy::Choice::Affinity;
    let first = fleet.choose();
    fleet.warm_up(Duration::from_secs(30));
    assert_eq!(fleet.choose(), first);
}

#[test]
fn a_target_that_left_the_configuration_is_not_chosen() {
    let mut fleet = Fleet::new(650, 4);
    fleet.warm_up(Duration::from_secs(5));
    let removed: Set<id::Target> = (0..649).map(|number| fleet.target(number)).collect();
    fleet.config = fleet::without(&fleet.config, &removed, 2);
    assert_eq!(fleet.choose(), Some(fleet.target(649)));
}

/// One tick of all entries; which targets were told.
fn tell(
    tables: &[Table],
    members: &shard::Map,
    config: &Arc<coord::config::Config>,
    now: Instant,
) -> Vec<id::Target> {
    let mut told = Vec::new();
    for (table, member) in tables.iter().zip(&members.members) {
        for listed in table.due(config, members, &member.node, now) {
            table.report(&listed.target.id, fleet::load(0), now);
            table.told(&listed);
            told.push(listed.target.id.clone());
        }
    }
    told
}

impl Fleet {
    fn choose(&self) -> Option<id::Target> {
        self.choose_with(None, Tokens(100), &Set::default())
    }

    fn choose_with(
        &self,
        cached: Option<(id::Target, Tokens)>,
        input: Tokens,
        barred: &Set<id::Target>,
    ) -> Option<id::Target> {
        let question = Question {
            cached,
            input,
            barred,
            ..self.question(barred)
        };
        let choice = self.table.choose(&question, |_| false, self.now);
        choice.map(|choice| choice.target.id)
    }

    fn choose_among(&self, leaving: impl Fn(&id::Target) -> bool) -> Option<id::Target> {
        let barred = Set::default();
        let question = self.question(&barred);
        let choice = self.table.choose(&question, leaving, self.now);
        choice.map(|choice| choice.target.id)
    }
}
