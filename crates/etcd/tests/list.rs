//! List client with the stand-in.

use std::time::Duration;

use acacia_etcd::list::{Client, Error};
use acacia_policy::control::InstanceKind;
use acacia_standin::Fault;
use acacia_standin::list::{Instance, Kind, Presence, Settings, start};

fn instance(name: &str, state: Presence) -> Instance {
    Instance {
        name: name.into(),
        kind: Kind::Upstream,
        address: ([127, 0, 0, 1], 9).into(),
        zone: "a".into(),
        state,
        incarnation: 3,
    }
}

#[tokio::test]
async fn read_live_and_leaving() {
    let instances = vec![instance("one", Presence::Live), instance("two", Presence::Leaving)];
    let standin = start(Settings { instances, ..Settings::default() }).await.unwrap();
    let client = Client::new(standin.address);
    let read = client.read().await.unwrap();
    let seen: Vec<_> = read.iter().map(|i| (&*i.name, i.leaving, i.kind, i.incarnation)).collect();
    let kind = InstanceKind::Upstream;
    assert_eq!(seen, [("one", false, kind, 3), ("two", true, kind, 3)]);
    standin.remove("one");
    standin.put(instance("three", Presence::Live));
    let names: Vec<_> = client.read().await.unwrap().into_iter().map(|i| i.name).collect();
    assert_eq!(names, ["three".into(), "two".into()]);
}

#[tokio::test]
async fn read_outdated() {
    let lag = Duration::from_secs(3_600);
    let standin = start(Settings { lag, ..Settings::default() }).await.unwrap();
    let client = Client::new(standin.address);
    standin.put(instance("one", Presence::Live));
    assert_eq!(client.read().await.unwrap(), []);
}

#[tokio::test]
async fn read_down() {
    let standin = start(Settings::default()).await.unwrap();
    let client = Client::new(standin.address);
    standin.fault(Fault::Down { on: true }).unwrap();
    assert!(matches!(client.read().await, Err(Error::Refused { status: 503, .. })));
    standin.fault(Fault::Frozen { on: true }).unwrap();
    let client = client.with_timeout(Duration::from_millis(20));
    assert!(matches!(client.read().await, Err(Error::Unreachable { .. })));
}
