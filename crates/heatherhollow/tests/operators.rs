//! The operators' commands against the real program: declarations are checked and applied, targets
//! and instances are drained, targets are promoted, and tokens limit access.

mod support;

use std::sync::Barrier;
use std::thread;

use heatherhollowctl::ExitStatus;

use crate::support::DeclarationFolder;
use crate::support::ProxyProcess;
use crate::support::run_tool;

/// Guards against an applied declaration that does not take effect: reads of a kind that it adds
/// must be served.
#[test]
fn applied_kind_serves_reads() {
    let proxy = ProxyProcess::start();
    let folder = DeclarationFolder::new();
    let (status, end) = proxy.call("read/list", "get lane-7");
    assert_eq!((status, &end["reason"]), (404, &"unknown_kind".into()));
    folder.add_kind("list");

    let checked = run_tool(&["check", folder.path()]);
    assert_eq!(checked.status, ExitStatus::Done, "{checked:?}");
    assert_eq!(
        checked.output,
        "/teams/demo: valid; groups: 1, services: 1\n"
    );
    let dry = proxy.run_tool(&["apply", folder.path(), "--dry-run"]);
    assert_eq!(dry.status, ExitStatus::Done, "{dry:?}");
    assert_eq!(
        dry.output,
        "/teams/demo/services/lanes/kinds/list: null -> \
         {\"max_age_ms\":1000,\"max_wait_ms\":50,\"name\":\"list\"}\n\
         /teams/demo: revision 2, differences: 1\n"
    );
    assert_eq!(proxy.stored_settings()["revision"], 2);

    let applied = proxy.run_tool(&["apply", folder.path(), "--author", "asha"]);
    assert_eq!(applied.status, ExitStatus::Done, "{applied:?}");
    assert_eq!(
        applied.output,
        "/teams/demo: revision 3 in force on 1 of 1 instances\n"
    );
    let again = proxy.run_tool(&["apply", folder.path()]);
    assert_eq!(again.status, ExitStatus::Done, "{again:?}");
    let stored = proxy.stored_settings();
    assert_eq!(
        (&stored["revision"], &stored["author"]),
        (&3.into(), &"asha".into())
    );
    let history = proxy.run_tool(&["history", "demo"]).output;
    let lines = history.lines().collect::<Vec<_>>();
    assert_eq!(lines.len(), 2, "{history}");
    assert!(lines[0].ends_with("revision 3 by asha"), "{history}");
    assert_eq!(lines[1], "embedded");

    let (status, end) = proxy.call("write", "put lane-7 free");
    assert_eq!((status, &end["outcome"]), (200, &"done".into()), "{end}");
    let (status, end) = proxy.call("read/list", "get lane-7");
    assert_eq!((status, &end["outcome"]), (200, &"done".into()), "{end}");
}

/// Guards against invalid declarations that are reported without file, line and path, or that are
/// applied in part.
#[test]
fn invalid_declarations_change_nothing() {
    let proxy = ProxyProcess::start();
    let before = proxy.stored_settings();
    type Edit = fn(&str) -> String;
    let cases: [(&str, Edit, &str); 4] = [
        (
            "a text with a unit where milliseconds are expected",
            |text| text.replace("max_age_ms = 2000", "max_age_ms = \"2s\""),
            "services.toml:35: /teams/demo/services/lanes/kinds/overview/max_age_ms = \"2s\": \
             invalid type: string \"2s\", expected u64",
        ),
        (
            "an unknown key",
            |text| text.replace("connections = 24", "connections = 24\ncolour = \"red\""),
            "services.toml:25: /teams/demo/services/lanes/colour: the key is not known",
        ),
        (
            "another team's path",
            |text| text.replace("team = \"demo\"", "team = \"lidos\""),
            "services.toml:2: /teams/lidos/team = lidos: the change belongs to /teams/demo, \
             another team's path",
        ),
        (
            "a target that is declared twice",
            |text| text.replace("name = \"bookings-3\"", "name = \"bookings-2\""),
            "services.toml:15: /teams/demo/groups/bookings/targets/bookings-2 = bookings-2: the \
             name is used twice",
        ),
    ];
    for (what, edit, expected) in cases {
        let folder = DeclarationFolder::new();
        folder.edit(edit);
        for command in ["check", "apply"] {
            let run = proxy.run_tool(&[command, folder.path()]);
            assert_eq!(run.status, ExitStatus::Failed, "{what}: {run:?}");
            let lines = run.output.lines().collect::<Vec<_>>();
            assert_eq!(lines.len(), 1, "{what}: {run:?}");
            assert!(lines[0].ends_with(expected), "{what}: {run:?}");
            assert!(run.notes.contains("1 fault in "), "{what}: {run:?}");
        }
        assert_eq!(proxy.stored_settings(), before, "{what}");
    }
    // The instance validates settings too, so a client that skips the check is refused.
    let body = r#"{"settings":{"team":"lidos"},"change_id":"c-1","author":"x","expected":null}"#;
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let put = agent
        .put(format!("{}/operator/settings/demo", proxy.operator_url))
        .header("Authorization", "Bearer embedded");
    let mut reply = put.send(body).expect("an answer");
    let text = reply.body_mut().read_to_string().expect("a whole answer");
    assert_eq!(reply.status().as_u16(), 422, "{text}");
    assert!(text.contains("another team's path"), "{text}");
    assert_eq!(proxy.stored_settings(), before);
}

