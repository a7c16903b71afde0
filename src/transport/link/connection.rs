//! Dialling and accepting links, and the reader and writer task of each link.

use super::{
    Frame, FrameOf, Inbound, Link, LinkTiming, MAX_FRAME_BYTES, Protocol, RequestHandler,
    Responder, Shared, Traffic, WINDOW_EVENTS,
};
use crate::limits::{LimitedStream, MAX_HANDSHAKE_BYTES};
use crate::transport::handshake::{HandshakeError, Identity, Remote, Side, perform_handshake};
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

/// Queued frames are combined into one WebSocket message until it reaches this size.
const BATCH_BYTES: usize = 64 << 10;

/// Pause after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The connection of a link, with a limit until the handshake is complete.
type LinkStream = LimitedStream<TcpStream>;

/// Everything a link needs besides its socket.
#[derive(Clone)]
pub(crate) struct Context<H> {
    /// Identity of this end.
    pub(crate) identity: Identity,
    /// Heartbeat intervals and timeouts.
    pub(crate) timing: LinkTiming,
    /// Spawns the link's tasks.
    pub(crate) spawner: Spawner,
    /// Handles the other end's requests.
    pub(crate) handler: H,
    /// Byte counters of all links of the node.
    pub(crate) traffic: Arc<Traffic>,
}

/// Dials another process and performs the handshake.
pub(crate) async fn dial<P: Protocol, H: RequestHandler<P>>(
    address: &str,
    context: &Context<H>,
) -> Result<Link<P>, HandshakeError> {
    let connect = async {
        let tcp = TcpStream::connect(address).await;
        let tcp = tcp.map_err(|e| HandshakeError::Io(e.to_string()))?;
        set_nodelay(&tcp);
        let tcp = LimitedStream::new(tcp, MAX_HANDSHAKE_BYTES);
        let url = format!("ws://{address}/link");
        let upgraded =
            async_tungstenite::client_async_with_config(url, tcp, Some(websocket_config())).await;
        let (mut socket, _) = upgraded.map_err(|e| HandshakeError::Io(e.to_string()))?;
        let remote = perform_handshake(&mut socket, &context.identity, Side::Dialer).await?;
        Ok((socket, remote))
    };
    let (socket, remote) = with_timeout(context.timing.connect_timeout, connect).await?;
    Ok(spawn_link(socket, remote, context))
}

/// Accepts links until the runtime is dropped.
pub(crate) async fn accept<P: Protocol, H: RequestHandler<P>>(
    listener: TcpListener,
    context: Context<H>,
) {
    loop {
        let tcp = match listener.accept().await {
            Ok((tcp, _)) => tcp,
            Err(e) => {
                log::warn!(target: "link", "link: cannot accept a connection: {e}; retrying after a pause");
                Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let context = context.clone();
        let spawner = context.spawner.clone();
        spawner.spawn(async move {
            if let Err(e) = accept_link::<P, H>(tcp, &context).await {
                log::info!(target: "link", "link: incoming connection rejected: {e}");
            }
        });
    }
}

async fn accept_link<P: Protocol, H: RequestHandler<P>>(
    tcp: TcpStream,
    context: &Context<H>,
) -> Result<(), HandshakeError> {
    set_nodelay(&tcp);
    let tcp = LimitedStream::new(tcp, MAX_HANDSHAKE_BYTES);
    let accept_link = async {
        let upgraded =
            async_tungstenite::accept_async_with_config(tcp, Some(websocket_config())).await;
        let mut socket = upgraded.map_err(|e| HandshakeError::Io(e.to_string()))?;
        let remote = perform_handshake(&mut socket, &context.identity, Side::Acceptor).await?;
        Ok((socket, remote))
    };
    let (socket, remote) = with_timeout(context.timing.connect_timeout, accept_link).await?;
    spawn_link::<P, H>(socket, remote, context);
    Ok(())
}

async fn with_timeout<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, HandshakeError>>,
) -> Result<T, HandshakeError> {
    let timeout = async {
        Timer::after(limit).await;
        Err(HandshakeError::Io("timed out".to_string()))
    };
    work.or(timeout).await
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES + BATCH_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES + BATCH_BYTES))
}

