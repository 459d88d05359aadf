//! `fleet-simulation`: plays runs of the whole fleet, searches for bad ones, and shrinks them.
use clap::{Args, Parser, Subcommand};
use fleet_simulation::mutant::Mutant;
use fleet_simulation::scenario::{Scenario, Size};
use fleet_simulation::search::{search, shrink, Case};
use fleet_simulation::world::{play, Report};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// The whole fleet on one virtual clock.
#[derive(Parser)]
#[command(name = "fleet-simulation")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays seeds and prints a line for each.
    Play {
        #[command(flatten)]
        fleet: Fleet,
        /// The first seed.
        seed: u64,
        /// How many.
        #[arg(default_value_t = 1)]
        count: u64,
        /// With budgets at every instance.
        #[arg(long)]
        budgets: bool,
    },
    /// Prints the digests of seeds, to be compared between machines and builds.
    Digest {
        #[command(flatten)]
        fleet: Fleet,
        /// The first seed.
        seed: u64,
        /// How many.
        #[arg(default_value_t = 1)]
        count: u64,
    },
    /// Plays seeds for so long; prints those that break a rule, shrunk, and those that lose most.
    Search {
        #[command(flatten)]
        fleet: Fleet,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// The budget of time.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Threads; each run is on one.
        #[arg(long, default_value_t = 4)]
        threads: usize,
    },
    /// Plays cases from files.
    Cases {
        /// The files.
        files: Vec<PathBuf>,
    },
}

#[derive(Args)]
struct Fleet {
    /// The size: `small`, `full`, or the number of balancers.
    #[arg(long, default_value = "small", value_parser = size)]
    size: Size,
    /// A faulty variant, to see what catches it.
    #[arg(long, value_enum, default_value = "none")]
    mutant: Mutant,
}

fn size(text: &str) -> Result<Size, String> {
    match text {
        "small" => Ok(Size::SMALL),
        "full" => Ok(Size::FULL),
        n => match n.parse() {
            Ok(n @ 1..=10_000) => Ok(Size::of(n)),
            _ => Err("must be small, full, or a number of balancers from 1 to 10,000".into()),
        },
    }
}

fn line(name: &str, scenario: &Scenario, r: &Report) -> String {
    let (s, e) = (&r.score, r.score.ends);
    let troubles: Vec<String> = scenario.troubles.iter().map(|t| format!("{:?}", t.what)).collect();
    format!(
        "{name}: service {:.3}, earned {:.3}; {} asked, {} in time, {} late, {} refused, {} failed; p50 {:.0} ms, p99 {:.0} ms; \
         {} requests, {} attempts; {:.0} % of upstreams slowed by crowding; {} of {:.0}/s [{}]",
        s.service(),
        s.total(),
        e.asked,
        e.in_time,
        e.late,
        e.refused,
        e.failed,
        s.quantile(0.5),
        s.quantile(0.99),
        r.requests,
        r.attempts,
        100.0 * r.slowed,
        if r.sound() { "sound" } else { "BROKEN" },
        scenario.capacity,
        troubles.join(", ")
    )
}

fn broken(r: &Report) {
    for v in r.violations.iter().take(5) {
        println!("  {:?} at {:.3} s: {}", v.fault, v.at.as_secs_f64(), v.whose);
    }
    for (what, n) in r.grown.iter().take(5) {
        println!("  {what} still holds {n}");
    }
}

fn main() -> ExitCode {
    let mut sound = true;
    match Cli::parse().command {
        Command::Play { fleet, seed, count, budgets } => {
            for seed in seed..seed.saturating_add(count) {
                let scenario = Scenario { budgets, ..Scenario::draw(seed, fleet.size) };
                let began = Instant::now();
                let report = play(&scenario, fleet.mutant);
                let took = began.elapsed().as_secs_f64();
                println!("{}", line(&seed.to_string(), &scenario, &report));
                println!(
                    "  {:.2} s, {} events, {:.0} thousand simulated requests a second, digest {:016x}",
                    took,
                    report.events,
                    report.requests as f64 / took / 1000.0,
                    report.digest
                );
                broken(&report);
                sound &= report.sound();
            }
        }
        Command::Digest { fleet, seed, count } => {
            for seed in seed..seed.saturating_add(count) {
                let report = play(&Scenario::draw(seed, fleet.size), fleet.mutant);
                println!("{seed} {:016x} {}", report.digest, report.events);
            }
        }
        Command::Search { fleet, from, seconds, threads } => {
            let mutant = fleet.mutant;
            let found =
                search(fleet.size, mutant, from, u64::MAX - from, Duration::from_secs(seconds), threads);
            println!("{} runs, {} of them broken", found.played, found.broken.len());
            for (seed, report) in found.broken.iter().take(3) {
                println!("{}", line(&seed.to_string(), &Scenario::draw(*seed, fleet.size), report));
                broken(report);
                let fault = report.violations.first().map(|v| v.fault);
                let shows = |r: &Report| match fault {
                    Some(fault) => r.violations.iter().any(|v| v.fault == fault),
                    None => !r.grown.is_empty(),
                };
                let least = shrink(&Case::full_run(*seed, fleet.size), mutant, &shows);
                println!("  the least of it:\n{}", toml::to_string(&least).unwrap_or_default());
            }
            println!("the least service:");
            for (seed, report) in &found.worst {
                println!("{}", line(&seed.to_string(), &Scenario::draw(*seed, fleet.size), report));
            }
            sound = found.broken.is_empty();
        }
        Command::Cases { files } => {
            for file in files {
                let name = file.display().to_string();
                let text = std::fs::read_to_string(&file).map_err(|e| e.to_string());
                match text.and_then(|text| Case::read(&text)) {
                    Ok(case) => {
                        let scenario = case.scenario();
                        let report = play(&scenario, Mutant::None);
                        println!("{}", line(&name, &scenario, &report));
                        broken(&report);
                        sound &= report.sound();
                    }
                    Err(why) => {
                        eprintln!("{name}: {why}");
                        sound = false;
                    }
                }
            }
        }
    }
    if sound {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
