//! A journal: records appended one behind the other, promised once the disk has them. A whole new one takes the place of
//! the old one in one step.
//!
//! ```text
//! herondock-journal 1 KIND VERSION CRC32\n
//! LENGTH CRC32-OF-CONTENT CRC32-OF-THIS-HEAD CONTENT   for each record: three numbers of 32 bits, low byte first
//! ```
//!
//! What a crash can leave at the end, a record that is cut short or of which nothing but zeros came to the disk, was
//! never promised and is cut off. Anything else that does not fit is damage: named with the file and the place in it,
//! and nothing behind it is taken.
use crate::files::Files;
use std::fmt;
use std::io;

const MAGIC: &str = "herondock-journal 1";
/// Longest first line.
const LINE_MOST: usize = 160;
/// Bytes before a record's content.
const HEAD: usize = 12;
/// So many zeros at the end of a file are room that was made for what did not come.
const ZEROS: usize = 8;
/// Longest record, in bytes.
pub const MAX_RECORD_BYTES: usize = 128 << 20;

/// Why a journal is not taken as it is.
#[derive(Debug)]
pub enum JournalError {
    /// The system's word.
    Io(io::Error),
    /// It is no journal of this kind and version.
    Foreign(String),
    /// A record that was promised does not fit what was written, at this byte.
    Damaged {
        /// The file.
        name: String,
        /// Where the record begins, in bytes.
        at: u64,
        /// What does not fit.
        what: &'static str,
    },
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JournalError::Io(e) => write!(f, "{e}"),
            JournalError::Foreign(what) => write!(f, "{what}"),
            JournalError::Damaged { name, at, what } => write!(f, "{name}: damaged at byte {at}: {what}"),
        }
    }
}

impl std::error::Error for JournalError {}

impl From<io::Error> for JournalError {
    fn from(e: io::Error) -> JournalError {
        JournalError::Io(e)
    }
}

/// What a journal is called and holds.
#[derive(Clone, Copy, Debug)]
pub struct JournalFormat {
    /// The file's name in its folder.
    pub name: &'static str,
    /// Of what it is: letters, digits and `-`.
    pub kind: &'static str,
    /// In which form.
    pub version: u32,
    /// Longest file, in bytes.
    pub most: u64,
}

impl JournalFormat {
    fn line(&self) -> Vec<u8> {
        let head = format!("{MAGIC} {} {}", self.kind, self.version);
        format!("{head} {:08x}\n", crc32fast::hash(head.as_bytes())).into_bytes()
    }

    fn beside(&self) -> String {
        format!("{}.new", self.name)
    }
}

/// A journal that is open.
pub struct Journal<F: Files> {
    files: F,
    form: JournalFormat,
    file: F::Open,
    /// Up to here the disk has it; `None`: it may be the old one or the new one that took its place.
    promised: Option<u64>,
    /// Up to here it is written.
    written: u64,
}

fn framed(records: &[Vec<u8>], into: &mut Vec<u8>) -> io::Result<()> {
    for record in records {
        let length = u32::try_from(record.len()).ok().filter(|&n| n as usize <= MAX_RECORD_BYTES);
        let length = length.ok_or(io::ErrorKind::FileTooLarge)?;
        debug_assert!(length > 0, "an empty record can't be told from room");
        let mut head = [0; HEAD];
        head[..4].copy_from_slice(&length.to_le_bytes());
        head[4..8].copy_from_slice(&crc32fast::hash(record).to_le_bytes());
        let sum = crc32fast::hash(&head[..8]);
        head[8..].copy_from_slice(&sum.to_le_bytes());
        into.extend_from_slice(&head);
        into.extend_from_slice(record);
    }
    Ok(())
}

/// The records of a file, and where the last whole one ends.
fn records(form: &JournalFormat, bytes: &[u8]) -> Result<(Vec<Vec<u8>>, u64), JournalError> {
    let line = form.line();
    if bytes.len() < line.len() && line.starts_with(bytes) {
        // Begun, and nothing promised yet.
        return Ok((Vec::new(), 0));
    }
    if !bytes.starts_with(&line) {
        let said = bytes.iter().take(LINE_MOST).take_while(|&&b| b != b'\n').copied().collect::<Vec<_>>();
        let said = String::from_utf8_lossy(&said).into_owned();
        return Err(JournalError::Foreign(format!(
            "{}: is no {} in version {}: {said:?}",
            form.name, form.kind, form.version
        )));
    }
    let mut all = Vec::new();
    let mut at = line.len();
    while at < bytes.len() {
        let rest = &bytes[at..];
        let damaged = |what| JournalError::Damaged { name: form.name.into(), at: at as u64, what };
        // What a crash leaves of a record that was being written: a part of it, or room for it without its content.
        let number = |k: usize| u32::from_le_bytes([rest[k], rest[k + 1], rest[k + 2], rest[k + 3]]);
        if rest.len() < HEAD || rest.iter().all(|&b| b == 0) {
            break;
        }
        if number(8) != crc32fast::hash(&rest[..8]) {
            match rest.len() > HEAD && rest[HEAD..].iter().all(|&b| b == 0) {
                true => break,
                false => return Err(damaged("its head does not fit its checksum")),
            }
        }
        let length = number(0) as usize;
        let Some(content) = rest[HEAD..].get(..length) else { break };
        if number(4) != crc32fast::hash(content) {
            // A tail of zeros behind some of it: room that was made for what did not come.
            let zeros = rest.iter().rev().take_while(|&&b| b == 0).count();
            match zeros >= ZEROS && zeros > rest.len() - HEAD - length {
                true => break,
                false => return Err(damaged("its content does not fit its checksum")),
            }
        }
        all.push(content.to_vec());
        at += HEAD + length;
    }
    Ok((all, at as u64))
}

