//! Cuts between single processes and all servers behind proxies.
//!
//! The proxies of a deployment share one [`Cuts`] table. A proxy finds the process at the other end
//! of a connection in `/proc`: only the process that opened the connection has its socket.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::{fs, io};

use tokio::sync::watch;

/// Id of a process.
pub type ProcessId = u32;

/// How the connections of a process to servers are cut.
///
/// Connections end at the proxy, whose kernel completes each handshake and acknowledges all bytes.
/// `connect` therefore succeeds in all modes, though it would hang or fail in a network that drops
/// or refuses connections: a process can't tell that the server has got nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// Bytes and ends of connections are held until the cut ends. A new connection reaches its
    /// server only then, and not at all if it is closed before.
    Hang,
    /// Open connections are reset, and new ones as soon as they are accepted.
    Reset,
    /// Open connections go on; new ones are reset as soon as they are accepted.
    RefuseNew,
}

/// The processes of a deployment, with their cuts.
#[derive(Clone, Debug, Default)]
pub struct Cuts(Arc<watch::Sender<Table>>);

/// The cut of each registered process, if it has one.
pub(crate) type Table = BTreeMap<ProcessId, Option<Cut>>;

/// Who has the other end of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Owner {
    /// A registered process.
    Process(ProcessId),
    /// Another process.
    Other,
    /// No process: it has closed the connection.
    Nobody,
}

impl Cuts {
    /// Adds a process; its cut applies to the connections that it opens from now on.
    pub fn register(&self, process: ProcessId) {
        self.0.send_modify(|table| {
            table.insert(process, None);
        });
    }

    /// Removes a process that has ended.
    pub fn remove(&self, process: ProcessId) {
        self.0.send_modify(|table| {
            table.remove(&process);
        });
    }

    /// Cuts a registered process off all servers.
    pub fn set(&self, process: ProcessId, cut: Cut) {
        self.change(process, Some(cut));
    }

    /// Ends the cut of a process.
    pub fn heal(&self, process: ProcessId) {
        self.change(process, None);
    }

    fn change(&self, process: ProcessId, cut: Option<Cut>) {
        self.0.send_modify(|table| {
            if let Some(current) = table.get_mut(&process) {
                *current = cut;
            }
        });
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<Table> {
        self.0.subscribe()
    }

    /// Finds who opened a connection from `peer` to `local`.
    pub(crate) async fn owner(&self, peer: SocketAddr, local: SocketAddr) -> Owner {
        let processes: Vec<ProcessId> = self.0.borrow().keys().copied().collect();
        if processes.is_empty() {
            return Owner::Other;
        }
        let found = tokio::task::spawn_blocking(move || find(&processes, peer, local)).await;
        // A search that fails is not attributed to a process without a cut.
        found.map_or(Owner::Nobody, |found| found.unwrap_or(Owner::Nobody))
    }
}

impl Owner {
    /// The cut that applies to the connection. One that nobody has any more may be of any process.
    pub(crate) fn cut(self, table: &Table) -> Option<Cut> {
        match self {
            Self::Process(process) => table.get(&process).copied().flatten(),
            Self::Other => None,
            Self::Nobody => table.values().any(Option::is_some).then_some(Cut::Reset),
        }
    }
}

fn find(processes: &[ProcessId], peer: SocketAddr, local: SocketAddr) -> io::Result<Owner> {
    let sockets = fs::read_to_string("/proc/net/tcp")?;
    let Some(inode) = sockets.lines().find_map(|line| inode(line, peer, local)) else {
        return Ok(Owner::Nobody);
    };
    let link = format!("socket:[{inode}]");
    let has_socket = |process: &&ProcessId| {
        // The process or one of its files may be gone by now.
        let files = fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten().flatten();
        let mut links = files.filter_map(|file| fs::read_link(file.path()).ok());
        links.any(|target| target == Path::new(&link))
    };
    Ok(processes.iter().find(has_socket).map_or(Owner::Other, |process| Owner::Process(*process)))
}

/// Inode of the socket in a line of `/proc/net/tcp`, if it is connected from `local` to `remote` and
/// a process has it.
fn inode(line: &str, local: SocketAddr, remote: SocketAddr) -> Option<u64> {
    let mut fields = line.split_whitespace().skip(1);
    let is_match = address(fields.next()?)? == local && address(fields.next()?)? == remote;
    let inode: u64 = fields.nth(6)?.parse().ok()?;
    (is_match && inode != 0).then_some(inode)
}

/// An address in `/proc/net/tcp`: the bytes of the IP address as a number in native byte order, and
/// the port, both hexadecimal.
fn address(field: &str) -> Option<SocketAddr> {
    let (ip, port) = field.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some((Ipv4Addr::from(ip.to_ne_bytes()), port).into())
}
