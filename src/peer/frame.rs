//! Length-delimited frames between peers, each authenticated by a session key.
//!
//! The first frame of each side is a [`wire::Hello`] with a fresh nonce. Every later frame is
//! a MAC followed by a [`wire::Packet`]. The MAC covers the direction, the sequence number of
//! the frame within the session and the packet, so verification fails for a frame that is
//! replayed, reflected, reordered or altered.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_lite::{FutureExt, StreamExt};
use futures_util::SinkExt;
use hmac::{Hmac, Mac};
use prost::Message;
use rand::RngExt;
use sha2::Sha256;
use smol::net::TcpStream;
use thiserror::Error;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt, FuturesAsyncWriteCompatExt};

use crate::peer::wire;

/// Protocol version of this process, which its hello announces.
pub const PROTOCOL_VERSION: u32 = 1;
/// Oldest protocol version of a peer that is supported.
const PROTOCOL_OLDEST: u32 = 1;
/// Maximum length of a frame; a longer one closes the link.
pub const FRAME_MAX_BYTES: usize = 256 * 1024;
/// Length of a MAC: HMAC-SHA-256 truncated to half its length, as RFC 2104 allows.
const MAC_BYTES: usize = 16;
const NONCE_BYTES: usize = 32;
/// Time limit for the peer's hello.
const HELLO_TIMEOUT: Duration = Duration::from_millis(1000);

type Signer = Hmac<Sha256>;

/// Reason for which a link closes.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The connection failed or a frame is longer than [`FRAME_MAX_BYTES`].
    #[error("connection failed: {0}")]
    Connection(#[from] std::io::Error),
    /// The peer or this process closed the connection.
    #[error("connection closed")]
    Closed,
    /// A frame was not received or sent within its time limit.
    #[error("timed out waiting for the peer")]
    TimedOut,
    /// The MAC of a frame does not verify.
    #[error("frame authentication failed; check that both sides have the same [peers] shared_key")]
    NotAuthentic,
    /// A frame cannot be decoded as a message of the protocol.
    #[error("malformed frame: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The peer violates the protocol.
    #[error("protocol violation: {0}")]
    Protocol(&'static str),
    /// The protocol version of the peer is no longer supported.
    #[error("peer has protocol version {0}, which is too old; upgrade the peer")]
    UnsupportedVersion(u32),
}

/// Role of one end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The end that opened the connection.
    Dialer,
    /// The end that accepted the connection.
    Acceptor,
}

impl Side {
    fn other(self) -> Self {
        match self {
            Self::Dialer => Self::Acceptor,
            Self::Acceptor => Self::Dialer,
        }
    }

    fn byte(self) -> u8 {
        match self {
            Self::Dialer => 1,
            Self::Acceptor => 2,
        }
    }
}

/// Signs or verifies the frames of one direction of a session, in order.
#[derive(Debug, Clone)]
pub struct FrameAuthenticator {
    signer: Signer,
    side: Side,
    sequence: u64,
}

fn signer(key: &[u8]) -> Signer {
    Signer::new_from_slice(key).expect("HMAC accepts keys of any length")
}

impl FrameAuthenticator {
    /// Creates the authenticator for the frames that `side` sends. The session key is derived from
    /// the shared key and the nonces of both sides.
    pub fn new(shared_key: &[u8], dialer_nonce: &[u8], acceptor_nonce: &[u8], side: Side) -> Self {
        let mut mac = signer(shared_key);
        mac.update(b"jujubeusher peer session");
        mac.update(dialer_nonce);
        mac.update(acceptor_nonce);
        Self {
            signer: signer(&mac.finalize().into_bytes()),
            side,
            sequence: 0,
        }
    }

    fn next_mac(&mut self, body: &[u8]) -> Signer {
        let mut mac = self.signer.clone();
        mac.update(&[self.side.byte()]);
        mac.update(&self.sequence.to_be_bytes());
        mac.update(body);
        self.sequence += 1;
        mac
    }

