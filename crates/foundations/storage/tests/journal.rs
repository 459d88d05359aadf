//! Journals: durability at every crash point, full disks, damage, and files of the former build.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use storage::files::{Files, Folder};
use storage::journal::{Journal, JournalError, JournalFormat};

const FORMAT: JournalFormat = JournalFormat { name: "log", kind: "test", version: 1, max_bytes: 4096 };

#[derive(Clone, Debug, Default)]
struct Content {
    /// As a process sees it.
    now: Vec<u8>,
    /// As the disk has it.
    disk: Vec<u8>,
}

#[derive(Debug, Default)]
struct State {
    files: Vec<Content>,
    names: BTreeMap<String, usize>,
    names_on_disk: BTreeMap<String, usize>,
    /// Steps until the process is killed.
    left: Option<usize>,
    /// Bytes that a file may grow to.
    room: Option<u64>,
    steps: usize,
}

/// A disk that keeps what was synced, and of the rest what a test says; killed at any step.
#[derive(Clone, Debug, Default)]
struct Disk(Rc<RefCell<State>>);

impl Disk {
    fn step(&self) -> io::Result<std::cell::RefMut<'_, State>> {
        let mut s = self.0.borrow_mut();
        s.steps += 1;
        match &mut s.left {
            Some(0) => return Err(io::Error::other("killed")),
            Some(left) => *left -= 1,
            None => {}
        }
        Ok(s)
    }

    /// The machine goes down: of what was not synced, this share of the bytes came to the disk, and the names if so.
    fn crash(&self, part: f64, names: bool) {
        let mut s = self.0.borrow_mut();
        (s.left, s.room) = (None, None);
        for file in &mut s.files {
            let same = file.now.iter().zip(&file.disk).take_while(|(a, b)| a == b).count();
            let more = file.now.len().saturating_sub(same);
            let came = same + (more as f64 * part) as usize;
            if file.now.len() >= file.disk.len() {
                file.disk = file.now[..came].to_vec();
            }
            file.now = file.disk.clone();
        }
        if names {
            s.names_on_disk = s.names.clone();
        }
        s.names = s.names_on_disk.clone();
    }
}

impl Files for Disk {
    type Open = usize;

    fn read(&mut self, name: &str, max_bytes: u64) -> io::Result<Option<Vec<u8>>> {
        let s = self.step()?;
        let bytes = s.names.get(name).map(|&f| s.files[f].now.clone());
        assert!(bytes.as_ref().is_none_or(|b| b.len() as u64 <= max_bytes));
        Ok(bytes)
    }

    fn open(&mut self, name: &str) -> io::Result<usize> {
        let mut s = self.step()?;
        if let Some(&f) = s.names.get(name) {
            return Ok(f);
        }
        s.files.push(Content::default());
        let f = s.files.len() - 1;
        s.names.insert(name.into(), f);
        Ok(f)
    }

    fn write(&mut self, f: &mut usize, at: u64, bytes: &[u8]) -> io::Result<()> {
        // A write that is killed or finds no room may leave a part of itself.
        let killed = self.step().is_err();
        let mut s = self.0.borrow_mut();
        let room = s.room.unwrap_or(u64::MAX).saturating_sub(at) as usize;
        let most = if killed { bytes.len() / 2 } else { bytes.len().min(room) };
        let now = &mut s.files[*f].now;
        let at = at as usize;
        now.resize(now.len().max(at + most), 0);
        now[at..at + most].copy_from_slice(&bytes[..most]);
        match (killed, most == bytes.len()) {
            (true, _) => Err(io::Error::other("killed")),
            (false, true) => Ok(()),
            (false, false) => Err(io::ErrorKind::StorageFull.into()),
        }
    }

    fn truncate(&mut self, f: &mut usize, length: u64) -> io::Result<()> {
        let mut s = self.step()?;
        s.files[*f].now.truncate(length as usize);
        Ok(())
    }

    fn sync(&mut self, f: &mut usize) -> io::Result<()> {
        let mut s = self.step()?;
        let file = &mut s.files[*f];
        file.disk = file.now.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut s = self.step()?;
        let f = s.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        s.names.insert(to.into(), f);
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let mut s = self.step()?;
        s.names_on_disk = s.names.clone();
        Ok(())
    }
}

fn record(k: u8) -> Vec<u8> {
    vec![k; 5 + usize::from(k) % 7]
}

/// Appends, promises and replaces; what was promised is noted as it happens.
fn work(disk: &Disk, promised: &mut Vec<Vec<u8>>, all: &mut Vec<Vec<u8>>) -> Result<(), JournalError> {
    let (mut journal, _) = Journal::open(disk.clone(), FORMAT)?;
    for k in 1..=12 {
        all.push(record(k));
        journal.append(&[record(k)])?;
        if k % 4 == 0 {
            // The older half is folded into one.
            let kept = all[all.len() / 2..].to_vec();
            *all = kept.clone();
            journal.replace(&kept)?;
        } else if k % 2 == 0 {
            journal.sync()?;
        } else {
            continue;
        }
        *promised = all.clone();
    }
    Ok(())
}

