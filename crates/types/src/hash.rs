//! Hash with the same result in every build and on every machine, for choices that instances make
//! alike without communication. The hashers of the standard library do not guarantee that.

/// Returns the 64-bit FNV-1a hash of the parts of a key, with separators between them and a
/// finaliser.
///
/// ```
/// use heatherhollow_types::stable_hash;
/// assert_ne!(stable_hash(&["ab", "c"]), stable_hash(&["a", "bc"]));
/// ```
pub fn stable_hash(parts: &[&str]) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for part in parts {
        // 0xff never occurs in UTF-8, so it separates the parts unambiguously.
        for byte in part.bytes().chain([0xff]) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
    mix_bits(hash)
}

/// Applies the finaliser of SplitMix64, which makes each input bit affect all output bits.
pub fn mix_bits(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
