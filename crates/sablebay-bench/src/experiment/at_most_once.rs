//! Submits each operation to every node process at once and retries it later, while nodes are
//! paused, killed or cut off from the network. No operation may run twice.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use sablebay_model::Reason;
use sablebay_standin::{CallerClient, Deployment, Faults, OperationOutcome, ServiceTime};

use super::RunOptions;
use crate::error::BenchError;
use crate::processes::{NodeCommand, ProcessCluster};
use crate::result::ExperimentResult;

const SERVICE: &str = "desk";
const NODES: usize = 3;
const ROUNDS: f64 = 30.0;
const OPERATIONS_PER_ROUND: usize = 8;
const DEADLINE_MS: u64 = 800;

pub async fn run(options: &RunOptions) -> Result<ExperimentResult, BenchError> {
    let mut result = options.result("at-most-once");
    let command = NodeCommand::with_break(options.broken.as_deref())?;
    let flags = ["--log-level", "warn"];
    let mut cluster = ProcessCluster::start(command, deployment(), NODES, &flags).await?;
    let mut random = SmallRng::seed_from_u64(options.seed);
    let mut submissions = Vec::new();
    let rounds = ((ROUNDS * options.scale) as usize).max(6);
    for round in 0..rounds {
        submissions.extend(run_round(&mut cluster, round, &mut random).await?);
    }
    check_outcomes(&cluster, &submissions, &mut result);
    if options.broken.is_some() {
        result.break_caught = Some(result.violations > 0);
    }
    Ok(result)
}

fn deployment() -> Deployment {
    let mut deployment = Deployment::default();
    deployment.template("orders", "deadline_ms = 800\nticket_lifetime_ms = 20000\n");
    deployment.add_ring(SERVICE, "orders", 2, 2, &["zone-a", "zone-b"]);
    deployment.service_time = Some(ServiceTime::log_normal(5_000.0, 0.5));
    deployment
}

/// One submission of a ticket and the outcome that the caller received.
struct Submission {
    ticket: String,
    outcome: OperationOutcome,
}

/// The fault that is injected into one node during a round.
#[derive(Clone, Copy, Debug)]
enum InjectedFault {
    None,
    Pause,
    Cut,
    Kill,
    PauseAndCut,
}

const INJECTED_FAULTS: [InjectedFault; 5] = [
    InjectedFault::None,
    InjectedFault::Pause,
    InjectedFault::Cut,
    InjectedFault::Kill,
    InjectedFault::PauseAndCut,
];

async fn run_round(
    cluster: &mut ProcessCluster,
    round: usize,
    random: &mut SmallRng,
) -> Result<Vec<Submission>, BenchError> {
    let fault = INJECTED_FAULTS[round % INJECTED_FAULTS.len()];
    let victim = random.random_range(0..cluster.nodes.len());
    let clients: Vec<CallerClient> = cluster.nodes.iter().map(|node| node.client()).collect();
    let mut tickets = Vec::new();
    for number in 0..OPERATIONS_PER_ROUND {
        tickets.extend(clients[number % clients.len()].ticket(SERVICE).await);
    }
    let delay = Duration::from_micros(random.random_range(0..4_000));
    let submitting = submit_everywhere(&clients, &tickets);
    let injecting = inject_fault(cluster, victim, fault, delay);
    let (mut submissions, ()) = tokio::join!(submitting, injecting);
    recover(cluster, victim, fault).await?;
    // Retries each ticket through one node, like a caller that lost the answer.
    let retry_client = cluster.nodes[random.random_range(0..cluster.nodes.len())].client();
    for ticket in &tickets {
        let outcome = retry_client.operation(SERVICE, Some(ticket), Some(DEADLINE_MS)).await;
        submissions.push(Submission { ticket: ticket.clone(), outcome });
    }
    Ok(submissions)
}

async fn submit_everywhere(clients: &[CallerClient], tickets: &[String]) -> Vec<Submission> {
    let mut submissions = Vec::new();
    for ticket in tickets {
        let (first, second, third) = tokio::join!(
            clients[0].operation(SERVICE, Some(ticket), Some(DEADLINE_MS)),
            clients[1].operation(SERVICE, Some(ticket), Some(DEADLINE_MS)),
            clients[2].operation(SERVICE, Some(ticket), Some(DEADLINE_MS)),
        );
        for outcome in [first, second, third] {
            submissions.push(Submission { ticket: ticket.clone(), outcome });
        }
    }
    submissions
}

