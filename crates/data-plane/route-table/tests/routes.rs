//! Tests of compiled tables against a linear search, and of proofs against brute force.
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use route_table::cube::{Cube, Query};
use route_table::diff::diff;
use route_table::expect::prove;
use route_table::path::{segments, AmbiguousPath};
use route_table::pattern::Pattern;
use route_table::spec::*;
use route_table::split::choose;
use route_table::table::{cube, Table};

fn place(line: usize) -> SourceLocation {
    SourceLocation { file: "routes.toml".into(), line }
}

fn known_names() -> KnownNames {
    let text = |all: &[&str]| all.iter().map(|s| s.to_string()).collect();
    KnownNames {
        classes: text(&["alta", "pago"]),
        clubs: text(&["ribera", "alamos", "ceibo"]),
        keyed: vec![true, false],
        zones: text(&["caba-1"]),
        kinds: text(&["std", "lento"]),
    }
}

fn pool(name: &str, cells: &[u16]) -> Pool {
    let (zones, kinds) = (Vec::new(), Vec::new());
    Pool {
        name: name.into(),
        place: place(1),
        cells: cells.into(),
        zones,
        kinds,
        speaks: None,
        sources: Vec::new(),
        meta: Vec::new(),
    }
}

fn route(name: &str, precedence: i64, when: Conditions, to: Destination) -> Route {
    let (attempts, time_ms, fallback) = (None, None, None);
    Route { name: name.into(), place: place(10), precedence, when, to, attempts, time_ms, fallback }
}

fn to(pool: &str) -> Destination {
    Destination::Pool(pool.into())
}

fn club(name: &str) -> Conditions {
    Conditions { clubs: vec![name.into()], ..Conditions::default() }
}

fn path(text: &str) -> Conditions {
    Conditions { path: Some(text.into()), ..Conditions::default() }
}

fn table(routes: Vec<Route>) -> Result<Table, Vec<TableError>> {
    Table::new(known_names(), vec![pool("main", &[1, 2]), pool("own", &[3]), pool("canary", &[4])], routes)
}

fn expect(name: &str, when: Conditions, claim: Claim) -> Expectation {
    Expectation {
        name: name.into(),
        place: SourceLocation { file: "expect.toml".into(), line: 7 },
        when,
        claim,
    }
}

