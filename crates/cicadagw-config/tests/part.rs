//! Contents come back as they were compressed, unless they are too large.

use cicadagw_config::part::{CONTENT_MAX, Error, compress, decompress};

fn text(size: u64) -> String {
    "a".repeat(usize::try_from(size).unwrap())
}

#[test]
fn a_content_comes_back() {
    let content = text(1_000);

    let read: String = decompress(&compress(&content)).unwrap();

    assert_eq!(read, content);
}

#[test]
fn a_content_over_the_limit_is_refused() {
    let compressed = compress(&text(CONTENT_MAX.get()));

    let read = decompress::<String>(&compressed);

    assert!(matches!(read, Err(Error::Compression(_))));
}

#[test]
fn a_cut_content_is_refused() {
    let compressed = compress(&text(1_000));

    let read = decompress::<String>(&compressed[..compressed.len() - 1]);

    assert!(matches!(read, Err(Error::Compression(_))));
}
