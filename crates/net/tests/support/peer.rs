//! A listener for tests that write each byte of a response themselves.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

pub struct Peer {
    listener: TcpListener,
    pub address: SocketAddr,
}

impl Peer {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        Self { listener, address }
    }

    pub async fn accept(&self) -> TcpStream {
        self.listener.accept().await.unwrap().0
    }
}

/// Reads the head of one request.
pub async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    String::from_utf8(head).unwrap()
}
