use super::*;

fn error(text: &str) -> String {
    parse(text.as_bytes()).expect_err(text).to_string()
}

#[test]
fn absent_keys_have_defaults() {
    assert_eq!(parse(b"").expect("empty"), OperatorConfig::default());
    assert_eq!(parse(b"[limits]\n").expect("an empty table"), OperatorConfig::default());
    let limits = parse(b"[limits]\nbody = \"128KiB\"\nidle_wait = \"1m\"\n").expect("two keys").limits;
    assert_eq!((limits.body, limits.idle_wait), (128 << 10, Duration::from_secs(60)));
    assert_eq!(limits.head, Limits::default().head);
}

#[test]
fn faults_are_reported_with_their_position() {
    for (text, place, field) in [
            ("[limits]\nbady = \"1KiB\"\n", "2:1: ", "bady"),
            ("[limit]\n", "1:2: ", "limit"),
            ("[limits]\nbody = 7\n", "2:8: ", "limits.body"),
            ("[limits]\nbody = [\"1KiB\"]\n", "2:8: ", "limits.body"),
            ("[limits]\n  idle_wait = \"10 s\"\n", "2:15: ", "limits.idle_wait"),
            ("[limits]\nidle_wait = \"10h\"\n", "2:13: ", "limits.idle_wait"),
            ("[limits]\nidle_wait = \"s\"\n", "2:13: ", "limits.idle_wait"),
            ("[limits]\nidle_wait = \"-1s\"\n", "2:13: ", "limits.idle_wait"),
            ("[limits]\nidle_wait = \"99999999999999999999s\"\n", "2:13: ", "limits.idle_wait"),
            ("[limits]\nidle_wait = \"9999999999999999999m\"\n", "2:13: ", "limits.idle_wait"),
            ("[limits]\nhead = \"2MiB\"\n", "2:8: ", "limits.head"),
            ("[limits]\nbody = \"1KiB\"\nbody = \"2KiB\"\n", "3:1: ", "duplicate"),
            ("[limits\n", "1:", ""),
            ("[daemon]\npid_file = \"\"\n", "2:12: ", "daemon.pid_file"),
            ("[daemon]\ntakeover = 3\n", "2:12: ", "daemon.takeover"),
            ("[daemon]\nserving = \"400ms\"\n", "", "daemon.serving: 400ms is before accepting, 500ms"),
            ("# \u{e9}\u{e9}\nlimits = 3\n", "2:10: ", "limits"),
            ("[registry]\ndiscovery = false\n", "", "registry.discovery: is off, and there is no other source"),
            ("[[consul]]\nname = \"a\"\n", "1:1: ", "service"),
            ("[[consul]]\nname = \"a\"\nservice = \"s\"\nagents = [\"here\"]\n", "4:11: ", "consul[0].agents"),
            ("[[consul]]\nname = \"a\"\nservice = \"s\"\nagents = []\n", "4:10: ", "consul[0].agents"),
            (
                "[[consul]]\nname = \"a\"\nservice = \"s\"\nagents = [\"127.0.0.1:1\"]\nlist = \"all\"\n",
                "5:8: ",
                "consul[0].list: \"all\" is not one of health, catalogue",
            ),
            ("[[static]]\nid = \"a\"\naddr = \"127.0.0.1:1\"\ncell = 70000\n", "4:8: ", "static[0].cell"),
            (
                "[[static]]\nid = \"a\"\naddr = \"127.0.0.1:1\"\n[[static]]\nid = \"a\"\naddr = \"127.0.0.1:2\"\n",
                "5:6: ",
                "static[1].id: duplicate name \"a\"",
            ),
            ("[fastcgi]\nlisten = [\"nowhere\"]\n", "2:11: ", "fastcgi.listen"),
            ("[fastcgi]\nrequests = 0\n", "2:12: ", "fastcgi.requests"),
            ("[fastcgi]\nmultiplex = 1001\n", "2:13: ", "fastcgi.multiplex"),
            ("[budget]\ntrust = [\"all\"]\n", "2:10: ", "budget.trust: \"all\" is not one of http, fastcgi"),
            ("[budget]\nretries = 1000000\n", "2:11: ", "budget.retries"),
            ("[budget]\nrepeat_worth = inf\n", "2:16: ", "budget.repeat_worth"),
            ("[budget]\npool = \"\"\n", "2:8: ", "budget.pool"),
            ("[budget.names]\npath = \"Via\"\n", "2:8: ", "budget.names.path"),
            ("[budget.names]\npath = \"req-id\"\n", "budget.names", "is reserved or used twice"),
            ("[fastcgi.names]\nid = \"req-id\"\n", "2:6: ", "fastcgi.names.id"),
        ] {
            let error = error(text);
            assert!(error.starts_with(place) && error.contains(field), "{text:?}: {error}");
            assert_eq!(error.lines().count(), 1, "{error}");
        }
    let bytes = parse(b"[limits]\n# \xff\n").expect_err("not UTF-8").to_string();
    assert_eq!(bytes, "2:3: is not UTF-8");
}

