//! Compression of the entries that a reader of the store sends to its followers.
//!
//! After a loss of power all followers of a data centre request the entries at once, and the
//! bandwidth of their readers bounds how soon they serve again. Declarations are repetitive text
//! that compresses well.

use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use prost::Message;

use crate::frames::EntryFrame;
use crate::frames::EntryList;

/// Size of entries, in bytes, at which a packed frame is full; bounds the memory that packing
/// takes.
pub(crate) const PACKED_PART_BYTES: usize = 1 << 20;

/// Maximum size of the unpacked entries of a frame, in bytes.
///
/// It allows for [`PACKED_PART_BYTES`], one further entry with the largest value that the store
/// accepts, and as much again for paths. Unpacking stops at this size, so that a malformed frame
/// cannot use up memory.
const MAX_UNPACKED_BYTES: u64 = 4 << 20;

/// Encodes and compresses entries.
pub fn pack_entries(entries: Vec<EntryFrame>) -> std::io::Result<Bytes> {
    let list = EntryList { entries };
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&list.encode_to_vec())?;
    Ok(Bytes::from(encoder.finish()?))
}

/// Decompresses and decodes entries.
///
/// Returns an error if they are malformed or larger than `MAX_UNPACKED_BYTES`.
pub fn unpack_entries(packed: &[u8]) -> Result<Vec<EntryFrame>, String> {
    let mut plain = Vec::new();
    DeflateDecoder::new(packed)
        .take(MAX_UNPACKED_BYTES + 1)
        .read_to_end(&mut plain)
        .map_err(|error| error.to_string())?;
    if plain.len() as u64 > MAX_UNPACKED_BYTES {
        return Err(format!(
            "unpacked entries exceed {MAX_UNPACKED_BYTES} bytes"
        ));
    }
    let list = EntryList::decode(plain.as_slice()).map_err(|error| error.to_string())?;
    Ok(list.entries)
}
