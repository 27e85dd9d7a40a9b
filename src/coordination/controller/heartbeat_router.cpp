#include "coordination/controller/heartbeat_router.hpp"

#include <exception>
#include <utility>

#include "log.hpp"
#include "protocol/job_messages.hpp"
#include "transport/http_status.hpp"

namespace larkroad::coordination {
namespace {

namespace http_status = transport::http_status;

// A leader that is still loading its records delays a heartbeat by at most this fraction of the
// heartbeat interval, and retries it this many times in that period.
constexpr double kLoadingWaitRatio = 1.0 / 5;
constexpr double kLoadingRetries = 20;

}  // namespace

HeartbeatRouter::HeartbeatRouter(transport::Clock& clock, const Settings& settings,
                                 Components components)
    : clock_(clock), settings_(settings), components_(components) {}

void HeartbeatRouter::handle_request(transport::Request request, transport::Respond respond) {
  if (request.method != "POST") {
    respond({http_status::kMethodNotAllowed, protocol::encode_error("no such method here"), 0});
    return;
  }
  protocol::Heartbeat heartbeat;
  try {
    heartbeat = protocol::parse_heartbeat(request.body);
  } catch (const std::exception& error) {
    spdlog::error("malformed heartbeat: error={}", error.what());
    respond({http_status::kBadRequest, protocol::encode_error(error.what()), 0});
    return;
  }
  last_heartbeat_at_ = clock_.now();
  route({std::move(request.body), std::move(heartbeat), std::move(respond), loading_deadline()});
}

void HeartbeatRouter::route(PendingHeartbeat pending) {
  components_.election.observe_fencing_token(pending.heartbeat.fencing_token);
  if (must_wait_for_loading(pending.loading_deadline)) {
    retry_after_loading_pause([this, pending = std::move(pending)] { route(pending); });
  } else if (components_.election.may_answer_heartbeats()) {
    process_as_leader(pending);
  } else {
    relay_or_redirect(std::move(pending));
  }
}

void HeartbeatRouter::process_as_leader(const PendingHeartbeat& pending) {
  pending.respond(components_.leader.handle_heartbeat(pending.heartbeat));
  // A leader whose lease has expired sends no announcements. Without this check it would detect the
  // same change again on every heartbeat.
  if (components_.election.is_leader() &&
      components_.leader.relay_assignment().distributes_workers() !=
          components_.announcements.last_sent_workers_distributed()) {
    on_distribution_changed_();
  }
}

void HeartbeatRouter::relay_or_redirect(PendingHeartbeat pending) {
  update_relay_target();
  Relay& relay = components_.relay;
  if ((components_.announcements.workers_distributed() && relay.leader_reachable()) ||
      relay.uses_store_route()) {
    relay.forward(std::move(pending.payload), std::move(pending.heartbeat),
                  std::move(pending.respond));
    return;
  }
  const std::string& leader = relay.leader();
  const bool leader_elsewhere = leader != settings_.member;
  pending.respond({http_status::kMisdirectedRequest,
                   protocol::encode_redirect(leader_elsewhere ? leader : ""), 0, true});
}

void HeartbeatRouter::handle_relayed_batch(const protocol::RelayBatch& batch,
                                           transport::Respond respond) {
  if (!components_.peers.is_peer(batch.member)) {
    throw protocol::Malformed("a batch from " + batch.member + ", which is no peer");
  }
  process_batch({batch, Leader::RelayRoute::direct, std::move(respond), loading_deadline()});
}

void HeartbeatRouter::handle_stored_batch(const protocol::RelayBatch& batch,
                                          transport::Respond respond) {
  // This controller wrote the batch itself while another one was the leader.
  if (batch.member == settings_.member) return;
  if (!components_.peers.is_peer(batch.member)) {
    throw protocol::Malformed("no peer: " + batch.member);
  }
  process_batch(
      {batch, Leader::RelayRoute::key_value_store, std::move(respond), loading_deadline()});
}

void HeartbeatRouter::process_batch(PendingBatch pending) {
  Election& election = components_.election;
  Leader& leader = components_.leader;
  if (must_wait_for_loading(pending.loading_deadline)) {
    retry_after_loading_pause([this, pending = std::move(pending)] { process_batch(pending); });
  } else if (!election.may_answer_heartbeats()) {
    pending.respond(
        {http_status::kMisdirectedRequest, protocol::encode_redirect(election.leader()), 0});
  } else if (!leader.is_own_fencing_token(pending.batch.fencing_token)) {
    pending.respond(
        {http_status::kConflict, protocol::encode_fencing_token(election.fencing_token()), 0});
  } else {
    const auto answers = leader.handle_relayed_heartbeats(pending.batch, pending.route);
    pending.respond({http_status::kOk, protocol::encode_batch_answers(answers), 0});
  }
}

void HeartbeatRouter::update_relay_target() {
  const Election& election = components_.election;
  Relay& relay = components_.relay;
  const auto* announcement =
      components_.announcements.current(election.leader_revision(), clock_.now());
  if (announcement != nullptr) {
    relay.set_leader(announcement->member, announcement->fencing_token);
  } else {
    relay.set_leader(election.leader(), election.leader_revision());
  }
  // A leader that runs the first version does not read batches from the store.
  relay.allow_store_route(components_.store.failing_for() == 0 &&
                          components_.versions.all_support(kServicesVersion));
}

bool HeartbeatRouter::receives_heartbeats() const {
  return last_heartbeat_at_ && clock_.now() - *last_heartbeat_at_ < settings_.heartbeat_interval_s;
}

Seconds HeartbeatRouter::loading_deadline() const {
  return clock_.now() + settings_.heartbeat_interval_s * kLoadingWaitRatio;
}

bool HeartbeatRouter::must_wait_for_loading(Seconds deadline) const {
  return components_.leader.loading() && clock_.now() < deadline;
}

void HeartbeatRouter::retry_after_loading_pause(std::function<void()> retry) {
  clock_.after(settings_.heartbeat_interval_s * kLoadingWaitRatio / kLoadingRetries,
               std::move(retry));
}

}  // namespace larkroad::coordination