/// Guards against losing what was promised, or taking what was not, whenever the process or its machine dies: every
/// step of opening, writing, syncing, replacing and renaming is visited.
#[test]
fn killed_at_any_step_it_has_what_was_promised_and_no_more_than_was_written() {
    let whole = Disk::default();
    work(&whole, &mut Vec::new(), &mut Vec::new()).expect("nobody kills it");
    let steps = whole.0.borrow().steps;
    assert!(steps > 30, "{steps}");
    for at in 0..steps {
        for (part, names) in [(0.0, false), (0.0, true), (0.5, false), (0.5, true), (1.0, true)] {
            let disk = Disk::default();
            disk.0.borrow_mut().left = Some(at);
            let (mut promised, mut all) = (Vec::new(), Vec::new());
            work(&disk, &mut promised, &mut all).expect_err("it is killed");
            disk.crash(part, names);
            let (_, found) = Journal::open(disk.clone(), FORMAT).expect("no damage");
            // Either the journal of the last promise with a part of what was appended since, or the one in its place.
            let grown = found.starts_with(&promised) && found.len() <= promised.len() + 2;
            let replaced = all.starts_with(&found) && found.len() + 1 >= all.len();
            assert!(grown || replaced, "step {at}, {part}, {names}: {found:?} of {promised:?}, {all:?}");
            // And it goes on from there.
            let (mut journal, before) = Journal::open(disk.clone(), FORMAT).expect("opens");
            journal.append(&[record(99)]).expect("appends");
            journal.sync().expect("syncs");
            let after = Journal::open(disk, FORMAT).expect("opens").1;
            assert!(after.len() == before.len() + 1 && after.last() == Some(&record(99)));
        }
    }
}

/// Guards against a full disk after which something is lost, half there, or never works again.
#[test]
fn a_full_disk_loses_nothing_that_was_promised_and_room_brings_it_back() {
    for room in 0..400 {
        let disk = Disk::default();
        let (mut journal, _) = Journal::open(disk.clone(), FORMAT).expect("opens");
        disk.0.borrow_mut().room = Some(40 + room);
        let mut promised = Vec::new();
        let mut failed = false;
        for k in 1..=30 {
            let mut all = promised.clone();
            all.push(record(k));
            let done = match k % 9 {
                0 => journal.replace(&all),
                _ => journal.append(&[record(k)]).and_then(|()| journal.sync()),
            };
            if done.is_ok() {
                promised = all;
                continue;
            }
            failed = true;
            assert!(journal.recover(64).is_err(), "there is no room yet");
            disk.0.borrow_mut().room = None;
            assert_eq!(journal.recover(64).expect("there is room"), promised);
            break;
        }
        assert!(failed, "{room}");
        journal.append(&[record(77)]).expect("appends");
        journal.sync().expect("syncs");
        disk.crash(0.0, false);
        promised.push(record(77));
        assert_eq!(Journal::open(disk, FORMAT).expect("opens").1, promised);
    }
}

/// Opens a journal with this content: its records and the length of what is kept.
fn opened(format: JournalFormat, bytes: &[u8]) -> Result<(Vec<Vec<u8>>, usize), JournalError> {
    let disk = Disk::default();
    let content = Content { now: bytes.to_vec(), disk: bytes.to_vec() };
    disk.0.borrow_mut().files.push(content);
    disk.0.borrow_mut().names.insert(format.name.into(), 0);
    let (journal, records) = Journal::open(disk, format)?;
    Ok((records, usize::try_from(journal.length()).expect("fits")))
}

/// Guards against taking damage for a torn tail: damage of a durable record is reported, whichever byte is damaged.
#[test]
fn damage_is_reported_with_its_offset_and_a_torn_tail_is_truncated() {
    let disk = Disk::default();
    let (mut journal, _) = Journal::open(disk.clone(), FORMAT).expect("opens");
    let header_length = usize::try_from(journal.length()).expect("fits");
    let all: Vec<_> = (1..=5).map(record).collect();
    journal.append(&all).expect("appends");
    journal.sync().expect("syncs");
    let good = disk.0.borrow().files[0].now.clone();
    assert_eq!(opened(FORMAT, &good).expect("good"), (all.clone(), good.len()));
    for at in 0..good.len() {
        for bit in 0..8 {
            let mut bad = good.clone();
            bad[at] ^= 1 << bit;
            match opened(FORMAT, &bad) {
                Err(JournalError::Damaged { offset, .. }) => assert!(offset as usize <= at),
                Err(JournalError::WrongFormat { .. }) => assert!(at < header_length),
                got => panic!("bit {bit} of byte {at}: {got:?}"),
            }
        }
    }
    for cut in 0..good.len() {
        let (found, end) = opened(FORMAT, &good[..cut]).expect("a torn tail is truncated");
        // Without a complete header the journal is created anew.
        let kept = if cut < header_length { header_length } else { cut };
        assert!(all.starts_with(&found) && end <= kept);
        assert!(cut >= header_length || found.is_empty());
        let mut zeros = good[..cut].to_vec();
        zeros.resize(good.len() + 9, 0);
        if cut >= header_length {
            let (found, _) = opened(FORMAT, &zeros).expect("allocated space is not damage");
            assert!(all.starts_with(&found), "{cut}");
        }
    }
    let other = JournalFormat { version: 2, ..FORMAT };
    let error = opened(other, &good).expect_err("another version");
    assert!(matches!(error, JournalError::WrongFormat { .. }) && error.to_string().contains("in version 2"));
}

