//! Plays agreed outages in simulation, from the command line.
use clap::{Parser, Subcommand};
use disruption_simulation::plan::{Plan, Variant};
use disruption_simulation::search::{search, shrink};
use disruption_simulation::world::play;
use std::process::ExitCode;

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
    let threads = std::thread::available_parallelism().map_or(1, Into::into);
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
            let found = search(from, count, draw, variant, threads, false);
            let sum = &found.sum;
            println!(
                "{} runs, {} wrong; {} leaves given, {} too late, {} nobody's; rolls: {} done, {} halted, {} broken off; {} writes",
                found.played,
                found.violations.len(),
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
            for (seed, report) in found.violations.iter().take(10) {
                println!("seed {seed}: {}", report.violations.join("; "));
            }
            let Some((seed, _)) = found.violations.first() else { return ExitCode::SUCCESS };
            let least = shrink(&draw(*seed), variant);
            println!("seed {seed}, shrunk: {:#?}", least.faults);
            let report = play(&least, variant);
            println!("{}", report.trace.iter().map(String::as_str).collect::<Vec<_>>().join("\n"));
            println!("{}", report.violations.join("\n"));
            ExitCode::FAILURE
        }
        Command::Variants { count } => {
            let mut missed = false;
            for variant in Variant::FAULTY {
                let found = search(1, count, |seed| Plan::draw(seed, false), variant, threads, true);
                match found.violations.first() {
                    Some((seed, report)) => {
                        let what = report.violations.first().map_or("", String::as_str);
                        let what: String = what.chars().take(110).collect();
                        println!("{}: found in {} runs, seed {seed}: {what}", variant.name(), found.played);
                    }
                    None => {
                        println!("{}: NOT found in {} runs", variant.name(), found.played);
                        missed = true;
                    }
                }
            }
            if missed {
                ExitCode::FAILURE
            } else {
                ExitCode::SUCCESS
            }
        }
        Command::Play { seed, full, variant } => {
            let plan = Plan::draw(seed, full);
            println!("{plan:#?}");
            println!("{:#?}", play(&plan, variant));
            ExitCode::SUCCESS
        }
    }
}
