//! Opening links, and the two tasks that drive one.

use super::{
    Frame, FrameOf, Inbound, Link, MESSAGE_MAX_BYTES, Responder, Serve, Shared, Timing, Traffic,
    Wire,
};
use crate::transport::handshake::{HandshakeError, Identity, Remote, Side, shake};
use crate::transport::spawn::Spawner;
use async_channel::Receiver;
use async_tungstenite::tungstenite::Message;
use async_tungstenite::tungstenite::protocol::WebSocketConfig;
use async_tungstenite::{WebSocketReceiver, WebSocketSender, WebSocketStream};
use futures_lite::{FutureExt, StreamExt};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};
use std::future::Future;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Frames are put into one message up to this size.
const BATCH_BYTES: usize = 64 << 10;

/// Pause after a failed accept, so that a lack of file handles does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What a link needs besides its socket.
#[derive(Clone)]
pub(crate) struct Context<S> {
    /// Who this end is.
    pub(crate) identity: Identity,
    /// Heartbeats and deadlines.
    pub(crate) timing: Timing,
    /// Where the link's tasks run.
    pub(crate) spawner: Spawner,
    /// Answers the other end's requests.
    pub(crate) server: S,
    /// Counts the bytes of all links of the node.
    pub(crate) traffic: Arc<Traffic>,
}

/// Dials another process.
pub(crate) async fn dial<W: Wire, S: Serve<W>>(
    address: &str,
    context: &Context<S>,
) -> Result<Link<W>, HandshakeError> {
    let connect = async {
        let tcp = TcpStream::connect(address).await;
        let tcp = tcp.map_err(|e| HandshakeError::Io(e.to_string()))?;
        set_nodelay(&tcp);
        let url = format!("ws://{address}/link");
        let shaken = async_tungstenite::client_async_with_config(url, tcp, Some(config())).await;
        let (mut socket, _) = shaken.map_err(|e| HandshakeError::Io(e.to_string()))?;
        let remote = shake(&mut socket, &context.identity, Side::Dialer).await?;
        Ok((socket, remote))
    };
    let (socket, remote) = within(context.timing.connect, connect).await?;
    Ok(start(socket, remote, context))
}

/// Accepts links while the runtime lives.
pub(crate) async fn accept<W: Wire, S: Serve<W>>(listener: TcpListener, context: Context<S>) {
    loop {
        let tcp = match listener.accept().await {
            Ok((tcp, _)) => tcp,
            Err(e) => {
                log::warn!(target: "link", "link: accept failed: {e}");
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let context = context.clone();
        let spawner = context.spawner.clone();
        spawner.spawn(async move {
            if let Err(e) = admit::<W, S>(tcp, &context).await {
                log::info!(target: "link", "link: refused: {e}");
            }
        });
    }
}

async fn admit<W: Wire, S: Serve<W>>(
    tcp: TcpStream,
    context: &Context<S>,
) -> Result<(), HandshakeError> {
    set_nodelay(&tcp);
    let admit = async {
        let shaken = async_tungstenite::accept_async_with_config(tcp, Some(config())).await;
        let mut socket = shaken.map_err(|e| HandshakeError::Io(e.to_string()))?;
        let remote = shake(&mut socket, &context.identity, Side::Acceptor).await?;
        Ok((socket, remote))
    };
    let (socket, remote) = within(context.timing.connect, admit).await?;
    start::<W, S>(socket, remote, context);
    Ok(())
}

async fn within<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, HandshakeError>>,
) -> Result<T, HandshakeError> {
    let late = async {
        Timer::after(limit).await;
        Err(HandshakeError::Io("timed out".to_string()))
    };
    work.or(late).await
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MESSAGE_MAX_BYTES + BATCH_BYTES))
        .max_frame_size(Some(MESSAGE_MAX_BYTES + BATCH_BYTES))
}

fn set_nodelay(tcp: &TcpStream) {
    // Only latency suffers where the option is refused.
    let _ = tcp.set_nodelay(true);
}

fn start<W: Wire, S: Serve<W>>(
    socket: WebSocketStream<TcpStream>,
    remote: Remote,
    context: &Context<S>,
) -> Link<W> {
    let (out, queue) = async_channel::unbounded();
    let link = Link(Arc::new(Shared {
        remote,
        out,
        next_stream: AtomicU64::new(1),
        opened: Mutex::default(),
        served: Mutex::default(),
        heard: Mutex::new(Instant::now()),
    }));
    let (sender, receiver) = socket.split();
    let timing = context.timing;
    let writing = link.clone();
    let traffic = context.traffic.clone();
    context.spawner.spawn(async move {
        write(sender, queue, &writing, timing, &traffic).await;
        writing.close();
    });
    let reading = link.clone();
    let context = context.clone();
    let spawner = context.spawner.clone();
    spawner.spawn(async move {
        let reason = read(receiver, &reading, &context).await;
        let node = &reading.remote().node;
        log::info!(target: "link", "link: closed to {node}: {reason}");
        reading.close();
    });
    link
}

