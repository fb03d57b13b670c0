//! Compressed content decompresses unchanged, and oversized or truncated content is rejected.

use cicadagw_config::part::{CONTENT_MAX, Error, compress, decompress};

fn text(size: u64) -> String {
    "a".repeat(usize::try_from(size).unwrap())
}

#[test]
fn compressed_content_decompresses_unchanged() {
    let content = text(1_000);

    let read: String = decompress(&compress(&content)).unwrap();

    assert_eq!(read, content);
}

#[test]
fn content_over_the_size_limit_is_rejected() {
    let compressed = compress(&text(CONTENT_MAX.get()));

    let read = decompress::<String>(&compressed);

    assert!(matches!(read, Err(Error::Decompression(_))));
}

#[test]
fn truncated_content_is_rejected() {
    let compressed = compress(&text(1_000));

    let read = decompress::<String>(&compressed[..compressed.len() - 1]);

    assert!(matches!(read, Err(Error::Decompression(_))));
}
