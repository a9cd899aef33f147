//! Upstreams that crashed and are back under other ids at their addresses, while their former entries are still registered.

use std::time::Duration;

use bluebell_standins::site::server_entry;
use tokio::time::sleep;

use super::{caller::Ask, site::Site, until};

/// Former ids of the upstreams of the site, and how they compare to the present ones.
const FORMER_IDS: [[&str; 4]; 2] = [["a-1", "a-2", "a-3", "a-4"], ["z-1", "z-2", "z-3", "z-4"]];

/// Registers all upstreams of the site under former ids first, and then under their own.
fn register_after_former(site: &Site, former: [&str; 4]) {
    let all = site.chat.iter().map(|one| ("chat", one)).chain(site.ledger.iter().map(|one| ("ledger", one)));
    for ((service, upstream), id) in all.zip(former) {
        site.store.delete("servers", &upstream.id);
        site.store.put("servers", id, &server_entry(upstream.address, service, "z1", "v1", "ready"));
        site.put_entry(upstream, service, "v1", "ready");
    }
}

async fn check_served(site: &Site, name: &str) {
    for round in 0..10 {
        let look = Ask::new("/look/1", &format!("{name}-look-{round}"));
        assert_eq!(site.gateways[0].ask(&look).await.status, 200, "{name}");
        let talk = Ask::new("/talk/1", &format!("{name}-talk-{round}")).header("model", "small");
        let answer = site.gateways[0].ask(&talk.header("token-count", "10,5")).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{name}");
    }
}

// Guards against a gateway that uses none of the running upstreams for good, as it starts while the former entries of
// restarted ones are still registered.
#[tokio::test]
async fn gateway_that_starts_after_a_power_failure_uses_the_restarted_upstreams() {
    for former in FORMER_IDS {
        let mut site = Site::start_without_gateways().await;
        site.put_declarations(1, |_| {});
        register_after_former(&site, former);
        site.add_gateway(0).await;
        until("the gateway to be ready", || site.gateways[0].is_ready()).await;
        check_served(&site, "listed").await;
        for id in former {
            site.store.delete("servers", id);
        }
        sleep(Duration::from_millis(300)).await;
        check_served(&site, "lapsed").await;
        sleep(Duration::from_secs(2)).await;
        check_served(&site, "expired").await;
    }
}

// Guards against the same at a gateway that learns of services only after their upstreams.
#[tokio::test]
async fn restarted_upstreams_of_a_service_that_is_declared_later_are_used() {
    for former in FORMER_IDS {
        let mut site = Site::start_without_gateways().await;
        register_after_former(&site, former);
        site.add_gateway(0).await;
        sleep(Duration::from_millis(500)).await;
        site.put_declarations(1, |_| {});
        until("the gateway to be ready", || site.gateways[0].is_ready()).await;
        check_served(&site, "declared").await;
    }
}
