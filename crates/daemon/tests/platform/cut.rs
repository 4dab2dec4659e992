//! Instances that lose the path to all upstreams.

use acacia_standin::cut::Cut;

use crate::fixture::{Answer, Fixture, call, eventually};

async fn read(fixture: &Fixture, instance: usize, id: &str) -> Answer {
    call(fixture.address(instance), "GET", "/read/a", &fixture.headers(id), b"").await
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_one_instance() {
    let fixture = Fixture::start_behind_proxies(2).await;
    for instance in 0..2 {
        assert_eq!(read(&fixture, instance, "before").await.status, 200);
    }
    fixture.cut(0, Cut::Reset);
    let cut = read(&fixture, 0, "cut").await;
    let other = read(&fixture, 1, "other").await;
    assert_eq!(other.status, 200);
    // If the instance answers, another one has sent the request to a server.
    assert_eq!(fixture.runs("cut"), usize::from(cut.status == 200));
    fixture.heal(0);
    eventually("the instance serves again", async || {
        read(&fixture, 0, "after").await.status == 200
    })
    .await;
}
