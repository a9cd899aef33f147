//! Connections that are held open without a request. They guard against a gateway without descriptors, which accepts
//! no connection though it is ready.

use super::hostile::{MANY_CONNECTIONS, SmallSite, write_all};

const REQUEST: &[u8] = b"POST /look/1 HTTP/1.1\r\nhost: site.example\r\nrequest-id: idle\r\ndeadline-ms: 4000\r\n\
                         authorization: Bearer key-1\r\ncontent-length: 3\r\n\r\nask";

#[tokio::test]
async fn connections_that_stay_idle_after_a_request() {
    let small = SmallSite::start().await;
    let mut sockets = small.connect(MANY_CONNECTIONS).await;
    write_all(&mut sockets, REQUEST, 1).await;
    small.check_with_request("idle connections").await;
}

#[tokio::test]
async fn connections_that_are_never_used() {
    let small = SmallSite::start().await;
    let _sockets = small.connect(MANY_CONNECTIONS).await;
    small.check_with_request("unused connections").await;
}
