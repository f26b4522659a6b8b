//! The byte stream of a link.
//!
//! A link works on any byte stream, so that encryption can be put between it and the TCP connection.

use std::fmt;
use std::io;

use async_trait::async_trait;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;

use heatherhollow_types::InstanceName;

/// A byte stream in both directions.
pub trait LinkStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> LinkStream for T {}

/// Turns TCP connections into byte streams of links.
#[async_trait]
pub trait LinkTransport: Send + Sync + fmt::Debug {
    /// Prepares a connection that was dialled to `peer`.
    async fn connect(
        &self,
        stream: TcpStream,
        peer: &InstanceName,
    ) -> io::Result<Box<dyn LinkStream>>;

    /// Prepares a connection that was accepted.
    async fn accept(&self, stream: TcpStream) -> io::Result<Box<dyn LinkStream>>;
}

/// TCP without encryption.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlainTransport;

#[async_trait]
impl LinkTransport for PlainTransport {
    async fn connect(
        &self,
        stream: TcpStream,
        _peer: &InstanceName,
    ) -> io::Result<Box<dyn LinkStream>> {
        Ok(Box::new(stream))
    }

    async fn accept(&self, stream: TcpStream) -> io::Result<Box<dyn LinkStream>> {
        Ok(Box::new(stream))
    }
}
