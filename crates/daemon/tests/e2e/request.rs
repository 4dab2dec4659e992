//! Requests from callers through a daemon to upstreams.

use crate::system::{KEY, OTHER_KEY, Plan, System, expected, read_stream, token_ids};
use acacia_standin::Counter;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn completion_unstreamed() {
    let system = System::start(Plan::default()).await;
    for daemon in 0..3 {
        let request = system.completion(daemon, "a short question", 8, false);
        let response = system.send_ok(daemon, request).await;
        let body: serde_json::Value = response.json().await.unwrap();
        assert_eq!(token_ids(&body), expected("a short question", 8));
        assert_eq!(body["usage"]["completion_tokens"], 8);
    }
    assert_eq!(system.at_engines(Counter::Finished), 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn completion_streamed() {
    let system = System::start(Plan::default()).await;
    for daemon in 0..3 {
        let request = system.completion(daemon, "a streamed question", 12, true);
        let response = system.send_ok(daemon, request).await;
        let read = read_stream(response).await;
        assert_eq!(read, (expected("a streamed question", 12), true));
    }
    assert_eq!(system.at_engines(Counter::Finished), 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn service_called() {
    let system = System::start(Plan::default()).await;
    let answer = system.charge(0, None, "one blade").send().await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["x-acacia-verdict"], "ran");
    assert_eq!(system.at_services(Counter::Finished), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_refused() {
    let system = System::start(Plan::default()).await;
    let body = serde_json::json!({ "model": "model", "prompt": "a question", "max_tokens": 4 });
    let url = format!("http://{}/v1/completions", system.daemons[0].caller_address());
    let request = || system.http.post(&url).json(&body);
    let none = request();
    let wrong = request().bearer_auth("no such key");
    let two = request().bearer_auth(KEY).bearer_auth("no such key");
    for request in [none, wrong, two] {
        let response = request.send().await.unwrap();
        assert_eq!(response.status(), 401);
        assert_eq!(response.headers()["x-acacia-verdict"], "not_run");
    }
    assert_eq!(system.at_engines(Counter::Started), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn model_of_other_organisation_refused() {
    let system = System::start(Plan::default()).await;
    let address = system.daemons[0].caller_address();
    let send = |key: &str, model: &str| {
        let body = serde_json::json!({ "model": model, "prompt": "a question", "max_tokens": 4 });
        let url = format!("http://{address}/v1/completions");
        system.http.post(url).bearer_auth(key.to_owned()).json(&body).send()
    };
    let other = send(OTHER_KEY, "model").await.unwrap();
    assert_eq!(other.status(), 404);
    let other: serde_json::Value = other.json().await.unwrap();
    let none: serde_json::Value = send(KEY, "mystery").await.unwrap().json().await.unwrap();
    let without_name = |body: &serde_json::Value, name: &str| {
        let error = &body["error"];
        let message = error["message"].as_str().unwrap().replace(&format!("`{name}`"), "");
        (error["code"].clone(), message, error["hint"].clone(), error["verdict"].clone())
    };
    assert_eq!(without_name(&other, "model"), without_name(&none, "mystery").clone());
    assert_eq!(system.at_engines(Counter::Started), 0);
}