#[test]
fn it_has_a_bound_and_says_so() {
    let disk = Disk::default();
    let (mut journal, _) = Journal::open(disk, FORMAT).expect("opens");
    let error = journal.append(&[vec![1; 5000]]).expect_err("too long");
    assert_eq!(error.kind(), io::ErrorKind::FileTooLarge);
    assert!(journal.replace(&[vec![1; 5000]]).is_err());
    journal.append(&[vec![1; 3000]]).expect("there is room for this");
}

/// The system's files do what the seam asks of them.
#[test]
fn in_a_folder_it_is_found_again() {
    let path = std::env::temp_dir().join(format!("herondock-journal-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let open = || Journal::open(Folder::new(&path).expect("a folder"), FORMAT).expect("opens");
    let (mut journal, found) = open();
    assert!(found.is_empty());
    journal.append(&[record(1), record(2)]).expect("appends");
    journal.sync().expect("syncs");
    assert_eq!(open().1, [record(1), record(2)]);
    journal.replace(&[record(3)]).expect("replaces");
    journal.append(&[record(4)]).expect("appends");
    journal.sync().expect("syncs");
    assert_eq!(open().1, [record(3), record(4)]);
    assert_eq!(journal.recover(100).expect("recovers"), [record(3), record(4)]);
    std::fs::remove_dir_all(&path).expect("removes");
}

/// Format of the journal of the coordination service.
const COUNCIL: JournalFormat =
    JournalFormat { name: "journal", kind: "council", version: 1, max_bytes: 256 << 20 };
/// Journal that `herondock council form` of the former build left.
const FORMER_BUILD: &[u8] = include_bytes!("fixtures/former-build-journal");

/// Guards against an upgrade after which a voter does not find its state.
#[test]
fn a_journal_of_the_former_build_is_read_and_appended_to() {
    let path = std::env::temp_dir().join(format!("herondock-former-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let folder = Folder::new(&path).expect("a folder");
    std::fs::write(path.join(COUNCIL.name), FORMER_BUILD).expect("writes");
    let (mut journal, records) = Journal::open(folder, COUNCIL).expect("opens");
    assert_eq!(std::fs::read(path.join(COUNCIL.name)).expect("reads"), FORMER_BUILD, "it is left as it is");
    assert_eq!(records.len(), 3);
    // Between the header line and each record there are the twelve bytes of the record's head.
    assert_eq!(records, [&FORMER_BUILD[51..125], &FORMER_BUILD[137..548], &FORMER_BUILD[560..565]]);
    assert!(records[0].starts_with(b"i{\"cluster\":") && records[0].ends_with(b"\"name\":\"c1\"}"));
    journal.append(&[record(1)]).expect("appends");
    journal.sync().expect("syncs");
    let (_, found) = Journal::open(Folder::new(&path).expect("a folder"), COUNCIL).expect("opens");
    assert_eq!(found[..3], records);
    assert_eq!(found[3..], [record(1)]);
    std::fs::remove_dir_all(&path).expect("removes");
}

/// Guards against an upgrade that takes the torn tail of a crash of the former build for damage, or for a record.
#[test]
fn a_torn_tail_of_the_former_build_is_truncated() {
    let (complete, length) = opened(COUNCIL, FORMER_BUILD).expect("opens");
    assert_eq!((complete.len(), length), (3, FORMER_BUILD.len()));
    let last_record = FORMER_BUILD.len() - complete[2].len() - 12;
    let with = |more: &[u8]| [FORMER_BUILD, more].concat();
    let torn_record = &FORMER_BUILD[last_record..FORMER_BUILD.len() - 3];
    for (content, records, kept) in [
        // The last record is cut short.
        (FORMER_BUILD[..FORMER_BUILD.len() - 1].to_vec(), 2, last_record),
        (FORMER_BUILD[..last_record + 5].to_vec(), 2, last_record),
        // A further record is cut short, or only its space was allocated.
        (with(torn_record), 3, FORMER_BUILD.len()),
        (with(&[0; 64]), 3, FORMER_BUILD.len()),
        (with(&[torn_record, &[0; 400]].concat()), 3, FORMER_BUILD.len()),
    ] {
        let (found, length) = opened(COUNCIL, &content).expect("a torn tail");
        assert_eq!((found.as_slice(), length), (&complete[..records], kept));
    }
}
