//! The first messages of a link: who is there, and a proof that both ends know the secret.

use async_tungstenite::WebSocketStream;
use async_tungstenite::tungstenite::Message;
use futures_lite::StreamExt;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol::net::TcpStream;
use std::sync::Arc;

/// Version of the link protocol; ends with different versions do not talk.
pub(crate) const VERSION: u32 = 1;

/// Domain of the key derivation, so that the secret serves no other purpose as it is.
const KEY_CONTEXT: &str = "galenapick link proof v1";

/// Bytes of a nonce.
const NONCE_BYTES: usize = 32;

/// Who an end of a link is, and the secret that it shares with all nodes of the deployment.
#[derive(Clone)]
pub(crate) struct Identity {
    /// The node.
    pub(crate) node: String,
    /// This run of it.
    pub(crate) incarnation: u64,
    /// Proves membership of the deployment.
    pub(crate) secret: Arc<[u8]>,
}

/// The other end of a link, as proved by its handshake.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Remote {
    /// The node.
    pub(crate) node: String,
    /// Its run.
    pub(crate) incarnation: u64,
}

/// Why a link did not come up.
#[derive(Debug)]
pub(crate) enum HandshakeError {
    /// The connection failed.
    Io(String),
    /// The other end speaks another version.
    Version(u32),
    /// The other end does not know the secret.
    Proof,
    /// A message could not be read.
    Malformed,
}

impl std::fmt::Display for HandshakeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Io(why) => write!(f, "connection failed: {why}"),
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

/// Which end a proof is for, so that one end's proof cannot be sent back to it.
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

type Socket = WebSocketStream<TcpStream>;

/// Runs the handshake and returns who the other end is.
pub(crate) async fn shake(
    socket: &mut Socket,
    identity: &Identity,
    side: Side,
) -> Result<Remote, HandshakeError> {
    let mine = Hello {
        version: VERSION,
        node: identity.node.clone(),
        incarnation: identity.incarnation,
        nonce: draw_nonce(),
    };
    send(socket, &mine).await?;
    let theirs: Hello = receive(socket).await?;
    if theirs.version != VERSION {
        return Err(HandshakeError::Version(theirs.version));
    }
    let mac = prove(identity, side, &mine, &theirs);
    send(socket, &Proof { mac: mac.into() }).await?;
    let proof: Proof = receive(socket).await?;
    let expected = prove(identity, side.other(), &theirs, &mine);
    // `Hash` compares in constant time.
    if expected != blake3::Hash::from(proof.mac) {
        return Err(HandshakeError::Proof);
    }
    Ok(Remote {
        node: theirs.node,
        incarnation: theirs.incarnation,
    })
}

/// Computes the proof of the end `side`, which said `own` and heard `other`.
fn prove(identity: &Identity, side: Side, own: &Hello, other: &Hello) -> blake3::Hash {
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

/// Draws a nonce from the random keys that the standard library seeds its hash maps with.
fn draw_nonce() -> [u8; NONCE_BYTES] {
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