    /// Encodes a packet as the next frame: its MAC and its bytes.
    pub fn encode_frame<M>(&mut self, packet: &M) -> Bytes
    where
        M: Message,
    {
        let body = packet.encode_to_vec();
        let mac = self.next_mac(&body).finalize().into_bytes();
        let mut frame = BytesMut::with_capacity(MAC_BYTES + body.len());
        frame.extend_from_slice(&mac[..MAC_BYTES]);
        frame.extend_from_slice(&body);
        frame.freeze()
    }

    /// Verifies the next frame and decodes its packet.
    pub fn decode_frame<M>(&mut self, frame: &[u8]) -> Result<M, LinkError>
    where
        M: Message + Default,
    {
        let Some((mac, body)) = frame.split_at_checked(MAC_BYTES) else {
            return Err(LinkError::NotAuthentic);
        };
        self.next_mac(body)
            .verify_truncated_left(mac)
            .map_err(|_| LinkError::NotAuthentic)?;
        Ok(M::decode(body)?)
    }
}

/// Sending half of a link.
pub struct FrameWriter {
    frames: FramedWrite<Compat<TcpStream>, LengthDelimitedCodec>,
    authenticator: FrameAuthenticator,
}

/// Receiving half of a link.
pub struct FrameReader {
    frames: FramedRead<Compat<TcpStream>, LengthDelimitedCodec>,
    authenticator: FrameAuthenticator,
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_MAX_BYTES)
        .new_codec()
}

impl FrameWriter {
    /// Sends a packet. Returns the bytes sent, including the length prefix.
    pub async fn send<M>(&mut self, packet: &M) -> Result<usize, LinkError>
    where
        M: Message,
    {
        let frame = self.authenticator.encode_frame(packet);
        let bytes = frame.len() + size_of::<u32>();
        self.frames.send(frame).await?;
        Ok(bytes)
    }
}

impl FrameReader {
    /// Receives the next packet within a time limit. Returns it with the bytes received, including
    /// the length prefix.
    pub async fn receive<M>(&mut self, limit: Duration) -> Result<(M, usize), LinkError>
    where
        M: Message + Default,
    {
        let frame = next_frame(&mut self.frames, limit).await?;
        let packet = self.authenticator.decode_frame(&frame)?;
        Ok((packet, frame.len() + size_of::<u32>()))
    }
}

async fn next_frame(
    frames: &mut FramedRead<Compat<TcpStream>, LengthDelimitedCodec>,
    limit: Duration,
) -> Result<BytesMut, LinkError> {
    let next = async {
        match frames.next().await {
            Some(frame) => Ok(frame?),
            None => Err(LinkError::Closed),
        }
    };
    let expire = async {
        smol::Timer::after(limit).await;
        Err(LinkError::TimedOut)
    };
    next.or(expire).await
}

/// Exchanges hellos on a new connection and derives the session key from their nonces.
pub async fn handshake(
    stream: TcpStream,
    shared_key: &str,
    side: Side,
) -> Result<(FrameWriter, FrameReader), LinkError> {
    let mut writer = FramedWrite::new(stream.clone().compat_write(), codec());
    let mut reader = FramedRead::new(stream.compat(), codec());
    let own: [u8; NONCE_BYTES] = rand::rng().random();
    let hello = wire::Hello {
        protocol_version: PROTOCOL_VERSION,
        nonce: own.to_vec(),
    };
    writer.send(Bytes::from(hello.encode_to_vec())).await?;
    let frame = next_frame(&mut reader, HELLO_TIMEOUT).await?;
    let other = wire::Hello::decode(frame)?;
    if other.protocol_version < PROTOCOL_OLDEST {
        return Err(LinkError::UnsupportedVersion(other.protocol_version));
    }
    if other.nonce.len() != NONCE_BYTES {
        return Err(LinkError::Protocol("the nonce has the wrong length"));
    }
    let (dialer, acceptor) = match side {
        Side::Dialer => (&own[..], &other.nonce[..]),
        Side::Acceptor => (&other.nonce[..], &own[..]),
    };
    let authenticator =
        |side| FrameAuthenticator::new(shared_key.as_bytes(), dialer, acceptor, side);
    let writer = FrameWriter {
        frames: writer,
        authenticator: authenticator(side),
    };
    let reader = FrameReader {
        frames: reader,
        authenticator: authenticator(side.other()),
    };
    Ok((writer, reader))
}

#[cfg(test)]
mod tests;
