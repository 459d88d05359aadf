//! Journals: durability at every crash point, full disks, damage, and files of the former build.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use storage::files::{Files, Folder};
use storage::journal::{Journal, JournalError, JournalFormat};

const FORMAT: JournalFormat = JournalFormat { name: "log", kind: "test", version: 1, max_bytes: 4096 };

/// Content of a file.
#[derive(Clone, Debug, Default)]
struct Content {
    /// Bytes that a process reads.
    cached: Vec<u8>,
    /// Bytes that are on the disk.
    durable: Vec<u8>,
}

/// State of a [`Disk`]. Names map to indices of `files`.
#[derive(Debug, Default)]
struct DiskState {
    files: Vec<Content>,
    cached_names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    /// Number of operations until the process is killed; `None` if it is not killed.
    operations_left: Option<usize>,
    /// Maximum length of a file, in bytes; `None` for no limit.
    max_file_bytes: Option<u64>,
    /// Number of operations so far.
    operations: usize,
}

/// Simulated disk. It keeps what was synced and, at a crash, as much of the rest as the test requests; the process can be
/// killed at any operation.
#[derive(Clone, Debug, Default)]
struct Disk(Rc<RefCell<DiskState>>);

impl Disk {
    /// Counts an operation; fails if the process is killed before it.
    fn begin_operation(&self) -> io::Result<std::cell::RefMut<'_, DiskState>> {
        let mut state = self.0.borrow_mut();
        state.operations += 1;
        match &mut state.operations_left {
            Some(0) => return Err(io::Error::other("killed")),
            Some(left) => *left -= 1,
            None => {}
        }
        Ok(state)
    }

    /// Simulates a crash of the machine. Of the bytes that were not synced, `written_share` (0 to 1) reached the disk; renamed
    /// and created names did if `names_written`.
    fn crash(&self, written_share: f64, names_written: bool) {
        let mut state = self.0.borrow_mut();
        (state.operations_left, state.max_file_bytes) = (None, None);
        for file in &mut state.files {
            let common = file.cached.iter().zip(&file.durable).take_while(|(a, b)| a == b).count();
            let unsynced = file.cached.len().saturating_sub(common);
            let written = common + (unsynced as f64 * written_share) as usize;
            if file.cached.len() >= file.durable.len() {
                file.durable = file.cached[..written].to_vec();
            }
            file.cached = file.durable.clone();
        }
        if names_written {
            state.durable_names = state.cached_names.clone();
        }
        state.cached_names = state.durable_names.clone();
    }
}

impl Files for Disk {
    type Open = usize;

    fn read(&mut self, name: &str, max_bytes: u64) -> io::Result<Option<Vec<u8>>> {
        let state = self.begin_operation()?;
        let bytes = state.cached_names.get(name).map(|&index| state.files[index].cached.clone());
        assert!(bytes.as_ref().is_none_or(|b| b.len() as u64 <= max_bytes));
        Ok(bytes)
    }

    fn open(&mut self, name: &str) -> io::Result<usize> {
        let mut state = self.begin_operation()?;
        if let Some(&index) = state.cached_names.get(name) {
            return Ok(index);
        }
        state.files.push(Content::default());
        let index = state.files.len() - 1;
        state.cached_names.insert(name.into(), index);
        Ok(index)
    }

    fn write(&mut self, file: &mut usize, offset: u64, bytes: &[u8]) -> io::Result<()> {
        // A write of a killed process, or on a full disk, may be partial.
        let killed = self.begin_operation().is_err();
        let mut state = self.0.borrow_mut();
        let space = state.max_file_bytes.unwrap_or(u64::MAX).saturating_sub(offset) as usize;
        let length = if killed { bytes.len() / 2 } else { bytes.len().min(space) };
        let cached = &mut state.files[*file].cached;
        let offset = offset as usize;
        cached.resize(cached.len().max(offset + length), 0);
        cached[offset..offset + length].copy_from_slice(&bytes[..length]);
        match (killed, length == bytes.len()) {
            (true, _) => Err(io::Error::other("killed")),
            (false, true) => Ok(()),
            (false, false) => Err(io::ErrorKind::StorageFull.into()),
        }
    }

    fn truncate(&mut self, file: &mut usize, length: u64) -> io::Result<()> {
        let mut state = self.begin_operation()?;
        state.files[*file].cached.truncate(length as usize);
        Ok(())
    }

    fn sync(&mut self, file: &mut usize) -> io::Result<()> {
        let mut state = self.begin_operation()?;
        let content = &mut state.files[*file];
        content.durable = content.cached.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.begin_operation()?;
        let index = state.cached_names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.cached_names.insert(to.into(), index);
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let mut state = self.begin_operation()?;
        state.durable_names = state.cached_names.clone();
        Ok(())
    }
}