async fn write<W: Wire>(
    mut socket: WebSocketSender<TcpStream>,
    queue: Receiver<Vec<u8>>,
    link: &Link<W>,
    timing: Timing,
    traffic: &Traffic,
) {
    loop {
        let Ok(mut batch) = queue.recv().or(beat(link, timing)).await else {
            break;
        };
        while batch.len() < BATCH_BYTES {
            match queue.try_recv() {
                Ok(more) => batch.extend_from_slice(&more),
                Err(_) => break,
            }
        }
        traffic.add_sent(batch.len());
        if socket.send(Message::binary(batch)).await.is_err() {
            break;
        }
    }
    let _ = socket.close(None).await;
}

/// Waits until a heartbeat is due. An idle link that becomes active beats in the quicker time.
async fn beat<W: Wire>(
    link: &Link<W>,
    timing: Timing,
) -> Result<Vec<u8>, async_channel::RecvError> {
    for _ in 0..timing.idle_factor {
        Timer::after(timing.heartbeat).await;
        if link.0.is_active() {
            break;
        }
    }
    Ok(encode_heartbeat::<W>())
}

fn encode_heartbeat<W: Wire>() -> Vec<u8> {
    let mut buf = Vec::new();
    let frame: FrameOf<W> = Frame::Heartbeat;
    ciborium::into_writer(&frame, &mut buf).expect("a unit variant encodes into memory");
    buf
}

/// Why a link closed.
enum Closed {
    Silent,
    Ended,
    Malformed(&'static str),
}

impl std::fmt::Display for Closed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Silent => write!(f, "silent for too long"),
            Self::Ended => write!(f, "the other end closed it"),
            Self::Malformed(what) => write!(f, "malformed: {what}"),
        }
    }
}

async fn read<W: Wire, S: Serve<W>>(
    mut socket: WebSocketReceiver<TcpStream>,
    link: &Link<W>,
    context: &Context<S>,
) -> Closed {
    loop {
        let silent = async {
            silence(link, context.timing).await;
            Err(Closed::Silent)
        };
        let message = match async { Ok(socket.next().await) }.or(silent).await {
            Ok(message) => message,
            Err(reason) => return reason,
        };
        let taken = match message {
            Some(Ok(Message::Binary(data))) => {
                link.note_heard();
                context.traffic.add_received(data.len());
                take_batch(&data, link, context)
            }
            Some(Ok(Message::Close(_)) | Err(_)) | None => Err(Closed::Ended),
            Some(Ok(_)) => Ok(()),
        };
        if let Err(reason) = taken {
            return reason;
        }
    }
}

/// Waits until silence has lasted too long: two deadlines in a row with a stream open, so that
/// the other end has had one to notice the stream, or many without.
async fn silence<W: Wire>(link: &Link<W>, timing: Timing) {
    let mut was_active = false;
    for _ in 0..timing.idle_factor {
        Timer::after(timing.deadline / 2).await;
        let active = link.0.is_active();
        if active && was_active {
            return;
        }
        was_active = active;
    }
}

fn take_batch<W: Wire, S: Serve<W>>(
    mut data: &[u8],
    link: &Link<W>,
    context: &Context<S>,
) -> Result<(), Closed> {
    while !data.is_empty() {
        let frame: FrameOf<W> =
            ciborium::from_reader(&mut data).map_err(|_| Closed::Malformed("frame"))?;
        take_frame(frame, link, context)?;
    }
    Ok(())
}

fn take_frame<W: Wire, S: Serve<W>>(
    frame: FrameOf<W>,
    link: &Link<W>,
    context: &Context<S>,
) -> Result<(), Closed> {
    match frame {
        Frame::Heartbeat => Ok(()),
        Frame::Open { stream, request } => take_request(stream, request, link, context),
        Frame::Event {
            stream,
            sequence,
            event,
        } => take_part(stream, sequence, Inbound::Event(event), link),
        Frame::Reply {
            stream,
            sequence,
            reply,
        } => take_part(stream, sequence, Inbound::Reply(reply), link),
        Frame::Credit { stream, events } => {
            if let Some(grants) = link.0.served().get(&stream) {
                let _ = grants.try_send(events);
            }
            Ok(())
        }
        Frame::Reset { stream } => {
            link.0.served().remove(&stream);
            Ok(())
        }
    }
}

fn take_request<W: Wire, S: Serve<W>>(
    stream: u64,
    request: W::Request,
    link: &Link<W>,
    context: &Context<S>,
) -> Result<(), Closed> {
    let (grant, grants) = async_channel::unbounded();
    if link.0.served().insert(stream, grant).is_some() {
        return Err(Closed::Malformed("stream opened twice"));
    }
    let responder = Responder::new(link.0.clone(), stream, grants);
    let server = context.server.clone();
    let remote = link.remote().clone();
    context
        .spawner
        .spawn(async move { server.serve(remote, request, responder).await });
    Ok(())
}

fn take_part<W: Wire>(
    stream: u64,
    sequence: u32,
    part: Inbound<W>,
    link: &Link<W>,
) -> Result<(), Closed> {
    let mut opened = link.0.opened();
    // A part for a stream that this end has reset was under way already.
    let Some(slot) = opened.get_mut(&stream) else {
        return Ok(());
    };
    if slot.sequence != sequence {
        return Err(Closed::Malformed("part out of sequence"));
    }
    slot.sequence += 1;
    let last = matches!(part, Inbound::Reply(_));
    let _ = slot.tx.try_send(part);
    if last {
        opened.remove(&stream);
    }
    Ok(())
}