impl<F: Files> Journal<F> {
    /// Opens the journal: what was promised, in order. What a crash left unfinished is cut off, also on the disk.
    ///
    /// # Errors
    /// It can't be read or written, is of another kind, or is damaged.
    pub fn open(mut files: F, form: JournalFormat) -> Result<(Journal<F>, Vec<Vec<u8>>), JournalError> {
        let bytes = files.read(form.name, form.most.saturating_mul(2))?.unwrap_or_default();
        let (all, end) = records(&form, &bytes)?;
        let mut file = files.open(form.name)?;
        let line = form.line();
        let mut written = end;
        if end == 0 {
            files.cut(&mut file, 0)?;
            files.write(&mut file, 0, &line)?;
            written = line.len() as u64;
        } else if end < bytes.len() as u64 {
            files.cut(&mut file, end)?;
        }
        // Also where nothing was cut: what was read may be with the system alone, and is promised from here on.
        files.sync(&mut file)?;
        files.sync_names()?;
        Ok((Journal { files, form, file, promised: Some(written), written }, all))
    }

    /// Whether it is as it was promised, and can be gone on with: after a replacement that failed before its end.
    pub fn intact(&self) -> bool {
        self.promised == Some(self.written)
    }

    /// Bytes that it holds.
    pub fn length(&self) -> u64 {
        self.written
    }

