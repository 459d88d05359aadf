//! Releases at a supervisor: which build each of its instances is started from, kept on its disk, and what it does for a
//! release that goes on. What is decided is `rollout::mover`'s matter.
use config::supervisor::FleetConfig as File;
use coordination::state_machine::SessionId;
use disruption::FleetSnapshot as Fleet;
use disruption_agent::agent::GrantedLease;
use rollout::executor::{ExecutorAction, LocalInstance, RolloutExecutor};
use rollout::snapshot::RolloutPlan;
use rollout::BuildId;
use rollout_agent::agent::{AgentEvent, RolloutAgent};
use rollout_agent::{build_id, unix_ms};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime};
use storage::AtomicFile;
use tokio::sync::mpsc;
use tracing::info;

/// Most bytes of the file that says which build each instance is of.
const KEPT_MOST: usize = 8 << 20;
/// The build that runs here, wherever its file is by now.
const OWN: &str = "/proc/self/exe";

/// A build that could not be had is looked for again after this.
const AGAIN: Duration = Duration::from_secs(5);

/// How often a release that goes on is looked at, and one that is over: what balancers say of themselves is followed by another
/// agent.
const GOES: Duration = Duration::from_millis(100);
const OVER: Duration = Duration::from_secs(2);

/// A file that was found to be a build: as long as it is the same file it need not be read again.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Found {
    path: PathBuf,
    length: u64,
    changed: Option<SystemTime>,
}

impl Found {
    fn of(path: &Path) -> Result<Found, String> {
        let kind = std::fs::metadata(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Found { path: path.into(), length: kind.len(), changed: kind.modified().ok() })
    }

    /// A build's file, read whole.
    fn read(path: &Path, wanted: &BuildId) -> Result<Found, String> {
        // Before it is read: what is changed meanwhile is another file than this.
        let found = Found::of(path)?;
        build_id::verify(path, wanted).map(|()| found)
    }
}

/// The builds of a release's state, as they were found to lie here.
struct Checked {
    /// The release's number, and the revision of the state for which it was looked.
    of: (u64, u64),
    at: Instant,
    files: BTreeMap<BuildId, Result<Found, String>>,
}

/// See the module's page.
pub struct Releases {
    agent: RolloutAgent,
    mover: RolloutExecutor,
    machine: String,
    /// What this supervisor runs, which is what an instance is started from that no release has moved.
    own: BuildId,
    /// What each instance is started from, by its name, where a release has moved it.
    kept: BTreeMap<String, (BuildId, PathBuf)>,
    store: AtomicFile,
    unkept: Option<String>,
    checked: Option<Checked>,
    /// For which state it is being looked.
    looking: Option<(u64, u64)>,
    tell: mpsc::Sender<Checked>,
    told: mpsc::Receiver<Checked>,
}

impl Releases {
    /// Reads what the supervisor before it has kept.
    ///
    /// # Errors
    /// What this one runs can't be read.
    pub fn new(file: &File, machine: &str, agent: RolloutAgent) -> Result<Releases, String> {
        let own = build_id::of_file(Path::new(OWN))?;
        let store = AtomicFile::new(file.folder.join("builds"), "builds", 1, KEPT_MOST);
        let kept = match store.load() {
            Ok(kept) => kept.map_or_else(BTreeMap::new, |kept| {
                serde_json::from_slice(&kept.content).unwrap_or_else(|e| {
                    info!("release: {}: {e}", store.path().display());
                    BTreeMap::new()
                })
            }),
            Err(why) => {
                info!("release: {}: {why}", store.path().display());
                BTreeMap::new()
            }
        };
        let (tell, told) = mpsc::channel(1);
        Ok(Releases {
            agent,
            mover: RolloutExecutor::default(),
            machine: machine.into(),
            own,
            kept,
            store,
            unkept: None,
            checked: None,
            looking: None,
            tell,
            told,
        })
    }

    /// What an instance's next process is of.
    pub fn build(&self, instance: &str) -> &BuildId {
        self.kept.get(instance).map_or(&self.own, |(build, _)| build)
    }

    /// The file that it is started from; `None`: what this supervisor runs.
    pub fn path(&self, instance: &str) -> Option<&Path> {
        self.kept.get(instance).map(|(_, path)| path.as_path())
    }

    /// Why no roll may begin now.
    pub fn bars(&self) -> Option<String> {
        let board = self.agent.snapshot();
        match board.unfinished() {
            Some((plan, state)) if !matches!(state.value, rollout::RolloutState::Paused { .. }) => {
                Some(format!("release {} goes on; halt it first", plan.spec.number))
            }
            _ if self.mover.is_busy() => Some("a release is moving instances here".into()),
            _ => None,
        }
    }

    /// How often to look after releases; `None`: there was none yet.
    pub fn look_every(&self) -> Option<Duration> {
        let board = self.agent.snapshot();
        board.current()?;
        let goes = self.mover.is_busy() || board.unfinished().is_some();
        Some(if goes { GOES } else { OVER })
    }

    /// Waits for news: that this leave may be used if that is still wanted, or `false`, that it can't be now. May be dropped and
    /// called again.
    pub async fn news(&mut self) -> Option<(GrantedLease, bool)> {
        tokio::select! {
            news = self.agent.next_event() => match news {
                AgentEvent::SnapshotChanged => {}
                AgentEvent::LeaseConfirmed(given, done) => return Some((given, done)),
            },
            checked = self.told.recv() => if let Some(checked) = checked {
                for (build, fault) in checked.files.iter().filter_map(|(b, f)| Some((b, f.as_ref().err()?))) {
                    info!("release: build {}: {fault}", build_id::short(build));
                }
                (self.looking, self.checked) = (None, Some(checked));
            }
        }
        None
    }

