//! Benchmarks of frame encoding and decoding.

use std::hint::black_box;

use bytes::Bytes;
use bytes::BytesMut;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use kumquattiller_wire::Body;
use kumquattiller_wire::Codec;
use kumquattiller_wire::Frame;
use kumquattiller_wire::link;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

fn attempt_id() -> Option<link::AttemptId> {
    Some(link::AttemptId { request: Some(link::RequestId { high: 1, low: 2 }), number: 1 })
}

fn chunk_frame() -> Frame {
    let data = Bytes::from_static(b" token");
    let chunk = link::Chunk { attempt: attempt_id(), incarnation: 7, offset: 99, count: 1, data };
    Frame { body: Some(Body::Chunk(chunk)) }
}

fn start_frame() -> Frame {
    let start = link::Start {
        attempt: attempt_id(),
        service: "hotline".to_owned(),
        account: "pasig-desk".to_owned(),
        model: "summary".to_owned(),
        path: "/v1/completions".to_owned(),
        method: "POST".to_owned(),
        prompt_tokens: 4_000,
        max_tokens: 512,
        left_ms: 30_000,
        block_hashes: (0..12).collect(),
        ..Default::default()
    };
    Frame { body: Some(Body::Start(start)) }
}

fn benchmark_frames(c: &mut Criterion) {
    for (name, frame) in [("chunk", chunk_frame()), ("start", start_frame())] {
        let mut codec = Codec::default();
        let mut target = BytesMut::new();
        c.bench_function(&format!("encode_{name}"), |b| {
            b.iter(|| {
                target.clear();
                codec.encode(black_box(frame.clone()), &mut target).is_ok()
            });
        });
        target.clear();
        codec.encode(frame, &mut target).expect("the frame is small");
        let encoded = target.freeze();
        c.bench_function(&format!("decode_{name}"), |b| {
            b.iter(|| {
                let mut source = BytesMut::from(black_box(&encoded[..]));
                codec.decode(&mut source).is_ok_and(|frame| frame.is_some())
            });
        });
    }
}

criterion_group!(benches, benchmark_frames);
criterion_main!(benches);
