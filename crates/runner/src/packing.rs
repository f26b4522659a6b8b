//! Compression of the entries that a reader of the store sends to its followers.
//!
//! Declarations are text that repeats itself. After a loss of power all followers of a data centre ask
//! at once, and their readers' links bound how soon they serve again.

use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use prost::Message;

use crate::frames::EntryFrame;
use crate::frames::EntryList;

/// Size of the entries that are packed into one frame, in bytes, unless a single entry is larger; bounds
/// the memory that packing takes.
pub(crate) const PART_BYTES: usize = 1 << 20;

/// Greatest size of unpacked entries, in bytes: a part, an entry beyond it of the store's greatest value,
/// and as much again for paths. What claims to be larger is refused before it is held in memory.
const MAX_UNPACKED_BYTES: u64 = 4 << 20;

/// Packs entries.
pub fn pack_entries(entries: Vec<EntryFrame>) -> std::io::Result<Bytes> {
    let list = EntryList { entries };
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&list.encode_to_vec())?;
    Ok(Bytes::from(encoder.finish()?))
}

/// Unpacks entries; an error if they are malformed or too large.
pub fn unpack_entries(packed: &[u8]) -> Result<Vec<EntryFrame>, String> {
    let mut plain = Vec::new();
    DeflateDecoder::new(packed)
        .take(MAX_UNPACKED_BYTES + 1)
        .read_to_end(&mut plain)
        .map_err(|error| error.to_string())?;
    if plain.len() as u64 > MAX_UNPACKED_BYTES {
        return Err(format!(
            "packed entries take more than {MAX_UNPACKED_BYTES} bytes"
        ));
    }
    let list = EntryList::decode(plain.as_slice()).map_err(|error| error.to_string())?;
    Ok(list.entries)
}
