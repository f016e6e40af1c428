//! Framing of the log file.
//!
//! The file starts with a magic number and a random salt. Each synced batch of records is one frame
//! with a header (magic, sequence, length, payload checksum, header checksum). A frame is written
//! only after the previous one is synced, so an invalid frame that is followed by a valid one is
//! corruption and not a torn write. Damage to the last frame is indistinguishable from a torn
//! write, so that frame is truncated.

const FILE_MAGIC: [u8; 7] = *b"WPLOG\0\0";
/// Version of the file format. Version 2 added the addresses of joined members.
pub(super) const FORMAT_VERSION: u8 = 2;
const FRAME_MAGIC: [u8; 4] = *b"WPfr";
/// Size of the file header: magic, version, salt, checksum.
pub(super) const FILE_HEADER_BYTES: usize = 20;
/// Size of a frame header: magic, sequence, length, payload checksum, header checksum.
const FRAME_HEADER_BYTES: usize = 24;

/// Builds the file header.
pub(super) fn encode_file_header(salt: u64) -> Vec<u8> {
    let mut header = FILE_MAGIC.to_vec();
    header.push(FORMAT_VERSION);
    header.extend(salt.to_le_bytes());
    header.extend(crc32c::crc32c(&header).to_le_bytes());
    header
}

/// Reads the salt from the file header. Returns `None` if the header is corrupt.
pub(super) fn decode_file_header(bytes: &[u8]) -> Option<u64> {
    let header = bytes.get(..FILE_HEADER_BYTES)?;
    let salt = u64::from_le_bytes(header[8..16].try_into().ok()?);
    (header == encode_file_header(salt)).then_some(salt)
}

/// Returns the format version of an intact file header if this release does not support it.
pub(super) fn unsupported_version(bytes: &[u8]) -> Option<u8> {
    let header = bytes.get(..FILE_HEADER_BYTES)?;
    let (content, checksum) = header.split_at(FILE_HEADER_BYTES - 4);
    let is_intact = crc32c::crc32c(content).to_le_bytes() == *checksum;
    let version = content[FILE_MAGIC.len()];
    (is_intact && content.starts_with(&FILE_MAGIC) && version != FORMAT_VERSION).then_some(version)
}

/// Builds a frame around a payload.
pub(super) fn encode_frame(salt: u64, sequence: u64, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).expect("a batch of records is smaller than 4 GiB");
    let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    frame.extend(FRAME_MAGIC);
    frame.extend(sequence.to_le_bytes());
    frame.extend(length.to_le_bytes());
    frame.extend(crc32c::crc32c(payload).to_le_bytes());
    frame.extend(header_checksum(salt, &frame).to_le_bytes());
    frame.extend(payload);
    frame
}

/// Computes the checksum of a frame header and the salt. The salt prevents payload bytes from being
/// mistaken for a frame header of this file.
fn header_checksum(salt: u64, header: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&salt.to_le_bytes()), header)
}

/// A valid frame header.
struct FrameHeader {
    sequence: u64,
    length: usize,
    payload_checksum: u32,
}

fn decode_frame_header(salt: u64, bytes: &[u8]) -> Option<FrameHeader> {
    let header = bytes.get(..FRAME_HEADER_BYTES)?;
    let number = |at: usize| Some(u32::from_le_bytes(header[at..at + 4].try_into().ok()?));
    if header[..4] != FRAME_MAGIC || header_checksum(salt, &header[..20]) != number(20)? {
        return None;
    }
    Some(FrameHeader {
        sequence: u64::from_le_bytes(header[4..12].try_into().ok()?),
        length: number(12)? as usize,
        payload_checksum: number(16)?,
    })
}

/// Result of scanning the frames of a file.
pub(super) struct Scan<'a> {
    /// Payloads of the valid frames.
    pub(super) payloads: Vec<&'a [u8]>,
    /// Offset of the end of the last valid frame.
    pub(super) valid_bytes: usize,
    /// Whether a valid frame follows an invalid one.
    pub(super) is_corrupt: bool,
}

/// Reads all frames after the file header.
pub(super) fn scan(salt: u64, bytes: &[u8]) -> Scan<'_> {
    let mut payloads = Vec::new();
    let mut at = FILE_HEADER_BYTES;
    while let Some(payload) = read_frame(salt, payloads.len() as u64, &bytes[at..]) {
        payloads.push(payload);
        at += FRAME_HEADER_BYTES + payload.len();
    }
    let expected = payloads.len() as u64;
    let mut rest = bytes[at..].windows(FRAME_HEADER_BYTES);
    let is_corrupt =
        rest.any(|window| decode_frame_header(salt, window).is_some_and(|h| h.sequence > expected));
    Scan {
        payloads,
        valid_bytes: at,
        is_corrupt,
    }
}

fn read_frame(salt: u64, sequence: u64, bytes: &[u8]) -> Option<&[u8]> {
    let header = decode_frame_header(salt, bytes)?;
    let payload = bytes.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + header.length)?;
    (header.sequence == sequence && crc32c::crc32c(payload) == header.payload_checksum)
        .then_some(payload)
}
