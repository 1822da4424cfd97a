use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Size of a prefix block, in bytes of prompt text.
const BLOCK_BYTES: usize = 2_048;

/// Hashes the complete blocks of a prompt. Each hash also covers all blocks before its own, so
/// that two prompts share a hash only if they share the prefix up to it.
pub fn hash_blocks(prompt: &[u8]) -> Vec<u64> {
    let mut seed = 0;
    let hash = |block| {
        seed = xxh3_64_with_seed(block, seed);
        seed
    };
    prompt.chunks_exact(BLOCK_BYTES).map(hash).collect()
}
