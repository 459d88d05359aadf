//! What goes along with the sockets to a successor: the view of members with its ages, and what the module has learned
//! of capacity and demand. It is taken only by a process with the same settings; see `docs/design/fleet.md` for what is
//! left behind, and why.
use balancer::Learned;
use discovery::saved::Saved;
use serde::{Deserialize, Serialize};

/// What a source told longer ago, in milliseconds, is not taken: asking anew is better than going by it.
const AGE_MOST: f64 = 60_000.0;

/// What goes along.
#[derive(Debug, Serialize, Deserialize)]
pub struct Along {
    /// Tells the settings apart that the rest is meant for.
    settings: u64,
    view: Saved,
    learned: Figures,
}

#[derive(Debug, Serialize, Deserialize)]
struct Figures {
    capacity: f64,
    peak: f64,
    unloaded: f64,
    demands: Vec<f64>,
}

impl Along {
    /// Gathers it.
    pub fn new(settings: u64, view: Saved, learned: Learned) -> Along {
        let Learned { capacity, peak, unloaded, demands } = learned;
        Along { settings, view, learned: Figures { capacity, peak, unloaded, demands } }
    }

    /// As bytes.
    pub fn write(&self) -> Vec<u8> {
        // Numbers and texts only: this can't fail, and without it the successor starts like any other.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// From bytes, for a process with these settings. `None`: it is for other settings, or nothing that can be read.
    pub fn read(bytes: &[u8], settings: u64) -> Option<Along> {
        serde_json::from_slice::<Along>(bytes).ok().filter(|along| along.settings == settings)
    }

    /// The view, at this Unix time in milliseconds, without what is too old; `None`: nothing is left of it.
    pub fn view(self, now: f64) -> Option<Saved> {
        let mut view = self.view;
        view.prune(now, AGE_MOST);
        (!view.reports.is_empty()).then_some(view)
    }

    /// What was learned; the module checks it.
    pub fn learned(&self) -> Learned {
        let Figures { capacity, peak, unloaded, ref demands } = self.learned;
        Learned { capacity, peak, unloaded, demands: demands.clone() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use discovery::report::News;
    use discovery::view::{Source, View};

    fn view() -> Saved {
        let list =
            r#"{"version":7,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:9","state":"leaving"}]}"#;
        let answer = discovery::platform::read(list.as_bytes()).expect("good");
        let source = Source { rank: 0, label: "discovery".into() };
        let mut view = View::new(true);
        assert!(matches!(answer.news, News::Whole(_)));
        view.take(1000.0, &source, answer.news);
        Saved::of(&view, vec![(source, 7)])
    }

    #[test]
    fn what_goes_along_arrives_as_it_was() {
        let learned = Learned { capacity: 12.5, peak: 9.0, unloaded: 80.0, demands: vec![1.0, 0.0] };
        let bytes = Along::new(5, view(), learned.clone()).write();
        let along = Along::read(&bytes, 5).expect("for these settings");
        assert_eq!(along.learned(), learned);
        assert_eq!(along.view(2000.0), Some(view()));
    }

    /// Guards against going by positions that mean something else, by an old list, and against garbage.
    #[test]
    fn what_is_not_fitting_is_left() {
        let bytes = Along::new(5, view(), Learned::default()).write();
        assert!(Along::read(&bytes, 6).is_none(), "other settings");
        assert!(Along::read(&bytes[1..], 5).is_none() && Along::read(b"", 5).is_none());
        assert_eq!(Along::read(&bytes, 5).and_then(|along| along.view(61_001.0)), None, "too old");
    }
}
