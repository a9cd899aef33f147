//! One odd row among sound ones, as another writer of the store may leave it. It stays a fault of that row: no gateway
//! ends or stops following the store, no request is lost, and the row is logged once, in a line of limited length.

use std::time::Duration;

use bluebell_standins::site::server_entry;
use serde_json::json;

use super::{
    caller::Ask,
    site::{PROPAGATION_LIMIT, Site},
    until,
};

/// Time for which requests are sent after each odd row.
const OBSERVATION_TIME: Duration = Duration::from_millis(120);
/// Maximum length of a log line in bytes.
const MAX_LINE_BYTES: usize = 4096;
/// Level of nesting of the nested rows.
const DEPTH: usize = 50_000;
/// Size of the large rows in bytes.
const LARGE: usize = 1 << 20;
/// A registry entry; the odd ones are made from it by replacing parts.
const ENTRY: &str = r#"{"service":"ledger","address":"127.0.0.1:1","zone":"z1","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1}"#;

/// How an odd row gets into the store.
enum Odd {
    /// Content of the row.
    Content(Vec<u8>),
    /// JSON text in answers of the store in place of the row.
    Wire(String),
}

fn text(content: impl Into<String>) -> Odd {
    Odd::Content(content.into().into_bytes())
}

fn nested(open: &str, close: &str) -> String {
    open.repeat(DEPTH) + "1" + &close.repeat(DEPTH)
}

/// Contents that no reader of JSON can use.
fn unreadable() -> Vec<Odd> {
    let large_text = format!("\"{}\"", "x".repeat(LARGE));
    vec![
        text(""),
        text("NaN"),
        text("1e400"),
        text("-1"),
        text("18446744073709551616"),
        text("null"),
        text("{\"service\":"),
        text("\u{0}"),
        Odd::Content(vec![0xff, 0x00, 0x7b]),
        Odd::Content(b"{\"service\":\"\xff\xfe\"}".to_vec()),
        text(nested("[", "]")),
        text(nested("{\"a\":", "}")),
        text("[".repeat(DEPTH)),
        text(large_text),
    ]
}

