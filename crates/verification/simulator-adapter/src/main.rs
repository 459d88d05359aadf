//! Hosts balancers on the simulator's wire: frames in on standard input, replies out.
mod wire;

use balancer::{Action, Balancer, Event};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::process::ExitCode;
use wire::{Batch, Record, Reply, Table};

#[derive(Default)]
struct Host {
    balancers: BTreeMap<u16, Balancer>,
    tables: BTreeMap<u32, Table>,
    actions: Vec<Action>,
    reply: Reply,
    /// The instance that the reply's records belong to so far.
    answering: Option<u16>,
}

impl Host {
    fn batch(&mut self, batch: &Batch) -> Result<Vec<u8>, String> {
        let mut target = None;
        self.answering = None;
        for (i, record) in batch.records.iter().enumerate() {
            self.record(batch, record, &mut target).map_err(|e| format!("record {i}: {e}"))?;
        }
        Ok(self.reply.finish(batch.number))
    }

    fn record(&mut self, batch: &Batch, record: &Record, target: &mut Option<u16>) -> Result<(), String> {
        let now = batch.now;
        let instance = || target.ok_or("no instance was named before this record".to_string());
        match record {
            Record::Target(id) => *target = Some(*id),
            Record::Table { number, members } => {
                self.tables.insert(*number, members.clone());
            }
            Record::Configure { seed, setup } => {
                let id = instance()?;
                let settings = config::parse(&batch.tail[setup.clone()])
                    .map_err(|e| format!("settings of instance {id}: {e}"))?;
                let balancer = Balancer::new(settings, *seed, now).map_err(|e| e.to_string())?;
                self.balancers.insert(id, balancer);
            }
            Record::Destroy => {
                self.balancers.remove(&instance()?);
            }
            Record::Sync { kind, table } => {
                let news = wire::membership(*kind, self.tables.get(table))
                    .map_err(|e| format!("table {table}: {e}"))?;
                self.event(instance()?, now, Event::Membership(news));
            }
            Record::Event(event) => self.event(instance()?, now, event.clone()),
            Record::Skip => {}
        }
        Ok(())
    }

    fn event(&mut self, id: u16, now: f64, event: Event) {
        let Some(balancer) = self.balancers.get_mut(&id) else { return };
        balancer.handle(now, event, &mut self.actions);
        if self.actions.is_empty() {
            return;
        }
        if self.answering != Some(id) {
            self.reply.at(id);
            self.answering = Some(id);
        }
        for action in self.actions.drain(..) {
            self.reply.action(&action);
        }
    }
}

fn run() -> Result<(), String> {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let mut host = Host::default();
    for number in 0.. {
        let Some(frame) = wire::read_frame(&mut input, number).map_err(|e| e.to_string())? else { break };
        let batch = wire::decode(&frame, number).map_err(|e| e.to_string())?;
        let reply = host.batch(&batch).map_err(|e| format!("frame {number}, {e}"))?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("writing the reply: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("simulator-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
