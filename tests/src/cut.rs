//! A switch on a TCP path: forwards connections until it is opened.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Bytes read at once.
const BUFFER: usize = 16 * 1024;

/// Time after which a connection to the far side is reported as slow.
const SLOW_CONNECT: Duration = Duration::from_millis(200);

/// Delay after a connection that couldn't be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Ports tried at most.
const BIND_TRIES: u32 = 8;

/// A forwarding address that can be cut and healed.
#[derive(Debug)]
pub struct Cut {
    pub address: SocketAddr,
    open: Arc<watch::Sender<bool>>,
    carried: Arc<AtomicU64>,
}

impl Cut {
    /// Forwards a new address to `to`.
    ///
    /// Errors: the address can't be bound.
    pub async fn new(to: SocketAddr) -> std::io::Result<Cut> {
        let listener = listen().await?;
        let address = listener.local_addr()?;
        let open = Arc::new(watch::Sender::new(false));
        let carried = Arc::new(AtomicU64::new(0));
        let watched = open.clone();
        let counted = carried.clone();
        tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        tokio::spawn(forward(stream, to, watched.subscribe(), counted.clone()));
                    }
                    Err(error) => {
                        eprintln!("forwarding to {to}: accept failed: {error}");
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        });
        Ok(Cut {
            address,
            open,
            carried,
        })
    }

    /// Bytes that went through in both directions.
    pub fn carried(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
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

/// Listens on a free port; another process may take one in between.
async fn listen() -> std::io::Result<TcpListener> {
    for _ in 0..BIND_TRIES {
        if let Ok(listener) = TcpListener::bind(crate::port::free()).await {
            return Ok(listener);
        }
    }
    TcpListener::bind(crate::port::free()).await
}

async fn forward(
    from: TcpStream,
    to: SocketAddr,
    mut open: watch::Receiver<bool>,
    carried: Arc<AtomicU64>,
) {
    if *open.borrow() {
        return;
    }
    let begun = Instant::now();
    let onward = match TcpStream::connect(to).await {
        Ok(onward) => onward,
        Err(error) => {
            eprintln!(
                "forwarding to {to}: connection failed after {:?}: {error}",
                begun.elapsed()
            );
            return;
        }
    };
    if begun.elapsed() > SLOW_CONNECT {
        eprintln!("forwarding to {to}: connection took {:?}", begun.elapsed());
    }
    let _ = from.set_nodelay(true);
    let _ = onward.set_nodelay(true);
    let (from_read, from_write) = from.into_split();
    let (onward_read, onward_write) = onward.into_split();
    let both = async {
        tokio::try_join!(
            copy(from_read, onward_write, &carried),
            copy(onward_read, from_write, &carried),
        )
    };
    tokio::select! {
        _ = both => {}
        _ = open.wait_for(|open| *open) => {}
    }
}

/// Copies to the end and passes the end on.
async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    carried: &AtomicU64,
) -> std::io::Result<()> {
    let mut buffer = vec![0; BUFFER];
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..count]).await?;
        carried.fetch_add(count as u64, Ordering::Relaxed);
    }
}
