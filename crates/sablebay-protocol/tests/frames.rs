//! Frames round-trip, and invalid input is rejected without a panic.

use std::net::SocketAddr;

use bytes::BytesMut;
use musli::{Decode, Encode};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use sablebay_fleet::{FleetMessage, MemberInfo};
use sablebay_model::{FleetName, Incarnation, InstanceKey, NodeId, RegionName, ZoneName};
use sablebay_protocol::backend::{LeafAnswer, LeafOperationAnswer};
use sablebay_protocol::caller::QueryBody;
use sablebay_protocol::peer::PeerMessage;
use sablebay_protocol::{ChannelKey, FrameReader, MAXIMUM_FRAME_BYTES, ProtocolError, encode_frame};

fn settings() -> ProptestConfig {
    ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn key(fleet: &str, secret: &str) -> ChannelKey {
    ChannelKey::new(&FleetName::new(fleet), secret, &[1; 16], &[2; 16])
}

fn cancel(number: u64) -> PeerMessage {
    PeerMessage::Cancel { number }
}

fn frames(messages: &[PeerMessage]) -> BytesMut {
    let mut writer = key("fleet", "secret");
    let mut buffer = BytesMut::new();
    for message in messages {
        encode_frame(message, &mut writer, &mut buffer).unwrap();
    }
    buffer
}

/// Regression corpus of malformed frames.
const CORPUS: [&[u8]; 6] = [
    b"",
    &[0, 0, 0, 0],
    &[0, 0, 0, 15, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15],
    &[255, 255, 255, 255],
    &[0, 0, 0, 16, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0],
    &[1, 0, 0, 0, 0],
];

proptest! {
    #![proptest_config(settings())]

    #[test]
    fn any_bytes_are_turned_away_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut reader = FrameReader::new(key("fleet", "secret"));
        let mut buffer = BytesMut::from(&bytes[..]);
        let read = reader.next::<PeerMessage>(&mut buffer);
        prop_assert!(!matches!(read, Ok(Some(_))));
    }

    #[test]
    fn a_frame_with_any_byte_changed_is_turned_away(at in 4usize..80, with in 1u8..=255) {
        let mut buffer = frames(&[PeerMessage::Fleet(FleetMessage::MembersRequest)]);
        let at = at.min(buffer.len() - 1);
        buffer[at] ^= with;
        let mut reader = FrameReader::new(key("fleet", "secret"));
        prop_assert_eq!(reader.next::<PeerMessage>(&mut buffer), Err(ProtocolError::WrongProof));
    }

    /// Guards against a decoder panic on malformed content in an authenticated frame.
    #[test]
    fn any_content_under_a_right_proof_is_answered(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = musli::wire::from_slice::<PeerMessage>(&bytes);
    }

    /// Guards against a panic on malformed JSON from callers and leaves.
    #[test]
    fn any_json_text_is_answered(text in "[\\[\\]{}\",:a-z0-9.\\\\-]{0,120}") {
        let _ = serde_json::from_str::<QueryBody>(&text);
        let _ = serde_json::from_str::<LeafAnswer>(&text);
        let _ = serde_json::from_str::<LeafOperationAnswer>(&text);
    }

    #[test]
    fn frames_are_read_however_they_are_cut(numbers in proptest::collection::vec(any::<u64>(), 1..6), cut in 1usize..30) {
        let messages: Vec<PeerMessage> = numbers.iter().map(|number| cancel(*number)).collect();
        let encoded = frames(&messages);
        let mut reader = FrameReader::new(key("fleet", "secret"));
        let mut buffer = BytesMut::new();
        let mut read = Vec::new();
        for part in encoded.chunks(cut) {
            buffer.extend_from_slice(part);
            while let Some(message) = reader.next::<PeerMessage>(&mut buffer).unwrap() {
                read.push(message);
            }
        }
        prop_assert_eq!(read, messages);
    }
}

#[test]
fn the_saved_corpus_is_turned_away() {
    for bytes in CORPUS {
        let mut reader = FrameReader::new(key("fleet", "secret"));
        let read = reader.next::<PeerMessage>(&mut BytesMut::from(bytes));
        assert!(!matches!(read, Ok(Some(_))), "{bytes:?}");
    }
}

#[test]
fn a_stranger_another_fleet_and_a_replay_are_turned_away() {
    for (fleet, secret) in [("fleet", "other"), ("other", "secret")] {
        let mut reader = FrameReader::new(key(fleet, secret));
        let mut buffer = frames(&[cancel(1)]);
        assert_eq!(reader.next::<PeerMessage>(&mut buffer), Err(ProtocolError::WrongProof));
    }
    let encoded = frames(&[cancel(1)]);
    let mut replayed = BytesMut::from(&[&encoded[..], &encoded[..]].concat()[..]);
    let mut reader = FrameReader::new(key("fleet", "secret"));
    assert_eq!(reader.next(&mut replayed), Ok(Some(cancel(1))));
    assert_eq!(reader.next::<PeerMessage>(&mut replayed), Err(ProtocolError::WrongProof));
}

#[test]
fn an_oversized_frame_is_turned_away_before_it_is_read() {
    let mut reader = FrameReader::new(key("fleet", "secret"));
    let length = (MAXIMUM_FRAME_BYTES as u32 + 1).to_be_bytes();
    let read = reader.next::<PeerMessage>(&mut BytesMut::from(&length[..]));
    assert!(matches!(read, Err(ProtocolError::FrameTooLarge { .. })));
}

/// During a rolling upgrade, the older release must skip unknown fields and the newer release must
/// accept missing ones.
#[test]
fn a_field_that_only_one_release_knows_does_no_harm() {
    #[derive(Debug, PartialEq, Encode, Decode)]
    struct Old {
        number: u64,
    }
    #[derive(Debug, PartialEq, Encode, Decode)]
    struct New {
        number: u64,
        #[musli(default)]
        added: Option<String>,
    }
    let new = New { number: 3, added: Some("x".to_string()) };
    let old: Old = musli::wire::from_slice(&musli::wire::to_vec(&new).unwrap()).unwrap();
    assert_eq!(old, Old { number: 3 });
    let new: New = musli::wire::from_slice(&musli::wire::to_vec(&old).unwrap()).unwrap();
    assert_eq!(new, New { number: 3, added: None });
}

/// `MemberInfo` as encoded by releases without support for gathering.
#[derive(Debug, Encode, Decode, PartialEq)]
struct PreviousMemberInfo {
    key: InstanceKey,
    zone: ZoneName,
    region: RegionName,
    peer_address: SocketAddr,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
}

#[test]
fn a_member_of_the_release_before_is_read_as_one_that_does_not_gather() {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let previous = PreviousMemberInfo {
        key: InstanceKey { node: NodeId::new("n1"), incarnation: Incarnation::from_start(1, 2) },
        zone: ZoneName::new("a"),
        region: RegionName::new("r"),
        peer_address: address,
        caller_address: address,
        admin_address: address,
    };
    let read: MemberInfo = musli::wire::from_slice(&musli::wire::to_vec(&previous).unwrap()).unwrap();
    assert!(!read.gathers, "a node of that release must not be used as a gatherer");
    let current = MemberInfo { gathers: true, ..read };
    let read: PreviousMemberInfo = musli::wire::from_slice(&musli::wire::to_vec(&current).unwrap()).unwrap();
    assert_eq!(read, previous, "the earlier release must decode the current format");
}