fn errors_of(result: Result<Table, Vec<TableError>>) -> String {
    let errors = result.expect_err("a fault");
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

#[test]
fn faults_are_named_with_file_line_and_field() {
    let any = Conditions::default;
    for (routes, wanted) in [
        (vec![route("a", 0, any(), to("none"))], "routes.toml:10: route a.to: there is no pool \"none\""),
        (vec![route("a", 0, club("gone"), to("main"))], "route a.club: there is no \"gone\""),
        (vec![route("a", 0, Conditions { classes: vec!["x".into()], ..any() }, to("main"))], "route a.class"),
        (vec![route("a", 0, path("/a/../b"), to("main"))], "route a.path: the path has a segment . or .."),
        (vec![route("a", 0, path("/a*"), to("main"))], "route a.path: has a *"),
        (vec![route("a", 0, Conditions { host: Some("a..b".into()), ..any() }, to("main"))], "route a.host"),
        (
            vec![route(
                "a",
                0,
                Conditions { headers: vec![("X-A".into(), HeaderCondition::Present(true))], ..any() },
                to("main"),
            )],
            "route a.headers",
        ),
        (
            vec![route(
                "a",
                0,
                any(),
                Destination::Split(SplitKey::Key, vec![("main".into(), 9000), ("own".into(), 999)]),
            )],
            "route a.split: the parts sum to 9999",
        ),
        (
            vec![route(
                "a",
                0,
                any(),
                Destination::Split(SplitKey::Id, vec![("main".into(), 9000), ("own".into(), 1000)]),
            )],
            "route a.split_by: retries of class alta would go to a pool that can't deduplicate them",
        ),
        (vec![route("a", 0, any(), to("main")), route("a", 1, any(), to("main"))], "duplicate name \"a\""),
        (
            vec![route("a", 0, path("/x/{y}"), to("main")), route("b", 0, path("/{x}/y"), to("own"))],
            "route b: has the same precedence as route \"a\" in line 10, and both match GET /x/y",
        ),
        (
            vec![
                route("a", 0, path("/x/*"), to("main")),
                route("b", 1, club("ribera"), to("own")),
                route("c", 2, Conditions { path: Some("/x/y".into()), ..club("alamos") }, to("own")),
            ],
            "route c: can never match: hidden by a",
        ),
        // Hidden by two routes together.
        (
            vec![
                route("a", 0, Conditions { keyed: Some(true), ..any() }, to("main")),
                route("b", 1, Conditions { keyed: Some(false), ..path("/x/*") }, to("main")),
                route("c", 2, path("/x/{any}"), to("own")),
            ],
            "route c: can never match: hidden by a, b",
        ),
    ] {
        let text = errors_of(table(routes));
        assert!(text.contains(wanted), "{text:?} lacks {wanted:?}");
    }
    let empty = Pool { kinds: vec!["none".into()], ..pool("empty", &[]) };
    let text = errors_of(Table::new(known_names(), vec![empty], Vec::new()));
    assert!(
        text.contains("pool empty.kinds: there is no \"none\", so the pool would have no members"),
        "{text}"
    );
}

#[test]
fn a_pool_has_the_members_that_meet_every_condition() {
    let text = |all: &[&str]| all.iter().map(|s| s.to_string()).collect::<Vec<_>>();
    let all = Pool {
        zones: text(&["caba-1"]),
        kinds: text(&["std"]),
        speaks: Some("http".into()),
        sources: text(&["consul portal", "static"]),
        meta: vec![("release".into(), "7".into())],
        ..pool("p", &[1, 2])
    };
    let sources: [std::sync::Arc<str>; 2] = ["discovery".into(), "static".into()];
    let meta = std::collections::BTreeMap::from([("release".to_string(), "7".to_string())]);
    let good =
        Traits { cell: 2, zone: "caba-1", kind: "std", speaks: "http", sources: &sources, meta: &meta };
    let none = std::collections::BTreeMap::new();
    assert!(all.has(&good) && pool("any", &[]).has(&good));
    for bad in [
        Traits { cell: 3, ..good },
        Traits { zone: "", ..good },
        Traits { kind: "lento", ..good },
        Traits { speaks: "fastcgi", ..good },
        Traits { sources: &sources[..1], ..good },
        Traits { meta: &none, ..good },
    ] {
        assert!(!all.has(&bad) && pool("any", &[]).has(&bad), "{bad:?}");
    }
}

/// Guards against bypassing a route with an ambiguous path: such paths are rejected, and all others have one normal form.
#[test]
fn ambiguous_paths_are_rejected() {
    for (text, wanted) in [
        ("a", AmbiguousPath::Relative),
        ("/a/./b", AmbiguousPath::Dots),
        ("/a/..", AmbiguousPath::Dots),
        ("/a//b", AmbiguousPath::Empty),
        ("//a", AmbiguousPath::Empty),
        ("/%2e%2E/a", AmbiguousPath::Escape),
        ("/a%2Fb", AmbiguousPath::Escape),
        ("/a%5cb", AmbiguousPath::Escape),
        ("/%61", AmbiguousPath::Escape),
        ("/a%", AmbiguousPath::Escape),
        ("/a%zz", AmbiguousPath::Escape),
        ("/a%2", AmbiguousPath::Escape),
        ("/a%00", AmbiguousPath::Escape),
        ("/a%25", AmbiguousPath::Escape),
        ("/a%\u{e9}1", AmbiguousPath::Escape),
        ("/a\\b", AmbiguousPath::Backslash),
        ("/admin;x=1/a", AmbiguousPath::Parameters),
        ("/admin%3bx", AmbiguousPath::Escape),
    ] {
        assert_eq!(segments(text), Err(wanted), "{text:?}");
    }
    assert_eq!(segments(&"/a".repeat(65)), Err(AmbiguousPath::Long));
    assert_eq!(segments("/a/b/").expect("clear"), ["a", "b", ""]);
    assert_eq!(segments("/").expect("clear"), [""]);
    assert_eq!(segments("/%c3%b1/x").expect("clear"), ["%C3%B1", "x"]);
    assert!(Pattern::host("*.clubes.ar").expect("good").matches(&["ar", "clubes", "ribera"]));
    assert!(!Pattern::host("*.clubes.ar").expect("good").matches(&["ar", "clubes"]));
}

/// Proves each kind of expectation against a table that meets it and one that violates it, and rejects unknown names.
#[test]
fn expectations_hold_or_fail_with_an_example() {
    let split = |canary| {
        Destination::Split(SplitKey::Key, vec![("main".into(), 10_000 - canary), ("canary".into(), canary)])
    };
    let build = |last: Destination, own_path: &str| {
        let pay = Conditions { classes: vec!["pago".into()], ..club("ribera") };
        let once = Route { attempts: Some(1), ..route("dues", 0, pay, to("own")) };
        let admin = route("admin", 1, path("/api/admin/*"), Destination::Refuse("closed".into()));
        table(vec![
            once,
            admin,
            route("own", 2, path(own_path), to("own")),
            route("rest", 9, Conditions::default(), last),
        ])
    };
    let good = build(split(500), "/api/own/*").expect("good");
    let pays = |club: &str| Conditions {
        clubs: vec![club.into()],
        classes: vec!["pago".into()],
        ..Conditions::default()
    };
    for (claim, when, bad, why) in [
        (Claim::Only(vec!["own".into()]), pays("ribera"), None, ""),
        (Claim::Cells(vec![3]), pays("ribera"), None, ""),
        (Claim::NeverRetried, pays("ribera"), None, ""),
        (Claim::Refused, Conditions { clubs: vec!["ceibo".into()], ..path("/api/admin/x/*") }, None, ""),
        (Claim::Routed, Conditions::default(), None, ""),
        (
            Claim::AtMost("canary".into(), 500),
            Conditions::default(),
            Some(build(split(501), "/api/own/*")),
            "canary",
        ),
        (
            Claim::Only(vec!["main".into(), "canary".into()]),
            pays("alamos"),
            Some(build(split(0), "/api/own")),
            "own",
        ),
        (Claim::Only(vec!["main".into(), "canary".into(), "own".into()]), pays("alamos"), None, ""),
        (
            Claim::Apart,
            Conditions { clubs: vec!["ribera".into(), "ceibo".into()], ..path("/api/x") },
            None,
            "shared",
        ),
    ] {
        let e = expect("e", when, claim);
        let result = prove(&good, std::slice::from_ref(&e));
        match (&bad, &e.claim) {
            (None, Claim::Apart) => {
                let text = result.expect_err("they share main")[0].to_string();
                assert!(
                    text.contains("pool \"main\" is shared") || text.contains("pool \"canary\" is shared"),
                    "{text}"
                );
            }
            (None, _) => assert_eq!(result, Ok(()), "{e:?}"),
            (Some(bad), Claim::AtMost(..)) => {
                assert_eq!(result, Ok(()));
                let text = prove(bad.as_ref().expect("a table"), &[e]).expect_err("fails")[0].to_string();
                assert!(text.starts_with("expect.toml:7: expect e: GET /") && text.contains(why), "{text}");
            }
            (Some(_), _) => {
                let text = result.expect_err("fails")[0].to_string();
                assert!(
                    text.contains("GET /api/own, class pago, club alamos goes to own by route \"own\""),
                    "{text}"
                );
            }
        }
    }
    // The route by path lets other requests reach the pool.
    let only = expect("only", pays("ribera"), Claim::OnlyThese("own".into()));
    let text = prove(&good, std::slice::from_ref(&only)).expect_err("others reach it")[0].to_string();
    assert!(text.contains("/api/own"), "{text}");
    let narrow = table(vec![
        route("dues", 0, pays("ribera"), to("own")),
        route("rest", 9, Conditions::default(), to("main")),
    ]);
    assert_eq!(prove(&narrow.expect("good"), &[only]), Ok(()));
    // An unknown name is an error; the expectation does not hold trivially.
    for e in [
        expect("gone", club("gone"), Claim::Refused),
        expect("gone", Conditions { classes: vec!["gone".into()], ..Conditions::default() }, Claim::Routed),
        expect("gone", Conditions::default(), Claim::Only(vec!["gone".into()])),
        expect("gone", Conditions::default(), Claim::OnlyThese("gone".into())),
        expect("gone", Conditions::default(), Claim::AtMost("gone".into(), 1)),
    ] {
        let text = prove(&good, &[e]).expect_err("named")[0].to_string();
        assert!(text.contains("there is no") && text.contains("\"gone\""), "{text}");
    }
    // A table that leaves some requests without a route.
    let gap = table(vec![route("a", 0, path("/api/*"), to("main"))]).expect("good");
    let text = prove(&gap, &[expect("all", club("ceibo"), Claim::Routed)]).expect_err("a gap")[0].to_string();
    assert!(text.contains("club ceibo has no route"), "{text}");
}

#[test]
fn a_growing_canary_takes_only_its_share() {
    let position = |canary: u32, key: u32| {
        let pools = [("main", 10_000 - canary), ("canary", canary)];
        choose(pools.into_iter(), &key.to_le_bytes()).expect("one")
    };
    let keys = 0..100_000;
    let share = |canary| keys.clone().filter(|&k| position(canary, k) == 1).count();
    assert!((4_800..=5_200).contains(&share(500)) && (9_700..=10_300).contains(&share(1000)));
    let (mut gained, mut lost) = (0, 0);
    for k in keys.clone() {
        match (position(500, k), position(1000, k)) {
            (0, 1) => gained += 1,
            (1, 0) => lost += 1,
            _ => {}
        }
    }
    assert!(lost == 0 && (4_700..=5_300).contains(&gained), "{gained} gained, {lost} lost");
    assert_eq!(choose([("a", 0), ("b", 0)].into_iter(), b"x"), None);
    assert!(keys.clone().all(|k| position(0, k) == 0));
}

#[test]
fn a_diff_reports_moved_requests_and_lost_deduplication() {
    let old = table(vec![route("rest", 9, Conditions::default(), to("main"))]).expect("good");
    let new = table(vec![
        route("ribera", 0, club("ribera"), to("own")),
        route("rest", 9, Conditions::default(), to("main")),
    ])
    .expect("good");
    let (moves, is_complete) = diff(&old, &new, 100);
    assert!(is_complete && moves.len() == 1, "{moves:?}");
    assert_eq!((&*moves[0].from, &*moves[0].to, moves[0].leaves_its_group), ("main", "own", true));
    assert!(moves[0].example.contains("club ribera"), "{moves:?}");
    assert_eq!(diff(&new, &new, 100), (Vec::new(), true));
    let unkeyed = table(vec![
        route("pays", 0, Conditions { classes: vec!["pago".into()], ..club("ribera") }, to("own")),
        route("rest", 9, Conditions::default(), to("main")),
    ])
    .expect("good");
    assert!(!diff(&old, &unkeyed, 100).0[0].leaves_its_group);
}

/// A request for the brute-force tests: front end, method, class, tenant, whether it has a key, path and one header.
type SmallQuery = (usize, usize, usize, usize, bool, Vec<&'static str>, Option<&'static str>);

/// All requests that the brute-force tests try.
fn queries() -> Vec<SmallQuery> {
    let paths = [vec![""], vec!["a"], vec!["a", "b"], vec!["a", "c"], vec!["b", "b"], vec!["z", "z", "z"]];
    let mut all = Vec::new();
    for front in 0..2 {
        for class in 0..2 {
            for club in 0..3 {
                for keyed in [false, true] {
                    for path in &paths {
                        for header in [None, Some("1"), Some(""), Some("other")] {
                            all.push((front, class % 2, class, club, keyed, path.clone(), header));
                        }
                    }
                }
            }
        }
    }
    all
}

fn any_conditions() -> impl Strategy<Value = Conditions> {
    let sub = |all: &'static [&'static str]| proptest::sample::subsequence(all, 0..=all.len());
    let path = proptest::sample::select(vec![
        None,
        Some("/*"),
        Some("/a/*"),
        Some("/a"),
        Some("/a/b"),
        Some("/{x}/b"),
        Some("/a/{x}"),
        Some("/{x}/{y}/*"),
    ]);
    let header = proptest::sample::select(vec![0, 1, 2, 3]);
    let keyed = proptest::option::of(any::<bool>());
    (
        sub(&["ribera", "alamos", "ceibo"]),
        sub(&["alta", "pago"]),
        sub(&["http", "fastcgi"]),
        path,
        header,
        keyed,
    )
        .prop_map(|(clubs, classes, fronts, path, header, keyed)| {
            let text = |all: Vec<&str>| all.into_iter().map(String::from).collect();
            let headers = match header {
                0 => vec![],
                1 => vec![("x-c".to_string(), HeaderCondition::Present(true))],
                2 => vec![("x-c".to_string(), HeaderCondition::Present(false))],
                _ => vec![("x-c".to_string(), HeaderCondition::OneOf(vec!["1".into(), "".into()]))],
            };
            Conditions {
                clubs: text(clubs),
                classes: text(classes),
                fronts: text(fronts),
                path: path.map(String::from),
                headers,
                keyed,
                ..Conditions::default()
            }
        })
}

