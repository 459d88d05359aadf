//! Runs balancers behind the simulator's wire protocol: reads frames from standard input and writes replies to standard
//! output.
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
    /// Instance that the last records of the reply belong to.
    reply_instance: Option<u16>,
}

impl Host {
    fn handle_batch(&mut self, batch: &Batch) -> Result<Vec<u8>, String> {
        let mut target = None;
        self.reply_instance = None;
        for (index, record) in batch.records.iter().enumerate() {
            self.handle_record(batch, record, &mut target).map_err(|e| format!("record {index}: {e}"))?;
        }
        Ok(self.reply.finish(batch.number))
    }

    fn handle_record(
        &mut self,
        batch: &Batch,
        record: &Record,
        target: &mut Option<u16>,
    ) -> Result<(), String> {
        let now = batch.now;
        let target_instance = || target.ok_or("no instance was named before this record".to_string());
        match record {
            Record::Target(id) => *target = Some(*id),
            Record::Table { number, members } => {
                self.tables.insert(*number, members.clone());
            }
            Record::Configure { seed, settings_range } => {
                let id = target_instance()?;
                let settings = config::parse(&batch.tail[settings_range.clone()])
                    .map_err(|e| format!("settings of instance {id}: {e}"))?;
                let balancer = Balancer::new(settings, *seed, now).map_err(|e| e.to_string())?;
                self.balancers.insert(id, balancer);
            }
            Record::Destroy => {
                self.balancers.remove(&target_instance()?);
            }
            Record::Sync { kind, table } => {
                let update = wire::resolve_membership(*kind, self.tables.get(table))
                    .map_err(|e| format!("table {table}: {e}"))?;
                self.handle_event(target_instance()?, now, Event::Membership(update));
            }
            Record::Event(event) => self.handle_event(target_instance()?, now, event.clone()),
            Record::Ignored => {}
        }
        Ok(())
    }

    fn handle_event(&mut self, id: u16, now: f64, event: Event) {
        let Some(balancer) = self.balancers.get_mut(&id) else { return };
        balancer.handle(now, event, &mut self.actions);
        if self.actions.is_empty() {
            return;
        }
        if self.reply_instance != Some(id) {
            self.reply.select_instance(id);
            self.reply_instance = Some(id);
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
        let reply = host.handle_batch(&batch).map_err(|e| format!("frame {number}, {e}"))?;
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
