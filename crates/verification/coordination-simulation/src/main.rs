//! Plays the council in simulation, from the command line.
use clap::{Parser, Subcommand};
use coordination_simulation::plan::{Plan, Variant, END};
use coordination_simulation::search::{played, search, shrink};
use std::process::ExitCode;

/// The council in simulation: many seeds, or one of them.
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
        #[arg(long, default_value_t = 2000)]
        count: u64,
        /// What the council does wrong: sound, acknowledged-before-sync, vote-forgotten, stale-read, stale-renewal,
        /// unfenced, forgetful-snapshot, short-sessions
        #[arg(long, default_value = "sound", value_parser = variant)]
        variant: Variant,
        /// End at the first that is wrong
        #[arg(long)]
        first: bool,
    },
    /// Play each faulty variant until the judge finds it
    Variants {
        /// Seeds for each, at most
        #[arg(long, default_value_t = 3000)]
        count: u64,
    },
    /// Play one seed, and say what happened
    Play {
        /// Which
        seed: u64,
        /// What the council does wrong
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
        Command::Search { from, count, variant, first } => {
            let threads = std::thread::available_parallelism().map_or(1, Into::into);
            let mut found = search(from, count, variant, threads, first);
            found.leaderless.sort_unstable();
            let at = |share: f64| {
                let k = (found.leaderless.len() as f64 * share) as usize;
                found.leaderless.get(k).or(found.leaderless.last()).map_or(0, |n| n / 1_000_000)
            };
            println!(
                "{} runs of {} s, {} wrong; operations {} known and {} unknown; {} locks taken; {} snapshots; \
                 {} times without a leader: {} ms half of them, {} ms of 99 in 100, {} ms at most",
                found.played,
                END / 1_000_000_000,
                found.wrong.len(),
                found.known,
                found.unknown,
                found.locks,
                found.folded,
                found.leaderless.len(),
                at(0.5),
                at(0.99),
                at(1.0),
            );
            for (seed, report) in found.wrong.iter().take(10) {
                println!("seed {seed}: {}", report.wrong.join("; "));
            }
            let Some((seed, _)) = found.wrong.first() else { return ExitCode::SUCCESS };
            let least = shrink(&Plan::draw(*seed), variant);
            println!("seed {seed}, shrunk: {:#?}", least.troubles);
            println!("{}", played(&least, variant).wrong.join("\n"));
            ExitCode::FAILURE
        }
        Command::Variants { count } => {
            let threads = std::thread::available_parallelism().map_or(1, Into::into);
            let mut missed = false;
            for variant in Variant::FAULTY {
                let found = search(1, count, variant, threads, true);
                match found.wrong.first() {
                    Some((seed, report)) => {
                        let what = report.wrong.first().map_or("", String::as_str);
                        let what: String = what.chars().take(100).collect();
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
        Command::Play { seed, variant } => {
            let plan = Plan::draw(seed);
            println!("{plan:#?}");
            println!("{:#?}", played(&plan, variant));
            ExitCode::SUCCESS
        }
    }
}
