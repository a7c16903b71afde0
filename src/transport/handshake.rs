//! The link handshake: both ends exchange their identities and prove that they know the
//! deployment's secret.

use crate::limits::LimitedStream;
use async_tungstenite::WebSocketStream;
use async_tungstenite::tungstenite::Message;
use futures_lite::StreamExt;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol::net::TcpStream;
use std::sync::Arc;

/// Version of the link protocol. Ends with different versions reject each other.
pub(crate) const VERSION: u32 = 1;

/// Context of the key derivation: the MAC key differs from the keys that other purposes derive from
/// the secret.
const KEY_CONTEXT: &str = "galenapick link proof v1";

/// Length of a nonce.
const NONCE_BYTES: usize = 32;

/// Identity of this end of a link, and the secret that all nodes of the deployment share.
#[derive(Clone)]
pub(crate) struct Identity {
    /// Name of the node.
    pub(crate) node: String,
    /// Number of this run of the process.
    pub(crate) incarnation: u64,
    /// Key material that proves membership in the deployment.
    pub(crate) secret: Arc<[u8]>,
}

/// Authenticated identity of the other end of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Remote {
    /// Name of the node.
    pub(crate) node: String,
    /// Number of that run of its process.
    pub(crate) incarnation: u64,
}

/// The reason why a link could not be set up.
#[derive(Debug)]
pub(crate) enum HandshakeError {
    /// The connection failed or timed out.
    Io(String),
    /// The other end uses this other version of the link protocol.
    Version(u32),
    /// The other end does not know the secret.
    Proof,
    /// A handshake message could not be encoded or decoded.
    Malformed,
}

impl std::fmt::Display for HandshakeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Io(reason) => write!(f, "connection failed: {reason}"),
            Self::Version(version) => write!(f, "the other end speaks version {version}"),
            Self::Proof => write!(f, "the other end does not know the secret"),
            Self::Malformed => write!(f, "malformed handshake"),
        }
    }
}

impl std::error::Error for HandshakeError {}

#[derive(Clone, Serialize, Deserialize)]
struct Hello {
    version: u32,
    node: String,
    incarnation: u64,
    nonce: [u8; NONCE_BYTES],
}

#[derive(Serialize, Deserialize)]
struct Proof {
    mac: [u8; blake3::OUT_LEN],
}

/// The end that makes a proof. The proof covers it, so that it cannot be reflected to its sender.
#[derive(Clone, Copy)]
pub(crate) enum Side {
    /// The end that dialled.
    Dialer,
    /// The end that accepted.
    Acceptor,
}

impl Side {
    fn other(self) -> Self {
        match self {
            Self::Dialer => Self::Acceptor,
            Self::Acceptor => Self::Dialer,
        }
    }

    fn label(self) -> &'static [u8] {
        match self {
            Self::Dialer => b"dialer",
            Self::Acceptor => b"acceptor",
        }
    }
}

type Socket = WebSocketStream<LimitedStream<TcpStream>>;

/// Performs the handshake and returns the identity of the other end.
pub(crate) async fn perform_handshake(
    socket: &mut Socket,
    identity: &Identity,
    side: Side,
) -> Result<Remote, HandshakeError> {
    let own = Hello {
        version: VERSION,
        node: identity.node.clone(),
        incarnation: identity.incarnation,
        nonce: generate_nonce(),
    };
    send(socket, &own).await?;
    let remote: Hello = receive(socket).await?;
    if remote.version != VERSION {
        return Err(HandshakeError::Version(remote.version));
    }
    let mac = compute_proof(identity, side, &own, &remote);
    send(socket, &Proof { mac: mac.into() }).await?;
    let proof: Proof = receive(socket).await?;
    let expected = compute_proof(identity, side.other(), &remote, &own);
    // `Hash` compares in constant time.
    if expected != blake3::Hash::from(proof.mac) {
        return Err(HandshakeError::Proof);
    }
    Ok(Remote {
        node: remote.node,
        incarnation: remote.incarnation,
    })
}

/// Computes the proof of the end `side`, which sent `own` and received `other`.
fn compute_proof(identity: &Identity, side: Side, own: &Hello, other: &Hello) -> blake3::Hash {
    let key = blake3::derive_key(KEY_CONTEXT, &identity.secret);
    let mut hasher = blake3::Hasher::new_keyed(&key);
    hasher.update(side.label());
    for hello in [own, other] {
        hasher.update(&(hello.node.len() as u64).to_le_bytes());
        hasher.update(hello.node.as_bytes());
        hasher.update(&hello.incarnation.to_le_bytes());
        hasher.update(&hello.nonce);
    }
    hasher.finalize()
}

/// Generates a nonce from the random keys with which the standard library seeds its hash maps.
fn generate_nonce() -> [u8; NONCE_BYTES] {
    use std::hash::{BuildHasher, RandomState};
    let mut nonce = [0; NONCE_BYTES];
    for chunk in nonce.chunks_mut(8) {
        let word = RandomState::new().hash_one(fastrand::u64(..));
        chunk.copy_from_slice(&word.to_le_bytes());
    }
    nonce
}

async fn send<T: Serialize>(socket: &mut Socket, message: &T) -> Result<(), HandshakeError> {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).map_err(|_| HandshakeError::Malformed)?;
    let sent = socket.send(Message::binary(buf)).await;
    sent.map_err(|e| HandshakeError::Io(e.to_string()))
}

async fn receive<T: DeserializeOwned>(socket: &mut Socket) -> Result<T, HandshakeError> {
    match socket.next().await {
        Some(Ok(Message::Binary(data))) => {
            ciborium::from_reader(&data[..]).map_err(|_| HandshakeError::Malformed)
        }
        Some(Ok(_)) => Err(HandshakeError::Malformed),
        Some(Err(e)) => Err(HandshakeError::Io(e.to_string())),
        None => Err(HandshakeError::Io("closed".to_string())),
    }
}
