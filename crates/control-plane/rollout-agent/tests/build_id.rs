//! Builds are identified by their content.
use rollout::BuildId;
use rollout_agent::build_id::{of_file, verify};
use std::os::unix::fs::PermissionsExt;

#[test]
fn a_build_is_identified_by_its_content_and_not_by_its_path() {
    let folder = std::env::temp_dir().join(format!("herondock-build-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("creates");
    let path = folder.join("a");
    std::fs::write(&path, "abc").expect("writes");
    assert!(of_file(&path).expect_err("not executable").to_string().contains("may not be run"));
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).expect("sets");
    let build = of_file(&path).expect("a build");
    // Test vector of FIPS 180-4 for `abc`.
    assert_eq!(build.0, "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    verify(&path, &build).expect("the same build");
    assert!(verify(&path, &BuildId("00".into())).is_err() && of_file(&folder).is_err());
    std::fs::remove_dir_all(&folder).expect("removes");
}