fn set_nodelay(tcp: &TcpStream) {
    // A failure only adds latency, so it is ignored.
    let _ = tcp.set_nodelay(true);
}

fn spawn_link<P: Protocol, H: RequestHandler<P>>(
    mut socket: WebSocketStream<LinkStream>,
    remote: Remote,
    context: &Context<H>,
) -> Link<P> {
    let (outgoing, queue) = async_channel::unbounded();
    let link = Link(Arc::new(Shared {
        remote,
        outgoing,
        next_stream: AtomicU64::new(1),
        local_streams: Mutex::default(),
        remote_streams: Mutex::default(),
        last_received: Mutex::new(Instant::now()),
    }));
    socket.get_mut().set_limit(u64::MAX);
    let (sender, receiver) = socket.split();
    let timing = context.timing;
    let writer_link = link.clone();
    let traffic = context.traffic.clone();
    context.spawner.spawn(async move {
        write(sender, queue, &writer_link, timing, &traffic).await;
        writer_link.close();
    });
    let reader_link = link.clone();
    let context = context.clone();
    let spawner = context.spawner.clone();
    spawner.spawn(async move {
        let reason = read(receiver, &reader_link, &context).await;
        let node = &reader_link.remote().node;
        log::info!(target: "link", "link: connection to {node} closed: {reason}");
        reader_link.close();
    });
    link
}

async fn write<P: Protocol>(
    mut socket: WebSocketSender<LinkStream>,
    queue: Receiver<Vec<u8>>,
    link: &Link<P>,
    timing: LinkTiming,
    traffic: &Traffic,
) {
    loop {
        let Ok(mut batch) = queue.recv().or(next_heartbeat(link, timing)).await else {
            break;
        };
        while batch.len() < BATCH_BYTES {
            match queue.try_recv() {
                Ok(frame) => batch.extend_from_slice(&frame),
                Err(_) => break,
            }
        }
        traffic.count_sent(batch.len());
        if socket.send(Message::binary(batch)).await.is_err() {
            break;
        }
    }
    let _ = socket.close(None).await;
}

/// Waits until a heartbeat is due and returns it. When an idle link becomes active, the heartbeat is
/// due after the shorter interval.
async fn next_heartbeat<P: Protocol>(
    link: &Link<P>,
    timing: LinkTiming,
) -> Result<Vec<u8>, async_channel::RecvError> {
    for _ in 0..timing.idle_factor {
        Timer::after(timing.heartbeat_interval).await;
        if link.0.is_active() {
            break;
        }
    }
    Ok(encode_heartbeat::<P>())
}

fn encode_heartbeat<P: Protocol>() -> Vec<u8> {
    let mut buf = Vec::new();
    let frame: FrameOf<P> = Frame::Heartbeat;
    ciborium::into_writer(&frame, &mut buf).expect("a unit variant encodes into memory");
    buf
}

/// The reason why a link closed.
enum CloseReason {
    Silent,
    ClosedByPeer,
    Malformed(&'static str),
}

impl std::fmt::Display for CloseReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Silent => write!(f, "no message received within the silence timeout"),
            Self::ClosedByPeer => write!(f, "closed by the other end"),
            Self::Malformed(reason) => write!(f, "malformed data: {reason}"),
        }
    }
}

