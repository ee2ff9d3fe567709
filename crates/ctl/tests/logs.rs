//! Explanations and outcomes from logs that are interleaved, truncated and partly corrupt.

use quickcheck::quickcheck;
use railtack_ctl::{
    arguments,
    logs::{
        explanation::{Explanation, Subject, explain},
        outcomes::group_by_outcome,
        parser::{self, SkippedLines},
        timeline::Timeline,
    },
};

fn line(run_id: &str, sequence: u64, uptime_ms: u64, payload: &str, fields: &str) -> String {
    let started_ms = 1_000_000;
    format!(
        concat!(
            r#"{{"level":"info","timestamp":{},"uptime_us":{},"node":"node-{}","life":"{}","#,
            r#""sequence":{},"payload":"{}","kv":{{{}}}}}"#
        ),
        started_ms + uptime_ms,
        uptime_ms * 1_000,
        run_id,
        run_id,
        sequence,
        payload,
        fields
    )
}

fn router_log() -> Vec<String> {
    vec![
        line("r", 0, 0, "starting", ""),
        line("r", 1, 100, "view updated", r#""known":5"#),
        line("r", 2, 110, "lease gained", r#""known":5"#),
        line("r", 3, 2_000, "view updated", r#""known":9"#),
        line(
            "r",
            4,
            4_000,
            "exchange failed",
            r#""request":"other","replica":"i-1""#,
        ),
        line(
            "r",
            5,
            5_000,
            "exchange failed",
            r#""request":"q","replica":"i-1","known":9"#,
        ),
        line("r", 6, 5_001, "retry", r#""request":"q","in_budget":true"#),
        line("r", 7, 5_010, "view updated", r#""known":12"#),
        line(
            "r",
            8,
            5_400,
            "request",
            r#""request":"q","replica":"i-2","known":9,"total_ms":800"#,
        ),
        line(
            "r",
            9,
            6_000,
            "request",
            r#""request":"other","total_ms":1"#,
        ),
    ]
}

fn control_log() -> Vec<String> {
    vec![
        line("c", 0, 50, "leader changed", r#""leader":1"#),
        line(
            "c",
            1,
            3_000,
            "order given",
            r#""replica":"i-1","version":2"#,
        ),
        line(
            "c",
            2,
            3_100,
            "order given",
            r#""replica":"i-9","version":2"#,
        ),
        line(
            "c",
            3,
            9_000,
            "order given",
            r#""replica":"i-2","version":3"#,
        ),
    ]
}

fn explain_log(content: &[u8]) -> (Option<Explanation>, SkippedLines) {
    let mut lines = Vec::new();
    let skipped = parser::parse_lines(content, &mut lines);
    (explain(&Timeline::new(lines), "q"), skipped)
}

fn events(explanation: &Explanation, subject: Subject) -> Vec<(&str, f64)> {
    let matching = explanation
        .entries
        .iter()
        .filter(|entry| entry.subject == subject);
    matching
        .map(|entry| (entry.event.as_str(), entry.at_ms))
        .collect()
}

#[test]
fn explanation_lists_events_in_order_with_the_process_state() {
    let mut all = control_log();
    all.extend(router_log());
    let (explanation, skipped) = explain_log(all.join("\n").as_bytes());
    let explanation = explanation.expect("an explanation");
    assert_eq!(skipped, SkippedLines::default());
    assert_eq!(explanation.missing_lines, 0);
    assert_eq!(
        events(&explanation, Subject::Request),
        vec![
            ("exchange failed", 400.0),
            ("retry", 401.0),
            ("request", 800.0)
        ]
    );
    // The request used the view at position 9, not the newer one logged before its final line.
    let states = events(&explanation, Subject::ProcessState);
    assert_eq!(
        states,
        vec![
            ("starting", -4_600.0),
            ("leader changed", -4_550.0),
            ("lease gained", -4_490.0),
            ("view updated", -2_600.0),
        ]
    );
    // Leaves out orders after the request and orders to other replicas.
    assert_eq!(
        events(&explanation, Subject::Replica),
        vec![("order given", -1_600.0), ("exchange failed", -600.0)]
    );
}

#[test]
fn malformed_lines_are_skipped_and_counted() {
    let mut lines = router_log();
    lines[3] = format!("   5.4000 front-a-1 {{odd}} {} and more", lines[3]);
    let cut = lines[7].clone();
    lines[7] = cut[..cut.len() / 2].to_owned();
    lines.insert(2, "no structure at all".to_owned());
    let mut content = lines.join("\n").into_bytes();
    content.extend_from_slice(b"\n\xff\xfe\x00\n\n");
    let (explanation, skipped) = explain_log(&content);
    let explanation = explanation.expect("an explanation");
    assert_eq!(
        skipped,
        SkippedLines {
            unstructured: 2,
            damaged: 1
        }
    );
    assert_eq!(explanation.missing_lines, 1);
    assert_eq!(events(&explanation, Subject::Request).len(), 3);
}

#[test]
fn duplicate_lines_and_clock_jumps_do_not_change_the_explanation() {
    let mut lines = router_log();
    lines.extend(router_log());
    // The wall clock of one line jumps by an hour; the monotonic clock does not.
    lines[5] = lines[5].replace(r#""timestamp":1005000"#, r#""timestamp":4605000"#);
    lines.truncate(10);
    lines.extend(
        router_log()
            .into_iter()
            .filter(|line| !line.contains(r#""sequence":5,"#)),
    );
    let (explanation, _) = explain_log(lines.join("\n").as_bytes());
    let explanation = explanation.expect("an explanation");
    assert_eq!(
        events(&explanation, Subject::Request),
        vec![
            ("exchange failed", 400.0),
            ("retry", 401.0),
            ("request", 800.0)
        ]
    );
}

#[test]
fn unknown_request_has_no_explanation() {
    let mut lines = Vec::new();
    parser::parse_lines(router_log().join("\n").as_bytes(), &mut lines);
    assert!(explain(&Timeline::new(lines), "unknown").is_none());
}

#[test]
fn only_log_commands_run_without_control_addresses() {
    let is_accepted = |arguments: &[&str]| {
        let matches = arguments::command().get_matches_from(arguments);
        arguments::validate(&matches).is_ok()
    };
    assert!(is_accepted(&[
        "railtackctl",
        "explain",
        "q",
        "--logs",
        "a",
        "b"
    ]));
    assert!(!is_accepted(&["railtackctl", "status"]));
    assert!(is_accepted(&[
        "railtackctl",
        "--control",
        "127.0.0.1:1",
        "status"
    ]));
}

quickcheck! {
    /// For any bytes, every line that is not blank is either parsed or counted as skipped.
    fn every_nonblank_line_is_parsed_or_counted(content: Vec<u8>) -> bool {
        let mut lines = Vec::new();
        let skipped = parser::parse_lines(&content, &mut lines);
        let expected = content
            .split(|byte| *byte == b'\n')
            .filter(|text| !text.trim_ascii().is_empty())
            .count();
        lines.len() + skipped.damaged + skipped.unstructured == expected
    }
}

#[test]
fn requests_are_grouped_by_route_outcome_and_cause() {
    let request_line =
        |sequence, request: &str, outcome: &str, attempts: u64, first_byte_ms: u64| {
            let fields = format!(
                concat!(
                    r#""request":"{}","route":"read","outcome":"{}","attempts":{},"#,
                    r#""first_byte_ms":{},"shared_tokens":100,"kept_tokens":40"#
                ),
                request, outcome, attempts, first_byte_ms
            );
            line("r", sequence, sequence, "request", &fields)
        };
    let failure_line = |sequence, request: &str| {
        let fields = format!(r#""request":"{request}","cause":"declined""#);
        line("r", sequence, sequence, "exchange failed", &fields)
    };
    let retry_line = |sequence, request: &str, in_budget: bool| {
        let fields = format!(r#""request":"{request}","in_budget":{in_budget}"#);
        line("r", sequence, sequence, "retry", &fields)
    };
    let log = [
        request_line(1, "a", "streamed", 1, 50),
        request_line(2, "b", "streamed", 1, 70),
        failure_line(3, "c"),
        retry_line(4, "c", false),
        request_line(5, "c", "declined", 1, 0),
        failure_line(6, "d"),
        retry_line(7, "d", true),
        request_line(8, "d", "streamed", 2, 90),
        "not a line".to_owned(),
    ];
    let mut lines = Vec::new();
    let skipped = parser::parse_lines(log.join("\n").as_bytes(), &mut lines);
    let timeline = Timeline::new(lines);
    assert_eq!(skipped.unstructured, 1);
    let groups = group_by_outcome(&timeline);
    let found: Vec<(&str, &str, u64, u64)> = groups
        .iter()
        .map(|group| {
            let (outcome, cause) = (group.outcome.as_str(), group.cause.as_str());
            (outcome, cause, group.requests, group.further_attempts)
        })
        .collect();
    assert_eq!(found[0], ("streamed", "", 2, 0));
    assert!(found.contains(&("streamed", "declined", 1, 1)));
    let denied = "declined; retry denied by the budget";
    assert!(found.contains(&("declined", denied, 1, 0)));
    assert_eq!(groups[0].first_byte_median_ms, 70);
    assert_eq!(groups[0].shared_tokens, 200);
    assert_eq!(groups[0].presumed_cached_tokens, 80);
}

#[test]
fn explanation_includes_events_of_other_requests_with_the_same_content() {
    let other = r#""request":"p","content":"c1","replica":"i-1""#;
    let lines = [
        line("r", 0, 0, "starting", ""),
        line("s", 0, 900, "exchange failed", other),
        line("s", 1, 950, "request quarantined", r#""content":"c1""#),
        line("s", 2, 960, "request quarantined", r#""content":"c2""#),
        line(
            "r",
            1,
            2_000,
            "request",
            r#""request":"q","content":"c1","outcome":"quarantined","total_ms":0"#,
        ),
    ];
    let (explanation, _) = explain_log(lines.join("\n").as_bytes());
    let explanation = explanation.expect("an explanation");
    assert_eq!(
        events(&explanation, Subject::Content),
        vec![
            ("exchange failed", -1_100.0),
            ("request quarantined", -1_050.0)
        ]
    );
}
