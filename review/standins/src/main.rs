//! Runs one case of the review: starts the stand-ins and the project's program, and checks the case's rule.
//!
//! `review-case NAME ROOT FOLDER TEMPORARY`: the case, the project's root, the case's folder and a temporary one. With `TROUBLE=0` in the
//! environment the disruption is left out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
mod balancer;
mod cases;
mod clients;
mod discovery;
mod fastcgi;
mod http;
mod random;
mod record;
mod upstream;

use std::path::{Path, PathBuf};
use std::process::exit;

/// Everything that a case needs to know of its surroundings.
pub struct Place {
    /// The project's root.
    pub root: PathBuf,
    /// A temporary folder.
    pub folder: PathBuf,
    /// Whether the disruption happens.
    pub trouble: bool,
}

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, root, folder, temporary] = &arguments[..] else {
        eprintln!("review-case NAME ROOT FOLDER TEMPORARY");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    if let Err(error) = record::begin(&Path::new(folder).join("record.txt")) {
        eprintln!("record.txt: {error}");
        exit(2);
    }
    record::line(&format!("case {name}, {} the disruption", if trouble { "with" } else { "without" }));
    let place = Place { root: root.into(), folder: temporary.into(), trouble };
    let verdict = match &name[..] {
        "second-answer" => cases::second_answer(&place),
        "moved-discovery" => cases::moved_discovery(&place),
        "shared-connection" => cases::shared_connection(&place),
        _ => Err("unknown case".into()),
    };
    let (text, status) = match verdict {
        Ok(Verdict::Held) => ("the rule held".to_string(), 0),
        Ok(Verdict::Broken) => ("the rule was broken".to_string(), 1),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record::report(&text);
    exit(status);
}