fn record(number: u8) -> Vec<u8> {
    vec![number; 5 + usize::from(number) % 7]
}

/// Appends, syncs and replaces. `durable` receives the records of each completed sync or replacement, and `all` all records
/// that the journal is to hold.
fn write_records(
    disk: &Disk,
    durable: &mut Vec<Vec<u8>>,
    all: &mut Vec<Vec<u8>>,
) -> Result<(), JournalError> {
    let (mut journal, _) = Journal::open(disk.clone(), FORMAT)?;
    for number in 1..=12 {
        all.push(record(number));
        journal.append(&[record(number)])?;
        if number % 4 == 0 {
            // The journal is compacted to its newer half.
            let kept = all[all.len() / 2..].to_vec();
            *all = kept.clone();
            journal.replace(&kept)?;
        } else if number % 2 == 0 {
            journal.sync()?;
        } else {
            continue;
        }
        *durable = all.clone();
    }
    Ok(())
}

/// Guards against losing durable records, or returning records that were not written, after a crash of the process or the
/// machine at any operation of opening, writing, syncing, replacing and renaming.
#[test]
fn after_a_crash_at_any_operation_all_durable_records_are_found_and_none_that_was_not_written() {
    let uninterrupted = Disk::default();
    write_records(&uninterrupted, &mut Vec::new(), &mut Vec::new()).expect("the process is not killed");
    let operations = uninterrupted.0.borrow().operations;
    assert!(operations > 30, "{operations}");
    for crash_at in 0..operations {
        for (written_share, names_written) in
            [(0.0, false), (0.0, true), (0.5, false), (0.5, true), (1.0, true)]
        {
            let disk = Disk::default();
            disk.0.borrow_mut().operations_left = Some(crash_at);
            let (mut durable, mut all) = (Vec::new(), Vec::new());
            write_records(&disk, &mut durable, &mut all).expect_err("the process is killed");
            disk.crash(written_share, names_written);
            let (_, found) = Journal::open(disk.clone(), FORMAT).expect("no damage");
            // Either the last durable journal with some of the records that were appended since, or its replacement.
            let grown = found.starts_with(&durable) && found.len() <= durable.len() + 2;
            let replaced = all.starts_with(&found) && found.len() + 1 >= all.len();
            assert!(
                grown || replaced,
                "operation {crash_at}, {written_share}, {names_written}: {found:?} of {durable:?}, {all:?}"
            );
            // The journal can be appended to afterwards.
            let (mut journal, before) = Journal::open(disk.clone(), FORMAT).expect("opens");
            journal.append(&[record(99)]).expect("appends");
            journal.sync().expect("syncs");
            let after = Journal::open(disk, FORMAT).expect("opens").1;
            assert!(after.len() == before.len() + 1 && after.last() == Some(&record(99)));
        }
    }
}

/// Guards against a full disk after which durable records are lost, a partial record is read, or the journal stays unusable.
#[test]
fn a_full_disk_loses_no_durable_record_and_the_journal_recovers_once_there_is_space() {
    for space in 0..400 {
        let disk = Disk::default();
        let (mut journal, _) = Journal::open(disk.clone(), FORMAT).expect("opens");
        disk.0.borrow_mut().max_file_bytes = Some(40 + space);
        let mut durable = Vec::new();
        let mut failed = false;
        for number in 1..=30 {
            let mut all = durable.clone();
            all.push(record(number));
            let result = match number % 9 {
                0 => journal.replace(&all),
                _ => journal.append(&[record(number)]).and_then(|()| journal.sync()),
            };
            if result.is_ok() {
                durable = all;
                continue;
            }
            failed = true;
            assert!(journal.recover(64).is_err(), "there is no space yet");
            disk.0.borrow_mut().max_file_bytes = None;
            assert_eq!(journal.recover(64).expect("there is space"), durable);
            break;
        }
        assert!(failed, "{space}");
        journal.append(&[record(77)]).expect("appends");
        journal.sync().expect("syncs");
        disk.crash(0.0, false);
        durable.push(record(77));
        assert_eq!(Journal::open(disk, FORMAT).expect("opens").1, durable);
    }
}

