//! What an operator's commands do: `herondock release start|status|halt|resume|back`.
use crate::{build_id, unix_ms, RolloutProjection};
use config::rollout::RolloutConfig as File;
use coordination::client::SessionConfig;
use coordination_server::client::{ClientConfig, ClientHandle};
use daemon::table::format_rows;
use disruption::FleetSnapshot as Fleet;
use disruption_agent::command::{operator, print};
use disruption_agent::informer::{write, Informer, WriteOutcome};
use rollout::snapshot::{RolloutPlan, RolloutSnapshot};
use rollout::state_machine::InstanceObservation;
use rollout::{OperatorCommand, RolloutSpec};
use std::path::Path;
use std::time::Duration;

/// The session of a command.
const SESSION_TTL: Duration = Duration::from_secs(5);

/// What is asked for.
#[derive(Clone, Debug)]
pub enum Command {
    /// A release begins.
    Start,
    /// How far it is.
    Status {
        /// As JSON.
        json: bool,
    },
    /// What an operator says of it.
    Operator(OperatorCommand),
}

/// Carries a command out.
///
/// # Errors
/// One line.
pub fn run(file: &File, command: Command) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, carry_out(file, command))
}

async fn carry_out(file: &File, command: Command) -> Result<(), String> {
    let name = format!("command/{}/{}", operator(), std::process::id());
    let reads = matches!(command, Command::Status { .. });
    let session = (!reads).then(|| SessionConfig { name: name.clone(), ttl: SESSION_TTL, take_over: true });
    let voters = file.coordination.voters.iter().map(ToString::to_string).collect();
    let council = ClientHandle::spawn(ClientConfig {
        voters,
        session,
        name,
        response_timeout: file.coordination.patience,
    });
    let mut follow = crate::informer(council.clone());
    let done = match command {
        Command::Start => start(file, &council, &mut follow).await,
        Command::Status { json } => {
            let board = board(&mut follow).await?;
            let mut outages = Informer::new(council.clone());
            let fleet = outages.read_consistent().await.map_err(|why| format!("the council: {why}"))?;
            status(&board, fleet, json)
        }
        Command::Operator(order) => say(&council, &mut follow, &order).await,
    };
    if !reads {
        council.close_session(Duration::from_secs(1)).await;
    }
    done
}

async fn board(follow: &mut Informer<RolloutProjection>) -> Result<RolloutSnapshot, String> {
    follow.read_consistent().await.map(|record| record.0.clone()).map_err(|why| format!("the council: {why}"))
}

async fn start(
    file: &File,
    council: &ClientHandle,
    follow: &mut Informer<RolloutProjection>,
) -> Result<(), String> {
    let of = |which: &str, path: &str| {
        build_id::of_file(Path::new(path)).map_err(|why| format!("release.{which}: {why}"))
    };
    let (old, new) = (of("old", &file.paths.old)?, of("new", &file.paths.new)?);
    let ms = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    loop {
        let board = board(follow).await?;
        let number = board.plan.as_ref().map_or(0, |p| p.value.spec.number) + 1;
        let release = RolloutSpec {
            number,
            old: old.clone(),
            new: new.clone(),
            stages: file.stages.clone(),
            bake_ms: ms(file.bake),
            check_interval_ms: ms(file.check_interval),
            max_bake_ms: ms(file.max_bake),
            analysis: file.analysis.clone(),
            auto_rollback: file.auto_rollback,
            approved_by: operator(),
            reason: file.reason.clone(),
        };
        let plan = RolloutPlan {
            spec: release,
            paths: file.paths.clone(),
            machine_paths: file.machine_paths.clone(),
        };
        match write(council, board.start_rollout(&plan)?).await {
            WriteOutcome::Committed(_) => {
                let (old, new) = (build_id::short(&old), build_id::short(&new));
                return print(&format!("release {number} begins, from build {old} to {new}"));
            }
            // Another was faster.
            WriteOutcome::Conflict => {}
            WriteOutcome::Failed(why) => return Err(why),
        }
    }
}

async fn say(
    council: &ClientHandle,
    follow: &mut Informer<RolloutProjection>,
    order: &OperatorCommand,
) -> Result<(), String> {
    loop {
        let board = board(follow).await?;
        let Some((plan, state)) = board.current() else { return Err("there was no release yet".into()) };
        let next = plan.spec.apply_command(&state.value, order)?;
        let Some(change) = board.write_state(&next) else { return Err("the state can't be written".into()) };
        match write(council, change).await {
            WriteOutcome::Committed(_) => {
                return print(&format!("release {}: {}", plan.spec.number, next.summary()))
            }
            // It went on meanwhile: what was said holds for where it is now.
            WriteOutcome::Conflict => {}
            WriteOutcome::Failed(why) => return Err(why),
        }
    }
}

/// The release for an operator.
pub fn state(board: &RolloutSnapshot, fleet: &Fleet) -> serde_json::Value {
    let Some((plan, state)) = board.current() else { return serde_json::json!({"release": null}) };
    let r = &plan.spec;
    let seen = board.observations(fleet);
    let step = r.step(&state.value, &seen, unix_ms());
    let one = |i: &InstanceObservation| {
        serde_json::json!({"name": i.name, "machine": i.machine, "zone": i.zone, "ready": i.ready, "broken": i.failure,
            "runs": i.build.as_ref().map(|b| &b.0), "sample": i.metrics})
    };
    let moves: Vec<_> =
        step.replacements.iter().map(|(name, to)| serde_json::json!({"name": name, "to": to.0})).collect();
    serde_json::json!({"release": {"number": r.number, "old": r.old.0, "new": r.new.0, "by": r.approved_by, "why": r.reason,
        "state": state.value, "says": state.value.summary(), "waits": step.waiting_for, "to_move": moves,
        "instances": seen.iter().map(one).collect::<Vec<_>>(), "unread": board.unreadable}})
}

fn status(board: &RolloutSnapshot, fleet: &Fleet, json: bool) -> Result<(), String> {
    if json {
        return print(&state(board, fleet).to_string());
    }
    let Some((plan, at)) = board.current() else { return print("there was no release yet") };
    let r = &plan.spec;
    let seen = board.observations(fleet);
    let (old, new) = (build_id::short(&r.old), build_id::short(&r.new));
    print(&format!(
        "release {} from {old} to {new}, by {}: {}",
        r.number,
        r.approved_by,
        at.value.summary()
    ))?;
    if let Some(waits) = r.step(&at.value, &seen, unix_ms()).waiting_for {
        print(&waits)?;
    }
    let mut rows =
        vec![["instance", "machine", "zone", "build", "ready", "asked", "served", "late", "trouble"]
            .map(String::from)
            .to_vec()];
    for i in &seen {
        let build = match &i.build {
            Some(b) if *b == r.new => "new".to_string(),
            Some(b) if *b == r.old => "old".into(),
            Some(b) => build_id::short(b).into(),
            None => "-".into(),
        };
        let figure = |of: fn(&rollout::MetricsSample) -> u64| {
            i.metrics.as_ref().map_or("-".into(), |s| of(s).to_string())
        };
        let ready = if i.ready { "yes" } else { "no" };
        let text = |t: &str| if t.is_empty() { "-".to_string() } else { t.to_string() };
        rows.push(vec![
            i.name.clone(),
            i.machine.clone(),
            text(&i.zone),
            build,
            ready.into(),
            figure(|s| s.requests),
            figure(|s| s.served),
            figure(|s| s.late),
            text(i.failure.as_deref().unwrap_or_default()),
        ]);
    }
    print(format_rows(&rows).trim_end())
}
