//! The platform's discovery: its answers as reports.
use crate::report::{Meta, Name, News, Report, Speaks, Standing};
use serde::Deserialize;
use std::net::SocketAddr;

/// An answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Grows with each change.
    pub version: u64,
    /// Whether this is the whole list, or only what changed.
    pub full: bool,
    /// What it tells.
    pub news: News,
}

impl Answer {
    /// The reports of a whole list.
    pub fn reports(&self) -> &[Report] {
        match &self.news {
            News::Whole(reports) | News::Changes(reports, _) => reports,
            News::None(_) => &[],
        }
    }
}

#[derive(Deserialize)]
struct Raw {
    version: u64,
    full: bool,
    servers: Vec<Line>,
}

#[derive(Deserialize)]
struct Line {
    id: String,
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u16,
    state: String,
    #[serde(default)]
    started_ms: f64,
}

/// Reads an answer.
///
/// # Errors
/// One bad entry spoils it whole, so that a garbled list never replaces a good one.
pub fn read(json: &[u8]) -> Result<Answer, String> {
    let raw: Raw = serde_json::from_slice(json).map_err(|e| e.to_string())?;
    let (mut reports, mut gone) = (Vec::with_capacity(raw.servers.len()), Vec::new());
    for line in raw.servers {
        let (id, state) = (line.id.clone(), line.state.clone());
        if id.is_empty() || !(0.0..1e15).contains(&line.started_ms) {
            return Err(format!("upstream {id:?}: started_ms reads {}", line.started_ms));
        }
        match state.as_str() {
            "active" => reports.push(report(line, Standing::Ready, "")),
            "leaving" => reports.push(report(line, Standing::Draining, "leaving")),
            "left" => gone.push(Name::from(id)),
            other => return Err(format!("upstream {id:?}: unknown state {other:?}")),
        }
    }
    let news = if raw.full { News::Whole(reports) } else { News::Changes(reports, gone) };
    Ok(Answer { version: raw.version, full: raw.full, news })
}

fn report(line: Line, standing: Standing, why: &str) -> Report {
    Report {
        name: line.id.into(),
        addr: line.addr,
        zone: line.zone.into(),
        kind: line.kind.into(),
        cell: line.cell,
        speaks: Speaks::Http,
        standing,
        why: why.into(),
        started_ms: Some(line.started_ms),
        // Of two names at one address the one whose process started last is there.
        registered: line.started_ms as u64,
        meta: Meta::default(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn answers_are_read_whole_or_not_at_all() {
        let text = r#"{"version":4,"full":false,"servers":[
            {"id":"s-1","addr":"127.0.0.1:10","zone":"a","kind":"m2","cell":3,"state":"leaving","weight":1.0,"started_ms":7},
            {"id":"s-2","addr":"127.0.0.1:11","state":"left"}]}"#;
        let answer = read(text.as_bytes()).expect("good");
        let News::Changes(reports, gone) = &answer.news else { panic!("{answer:?}") };
        assert_eq!(
            (reports.len(), reports[0].standing, reports[0].started_ms),
            (1, Standing::Draining, Some(7.0))
        );
        assert_eq!(gone[..], [Name::from("s-2")]);
        for (from, to) in
            [("left", "odd"), ("\"s-2\"", "\"\""), (":7}", ":-1}"), ("127.0.0.1:11", "x"), ("]}", "")]
        {
            assert!(read(text.replace(from, to).as_bytes()).is_err(), "{to}");
        }
    }
}