/// Opens a journal with this content. Returns its records, and its length after a torn tail was truncated.
fn open_content(format: JournalFormat, bytes: &[u8]) -> Result<(Vec<Vec<u8>>, usize), JournalError> {
    let disk = Disk::default();
    let content = Content { cached: bytes.to_vec(), durable: bytes.to_vec() };
    disk.0.borrow_mut().files.push(content);
    disk.0.borrow_mut().cached_names.insert(format.name.into(), 0);
    let (journal, records) = Journal::open(disk, format)?;
    Ok((records, usize::try_from(journal.length()).expect("fits")))
}

/// Guards against mistaking damage for a torn tail: a damaged durable record is reported, whichever byte is damaged.
#[test]
fn damage_is_reported_with_its_offset_and_a_torn_tail_is_truncated() {
    let disk = Disk::default();
    let (mut journal, _) = Journal::open(disk.clone(), FORMAT).expect("opens");
    let header_length = usize::try_from(journal.length()).expect("fits");
    let all: Vec<_> = (1..=5).map(record).collect();
    journal.append(&all).expect("appends");
    journal.sync().expect("syncs");
    let good = disk.0.borrow().files[0].cached.clone();
    assert_eq!(open_content(FORMAT, &good).expect("good"), (all.clone(), good.len()));
    for index in 0..good.len() {
        for bit in 0..8 {
            let mut damaged = good.clone();
            damaged[index] ^= 1 << bit;
            match open_content(FORMAT, &damaged) {
                Err(JournalError::Damaged { offset, .. }) => assert!(offset as usize <= index),
                Err(JournalError::WrongFormat { .. }) => assert!(index < header_length),
                other => panic!("bit {bit} of byte {index}: {other:?}"),
            }
        }
    }
    for cut in 0..good.len() {
        let (found, end) = open_content(FORMAT, &good[..cut]).expect("a torn tail is truncated");
        // Without a complete header the journal is created anew.
        let max_length = if cut < header_length { header_length } else { cut };
        assert!(all.starts_with(&found) && end <= max_length);
        assert!(cut >= header_length || found.is_empty());
        let mut zero_filled = good[..cut].to_vec();
        zero_filled.resize(good.len() + 9, 0);
        if cut >= header_length {
            let (found, _) = open_content(FORMAT, &zero_filled).expect("allocated space is not damage");
            assert!(all.starts_with(&found), "{cut}");
        }
    }
    let other = JournalFormat { version: 2, ..FORMAT };
    let error = open_content(other, &good).expect_err("another version");
    assert!(matches!(error, JournalError::WrongFormat { .. }) && error.to_string().contains("in version 2"));
}

#[test]
fn writes_beyond_the_maximum_length_are_rejected() {
    let disk = Disk::default();
    let (mut journal, _) = Journal::open(disk, FORMAT).expect("opens");
    let error = journal.append(&[vec![1; 5000]]).expect_err("too long");
    assert_eq!(error.kind(), io::ErrorKind::FileTooLarge);
    assert!(journal.replace(&[vec![1; 5000]]).is_err());
    journal.append(&[vec![1; 3000]]).expect("within the maximum length");
}

/// Guards against an implementation of `Files` for the system's files that deviates from the simulated disk.
#[test]
fn a_journal_in_a_folder_is_found_again() {
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
    assert_eq!(
        std::fs::read(path.join(COUNCIL.name)).expect("reads"),
        FORMER_BUILD,
        "opening does not change the file"
    );
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

/// Guards against an upgrade that mistakes a torn tail of the former build for damage, or for a record.
#[test]
fn a_torn_tail_of_the_former_build_is_truncated() {
    let (complete, length) = open_content(COUNCIL, FORMER_BUILD).expect("opens");
    assert_eq!((complete.len(), length), (3, FORMER_BUILD.len()));
    let last_record = FORMER_BUILD.len() - complete[2].len() - 12;
    let with_suffix = |suffix: &[u8]| [FORMER_BUILD, suffix].concat();
    let torn_record = &FORMER_BUILD[last_record..FORMER_BUILD.len() - 3];
    for (content, record_count, kept_bytes) in [
        // The last record is cut short.
        (FORMER_BUILD[..FORMER_BUILD.len() - 1].to_vec(), 2, last_record),
        (FORMER_BUILD[..last_record + 5].to_vec(), 2, last_record),
        // A further record is cut short, or only its space was allocated.
        (with_suffix(torn_record), 3, FORMER_BUILD.len()),
        (with_suffix(&[0; 64]), 3, FORMER_BUILD.len()),
        (with_suffix(&[torn_record, &[0; 400]].concat()), 3, FORMER_BUILD.len()),
    ] {
        let (found, length) = open_content(COUNCIL, &content).expect("a torn tail");
        assert_eq!((found.as_slice(), length), (&complete[..record_count], kept_bytes));
    }
}
