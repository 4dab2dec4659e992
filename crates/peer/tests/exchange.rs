//! Client and server over loopback.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use acacia_catalog::chunk::Hash;
use acacia_peer::client::Outcome;
use acacia_peer::server::{self, Delivery};
use acacia_peer::{Client, Counters, MAX_BODY_BYTES, PATH};
use acacia_policy::message::{Chunk, Envelope, Message, Sender};
use acacia_standin::early;
use salvo::conn::Acceptor;
use salvo::prelude::*;

type Inbox = Arc<Mutex<Vec<Envelope>>>;

fn envelope(name: &str) -> Envelope {
    let address = SocketAddr::from(([127, 0, 0, 1], 7000));
    let from = Sender { daemon: name.into(), zone: "a".into(), address };
    Envelope { from, message: Message::Hello }
}

async fn serve(delivery: Delivery) -> (SocketAddr, Inbox, Arc<Counters>) {
    let inbox = Inbox::default();
    let counters = Arc::new(Counters::default());
    let sink = {
        let inbox = inbox.clone();
        move |batch: Vec<Envelope>| {
            if delivery == Delivery::Taken {
                inbox.lock().expect("no panic before").extend(batch);
            }
            delivery
        }
    };
    let router = server::router(sink, counters.clone());
    let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
    let address = acceptor.holdings()[0].local_addr.clone().into_std().expect("an IP address");
    tokio::spawn(Server::new(acceptor).serve(router));
    (address, inbox, counters)
}

async fn post(address: SocketAddr, body: Vec<u8>) -> u16 {
    let url = format!("http://{address}{PATH}");
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    http.post(url).body(body).send().await.expect("an answer").status().as_u16()
}

#[tokio::test]
async fn send_delivered() {
    let (address, inbox, received) = serve(Delivery::Taken).await;
    let client = Client::new().unwrap();
    let batch = [envelope("x"), envelope("y")];
    assert_eq!(client.send(address, &batch).await, Outcome::Sent);
    assert_eq!(*inbox.lock().unwrap(), batch);
    assert_eq!(client.counters().messages.get(), 2);
    assert_eq!(received.messages.get(), 2);
    assert_eq!(received.bytes.get(), client.counters().bytes.get());
}

#[tokio::test]
async fn send_large() {
    let (address, inbox, received) = serve(Delivery::Taken).await;
    let client = Client::new().unwrap();
    let chunk = Chunk { hash: Hash::of(b"x"), bytes: vec![7; MAX_BODY_BYTES / 2] };
    let batch = vec![Envelope { message: Message::Chunk(chunk), ..envelope("x") }; 5];
    assert_eq!(client.send(address, &batch).await, Outcome::Sent);
    assert_eq!(*inbox.lock().unwrap(), batch);
    assert_eq!((received.messages.get(), received.refused.get()), (5, 0));
}

#[tokio::test]
async fn send_too_large() {
    let (address, inbox, _) = serve(Delivery::Taken).await;
    let client = Client::new().unwrap();
    let chunk = Chunk { hash: Hash::of(b"x"), bytes: vec![7; MAX_BODY_BYTES] };
    let large = Envelope { message: Message::Chunk(chunk), ..envelope("x") };
    assert_eq!(client.send(address, &[large, envelope("y")]).await, Outcome::Dropped);
    assert_eq!(*inbox.lock().unwrap(), [envelope("y")]);
    assert_eq!(client.counters().dropped.get(), 1);
}

#[tokio::test]
async fn send_full() {
    let (address, _, received) = serve(Delivery::Full).await;
    let client = Client::new().unwrap();
    assert_eq!(client.send(address, &[envelope("x")]).await, Outcome::Dropped);
    assert_eq!(client.counters().dropped.get(), 1);
    assert_eq!(client.counters().batches.get(), 0);
    assert_eq!(received.dropped.get(), 1);
}

#[tokio::test]
async fn send_unreachable() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let client = Client::new().unwrap();
    assert_eq!(client.send(closed, &[envelope("x")]).await, Outcome::Dropped);
    assert_eq!(client.counters().dropped.get(), 1);
}

#[tokio::test]
async fn receive_refused() {
    let (address, inbox, received) = serve(Delivery::Taken).await;
    let client = Client::new().unwrap();
    assert_eq!(post(address, b"not a batch".to_vec()).await, 400);
    assert_eq!(post(address, vec![0; MAX_BODY_BYTES + 1]).await, 413);
    assert_eq!(received.refused.get(), 2);
    assert!(inbox.lock().unwrap().is_empty());
    assert_eq!(client.send(address, &[envelope("x")]).await, Outcome::Sent);
}

/// A batch counts as sent only after the whole answer.
#[tokio::test]
async fn send_answer_broken() {
    let chunk = Chunk { hash: Hash::of(b"x"), bytes: vec![7; MAX_BODY_BYTES - 1_024] };
    let large = Envelope { message: Message::Chunk(chunk), ..envelope("x") };
    for answer in [
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nhel",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhel",
        "HTTP/1.1 000 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 999 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx more: 1\r\ncontent-length: 0\r\n\r\n",
    ] {
        let server = early::Server::start(answer).unwrap();
        let client = Client::new().unwrap();
        let outcome = client.send(server.address, std::slice::from_ref(&large)).await;
        assert_eq!(outcome, Outcome::Dropped, "{answer:?}");
    }
}
