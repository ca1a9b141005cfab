//! Frames between peers: length-delimited, each authenticated by a key of its session.
//!
//! The first frame of each side is a [`wire::Hello`] with a fresh nonce. Every later frame is
//! a MAC followed by a [`wire::Packet`]. The MAC covers the direction and the number of the
//! frame within the session, so a frame that is replayed, reflected, reordered or altered
//! does not verify.

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

/// Newest version of the protocol that this process speaks.
pub const PROTOCOL_VERSION: u32 = 1;
/// Oldest version that it still understands.
const PROTOCOL_OLDEST: u32 = 1;
/// Largest frame; a longer one closes the link.
pub const FRAME_MAX_BYTES: usize = 256 * 1024;
/// HMAC-SHA-256 truncated to half its length, as RFC 2104 allows.
const MAC_BYTES: usize = 16;
const NONCE_BYTES: usize = 32;
/// Longest wait for the other side's hello.
const HELLO_TIMEOUT: Duration = Duration::from_millis(1000);

type Signer = Hmac<Sha256>;

/// Why a link closes.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The connection failed or a frame is longer than [`FRAME_MAX_BYTES`].
    #[error("the connection failed: {0}")]
    Connection(#[from] std::io::Error),
    /// The other side closed the connection.
    #[error("the other side closed the connection")]
    Closed,
    /// Nothing arrived in time.
    #[error("nothing arrived in time")]
    TimedOut,
    /// A frame is not authentic.
    #[error("a frame is not authentic; check that both sides have the same [peers] shared_key")]
    NotAuthentic,
    /// A frame is not a message of the protocol.
    #[error("a frame is malformed: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The other side breaks the order of the protocol.
    #[error("the protocol is violated: {0}")]
    Protocol(&'static str),
    /// The other side is too old.
    #[error("the peer speaks protocol version {0}; upgrade it")]
    UnsupportedVersion(u32),
}

/// Which end of a link this is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// It opened the connection.
    Dialer,
    /// It accepted the connection.
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

/// One direction of a session: signs or verifies frames in order.
#[derive(Debug, Clone)]
pub struct FrameAuthenticator {
    signer: Signer,
    side: Side,
    sequence: u64,
}

fn signer(key: &[u8]) -> Signer {
    Signer::new_from_slice(key).expect("HMAC takes a key of any length")
}

impl FrameAuthenticator {
    /// The direction of the frames that `side` sends in the session of two nonces.
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

    /// The frame that carries a packet.
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

    /// The packet of a frame, if the frame is the next authentic one.
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
    /// Sends a packet and says how many bytes it took.
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
    /// The next packet and the bytes it took, within a time limit.
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

/// Exchanges hellos on a new connection.
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