#[test]
fn keys_that_a_reload_cannot_change_are_reported() {
    let next = parse(b"[limits]\nhead = \"32KiB\"\nbody = \"1MiB\"\n").expect("good");
    assert_eq!(OperatorConfig::default().fixed(&next), ["limits.head"]);
    assert!(next.fixed(&next.clone()).is_empty());
}

/// Guards against a key that the example omits, and against a wrong default in it.
#[test]
fn the_example_documents_every_key_with_its_default() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../deploy/herondock.example.toml");
    assert_eq!(read(&path).expect("the example is good"), OperatorConfig::default());
    let text = std::fs::read_to_string(path).expect("the example");
    for (key, default) in [Limits::defaults(), Daemon::defaults()].concat() {
        let wanted = match default {
            Some(default) => format!("\n{key} = \"{default}\"\n"),
            // Absent by default: commented out in the example.
            None => format!("\n#{key} = \""),
        };
        assert!(text.contains(&wanted), "{wanted:?}");
    }
}

/// Guards against invalid tables in the example: everything that is commented out is parsed too.
#[test]
fn commented_out_tables_of_the_example_are_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../deploy/herondock.example.toml");
    let text = std::fs::read_to_string(path).expect("the example");
    // Commented-out keys and tables follow the `#` directly; explanations follow it after a space.
    let uncomment = |line: &str| match line.strip_prefix('#') {
        Some(rest) if !rest.starts_with(' ') && !rest.is_empty() => format!("{rest}\n"),
        _ => format!("{line}\n"),
    };
    let config = parse(text.lines().map(uncomment).collect::<String>().as_bytes()).expect("good");
    let consul = &config.registry.consul[0];
    assert_eq!((&*consul.name, consul.datacentres == crate::discovery::Datacentres::Own), ("portal", false));
    assert!(
        consul.registration.is_some()
            && config.registry.static_endpoints.len() == 1
            && config.fastcgi.params.len() == 2
    );
    assert!(config.budget.pool.is_some() && config.budget.secret_file.is_some());
    let minimal =
        parse(b"[[consul]]\nname = \"a\"\nservice = \"s\"\nagents = [\"127.0.0.1:1\"]\n").expect("good");
    let minimal = &minimal.registry.consul[0];
    assert_eq!(
        (consul.wait, consul.min_poll_interval, consul.initial_backoff),
        (minimal.wait, minimal.min_poll_interval, minimal.initial_backoff)
    );
    assert_eq!(
        (consul.regrow_timeout, consul.max_staleness),
        (minimal.regrow_timeout, minimal.max_staleness)
    );
}

#[test]
fn unreadable_files_are_rejected() {
    let here = Path::new(env!("CARGO_MANIFEST_DIR"));
    assert!(read(here).expect_err("a directory").to_string().ends_with("is a directory"));
    assert!(read(&here.join("none")).is_err());
    assert!(read(Path::new("/dev/zero"))
        .expect_err("endless")
        .to_string()
        .ends_with("is not a regular file"));
    let large = std::env::temp_dir().join(format!("herondock-large-{}.toml", std::process::id()));
    std::fs::write(&large, vec![b'#'; 10 << 20]).expect("writes");
    let error = read(&large).expect_err("10 MiB");
    std::fs::remove_file(&large).expect("removes");
    assert!(error.to_string().ends_with("is larger than 1048576 bytes"), "{error}");
}

/// Guards against a limit below the size of real fleets: 2,000 endpoints are accepted, and a list above the limit is
/// rejected.
#[test]
fn static_endpoints_are_accepted_up_to_the_limit() {
    let endpoints_of = |count: u16| {
        let entry = |k| format!("[[static]]\nid = \"s-{k}\"\naddr = \"127.0.0.1:{}\"\n", 1024 + k);
        parse((0..count).map(entry).collect::<String>().as_bytes())
    };
    assert_eq!(endpoints_of(2000).expect("good").registry.static_endpoints.len(), 2000);
    let fault = endpoints_of(4097).expect_err("too many").to_string();
    assert!(fault.contains("static") && fault.contains("more than 4096"), "{fault}");
}

/// Guards against reading a mixture of an old and a new file while a writer replaces it repeatedly.
#[test]
fn a_concurrently_replaced_file_is_read_consistently() {
    let path = std::env::temp_dir().join(format!("herondock-replaced-{}.toml", std::process::id()));
    let text = |wait: &str| format!("# {}\n[limits]\nrequest_wait = \"{wait}\"\n", wait.repeat(20_000));
    let both = ["1s", "22s"];
    let replace = |n: usize| {
        let next = path.with_extension("next");
        std::fs::write(&next, text(both[n % 2])).and_then(|()| std::fs::rename(&next, &path))
    };
    replace(0).expect("writes");
    std::thread::scope(|scope| {
        let writer = scope.spawn(|| (1..200).all(|n| replace(n).is_ok()));
        while !writer.is_finished() {
            let got = read(&path).expect("one of the two").limits.request_wait;
            assert!(got == Duration::from_secs(1) || got == Duration::from_secs(22), "{got:?}");
        }
        assert!(writer.join().expect("no panic"));
    });
    std::fs::remove_file(&path).expect("removes");
}
