//! What tells one build from another: the SHA-256 (FIPS 180-4) of the file that its processes are started from.
use rollout::BuildId;
use sha2::{Digest, Sha256};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

/// How much of a file is read at once.
const READ_BUFFER_BYTES: usize = 256 << 10;

/// The build that lies at a path.
///
/// # Errors
/// It can't be read, or is no file that can be run.
pub fn of_file(path: &Path) -> Result<BuildId, String> {
    let named = |e: io::Error| format!("{}: {e}", path.display());
    let kind = std::fs::metadata(path).map_err(named)?;
    if !kind.is_file() {
        return Err(format!("{}: is no file", path.display()));
    }
    use std::os::unix::fs::PermissionsExt;
    if kind.permissions().mode() & 0o111 == 0 {
        return Err(format!("{}: may not be run", path.display()));
    }
    let mut file = File::open(path).map_err(named)?;
    let (mut hash, mut piece) = (Sha256::new(), vec![0; READ_BUFFER_BYTES]);
    loop {
        match file.read(&mut piece) {
            Ok(0) => break,
            Ok(n) => hash.update(&piece[..n]),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(named(e)),
        }
    }
    let mut text = String::with_capacity(64);
    for byte in hash.finalize() {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    Ok(BuildId(text))
}

/// Whether this build lies at a path.
///
/// # Errors
/// It can't be read, or is another.
pub fn verify(path: &Path, build: &BuildId) -> Result<(), String> {
    match of_file(path)? {
        found if found == *build => Ok(()),
        found => Err(format!("{}: is build {}, and not {}", path.display(), short(&found), short(build))),
    }
}

/// A build in a few letters.
pub fn short(build: &BuildId) -> &str {
    build.0.get(..12).unwrap_or(&build.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_build_is_told_by_what_it_holds_and_not_by_its_name() {
        let folder = std::env::temp_dir().join(format!("herondock-build-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("creates");
        let path = folder.join("a");
        std::fs::write(&path, "abc").expect("writes");
        assert!(of_file(&path).expect_err("not to be run").contains("may not be run"));
        use std::os::unix::fs::PermissionsExt;
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).expect("sets");
        let build = of_file(&path).expect("a build");
        // The example of FIPS 180-4.
        assert_eq!(build.0, "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
        assert_eq!(verify(&path, &build), Ok(()));
        assert!(verify(&path, &BuildId("00".into())).is_err() && of_file(&folder).is_err());
        std::fs::remove_dir_all(&folder).expect("removes");
    }
}