/// Registry entries that name no upstream to use.
fn unusable_entries() -> Vec<Odd> {
    let parts = [
        (r#""slots":8"#, r#""slots":1e400"#),
        (r#""slots":8"#, r#""slots":-1"#),
        (r#""slots":8"#, r#""slots":1.5"#),
        (r#""slots":8"#, r#""slots":4294967296"#),
        (r#""slots":8"#, r#""slots":18446744073709551616"#),
        (r#""slots":8"#, r#""slots":NaN"#),
        (r#""slots":8"#, r#""slots":null"#),
        (r#""slots":8"#, r#""slots":8,"slots":8"#),
        (r#""slots":8,"#, ""),
        (r#""born":1"#, r#""born":1.5"#),
        (r#""born":1"#, r#""born":-1"#),
        (r#""born":1"#, r#""born":18446744073709551616"#),
        (r#""coldRemainingMs":0"#, r#""coldRemainingMs":1e400"#),
        (r#""coldRemainingMs":0"#, r#""coldRemainingMs":null"#),
        (r#""state":"ready""#, r#""state":"sleeping""#),
        (r#""state":"ready""#, r#""state":7"#),
        ("127.0.0.1:1", "127.0.0.1:70000"),
        ("127.0.0.1:1", "127.0.0.1:0"),
        ("127.0.0.1:1", "0.0.0.0:1"),
        ("127.0.0.1:1", "[::]:1"),
        ("127.0.0.1:1", "224.0.0.1:80"),
        ("127.0.0.1:1", "255.255.255.255:80"),
        ("127.0.0.1:1", "nowhere:80"),
        (r#""service":"ledger""#, r#""service":"""#),
        (r#""service":"ledger""#, r#""service":"a\u0000b\r\nc""#),
    ];
    let mut all: Vec<Odd> = parts.iter().map(|(part, odd)| text(ENTRY.replace(part, odd))).collect();
    let large = "x".repeat(LARGE);
    all.push(text(ENTRY.replace(r#""slots":8"#, &format!(r#""slots":"{large}""#))));
    all.push(text(ENTRY.replace(r#""state":"ready""#, &format!(r#""state":"{large}""#))));
    all.push(text(ENTRY.replace(r#""service":"ledger""#, &format!(r#""service":"{large}""#))));
    all.push(text(ENTRY.replace(r#""slots":8"#, &format!(r#""slots":{}"#, nested("[", "]")))));
    all
}

/// Rows that an answer of the store states in an odd way; `KEY` stands for the key.
fn odd_wire_rows(table: &str) -> Vec<Odd> {
    let row = format!(r#"{{"table":"{table}","part":"","key":"KEY","value":"e30=","ver":1}}"#);
    let parts = [
        (r#""ver":1"#, r#""ver":1.5"#),
        (r#""ver":1"#, r#""ver":-1"#),
        (r#""ver":1"#, r#""ver":1e400"#),
        (r#""ver":1"#, r#""ver":"1""#),
        (r#""ver":1"#, r#""ver":18446744073709551615"#),
        (r#""ver":1"#, r#""ver":18446744073709551616"#),
        (r#","ver":1"#, ""),
        (r#""key":"KEY","#, ""),
        (r#""key":"KEY""#, r#""key":7"#),
        (r#""key":"KEY""#, r#""key":"\ud800""#),
        (r#""value":"e30=""#, r#""value":"%%%""#),
        (r#""value":"e30=""#, r#""value":{}"#),
        (r#""value":"e30=""#, r#""value":"e30=","value":"e30=""#),
        (r#""part":"""#, r#""part":7"#),
    ];
    let mut all: Vec<Odd> = parts.iter().map(|(part, odd)| Odd::Wire(row.replace(part, odd))).collect();
    all.extend(["7", "null", "[]", "{}", "\"row\""].map(|row| Odd::Wire(row.to_owned())));
    all.push(Odd::Wire(nested("[", "]")));
    all.push(Odd::Wire(row.replace(r#""e30=""#, &nested("{\"a\":", "}"))));
    all
}

/// Sends requests of each kind to all gateways for a while; all must be answered completely.
async fn expect_answers(site: &Site, name: &str) {
    let started = std::time::Instant::now();
    let mut round = 0;
    while started.elapsed() < OBSERVATION_TIME {
        let asks = site.gateways.iter().flat_map(|gateway| {
            ["look", "book", "talk"].map(|route| {
                let ask = Ask::new(&format!("/{route}/1"), &format!("{name}-{round}-{route}-{}", gateway.name));
                (gateway, ask.header("model", "small").header("token-count", "10,5"))
            })
        });
        let answers = asks.map(|(gateway, ask)| async move { (gateway.ask(&ask).await, ask.id) });
        for (answer, id) in futures_util::future::join_all(answers).await {
            assert!(answer.status == 200 && answer.complete, "{id}: status {}", answer.status);
        }
        round += 1;
    }
}

/// Writes a sound row of each table; each must take effect at all gateways in time.
async fn expect_changes(site: &mut Site, number: u64, name: &str) {
    let key = format!("key-{number}");
    site.put_declarations(number, |config| config["tenants"][0]["apiKeys"] = json!(["key-1", key]));
    let mut entry = server_entry(site.ledger[1].address, "ledger", "z1", "v1", "ready");
    entry["sequence"] = json!(number);
    let version = site.store.put("servers", "ledger-2", &entry);
    for gateway in &mut site.gateways {
        let ask = Ask::new("/look/1", &format!("{name}-new-key")).key(Some(&key));
        let taken = until("the new key to be accepted", || async { gateway.ask(&ask).await.status == 200 }).await;
        assert!(taken < PROPAGATION_LIMIT, "{name}: declarations in force after {taken:?}");
        let applied = format!("\"row\":{version},");
        let read = || async { gateway.process.log().lines().any(|line| line.contains(&applied)) };
        let taken = until("the sound entry to be read", read).await;
        assert!(taken < PROPAGATION_LIMIT, "{name}: entry read after {taken:?}");
        assert!(gateway.process.is_running(), "{name}: {} has ended", gateway.name);
    }
}

/// A new upstream must be used, and no longer once it drains.
async fn expect_registrations(site: &mut Site) {
    site.add_ledger("ledger-3").await;
    let used = until("the new upstream to be used", || async {
        expect_answers(site, "new").await;
        !site.ledger[2].runs().is_empty()
    });
    assert!(used.await < PROPAGATION_LIMIT);
    site.put_entry(&site.ledger[2], "ledger", "v1", "draining");
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    let runs = site.ledger[2].runs().len();
    expect_answers(site, "drained").await;
    assert_eq!(site.ledger[2].runs().len(), runs, "requests sent to a draining upstream");
}

/// Each log line is short, and no row is complained about twice.
fn expect_bounded_logs(site: &Site, versions: &[u64]) {
    for gateway in &site.gateways {
        let log = gateway.process.log();
        let longest = log.lines().map(str::len).max().unwrap_or_default();
        assert!(longest <= MAX_LINE_BYTES, "{} wrote a log line of {longest} bytes", gateway.name);
        assert!(!log.contains("panicked"), "{} panicked", gateway.name);
        for version in versions {
            let complaint = |line: &&str| line.contains(&format!("\"row\":{version},")) && !line.contains("\"INFO\"");
            let count = log.lines().filter(complaint).count();
            assert!(count <= 1, "{}: {count} complaints about row {version}", gateway.name);
        }
    }
}

/// Puts odd rows one by one while requests are sent. Their keys are made of the prefix and a number.
async fn check(site: &mut Site, table: &str, prefix: &str, rows: Vec<Odd>) {
    let mut versions = Vec::new();
    for (position, odd) in rows.into_iter().enumerate() {
        let (key, number) = (format!("{prefix}{position}"), 10 + position as u64);
        versions.push(match odd {
            Odd::Content(content) => site.store.put_raw(table, &key, &content),
            Odd::Wire(row) => site.store.put_wire(table, &key, &row.replace("KEY", &key)),
        });
        let name = format!("{table}-{position}");
        expect_answers(site, &name).await;
        expect_changes(site, number, &name).await;
    }
    expect_bounded_logs(site, &versions);
}

#[tokio::test]
async fn unusable_registry_entries_cost_no_request_and_hold_up_no_later_row() {
    let mut site = Site::start(2).await;
    site.wait_for_peer_connections().await;
    let rows = unreadable().into_iter().chain(unusable_entries()).collect();
    check(&mut site, "servers", "i-odd-", rows).await;
    expect_registrations(&mut site).await;
}

#[tokio::test]
async fn registry_entries_under_odd_ids_are_left_out() {
    let mut site = Site::start(2).await;
    for (position, id) in ["", "\u{0}", "a b", "\r\nx: y", "ü", &"i".repeat(200)].into_iter().enumerate() {
        site.store.put("servers", id, &server_entry(site.ledger[0].address, "ledger", "z1", "v9", "ready"));
        expect_answers(&site, &format!("id-{position}")).await;
        expect_changes(&mut site, 10 + position as u64, &format!("id-{position}")).await;
    }
    expect_registrations(&mut site).await;
    expect_bounded_logs(&site, &[]);
}

#[tokio::test]
async fn registered_numbers_at_their_limits_leave_the_upstream_in_use() {
    let mut site = Site::start(2).await;
    let address = site.ledger[0].address.to_string();
    let entry = ENTRY.replace("127.0.0.1:1", &address);
    let parts = [
        (r#""slots":8"#, r#""slots":0"#.to_owned()),
        (r#""slots":8"#, r#""slots":4294967295"#.to_owned()),
        (r#""born":1"#, r#""born":18446744073709551615"#.to_owned()),
        (r#""coldRemainingMs":0"#, r#""coldRemainingMs":1e300"#.to_owned()),
        (r#""coldRemainingMs":0"#, r#""coldRemainingMs":-5"#.to_owned()),
        (r#""sequence":1"#, r#""sequence":1e400"#.to_owned()),
        (r#""sequence":1"#, format!(r#""sequence":{}"#, nested("[", "]"))),
        (r#""sequence":1"#, format!(r#""extra":{}"#, nested("{\"a\":", "}"))),
    ];
    for (position, (part, odd)) in parts.iter().enumerate() {
        site.store.put_raw("servers", "ledger-1", entry.replace(part, odd).as_bytes());
        let runs = site.ledger[0].runs().len();
        expect_changes(&mut site, 10 + position as u64, &format!("limit-{position}")).await;
        until("the upstream to be used", || async {
            expect_answers(&site, &format!("limit-{position}")).await;
            site.ledger[0].runs().len() > runs
        })
        .await;
    }
    expect_bounded_logs(&site, &[]);
}

#[tokio::test]
async fn odd_rows_of_operators_leave_the_declarations_in_force() {
    let mut site = Site::start(2).await;
    site.wait_for_peer_connections().await;
    let orders = [
        r#"{"service":"ledger","to":"v1","durationS":1e400}"#,
        r#"{"service":"","to":"v1","durationS":6}"#,
        r#"{"service":"nowhere","to":"v2","durationS":1e300}"#,
        r#"{"service":"nowhere","to":"v2","durationS":-1}"#,
    ];
    let rows = unreadable().into_iter().chain(orders.map(text)).collect();
    check(&mut site, "op", "rollout/odd-", rows).await;
    for (position, odd) in unreadable().into_iter().enumerate() {
        let Odd::Content(content) = odd else { continue };
        site.store.put_raw("op", "config", &content);
        expect_answers(&site, &format!("config-{position}")).await;
        expect_changes(&mut site, 100 + position as u64, &format!("config-{position}")).await;
    }
    expect_bounded_logs(&site, &[]);
}

#[tokio::test]
async fn odd_rows_of_the_gateways_own_table_hold_up_no_later_row() {
    for prefix in ["member/odd-", "stage/odd-", "crash/odd-", "member/ä-", "unknown-"] {
        let mut site = Site::start(2).await;
        site.wait_for_peer_connections().await;
        let report = r#"{"report":{"life":{"upstream":"ledger-1","born":1},"reporter":"gone","sign":"Lapsed","suspects":[]},"needed":18446744073709551615}"#;
        let stage = r#"{"order":18446744073709551615,"to":"v1","stage":"Canary","began":{"secs":18446744073709551615,"nanos":0},"holder":"gone"}"#;
        let others = ["0.0.0.0:1", "127.0.0.1:70000", "[::]:0", report, stage, r#"{"report":{},"needed":-1}"#];
        let rows = unreadable().into_iter().chain(others.map(text)).collect();
        check(&mut site, "bluebell", prefix, rows).await;
    }
}

#[tokio::test]
async fn rows_that_the_store_states_in_an_odd_way_hold_up_no_sound_row() {
    for (table, prefix) in [("servers", "i-odd-"), ("op", "rollout/odd-"), ("bluebell", "member/odd-")] {
        let mut site = Site::start(2).await;
        site.wait_for_peer_connections().await;
        check(&mut site, table, prefix, odd_wire_rows(table)).await;
        // The first read after a start is a snapshot with all of the odd rows in it.
        for gateway in &mut site.gateways {
            gateway.process.restart();
            until("the gateway to be ready", || gateway.is_ready()).await;
        }
        expect_changes(&mut site, 100, "restart").await;
        expect_answers(&site, "restart").await;
        expect_registrations(&mut site).await;
    }
}

#[tokio::test]
async fn row_of_another_partition_is_not_taken_for_the_entry_with_its_key() {
    let mut site = Site::start(2).await;
    let mut entry = server_entry(site.ledger[0].address, "ledger", "z1", "v1", "draining");
    site.store.put_in_part("servers", "odd", "ledger-1", &entry);
    entry["state"] = json!("ready");
    site.store.put_in_part("op", "odd", "config", &json!({ "version": 9, "tenants": [] }));
    expect_changes(&mut site, 10, "part").await;
    let runs = site.ledger[0].runs().len();
    until("the upstream to be used", || async {
        expect_answers(&site, "part").await;
        site.ledger[0].runs().len() > runs
    })
    .await;
}

#[tokio::test]
async fn entry_of_an_undeclared_service_takes_no_address_from_an_upstream() {
    let mut site = Site::start(2).await;
    for upstream in &site.ledger {
        let entry = server_entry(upstream.address, "nowhere", "z1", "v1", "ready");
        site.store.put("servers", &format!("odd-{}", upstream.id), &entry);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    expect_answers(&site, "undeclared").await;
    expect_changes(&mut site, 10, "undeclared").await;
}

#[tokio::test]
async fn upstream_registered_before_its_service_is_declared_is_used_afterwards() {
    let mut site = Site::start(2).await;
    site.add_ledger("late-1").await;
    site.put_entry(&site.ledger[2], "late", "v1", "ready");
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.put_declarations(2, |config| {
        config["services"][1]["name"] = json!("late");
        config["routes"][3]["service"] = json!("late");
    });
    let used = until("the upstream to be used", || async {
        expect_answers(&site, "late").await;
        !site.ledger[2].runs().is_empty()
    });
    assert!(used.await < PROPAGATION_LIMIT);
}

#[tokio::test]
async fn price_below_zero_costs_no_request() {
    let site = Site::start(2).await;
    site.put_declarations(2, |config| config["services"][0]["engine"]["models"][2]["cost"] = json!(-0.05));
    tokio::time::sleep(Duration::from_millis(300)).await;
    for (position, gateway) in site.gateways.iter().enumerate() {
        let ask = Ask::new("/talk/1", &format!("price-{position}")).header("model", "*");
        let answer = gateway.ask(&ask.header("token-count", "10,5")).await;
        assert!(answer.status == 200 && answer.complete, "status {}", answer.status);
    }
    expect_bounded_logs(&site, &[]);
}
