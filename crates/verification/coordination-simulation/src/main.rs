//! Command line of the simulation of the coordination service.
use clap::{Parser, Subcommand};
use coordination_simulation::plan::{Plan, Variant, END};
use coordination_simulation::search::{play_catching, search, shrink, SearchOptions, SearchResult};
use std::process::ExitCode;

/// Characters of a violation that `variants` prints.
const MAX_VIOLATION_CHARS: usize = 100;
/// Failing seeds that `search` prints.
const MAX_PRINTED_FAILURES: usize = 10;

/// The coordination service in simulation: many seeds, or one of them.
#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play many seeds, and shrink the first that fails
    Search {
        /// The first seed
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Number of seeds
        #[arg(long, default_value_t = 2000)]
        count: u64,
        /// The defect: sound (none), acknowledged-before-sync, vote-forgotten, stale-read, stale-renewal, unfenced,
        /// forgetful-snapshot, short-sessions
        #[arg(long, default_value = "sound")]
        variant: Variant,
        /// Stop at the first seed that fails
        #[arg(long)]
        first: bool,
    },
    /// Play each defective variant until the judge detects it
    Variants {
        /// Maximum number of seeds for each
        #[arg(long, default_value_t = 3000)]
        count: u64,
    },
    /// Play one seed, and print its plan and report
    Play {
        /// The seed
        seed: u64,
        /// The defect
        #[arg(long, default_value = "sound")]
        variant: Variant,
    },
}

fn threads() -> usize {
    std::thread::available_parallelism().map_or(1, Into::into)
}

fn main() -> ExitCode {
    let succeeded = match Arguments::parse().command {
        Command::Search { from, count, variant, first } => run_search(SearchOptions {
            first_seed: from,
            count,
            variant,
            threads: threads(),
            stop_at_first: first,
        }),
        Command::Variants { count } => run_variants(count),
        Command::Play { seed, variant } => {
            let plan = Plan::draw(seed);
            println!("{plan:#?}");
            println!("{:#?}", play_catching(&plan, variant));
            true
        }
    };
    if succeeded {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Returns whether no seed failed.
fn run_search(options: SearchOptions) -> bool {
    let result = search(options);
    print_summary(&result);
    for (seed, report) in result.failures.iter().take(MAX_PRINTED_FAILURES) {
        println!("seed {seed}: {}", report.violations.join("; "));
    }
    let Some((seed, _)) = result.failures.first() else { return true };
    let shrunk = shrink(&Plan::draw(*seed), options.variant);
    println!("seed {seed}, shrunk: {:#?}", shrunk.faults);
    println!("{}", play_catching(&shrunk, options.variant).violations.join("\n"));
    false
}

fn print_summary(result: &SearchResult) {
    println!(
        "{} runs of {} s, {} wrong; operations {} known and {} unknown; {} locks taken; {} snapshots; \
         {} times without a leader: {} ms half of them, {} ms of 99 in 100, {} ms at most",
        result.runs,
        END / 1_000_000_000,
        result.failures.len(),
        result.known,
        result.unknown,
        result.locks,
        result.snapshots,
        result.leaderless_periods.len(),
        result.leaderless_quantile_ms(0.5),
        result.leaderless_quantile_ms(0.99),
        result.leaderless_quantile_ms(1.0),
    );
}

/// Returns whether every defect was detected.
fn run_variants(count: u64) -> bool {
    let mut all_detected = true;
    for variant in Variant::FAULTY {
        let name = variant.name();
        let result =
            search(SearchOptions { first_seed: 1, count, variant, threads: threads(), stop_at_first: true });
        match result.failures.first() {
            Some((seed, report)) => {
                let violation = report.violations.first().map_or("", String::as_str);
                let violation: String = violation.chars().take(MAX_VIOLATION_CHARS).collect();
                println!("{name}: found in {} runs, seed {seed}: {violation}", result.runs);
            }
            None => {
                println!("{name}: NOT found in {} runs", result.runs);
                all_detected = false;
            }
        }
    }
    all_detected
}
