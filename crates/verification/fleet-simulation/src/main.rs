//! `fleet-simulation`: simulates the whole fleet, searches for runs that violate invariants, and shrinks them.
use clap::{Args, Parser, Subcommand};
use fleet_simulation::mutant::Mutant;
use fleet_simulation::scenario::{Scenario, Size};
use fleet_simulation::search::{search, shrink, Case};
use fleet_simulation::world::{run_scenario, Report};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Simulates the whole fleet on one virtual clock.
#[derive(Parser)]
#[command(name = "fleet-simulation")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs seeds and prints a summary of each.
    Play {
        #[command(flatten)]
        fleet: Fleet,
        /// First seed.
        seed: u64,
        /// Number of seeds.
        #[arg(default_value_t = 1)]
        count: u64,
        /// Enable retry budgets at every instance.
        #[arg(long)]
        budgets: bool,
    },
    /// Prints the digests of seeds, for comparison between machines and builds.
    Digest {
        #[command(flatten)]
        fleet: Fleet,
        /// First seed.
        seed: u64,
        /// Number of seeds.
        #[arg(default_value_t = 1)]
        count: u64,
    },
    /// Runs seeds for a limited time; prints those that violate an invariant, shrunk, and those with the lowest
    /// service.
    Search {
        #[command(flatten)]
        fleet: Fleet,
        /// First seed.
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Time limit in seconds.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Number of threads; each run uses one.
        #[arg(long, default_value_t = 4)]
        threads: usize,
    },
    /// Runs cases from files.
    Cases {
        /// Case files in TOML.
        files: Vec<PathBuf>,
    },
}

#[derive(Args)]
struct Fleet {
    /// Size of the fleet: `small`, `full`, or the number of balancers.
    #[arg(long, default_value = "small", value_parser = parse_size)]
    size: Size,
    /// Faulty variant of the instances, to test the invariants.
    #[arg(long, value_enum, default_value = "none")]
    mutant: Mutant,
}

fn parse_size(text: &str) -> Result<Size, String> {
    match text {
        "small" => Ok(Size::SMALL),
        "full" => Ok(Size::FULL),
        n => match n.parse() {
            Ok(n @ 1..=10_000) => Ok(Size::of(n)),
            _ => Err("must be small, full, or a number of balancers from 1 to 10,000".into()),
        },
    }
}

fn summary(name: &str, scenario: &Scenario, report: &Report) -> String {
    let (score, outcomes) = (&report.score, report.score.outcomes);
    let faults: Vec<String> = scenario.faults.iter().map(|t| format!("{:?}", t.kind)).collect();
    format!(
        "{name}: service {:.3}, earned {:.3}; {} operations, {} in time, {} late, {} refused, {} failed; \
         p50 {:.0} ms, p99 {:.0} ms; {} requests, {} attempts; {:.0} % of upstreams slowed by congestion; {} of {:.0}/s [{}]",
        score.service(),
        score.earned_fraction(),
        outcomes.operations,
        outcomes.in_time,
        outcomes.late,
        outcomes.refused,
        outcomes.failed,
        score.latency_quantile_ms(0.5),
        score.latency_quantile_ms(0.99),
        report.requests,
        report.attempts,
        100.0 * report.slowed_fraction,
        if report.is_correct() { "sound" } else { "BROKEN" },
        scenario.capacity,
        faults.join(", ")
    )
}

fn print_violations(report: &Report) {
    for violation in report.violations.iter().take(5) {
        println!("  {:?} at {:.3} s: {}", violation.kind, violation.at.as_secs_f64(), violation.subject);
    }
    for (table, count) in report.retained.iter().take(5) {
        println!("  {table} retains {count} entries");
    }
}

fn main() -> ExitCode {
    let mut all_correct = true;
    match Cli::parse().command {
        Command::Play { fleet, seed, count, budgets } => {
            for seed in seed..seed.saturating_add(count) {
                let scenario = Scenario { budgets, ..Scenario::draw(seed, fleet.size) };
                let started = Instant::now();
                let report = run_scenario(&scenario, fleet.mutant);
                let elapsed_s = started.elapsed().as_secs_f64();
                println!("{}", summary(&seed.to_string(), &scenario, &report));
                println!(
                    "  {:.2} s, {} events, {:.0} thousand simulated requests a second, digest {:016x}",
                    elapsed_s,
                    report.events,
                    report.requests as f64 / elapsed_s / 1000.0,
                    report.digest
                );
                print_violations(&report);
                all_correct &= report.is_correct();
            }
        }
        Command::Digest { fleet, seed, count } => {
            for seed in seed..seed.saturating_add(count) {
                let report = run_scenario(&Scenario::draw(seed, fleet.size), fleet.mutant);
                println!("{seed} {:016x} {}", report.digest, report.events);
            }
        }
        Command::Search { fleet, from, seconds, threads } => {
            let mutant = fleet.mutant;
            let found =
                search(fleet.size, mutant, from, u64::MAX - from, Duration::from_secs(seconds), threads);
            println!("{} runs, {} of them incorrect", found.runs, found.violating.len());
            for (seed, report) in found.violating.iter().take(3) {
                println!("{}", summary(&seed.to_string(), &Scenario::draw(*seed, fleet.size), report));
                print_violations(report);
                let kind = report.violations.first().map(|v| v.kind);
                let reproduces = |r: &Report| match kind {
                    Some(kind) => r.violations.iter().any(|v| v.kind == kind),
                    None => !r.retained.is_empty(),
                };
                let smallest = shrink(&Case::full_run(*seed, fleet.size), mutant, &reproduces);
                println!(
                    "  smallest case that reproduces it:\n{}",
                    toml::to_string(&smallest).unwrap_or_default()
                );
            }
            println!("lowest service:");
            for (seed, report) in &found.worst {
                println!("{}", summary(&seed.to_string(), &Scenario::draw(*seed, fleet.size), report));
            }
            all_correct = found.violating.is_empty();
        }
        Command::Cases { files } => {
            for file in files {
                let name = file.display().to_string();
                let text = std::fs::read_to_string(&file).map_err(|e| e.to_string());
                match text.and_then(|text| Case::parse(&text)) {
                    Ok(case) => {
                        let scenario = case.scenario();
                        let report = run_scenario(&scenario, Mutant::None);
                        println!("{}", summary(&name, &scenario, &report));
                        print_violations(&report);
                        all_correct &= report.is_correct();
                    }
                    Err(error) => {
                        eprintln!("{name}: {error}");
                        all_correct = false;
                    }
                }
            }
        }
    }
    if all_correct {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