    /// Looks whether the builds lie here, once for each state: what was missing may have been brought meanwhile.
    fn look(&mut self, plan: &RolloutPlan, of: (u64, u64)) {
        let again = |c: &Checked| c.of != of || c.at.elapsed() >= AGAIN;
        let fits = |c: &Checked| c.of.0 == of.0 && (!again(c) || c.files.values().all(Result::is_ok));
        if self.looking.is_some() || self.checked.as_ref().is_some_and(fits) {
            return;
        }
        self.looking = Some(of);
        let (files, tell) = (RolloutExecutor::build_files(plan, &self.machine), self.tell.clone());
        tokio::task::spawn_blocking(move || {
            let read = |(build, path): (BuildId, String)| {
                let found = Found::read(Path::new(&path), &build);
                (build, found)
            };
            // The supervisor may have ended.
            let _ = tell.blocking_send(Checked {
                of,
                at: Instant::now(),
                files: files.into_iter().map(read).collect(),
            });
        });
    }

    /// What keeps builds from being started here.
    fn faults(&self) -> BTreeMap<BuildId, String> {
        let files = self.checked.iter().flat_map(|c| &c.files);
        let mut faults: BTreeMap<BuildId, String> =
            files.filter_map(|(b, f)| Some((b.clone(), f.as_ref().err()?.clone()))).collect();
        if let (Some(why), Some((plan, _))) = (&self.unkept, self.agent.snapshot().current()) {
            faults.insert(plan.spec.new.clone(), why.clone());
        }
        faults
    }

    /// What follows now, under the session that this supervisor holds.
    pub fn next(
        &mut self,
        all: &[LocalInstance],
        fleet: &Fleet,
        at_once: usize,
        session: SessionId,
    ) -> Vec<ExecutorAction> {
        let board = self.agent.snapshot().clone();
        let Some((plan, state)) = board.unfinished() else {
            self.agent.set_reports(RolloutExecutor::reports(all, &board, &BTreeMap::new()));
            return self.mover.next_actions(
                &self.machine,
                all,
                (fleet, &board),
                (0, &BTreeMap::new(), session),
                unix_ms(),
            );
        };
        let of = (plan.spec.number, state.version);
        if self.checked.as_ref().is_none_or(|c| c.of.0 != of.0) {
            // Of another release.
            self.unkept = None;
        }
        self.look(plan, of);
        let faults = self.faults();
        self.agent.set_reports(RolloutExecutor::reports(all, &board, &faults));
        let known = self.checked.as_ref().is_some_and(|c| c.of.0 == of.0);
        let at_once = if known { at_once } else { 0 };
        self.mover.next_actions(&self.machine, all, (fleet, &board), (at_once, &faults, session), unix_ms())
    }

    /// Leave has come. Whether it is for a release, which first has the record read.
    pub fn given(&self, given: &GrantedLease) -> bool {
        self.mover.is_waiting_for_lease(&given.balancer) && self.agent.confirm_lease(given)
    }

    /// It may be used now: what is done by it.
    pub fn confirmed(&mut self, unit: &str, fleet: &Fleet) -> Option<ExecutorAction> {
        let board = self.agent.snapshot();
        self.mover.on_lease_granted(&self.machine, unit, (fleet, &board), unix_ms())
    }

    /// The file of a build, if it is still the one that was read.
    fn file(&self, build: &BuildId) -> Result<PathBuf, String> {
        let files = self.checked.as_ref().map(|c| &c.files);
        let found = files.and_then(|f| f.get(build)).ok_or("it was not looked for yet")?.clone()?;
        match Found::of(&found.path)? {
            now if now == found => Ok(found.path),
            _ => Err(format!("{}: has changed since it was read", found.path.display())),
        }
    }

    /// Keeps that an instance is started from this build from now on, before anything is done about it.
    ///
    /// # Errors
    /// It must not be done: the file is not what it has to be, or that can't be kept. Where anything follows from that, it is
    /// named. Going back is done all the same: what runs is known by its own word, and the disk may be what is wrong.
    pub fn moved(
        &mut self,
        instance: &str,
        unit: &str,
        build: &BuildId,
    ) -> Result<(), Option<ExecutorAction>> {
        let path = match self.file(build) {
            Ok(path) => path,
            Err(why) => {
                info!("release: {unit} is not replaced: {why}");
                if let Some(checked) = &mut self.checked {
                    checked.files.insert(build.clone(), Err(why));
                }
                return Err(self.mover.cancel(unit));
            }
        };
        let before = self.kept.insert(instance.into(), (build.clone(), path));
        let kept = serde_json::to_vec(&self.kept).map_err(|e| e.to_string());
        let kept = kept.and_then(|text| {
            self.store.save(&text).map_err(|e| format!("{}: {e}", self.store.path().display()))
        });
        self.unkept = kept.err().map(|why| format!("which build an instance is of can't be kept: {why}"));
        let goes_back = self.agent.snapshot().current().is_some_and(|(plan, _)| plan.spec.old == *build);
        if let Some(why) = &self.unkept {
            info!("release: {unit}: {why}");
        }
        if self.unkept.is_none() || goes_back {
            self.mover.mark_replaced(unit, build);
            return Ok(());
        }
        match before {
            Some(before) => drop(self.kept.insert(instance.into(), before)),
            None => drop(self.kept.remove(instance)),
        }
        Err(self.mover.cancel(unit))
    }
}
