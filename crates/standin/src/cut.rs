//! Cuts between single processes and all servers behind proxies.
//!
//! The proxies of a deployment share one [`Cuts`] table. A proxy finds the process at the other end
//! of a connection by the socket, which only the process that opened the connection has.

use std::collections::BTreeMap;
use std::fs;
use std::io::Read;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;
use std::sync::Arc;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::sync::watch;

/// Numbers of Linux's interface for socket information, `sock_diag(7)`.
const AF_NETLINK: i32 = 16;
const NETLINK_SOCK_DIAG: i32 = 4;
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
const AF_INET: u8 = 2;
const IPPROTO_TCP: u8 = 6;
/// Size of a request for one socket.
const DIAG_REQUEST_BYTES: usize = 72;
/// Size of the part of an answer that is read.
const DIAG_ANSWER_BYTES: usize = 88;
/// Where the inode lies in an answer.
const DIAG_INODE: Range<usize> = 84..88;

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
    Nobody {
        /// Whether a process was cut off when the connection was accepted.
        is_cut: bool,
    },
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

    /// Finds who opened a connection from `peer` to `local` that has just been accepted.
    pub(crate) fn owner(
        &self,
        peer: SocketAddr,
        local: SocketAddr,
    ) -> impl Future<Output = Owner> + use<> {
        let table = self.0.borrow().clone();
        async move {
            if table.is_empty() {
                return Owner::Other;
            }
            let nobody = Owner::Nobody { is_cut: table.values().any(Option::is_some) };
            let search = move || find(table.into_keys(), peer, local);
            // A connection that nobody has any more may be of a process that is cut off.
            tokio::task::spawn_blocking(search).await.ok().flatten().unwrap_or(nobody)
        }
    }
}

impl Owner {
    /// The cut that applies to the connection. One that nobody has any more may be of any process.
    pub(crate) fn cut(self, table: &Table) -> Option<Cut> {
        match self {
            Self::Process(process) => table.get(&process).copied().flatten(),
            Self::Other => None,
            Self::Nobody { is_cut } => {
                (is_cut || table.values().any(Option::is_some)).then_some(Cut::Reset)
            }
        }
    }
}

/// Finds who has the other end of a connection; none if nobody has.
fn find(
    mut processes: impl Iterator<Item = ProcessId>,
    peer: SocketAddr,
    local: SocketAddr,
) -> Option<Owner> {
    let inode = inode(peer, local)?;
    let link = format!("socket:[{inode}]");
    let has_socket = |process: &ProcessId| {
        // The process or one of its files may be gone by now.
        let files = fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten().flatten();
        let mut links = files.filter_map(|file| fs::read_link(file.path()).ok());
        links.any(|target| target == Path::new(&link))
    };
    match processes.find(has_socket) {
        Some(process) => Some(Owner::Process(process)),
        // One of the processes may have closed it during the search.
        None => self::inode(peer, local).map(|_| Owner::Other),
    }
}

/// Inode of the socket that is connected from `local` to `remote`, if a process has it. The kernel
/// is asked for this one socket: `/proc/net/tcp` lists all, with thousands that are closing.
fn inode(local: SocketAddr, remote: SocketAddr) -> Option<u32> {
    let (SocketAddr::V4(local), SocketAddr::V4(remote)) = (local, remote) else { return None };
    let mut request = Vec::from((DIAG_REQUEST_BYTES as u32).to_ne_bytes());
    request.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    request.extend(NLM_F_REQUEST.to_ne_bytes());
    // Sequence number and port; extensions and padding; all states.
    request.extend([0; 8]);
    request.extend([AF_INET, IPPROTO_TCP, 0, 0, 0xff, 0xff, 0xff, 0xff]);
    request.extend([local.port().to_be_bytes(), remote.port().to_be_bytes()].as_flattened());
    for address in [local, remote] {
        request.extend(address.ip().octets());
        request.extend([0; 12]);
    }
    // Any interface; no cookie.
    request.extend([0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]);
    let protocol = Some(Protocol::from(NETLINK_SOCK_DIAG));
    let mut socket = Socket::new(Domain::from(AF_NETLINK), Type::DGRAM, protocol).ok()?;
    socket.send(&request).ok()?;
    let mut answer = [0; DIAG_ANSWER_BYTES];
    let count = socket.read(&mut answer).ok()?;
    // An answer that the socket isn't found is shorter.
    let inode = answer.get(..count)?.get(DIAG_INODE)?;
    Some(u32::from_ne_bytes(inode.try_into().ok()?)).filter(|inode| *inode != 0)
}
