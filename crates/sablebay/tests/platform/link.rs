//! A TCP relay between a node and another process, which a test can cut, delay and restore.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How a link treats its traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LinkState {
    /// Forwards everything.
    #[default]
    Open,
    /// Forwards requests and holds answers back.
    HoldingAnswers,
    /// Like `HoldingAnswers`, with an answer held back.
    AnswerHeld,
    /// Forwards the held answer, then becomes `Cut`.
    Releasing,
    /// Closes open connections and forwards nothing.
    Cut,
}

/// A relay for connections to one address.
pub struct Link {
    /// The address that the relay listens on.
    pub address: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
    task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// Starts a relay to an address.
    pub async fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let address = listener.local_addr().expect("the listener is bound");
        let state = Arc::new(watch::Sender::new(LinkState::Open));
        let shared = state.clone();
        let task = tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(relay(near, target, shared.clone()));
            }
        });
        Self { address, state, task }
    }

    /// Closes all connections, and forwards nothing until [`Link::restore`].
    pub fn cut(&self) {
        self.state.send_replace(LinkState::Cut);
    }

    /// Forwards new connections again.
    pub fn restore(&self) {
        self.state.send_replace(LinkState::Open);
    }

    /// Forwards requests and holds answers back.
    pub fn hold_answers(&self) {
        self.state.send_replace(LinkState::HoldingAnswers);
    }

    /// Waits until an answer is held back.
    pub async fn wait_for_answer(&self) {
        let mut states = self.state.subscribe();
        states.wait_for(|state| *state == LinkState::AnswerHeld).await.expect("the link is open");
    }

    /// Forwards the held answer, then cuts the link.
    pub async fn release_answer_and_cut(&self) {
        self.state.send_replace(LinkState::Releasing);
        let mut states = self.state.subscribe();
        states.wait_for(|state| *state == LinkState::Cut).await.expect("the link is open");
    }
}

async fn relay(mut near: TcpStream, target: SocketAddr, state: Arc<watch::Sender<LinkState>>) {
    let mut states = state.subscribe();
    let copying = async {
        let Ok(mut far) = TcpStream::connect(target).await else {
            return;
        };
        let (mut near_read, mut near_write) = near.split();
        let (mut far_read, mut far_write) = far.split();
        // When either direction ends, both sides are closed.
        tokio::select! {
            _ = tokio::io::copy(&mut near_read, &mut far_write) => {}
            _ = copy_answers(&mut far_read, &mut near_write, &state) => {}
        }
    };
    tokio::select! {
        () = copying => {}
        _ = states.wait_for(|state| *state == LinkState::Cut) => {}
    }
}

async fn copy_answers(
    from: &mut tokio::net::tcp::ReadHalf<'_>,
    to: &mut tokio::net::tcp::WriteHalf<'_>,
    state: &watch::Sender<LinkState>,
) -> std::io::Result<()> {
    let mut states = state.subscribe();
    let mut bytes = [0; 16 << 10];
    loop {
        let read = from.read(&mut bytes).await?;
        if read == 0 {
            return Ok(());
        }
        state.send_if_modified(|state| {
            let holds = *state == LinkState::HoldingAnswers;
            if holds {
                *state = LinkState::AnswerHeld;
            }
            holds
        });
        let released =
            |state: &LinkState| !matches!(state, LinkState::HoldingAnswers | LinkState::AnswerHeld);
        let now = *states.wait_for(released).await.map_err(std::io::Error::other)?;
        to.write_all(&bytes[..read]).await?;
        if now == LinkState::Releasing {
            to.shutdown().await?;
            state.send_replace(LinkState::Cut);
        }
    }
}
