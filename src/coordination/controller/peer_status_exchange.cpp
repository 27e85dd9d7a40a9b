#include "coordination/controller/peer_status_exchange.hpp"

#include <cstddef>
#include <unordered_map>
#include <utility>
#include <vector>

namespace larkroad::coordination {
namespace {

// Interval between status messages, as a fraction of the heartbeat interval.
constexpr double kIntervalRatio = 1.0 / 3;
// A longer list of jobs is truncated, because a peer would reject a message over the body limit.
// Nothing but the display of progress depends on it.
constexpr std::size_t kMaxReportedJobs = transport::kBodyLimit / 64;

using ProgressByJob = std::unordered_map<std::string, UserApi::Progress>;

std::vector<protocol::JobProgress> to_message(const ProgressByJob& progress) {
  std::vector<protocol::JobProgress> jobs;
  for (const auto& [job, counts] : progress) {
    jobs.push_back({job, counts.done, counts.running});
    if (jobs.size() >= kMaxReportedJobs) break;
  }
  return jobs;
}

ProgressByJob from_message(const std::vector<protocol::JobProgress>& jobs) {
  ProgressByJob progress;
  for (const auto& job : jobs) progress[job.job] = {job.done, job.running};
  return progress;
}

}  // namespace

PeerStatusExchange::PeerStatusExchange(transport::Clock& clock, transport::Client& client,
                                       const Settings& settings, Components components)
    : clock_(clock), client_(client), settings_(settings), components_(components) {}

Seconds PeerStatusExchange::interval() const {
  return settings_.heartbeat_interval_s * kIntervalRatio;
}

void PeerStatusExchange::send_status() {
  const std::string body = protocol::encode_peer_status(own_status());
  for (const auto& peer : settings_.peers) {
    client_.call(
        peer.addr.text(), {"POST", protocol::kPeerStatusPath, body}, interval(),
        [this, member = peer.member](transport::Outcome outcome, const transport::Response&) {
          const bool answered = outcome == transport::Outcome::answered;
          components_.relay.record_peer_reply(member, answered);
        });
  }
}

protocol::PeerStatus PeerStatusExchange::own_status() {
  components_.heartbeat_router.update_relay_target();
  storage::KeyValueClient& store = components_.store;
  protocol::PeerStatus status;
  status.member = settings_.member;
  status.store_available = store.has_ever_answered() && store.users_failing_for() == 0;
  status.fencing_token = components_.election.fencing_token();
  status.version = kOwnVersion;
  status.receives_heartbeats = components_.heartbeat_router.receives_heartbeats();
  if (components_.relay.leader_reachable()) status.relays_to = components_.relay.leader();
  if (components_.election.is_leader()) add_leader_status(status);
  return status;
}

void PeerStatusExchange::add_leader_status(protocol::PeerStatus& status) {
  const bool distributes_workers = components_.leader.relay_assignment().distributes_workers();
  status.distributes_workers = distributes_workers;
  components_.announcements.record_sent(distributes_workers);
  auto progress = components_.leader.progress();
  status.jobs = to_message(progress);
  components_.user_api.set_progress(std::move(progress));
}

void PeerStatusExchange::handle_status(const std::string& body) {
  const protocol::PeerStatus status = protocol::parse_peer_status(body);
  const Seconds now = clock_.now();
  // The first version sends no version field.
  components_.versions.record_peer_version(status.member, status.version.value_or(kFirstVersion));
  components_.peers.observe(status, now);
  components_.election.observe_fencing_token(status.fencing_token);
  if (components_.election.holds_leader_key() && status.relays_to == settings_.member) {
    components_.leader.relay_assignment().record_relay(status.member, now);
  }
  observe_leader_announcement(status);
  observe_job_progress(status);
}

void PeerStatusExchange::observe_leader_announcement(const protocol::PeerStatus& status) {
  if (!status.distributes_workers || components_.election.is_leader()) return;
  components_.announcements.record_received(status.member, status.fencing_token,
                                            *status.distributes_workers, clock_.now());
}

void PeerStatusExchange::observe_job_progress(const protocol::PeerStatus& status) {
  if (!status.jobs || components_.election.is_leader()) return;
  components_.user_api.set_progress(from_message(*status.jobs));
}

}  // namespace larkroad::coordination
