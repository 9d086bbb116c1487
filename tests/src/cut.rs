//! A switch on a TCP path: forwards connections until it is opened.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// A forwarding address that can be cut and healed.
#[derive(Debug)]
pub struct Cut {
    pub address: SocketAddr,
    open: Arc<watch::Sender<bool>>,
}

impl Cut {
    /// Forwards a new address to `to`.
    ///
    /// Errors: the address can't be bound.
    pub async fn new(to: SocketAddr) -> std::io::Result<Cut> {
        let address = crate::port::free();
        let listener = TcpListener::bind(address).await?;
        let open = Arc::new(watch::Sender::new(false));
        let watched = open.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, to, watched.subscribe()));
            }
        });
        Ok(Cut { address, open })
    }

    /// Drops every connection and all that comes.
    pub fn cut(&self) {
        self.open.send_replace(true);
    }

    /// Forwards new connections again.
    pub fn heal(&self) {
        self.open.send_replace(false);
    }
}

async fn forward(mut from: TcpStream, to: SocketAddr, mut open: watch::Receiver<bool>) {
    if *open.borrow() {
        return;
    }
    let Ok(mut onward) = TcpStream::connect(to).await else {
        return;
    };
    let _ = from.set_nodelay(true);
    let _ = onward.set_nodelay(true);
    tokio::select! {
        _ = copy_bidirectional(&mut from, &mut onward) => {}
        _ = open.wait_for(|open| *open) => {}
    }
}
