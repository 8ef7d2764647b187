//! The way from one node to another process, which a test cuts, holds up and restores.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What a link does with what goes over it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LinkState {
    /// Everything goes through.
    #[default]
    Open,
    /// Questions go through, answers wait.
    HoldingAnswers,
    /// The same, and one waits.
    AnswerHeld,
    /// What waits goes through, and then nothing more.
    Releasing,
    /// Nothing goes through.
    Cut,
}

/// A relay of connections to one address.
pub struct Link {
    /// Where it listens.
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
    /// Opens a relay to an address.
    pub async fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let address = listener.local_addr().expect("it is bound");
        let state = Arc::new(watch::Sender::new(LinkState::Open));
        let shared = state.clone();
        let task = tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(relay(near, target, shared.clone()));
            }
        });
        Self { address, state, task }
    }

    /// Ends what goes over it, and lets nothing new through.
    pub fn cut(&self) {
        self.state.send_replace(LinkState::Cut);
    }

    /// Lets everything new through again.
    pub fn restore(&self) {
        self.state.send_replace(LinkState::Open);
    }

    /// Lets questions through, and keeps the answers.
    pub fn hold_answers(&self) {
        self.state.send_replace(LinkState::HoldingAnswers);
    }

    /// Waits until an answer is kept.
    pub async fn wait_for_answer(&self) {
        let mut states = self.state.subscribe();
        states.wait_for(|state| *state == LinkState::AnswerHeld).await.expect("the link is there");
    }

    /// Lets the answer through that is kept, and nothing after it.
    pub async fn release_answer_and_cut(&self) {
        self.state.send_replace(LinkState::Releasing);
        let mut states = self.state.subscribe();
        states.wait_for(|state| *state == LinkState::Cut).await.expect("the link is there");
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
        // How a connection ends shows at both ends.
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