fn with_query<R>(small: &SmallQuery, inspect: impl FnOnce(&Query) -> R) -> R {
    let (front, method, class, club, keyed, path, header) = small;
    let header = |name: &str| (name == "x-c").then_some(*header).flatten();
    let (front, method, class, club, keyed) = (*front, *method, *class, *club, *keyed);
    inspect(&Query { front, method, class, club, keyed, host: &["x"], path, header: &header })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The compiled lookup agrees with a linear search, and proofs agree with brute force: an expectation that some request
    /// violates is not proved.
    #[test]
    fn lookup_and_proofs_agree_with_brute_force(
        whens in proptest::collection::vec(any_conditions(), 1..7),
        scope in any_conditions(),
    ) {
        let routes: Vec<Route> = whens
            .into_iter()
            .enumerate()
            .map(|(k, when)| {
                let to = match k % 3 {
                    0 => to("main"),
                    1 => to("own"),
                    _ => Destination::Refuse("no".into()),
                };
                route(&format!("r{k}"), k as i64, when, to)
            })
            .collect();
        let Ok(table) = table(routes) else { return Ok(()) };
        let inside = cube(&scope, &known_names()).expect("known names");
        let (mut violated, mut gap) = (false, false);
        for q in queries() {
            with_query(&q, |q| {
                let (compiled, linear) = (table.route(q), table.route_by_linear_search(q));
                let name = |c: Option<&route_table::table::Compiled>| c.map(|c| c.route.name.clone());
                assert_eq!(name(compiled), name(linear));
                if inside.has(q) {
                    gap |= linear.is_none();
                    violated |= linear.is_some_and(|c| c.pools().any(|p| table.pools[p].name != "main"));
                }
            });
        }
        let routed = prove(&table, &[expect("routed", scope.clone(), Claim::Routed)]);
        let only = prove(&table, &[expect("only", scope, Claim::Only(vec!["main".into()]))]);
        // A proof must fail if brute force finds a violation. It may also fail for requests that brute force does not try.
        prop_assert!(!gap || routed.is_err());
        prop_assert!(!violated || only.is_err());
        if let Err(errors) = &only {
            prop_assert!(errors[0].message.contains("goes to own"), "{}", errors[0]);
        }
    }

    /// Intersection and difference are those of sets, and each request is in at most one part of a difference.
    #[test]
    fn cubes_are_sets(a in any_conditions(), b in any_conditions()) {
        let (a, b) = (cube(&a, &known_names()).expect("known"), cube(&b, &known_names()).expect("known"));
        let (intersection, difference) = (a.intersection(&b), a.without(&b));
        for q in queries() {
            with_query(&q, |q| {
                let both = a.has(q) && b.has(q);
                assert_eq!(intersection.as_ref().is_some_and(|i| i.has(q)), both);
                let parts = difference.iter().filter(|d| d.has(q)).count();
                assert_eq!(parts, usize::from(a.has(q) && !b.has(q)));
            });
        }
        prop_assert!(Cube::all(&known_names()).intersection(&a) == Some(a));
    }
}
