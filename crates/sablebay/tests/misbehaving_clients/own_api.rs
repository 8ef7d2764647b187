//! Bodies that are sent to the product's own API for callers, and to its admin API.

use http::{Method, StatusCode};

use sablebay_standin::CallerClient;

use crate::crowd::{CrowdBody, Framing, send_bodies};
use crate::support::eventually;
use crate::trial::Trial;

const CLIENTS: usize = 800;
/// The largest body of the own API.
const BODY_BYTES: usize = 256 * 1024;
const PATH: &str = "/v1/services/unknown/query";

/// Waits until a query is answered, which names no service of the node.
async fn check_query(trial: &Trial) {
    let client = CallerClient::new(trial.node.own_callers);
    eventually("a query is answered", || async {
        let answer = client.send(Method::POST, PATH, "{\"query\":1}").await;
        matches!(answer, Some((StatusCode::NOT_FOUND | StatusCode::SERVICE_UNAVAILABLE, _)))
    })
    .await;
}

async fn check_bodies(body: CrowdBody) {
    let mut trial = Trial::start().await;
    let crowd = send_bodies(trial.node.own_callers, CLIENTS, PATH, body).await;
    check_query(&trial).await;
    trial.check_beside(crowd).await;
    check_query(&trial).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_the_own_api_that_stop_short() {
    let body =
        CrowdBody { bytes: BODY_BYTES, framing: Framing::Length, piece_bytes: usize::MAX, is_whole: false };
    check_bodies(body).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_the_own_api_in_small_pieces_that_stop_short() {
    let body = CrowdBody { bytes: BODY_BYTES, framing: Framing::Length, piece_bytes: 1_024, is_whole: false };
    check_bodies(body).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_the_own_api_in_chunks_of_one_byte_that_stop_short() {
    let body =
        CrowdBody { bytes: 64_000, framing: Framing::Chunks(1), piece_bytes: usize::MAX, is_whole: false };
    check_bodies(body).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn candidates_of_the_admin_api_that_stop_short() {
    /// Nearly the largest candidate.
    const CANDIDATE_BYTES: usize = 60 << 20;
    const CANDIDATES: usize = 8;
    let mut trial = Trial::start().await;
    let body = CrowdBody {
        bytes: CANDIDATE_BYTES,
        framing: Framing::Length,
        piece_bytes: usize::MAX,
        is_whole: false,
    };
    let crowd = send_bodies(trial.node.admin, CANDIDATES, "/v1/configuration/check", body).await;
    trial.check_beside(crowd).await;
}