async fn inject_fault(cluster: &ProcessCluster, victim: usize, fault: InjectedFault, delay: Duration) {
    const PAUSE: Duration = Duration::from_millis(1_200);
    const CUT: Duration = Duration::from_millis(900);
    tokio::time::sleep(delay).await;
    let node = &cluster.nodes[victim];
    match fault {
        InjectedFault::None => {}
        InjectedFault::Pause => {
            node.pause();
            tokio::time::sleep(PAUSE).await;
            node.resume();
        }
        InjectedFault::Cut => {
            cluster.proxies[victim].set(Faults::cut());
            tokio::time::sleep(CUT).await;
            cluster.proxies[victim].set(Faults::default());
        }
        InjectedFault::Kill => node.kill_without_waiting(),
        InjectedFault::PauseAndCut => {
            cluster.proxies[victim].set(Faults::cut());
            node.pause();
            tokio::time::sleep(CUT).await;
            node.resume();
            tokio::time::sleep(CUT).await;
            cluster.proxies[victim].set(Faults::default());
        }
    }
}

async fn recover(
    cluster: &mut ProcessCluster,
    victim: usize,
    fault: InjectedFault,
) -> Result<(), BenchError> {
    if matches!(fault, InjectedFault::Kill) {
        cluster.remove_node(victim);
        cluster.add_node().await?;
    }
    cluster.wait_until_ready(NODES).await
}

/// Compares the outcomes that callers received with the operations that the leaves ran.
fn check_outcomes(cluster: &ProcessCluster, submissions: &[Submission], result: &mut ExperimentResult) {
    let run_counts = cluster.leaves.operations();
    let run_count = |ticket: &str| run_counts.get(ticket_id(ticket)).copied().unwrap_or(0);
    let (mut done, mut not_run, mut unknown, mut unreached) = (0u64, 0u64, 0u64, 0u64);
    let mut false_not_run = 0;
    let mut false_done = 0;
    let mut reasons: BTreeMap<String, u64> = BTreeMap::new();
    for submission in submissions {
        match &submission.outcome {
            OperationOutcome::Done { .. } => {
                done += 1;
                false_done += u64::from(run_count(&submission.ticket) == 0);
            }
            OperationOutcome::NotRun { reason: Some(reason) } => {
                not_run += 1;
                false_not_run += u64::from(run_count(&submission.ticket) > 0);
                count(&mut reasons, *reason);
            }
            OperationOutcome::NotRun { reason: None } => unreached += 1,
            OperationOutcome::Unknown { reason } => {
                unknown += 1;
                if let Some(reason) = reason {
                    count(&mut reasons, *reason);
                }
            }
        }
    }
    let tickets: std::collections::BTreeSet<&str> =
        submissions.iter().map(|submission| submission.ticket.as_str()).collect();
    let run_once = tickets.iter().filter(|ticket| run_count(ticket) == 1).count();
    result.violation("run_twice", cluster.leaves.operations_run_twice() as u64);
    result.violation("false_not_run", false_not_run);
    result.violation("false_done", false_done);
    let all = submissions.len().max(1) as f64;
    result.figure("operations", tickets.len() as u64);
    result.figure("run_once", run_once as u64);
    result.figure("submissions", submissions.len() as u64);
    result.figure("done_share", done as f64 / all);
    result.figure("not_run_share", not_run as f64 / all);
    result.figure("unknown_share", unknown as f64 / all);
    result.figure("unreached_share", unreached as f64 / all);
    result.figure("reasons", serde_json::to_value(reasons).unwrap_or_default());
}

fn count(reasons: &mut BTreeMap<String, u64>, reason: Reason) {
    *reasons.entry(reason.to_string()).or_default() += 1;
}

/// Extracts the identifier from the text of a ticket, under which leaves record the operation.
fn ticket_id(ticket: &str) -> &str {
    ticket.split('.').nth(3).unwrap_or_default()
}
