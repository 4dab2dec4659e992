//! Availability zones that operators take out of service.

use acacia_catalog::object::AdminState;
use acacia_standin::Counter;

use crate::system::{Plan, System, expected, token_ids};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_out_gets_no_requests() {
    let system = System::start(Plan::default()).await;
    system.zone(0, AdminState::Out).await;
    let before = system.engines[0].count(Counter::Started);
    for index in 0..12 {
        let prompt = format!("question {index}");
        let request = system.completion(index % 3, &prompt, 4, false);
        let response = system.send_ok(index % 3, request).await;
        assert_eq!(token_ids(&response.json().await.unwrap()), expected(&prompt, 4));
    }
    assert_eq!(system.engines[0].count(Counter::Started), before);
    assert_eq!(system.engines[1].count(Counter::Finished), 12);
}
