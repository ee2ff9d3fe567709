//! Framing of records: magic, payload length, checksum, payload.

use xxhash_rust::xxh3::xxh3_64;

/// First bytes of every record. Recovery searches for them to tell a torn tail from corruption.
const MAGIC: [u8; 4] = *b"RTW2";
/// First bytes of records of format version 1, which held one payload each.
pub(crate) const V1_MAGIC: [u8; 4] = *b"RTW1";
/// Size of the header: magic, payload length (u32), checksum (u64).
pub(crate) const HEADER_BYTES: usize = 16;
/// Maximum size of a payload, bytes. Snapshots are stored in separate files and may be larger.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 64 * 1024 * 1024;

/// Appends a record with the given payload to `buffer`.
pub(crate) fn encode(payload: &[u8], buffer: &mut Vec<u8>) {
    buffer.extend_from_slice(&MAGIC);
    buffer.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    buffer.extend_from_slice(&xxh3_64(payload).to_le_bytes());
    buffer.extend_from_slice(payload);
}

/// Returns the payload of the valid record at the start of `bytes`, if there is one.
pub(crate) fn decode(bytes: &[u8]) -> Option<&[u8]> {
    let header = bytes.get(..HEADER_BYTES)?;
    if header[..4] != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(header[4..8].try_into().ok()?) as usize;
    let checksum = u64::from_le_bytes(header[8..16].try_into().ok()?);
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES.checked_add(length)?)?;
    (xxh3_64(payload) == checksum).then_some(payload)
}

/// Appends a payload to a batch. All payloads of one sync share a record, so that a torn write
/// yields one invalid record and never valid records after an invalid one.
pub(crate) fn append_to_batch(payload: &[u8], batch: &mut Vec<u8>) {
    batch.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    batch.extend_from_slice(payload);
}

/// Returns the payloads of a batch, in order.
pub(crate) fn decode_batch(mut batch: &[u8]) -> Vec<&[u8]> {
    let mut payloads = Vec::new();
    while let Some((size, rest)) = batch.split_first_chunk::<4>() {
        let length = (u32::from_le_bytes(*size) as usize).min(rest.len());
        let (payload, remaining) = rest.split_at(length);
        payloads.push(payload);
        batch = remaining;
    }
    payloads
}

/// Whether a valid record begins anywhere after the first byte.
pub(crate) fn valid_record_follows(bytes: &[u8]) -> bool {
    (1..bytes.len())
        .filter(|&offset| bytes[offset..].starts_with(&MAGIC))
        .any(|offset| decode(&bytes[offset..]).is_some())
}