/// Guards against a lost update: of two changes based on the same revision, the later one must be
/// refused with the author and the paths of the earlier one.
#[test]
fn one_of_two_concurrent_applies_succeeds() {
    let proxy = ProxyProcess::start();
    let folders = [DeclarationFolder::new(), DeclarationFolder::new()];
    folders[0].add_kind("first");
    folders[1].add_kind("second");
    let barrier = Barrier::new(2);
    let apply = |i: usize, author: &'static str| {
        let folder = folders[i].path();
        barrier.wait();
        proxy.run_tool(&["apply", folder, "--expect", "2", "--author", author])
    };
    let runs = thread::scope(|scope| {
        let first = scope.spawn(|| apply(0, "asha"));
        let second = scope.spawn(|| apply(1, "bina"));
        [first, second].map(|run| run.join().expect("no panic"))
    });
    let (winner, loser) = match runs[0].status {
        ExitStatus::Done => (0, 1),
        _ => (1, 0),
    };
    assert_eq!(runs[winner].status, ExitStatus::Done, "{runs:?}");
    assert_eq!(runs[loser].status, ExitStatus::Conflict, "{runs:?}");
    let (author, kind) = [("asha", "first"), ("bina", "second")][winner];
    let notes = &runs[loser].notes;
    let changed = format!("was changed to revision 3 by {author}");
    assert!(notes.contains(&changed), "{notes}");
    let path = format!("/teams/demo/services/lanes/kinds/{kind}");
    assert!(notes.contains(&path), "{notes}");
    let stored = proxy.stored_settings();
    assert_eq!(
        (&stored["revision"], &stored["author"]),
        (&3.into(), &author.into())
    );
    let kinds = stored["settings"]["services"][0]["kinds"].to_string();
    assert!(kinds.contains(kind), "{kinds}");
}

/// Guards against reads and promotions at a target that is leaving, and against a drain of the
/// primary.
#[test]
fn drained_target_gets_no_reads() {
    let proxy = ProxyProcess::start();
    let refused = proxy.run_tool(&["drain", "target", "demo.bookings", "bookings-1"]);
    assert_eq!(refused.status, ExitStatus::Failed, "{refused:?}");
    assert!(
        refused.notes.contains("promote another target first"),
        "{refused:?}"
    );
    let promoted = proxy.run_tool(&["promote", "demo.bookings", "bookings-2"]);
    assert_eq!(
        promoted.output, "demo.bookings: primary bookings-2, term 2\n",
        "{promoted:?}"
    );

    let drained = proxy.run_tool(&["drain", "target", "demo.bookings", "bookings-1"]);
    assert_eq!(drained.status, ExitStatus::Done, "{drained:?}");
    assert_eq!(
        drained.output,
        "/teams/demo: revision 3 in force on 1 of 1 instances\n"
    );
    let again = proxy.run_tool(&["drain", "target", "demo.bookings", "bookings-1"]);
    assert!(again.notes.contains("it was so before"), "{again:?}");
    for _ in 0..50 {
        let (_, end) = proxy.call("read/overview", "get lane-7");
        assert_eq!(end["outcome"], "done", "{end}");
        assert_ne!(end["target"], "bookings-1", "{end}");
    }
    let back = proxy.run_tool(&["promote", "demo.bookings", "bookings-1"]);
    assert_eq!(back.status, ExitStatus::Failed, "{back:?}");
    assert!(
        back.notes.contains("target bookings-1 is leaving"),
        "{back:?}"
    );

    let undone = proxy.run_tool(&["drain", "target", "demo.bookings", "bookings-1", "--undo"]);
    assert_eq!(
        undone.output,
        "/teams/demo: revision 4 in force on 1 of 1 instances\n"
    );
    proxy.wait_for_status("no leaving target", |status| {
        let targets = status["groups"][0]["targets"].as_array();
        targets.is_some_and(|t| !t.is_empty() && t.iter().all(|t| t["is_leaving"] == false))
    });
    for unknown in [["demo.bookings", "other"], ["demo.other", "bookings-1"]] {
        let run = proxy.run_tool(&[&["drain", "target"], &unknown[..]].concat());
        assert_eq!(run.status, ExitStatus::Failed, "{run:?}");
    }
    assert_eq!(proxy.stored_settings()["revision"], 4);
}