    /// Writes records behind the last one. Nothing is promised yet.
    ///
    /// # Errors
    /// The system's, or it would become longer than it may. Only [`Journal::recover`] helps then.
    pub fn append(&mut self, records: &[Vec<u8>]) -> io::Result<()> {
        let mut bytes = Vec::new();
        framed(records, &mut bytes)?;
        if self.written + bytes.len() as u64 > self.form.most {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        self.files.write(&mut self.file, self.written, &bytes)?;
        self.written += bytes.len() as u64;
        Ok(())
    }

    /// Waits until the disk has all that was appended: from here on it is promised.
    ///
    /// # Errors
    /// The system's. What the disk has is unknown then; only [`Journal::recover`] helps.
    pub fn sync(&mut self) -> io::Result<()> {
        self.files.sync(&mut self.file)?;
        self.promised = Some(self.written);
        Ok(())
    }

    /// Puts a journal of these records in the place of this one, in one step: a crash leaves the old or the new one.
    ///
    /// # Errors
    /// The system's, or they are too long. The old one stands, with what was promised of it.
    pub fn replace(&mut self, records: &[Vec<u8>]) -> io::Result<()> {
        let mut bytes = self.form.line();
        framed(records, &mut bytes)?;
        if bytes.len() as u64 > self.form.most {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        let beside = self.form.beside();
        let mut file = self.files.open(&beside)?;
        let mut written = || {
            self.files.cut(&mut file, 0)?;
            self.files.write(&mut file, 0, &bytes)?;
            self.files.sync(&mut file)
        };
        if let Err(e) = written() {
            // What was written of it is no use to anybody, and takes room that may be short.
            let _ = self.files.cut(&mut file, 0);
            return Err(e);
        }
        self.promised = None;
        self.files.rename(&beside, self.form.name)?;
        self.files.sync_names()?;
        (self.file, self.written) = (file, bytes.len() as u64);
        self.promised = Some(self.written);
        Ok(())
    }

    /// After an error: goes back to what was promised, and shows that there is room again, for so many bytes. Then the
    /// journal is as if it had been opened anew; its records are returned.
    ///
    /// # Errors
    /// There is still no room, or the file is not what was promised.
    pub fn recover(&mut self, room: usize) -> Result<Vec<Vec<u8>>, JournalError> {
        // By name: after a rename that may have happened it is perhaps not the one that is open.
        let mut file = self.files.open(self.form.name)?;
        self.files.sync_names()?;
        let bytes = self.read()?;
        let (_, end) = records(&self.form, &bytes)?;
        // What was written and not promised may be there after the next crash or not: it is cut off. Of one that took
        // the other's place all was on the disk before.
        let kept = self.promised.unwrap_or(end);
        if end < kept || end == 0 {
            let what = "records that were promised are gone";
            return Err(JournalError::Damaged { name: self.form.name.into(), at: end, what });
        }
        self.files.cut(&mut file, kept)?;
        let tried = self.files.write(&mut file, kept, &vec![0; room]);
        let tried = tried.and_then(|()| self.files.sync(&mut file));
        self.files.cut(&mut file, kept)?;
        tried?;
        self.files.sync(&mut file)?;
        (self.file, self.written, self.promised) = (file, kept, Some(kept));
        let bytes = self.read()?;
        Ok(records(&self.form, &bytes)?.0)
    }

    fn read(&mut self) -> io::Result<Vec<u8>> {
        Ok(self.files.read(self.form.name, self.form.most.saturating_mul(2))?.unwrap_or_default())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::RefCell;
    use std::collections::BTreeMap;
    use std::rc::Rc;

    const FORM: JournalFormat = JournalFormat { name: "log", kind: "test", version: 1, most: 4096 };

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

        fn read(&mut self, name: &str, most: u64) -> io::Result<Option<Vec<u8>>> {
            let s = self.step()?;
            let bytes = s.names.get(name).map(|&f| s.files[f].now.clone());
            assert!(bytes.as_ref().is_none_or(|b| b.len() as u64 <= most));
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

        fn cut(&mut self, f: &mut usize, length: u64) -> io::Result<()> {
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

        fn sync_names(&mut self) -> io::Result<()> {
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
        let (mut journal, _) = Journal::open(disk.clone(), FORM)?;
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
                let (_, found) = Journal::open(disk.clone(), FORM).expect("no damage");
                // Either the journal of the last promise with a part of what was appended since, or the one in its place.
                let grown = found.starts_with(&promised) && found.len() <= promised.len() + 2;
                let replaced = all.starts_with(&found) && found.len() + 1 >= all.len();
                assert!(grown || replaced, "step {at}, {part}, {names}: {found:?} of {promised:?}, {all:?}");
                // And it goes on from there.
                let (mut journal, before) = Journal::open(disk.clone(), FORM).expect("opens");
                journal.append(&[record(99)]).expect("appends");
                journal.sync().expect("syncs");
                let after = Journal::open(disk, FORM).expect("opens").1;
                assert!(after.len() == before.len() + 1 && after.last() == Some(&record(99)));
            }
        }
    }

    /// Guards against a full disk after which something is lost, half there, or never works again.
    #[test]
    fn a_full_disk_loses_nothing_that_was_promised_and_room_brings_it_back() {
        for room in 0..400 {
            let disk = Disk::default();
            let (mut journal, _) = Journal::open(disk.clone(), FORM).expect("opens");
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
            assert_eq!(Journal::open(disk, FORM).expect("opens").1, promised);
        }
    }

    /// Guards against taking damage for the end: what was promised is named as gone, whatever byte of it is not as it was.
    #[test]
    fn damage_is_named_with_its_place_and_a_torn_end_is_none() {
        let disk = Disk::default();
        let (mut journal, _) = Journal::open(disk.clone(), FORM).expect("opens");
        let all: Vec<_> = (1..=5).map(record).collect();
        journal.append(&all).expect("appends");
        journal.sync().expect("syncs");
        let good = disk.0.borrow().files[0].now.clone();
        assert_eq!(records(&FORM, &good).expect("good").0, all);
        for at in 0..good.len() {
            for bit in 0..8 {
                let mut bad = good.clone();
                bad[at] ^= 1 << bit;
                match records(&FORM, &bad) {
                    Err(JournalError::Damaged { at: place, .. }) => assert!(place as usize <= at),
                    Err(JournalError::Foreign(_)) => assert!(at < FORM.line().len()),
                    got => panic!("bit {bit} of byte {at}: {got:?}"),
                }
            }
        }
        for cut in 0..good.len() {
            let (found, end) = records(&FORM, &good[..cut]).expect("a torn end is cut off");
            assert!(all.starts_with(&found) && end as usize <= cut);
            let mut zeros = good[..cut].to_vec();
            zeros.resize(good.len() + 9, 0);
            if cut >= FORM.line().len() {
                let (found, _) = records(&FORM, &zeros).expect("room without content is none");
                assert!(all.starts_with(&found), "{cut}");
            }
        }
        let other = JournalFormat { version: 2, ..FORM };
        assert!(
            matches!(records(&other, &good), Err(JournalError::Foreign(what)) if what.contains("in version 2"))
        );
    }

    #[test]
    fn it_has_a_bound_and_says_so() {
        let disk = Disk::default();
        let (mut journal, _) = Journal::open(disk, FORM).expect("opens");
        let error = journal.append(&[vec![1; 5000]]).expect_err("too long");
        assert_eq!(error.kind(), io::ErrorKind::FileTooLarge);
        assert!(journal.replace(&[vec![1; 5000]]).is_err());
        journal.append(&[vec![1; 3000]]).expect("there is room for this");
    }

    /// The system's files do what the seam asks of them.
    #[test]
    fn in_a_folder_it_is_found_again() {
        use crate::files::Folder;
        let path = std::env::temp_dir().join(format!("herondock-journal-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        let open = || Journal::open(Folder::new(&path).expect("a folder"), FORM).expect("opens");
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
}
