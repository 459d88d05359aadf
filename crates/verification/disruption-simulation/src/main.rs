//! Command line of the simulation of disruption budgets and rollouts.
use clap::{Parser, Subcommand};
use disruption_simulation::plan::{Plan, Variant};
use disruption_simulation::search::{search, shrink, SearchResult, StopAt};
use disruption_simulation::world::play;
use std::ops::Range;
use std::process::ExitCode;

/// Maximum number of runs with violations that are printed.
const MAX_PRINTED_RUNS: usize = 10;
/// Maximum length of a printed violation, in characters.
const MAX_VIOLATION_CHARS: usize = 110;

/// Agreed outages in simulation: many seeds, or one of them.
#[derive(Parser)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play many seeds, and shrink the first that is wrong
    Search {
        /// The first seed
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// How many
        #[arg(long, default_value_t = 1000)]
        count: u64,
        /// 300 balancers on 20 machines, in place of a few
        #[arg(long)]
        full: bool,
        /// Releases of good builds alone, and nothing that goes wrong: how long they take
        #[arg(long)]
        calm: bool,
        /// What the agreement does wrong; see `variants`
        #[arg(long, default_value = "sound", value_parser = variant)]
        variant: Variant,
    },
    /// Play each faulty variant until the judge finds it
    Variants {
        /// Seeds for each, at most
        #[arg(long, default_value_t = 2000)]
        count: u64,
    },
    /// Play one seed, and say what happened
    Play {
        /// Which
        seed: u64,
        /// 300 balancers on 20 machines, in place of a few
        #[arg(long)]
        full: bool,
        /// What the agreement does wrong
        #[arg(long, default_value = "sound", value_parser = variant)]
        variant: Variant,
    },
}

fn variant(name: &str) -> Result<Variant, String> {
    let all = [Variant::Sound].into_iter().chain(Variant::FAULTY);
    all.into_iter().find(|v| v.name() == name).ok_or_else(|| "is no variant".into())
}

fn main() -> ExitCode {
    match Line::parse().command {
        Command::Search { from, count, full, calm, variant } => {
            let draw = |seed| {
                let plan = Plan::draw(seed, full);
                if calm {
                    plan.calm()
                } else {
                    plan
                }
            };
            search_seeds(from..from.saturating_add(count), draw, variant)
        }
        Command::Variants { count } => search_variants(count),
        Command::Play { seed, full, variant } => {
            let plan = Plan::draw(seed, full);
            println!("{plan:#?}");
            println!("{:#?}", play(&plan, variant));
            ExitCode::SUCCESS
        }
    }
}

fn threads() -> usize {
    std::thread::available_parallelism().map_or(1, Into::into)
}

/// Runs seeds, prints the sums, and shrinks the first run with a violation.
fn search_seeds(seeds: Range<u64>, draw: impl Fn(u64) -> Plan + Sync, variant: Variant) -> ExitCode {
    let result = search(seeds, &draw, variant, threads(), StopAt::LastSeed);
    print_sums(&result);
    for (seed, report) in result.violations.iter().take(MAX_PRINTED_RUNS) {
        println!("seed {seed}: {}", report.violations.join("; "));
    }
    let Some((seed, _)) = result.violations.first() else { return ExitCode::SUCCESS };
    let shrunk = shrink(&draw(*seed), variant);
    println!("seed {seed}, shrunk: {:#?}", shrunk.faults);
    let report = play(&shrunk, variant);
    println!("{}", report.trace.iter().map(String::as_str).collect::<Vec<_>>().join("\n"));
    println!("{}", report.violations.join("\n"));
    ExitCode::FAILURE
}

fn print_sums(result: &SearchResult) {
    let sum = &result.sum;
    println!(
        "{} runs, {} wrong; {} leaves given, {} too late, {} nobody's; rolls: {} done, {} halted, {} broken off; {} writes",
        result.runs,
        result.violations.len(),
        sum.leases_granted,
        sum.late_leases,
        sum.orphaned_leases,
        sum.rolls_completed,
        sum.rolls_aborted,
        sum.rolls_interrupted,
        sum.writes,
    );
    println!(
        "releases: {} whole, {} back, {} good ones back by themselves without a fault; a bad build at {} balancers at the \
         most; whole ones took {:.2} times what they could at the least",
        sum.rollouts_completed,
        sum.rollouts_rolled_back,
        sum.false_positives,
        sum.max_bad_instances,
        sum.rollout_time as f64 / (sum.min_rollout_time as f64).max(1.0),
    );
}

/// Runs each faulty variant until a violation is found.
fn search_variants(count: u64) -> ExitCode {
    let mut is_missed = false;
    for variant in Variant::FAULTY {
        let draw = |seed| Plan::draw(seed, false);
        let result = search(1..count.saturating_add(1), draw, variant, threads(), StopAt::FirstViolation);
        let name = variant.name();
        match result.violations.first() {
            Some((seed, report)) => {
                let violation = report.violations.first().map_or("", String::as_str);
                let violation: String = violation.chars().take(MAX_VIOLATION_CHARS).collect();
                println!("{name}: found in {} runs, seed {seed}: {violation}", result.runs);
            }
            None => {
                println!("{name}: NOT found in {} runs", result.runs);
                is_missed = true;
            }
        }
    }
    if is_missed {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