/// Guards against an instance that is drained by a request which names another instance, and
/// against new sessions at an instance that is leaving.
#[test]
fn drained_instance_refuses_sessions() {
    let proxy = ProxyProcess::start();
    let other = proxy.run_tool(&["drain", "instance", "instance-2"]);
    assert_eq!(other.status, ExitStatus::Failed, "{other:?}");
    assert!(
        other.notes.contains("this is instance instance-1"),
        "{other:?}"
    );
    let (_, end) = proxy.call("write", "put lane-7 free");
    assert_eq!(end["outcome"], "done", "{end}");
    let drained = proxy.run_tool(&["drain", "instance", "instance-1"]);
    assert_eq!(drained.status, ExitStatus::Done, "{drained:?}");
    let (status, end) = proxy.call("read/overview", "get lane-7");
    assert_eq!((status, &end["reason"]), (503, &"draining".into()), "{end}");
    let status = proxy.run_tool(&["status", "--json"]).json();
    assert_eq!(status["readiness"], "draining");
    assert_eq!(status["instances"][0]["liveness"], "leaving");
}

/// Guards against a team's token that gives access to the settings, groups or targets of another
/// team.
#[test]
fn team_tokens_grant_access_to_one_team() {
    let tokens = "demo=demo-token,lidos=lidos-token,*=all-token";
    let proxy = ProxyProcess::start_with_options("all-token", &["--operator-tokens", tokens]);
    for token in ["", "embedded", "demo-toke", "demo-token2"] {
        let run = proxy.run_tool_with_token(token, &["status"]);
        assert_eq!(run.status, ExitStatus::Failed, "{token}: {run:?}");
        assert!(run.notes.contains("a known token is needed"), "{run:?}");
    }
    let folder = DeclarationFolder::new();
    folder.add_kind("list");
    let other_team_commands: [&[&str]; 7] = [
        &["get", "demo"],
        &["history", "demo"],
        &["apply", folder.path()],
        &["drain", "target", "demo.bookings", "bookings-3"],
        &["drain", "target", "demo.bookings", "bookings-3", "--undo"],
        &["promote", "demo.bookings", "bookings-3"],
        &["drain", "instance", "instance-1"],
    ];
    for command in other_team_commands {
        let run = proxy.run_tool_with_token("lidos-token", command);
        assert_eq!(run.status, ExitStatus::Failed, "{run:?}");
        let is_refused = run.notes.contains("the token does not open /teams/demo")
            || run.notes.contains("only a token for all teams drains it");
        assert!(is_refused, "{run:?}");
    }
    let status = proxy
        .run_tool_with_token("lidos-token", &["status", "--json"])
        .json();
    assert_eq!(status["instances"][0]["name"], "instance-1");
    for list in ["groups", "lanes"] {
        assert_eq!(status[list].as_array().map(Vec::len), Some(0), "{status}");
    }
    assert_eq!(
        status["settings"]["documents"].as_array().map(Vec::len),
        Some(1)
    );
    let applied = proxy.run_tool_with_token("demo-token", &["apply", folder.path()]);
    assert_eq!(applied.status, ExitStatus::Done, "{applied:?}");
    let got = proxy
        .run_tool_with_token("all-token", &["get", "demo", "--json"])
        .json();
    assert_eq!(got["revision"], 3);
}

/// Guards against a wrong count of the instances on which a revision is in force: it must include
/// an instance that receives the revision from a peer, and the total must include an unreachable
/// one.
#[test]
fn apply_counts_every_instance() {
    let proxy = ProxyProcess::start();
    let peer = proxy.start_entry("instance-2");
    proxy.wait_for_status("the second instance", |status| {
        let instances = status["instances"].as_array();
        instances.is_some_and(|list| list.iter().filter(|i| i["liveness"] == "live").count() == 2)
    });
    let folder = DeclarationFolder::new();
    folder.add_kind("list");
    let applied = proxy.run_tool(&["apply", folder.path()]);
    assert_eq!(
        applied.output, "/teams/demo: revision 3 in force on 2 of 2 instances\n",
        "{applied:?}"
    );
    let (status, end) = peer.call("read/list", "get lane-7");
    assert_eq!((status, &end["outcome"]), (200, &"done".into()), "{end}");
    let refused = peer.run_tool(&["apply", folder.path()]);
    assert_eq!(refused.status, ExitStatus::Failed, "{refused:?}");
    assert!(
        refused.notes.contains("no access to the key-value service"),
        "{refused:?}"
    );

    drop(peer);
    proxy.wait_for_status("the loss of the second instance", |status| {
        status["instances"][1]["liveness"] == "unreachable"
    });
    folder.add_kind("other");
    let applied = proxy.run_tool(&["apply", folder.path()]);
    assert_eq!(
        applied.output, "/teams/demo: revision 4 in force on 1 of 2 instances\n",
        "{applied:?}"
    );
    assert!(
        applied.notes.contains("not reachable: instance-2"),
        "{applied:?}"
    );
}