async fn read<P: Protocol, H: RequestHandler<P>>(
    mut socket: WebSocketReceiver<LinkStream>,
    link: &Link<P>,
    context: &Context<H>,
) -> CloseReason {
    loop {
        let silent = async {
            wait_for_silence(link, context.timing).await;
            Err(CloseReason::Silent)
        };
        let message = match async { Ok(socket.next().await) }.or(silent).await {
            Ok(message) => message,
            Err(reason) => return reason,
        };
        let handled = match message {
            Some(Ok(Message::Binary(data))) => {
                link.mark_received();
                context.traffic.count_received(data.len());
                handle_batch(&data, link, context)
            }
            Some(Ok(Message::Close(_)) | Err(_)) | None => Err(CloseReason::ClosedByPeer),
            Some(Ok(_)) => Ok(()),
        };
        if let Err(reason) = handled {
            return reason;
        }
    }
}

/// Returns after the timeout that applies to the link's activity.
///
/// It checks for open streams every half `silence_timeout`. It returns after two consecutive checks
/// with a stream open, which gives the other end one interval to notice the stream, or after
/// `idle_factor` checks. The caller restarts the wait with each received message.
async fn wait_for_silence<P: Protocol>(link: &Link<P>, timing: LinkTiming) {
    let mut was_active = false;
    for _ in 0..timing.idle_factor {
        Timer::after(timing.silence_timeout / 2).await;
        let is_active = link.0.is_active();
        if is_active && was_active {
            return;
        }
        was_active = is_active;
    }
}

fn handle_batch<P: Protocol, H: RequestHandler<P>>(
    mut data: &[u8],
    link: &Link<P>,
    context: &Context<H>,
) -> Result<(), CloseReason> {
    while !data.is_empty() {
        let frame: FrameOf<P> =
            ciborium::from_reader(&mut data).map_err(|_| CloseReason::Malformed("frame"))?;
        handle_frame(frame, link, context)?;
    }
    Ok(())
}

fn handle_frame<P: Protocol, H: RequestHandler<P>>(
    frame: FrameOf<P>,
    link: &Link<P>,
    context: &Context<H>,
) -> Result<(), CloseReason> {
    match frame {
        Frame::Heartbeat => Ok(()),
        Frame::Open { stream, request } => handle_request(stream, request, link, context),
        Frame::Event {
            stream,
            sequence,
            event,
        } => deliver_message(stream, sequence, Inbound::Event(event), link),
        Frame::Reply {
            stream,
            sequence,
            reply,
        } => deliver_message(stream, sequence, Inbound::Reply(reply), link),
        Frame::Credit { stream, events } => {
            if let Some(credit) = link.0.remote_streams().get(&stream) {
                let _ = credit.try_send(events);
            }
            Ok(())
        }
        Frame::Reset { stream } => {
            link.0.remote_streams().remove(&stream);
            Ok(())
        }
    }
}

fn handle_request<P: Protocol, H: RequestHandler<P>>(
    stream: u64,
    request: P::Request,
    link: &Link<P>,
    context: &Context<H>,
) -> Result<(), CloseReason> {
    let (credit_tx, credit_rx) = async_channel::unbounded();
    if link.0.remote_streams().insert(stream, credit_tx).is_some() {
        return Err(CloseReason::Malformed("stream opened twice"));
    }
    let responder = Responder::new(link.0.clone(), stream, credit_rx);
    let handler = context.handler.clone();
    let remote = link.remote().clone();
    context
        .spawner
        .spawn(async move { handler.handle(remote, request, responder).await });
    Ok(())
}

fn deliver_message<P: Protocol>(
    stream: u64,
    sequence: u32,
    message: Inbound<P>,
    link: &Link<P>,
) -> Result<(), CloseReason> {
    let mut streams = link.0.local_streams();
    // The other end may have sent the message before it received this end's reset.
    let Some(local) = streams.get_mut(&stream) else {
        return Ok(());
    };
    if local.sequence != sequence {
        return Err(CloseReason::Malformed("message out of sequence"));
    }
    let is_last = matches!(message, Inbound::Reply(_));
    if !is_last && local.tx.len() >= WINDOW_EVENTS as usize {
        return Err(CloseReason::Malformed("more events than granted"));
    }
    local.sequence += 1;
    let _ = local.tx.try_send(message);
    if is_last {
        streams.remove(&stream);
    }
    Ok(())
}
