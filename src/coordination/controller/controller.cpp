#include "coordination/controller/controller.hpp"

#include <algorithm>
#include <array>
#include <exception>
#include <optional>
#include <string_view>
#include <utility>

#include "log.hpp"
#include "protocol/job_messages.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/relay_messages.hpp"
#include "protocol/user_routes.hpp"
#include "protocol/worker_messages.hpp"
#include "transport/http_status.hpp"

namespace larkroad::coordination {
namespace {

namespace http_status = transport::http_status;

// Fraction of the worker lease after which a controller that gets no user's request answered by the
// key-value store reports itself unhealthy, unless its peers cannot either. Shorter failures only
// cost users a few 503 responses.
constexpr double kUnhealthyRatio = 1.0 / 8;
// The leader's share of the store's rate limits; the followers split the rest evenly. The leader
// gets most of the write quota because placements and completions cause far more writes than
// submissions and cancellations.
constexpr double kLeaderRequestShare = 0.5;
constexpr double kLeaderWriteShare = 0.65;

constexpr std::array<std::string_view, 4> kPeerPaths{
    protocol::kPeerStatusPath,
    protocol::kForwardedRequestPath,
    protocol::kRelayPath,
    protocol::kCancellationPath,
};

bool is_peer_path(const std::string& target) {
  return std::find(kPeerPaths.begin(), kPeerPaths.end(), target) != kPeerPaths.end();
}

}  // namespace

Controller::Controller(transport::Clock& clock, transport::Client& client, const Settings& settings)
    : clock_(clock),
      settings_(settings),
      store_(clock, client, settings),
      catalog_(clock, client, store_, settings),
      versions_(clock, store_, settings),
      peers_(settings),
      announcements_(settings),
      election_(clock, store_, settings, {[this] { on_elected(); }, [this] { on_deposed(); }}),
      unreachable_leader_watch_(settings),
      user_api_(clock, store_, catalog_, settings),
      request_forwarder_(clock, client, user_api_, peers_),
      leader_(clock, client, store_, election_, catalog_, settings),
      store_relay_client_(clock, store_, settings),
      store_relay_server_(
          clock, store_, settings, [this] { return election_.fencing_token(); },
          [this](const protocol::RelayBatch& batch, const transport::Respond& respond) {
            heartbeat_router_.handle_stored_batch(batch, respond);
          }),
      relay_(clock, client, store_relay_client_, settings),
      heartbeat_router_(clock, settings,
                        {store_, election_, leader_, relay_, versions_, peers_, announcements_}),
      status_exchange_(clock, client, settings,
                       {store_, election_, leader_, relay_, user_api_, heartbeat_router_, versions_,
                        peers_, announcements_}),
      cancellations_(clock, client, settings) {
  connect_components();
}

void Controller::connect_components() {
  user_api_.on_cancelled = [this](const std::string& job) {
    leader_.apply_peer_cancellation(job);
    cancellations_.notify_peers(job);
  };
  user_api_.services_supported = [this] { return versions_.all_support(kServicesVersion); };
  user_api_.healthy = [this] { return is_healthy(); };
  catalog_.set_on_change([this] { leader_.update_machine_types(); });
  heartbeat_router_.set_on_distribution_changed([this] { status_exchange_.send_status(); });
}

void Controller::start() {
  election_.start();
  catalog_.start();
  versions_.start();
  run_periodic_tasks();
}

void Controller::on_elected() {
  apply_rate_limit_share(Role::leader);
  leader_.begin_term(announcements_.workers_distributed());
  store_relay_server_.begin();
}

void Controller::on_deposed() {
  apply_rate_limit_share(Role::follower);
  leader_.end_term();
  store_relay_server_.end();
}

void Controller::apply_rate_limit_share(Role role) {
  if (settings_.peers.empty()) {
    store_.set_share(1, 1);
  } else if (role == Role::leader) {
    store_.set_share(kLeaderRequestShare, kLeaderWriteShare);
  } else {
    const double followers = static_cast<double>(settings_.controller_count()) - 1;
    store_.set_share((1 - kLeaderRequestShare) / followers, (1 - kLeaderWriteShare) / followers);
  }
}

bool Controller::is_healthy() {
  if (!store_.has_ever_answered() || !catalog_.known()) return false;
  if (store_.users_failing_for() < settings_.lease_s * kUnhealthyRatio) return true;
  if (settings_.peers.empty()) return true;  // nobody else could serve the users
  // During a store outage no peer can serve users any better, so stay healthy. Peers tell of an
  // outage; a controller that hears none of them may be isolated, and its users better off
  // elsewhere.
  const Seconds now = clock_.now();
  return peers_.any_is_heard(now) && !peers_.any_has_store_access(now);
}

void Controller::run_periodic_tasks() {
  clock_.after(status_exchange_.interval(), [this] { run_periodic_tasks(); });
  step_down_if_unreachable();
  status_exchange_.send_status();
}

void Controller::step_down_if_unreachable() {
  if (!election_.is_leader()) return;
  const Seconds now = clock_.now();
  if (unreachable_leader_watch_.should_step_down(leader_.newest_heartbeat_at(),
                                                 peers_.any_receives_heartbeats(now), now)) {
    election_.step_down("workers reach its peers but not this controller",
                        unreachable_leader_watch_.campaign_pause());
  }
}

void Controller::handle_client(transport::Request request, transport::Respond respond) {
  if (request.target == protocol::kHeartbeatPath) {
    heartbeat_router_.handle_request(std::move(request), std::move(respond));
  } else {
    request_forwarder_.handle(request, std::move(respond));
  }
}

void Controller::handle_peer(transport::Request request, transport::Respond respond) {
  if (!is_peer_path(request.target) || request.method != "POST") {
    respond({http_status::kNotFound, "{}", 0});
    return;
  }
  try {
    dispatch_peer_request(request, respond);
  } catch (const std::exception& error) {
    spdlog::error("peer request refused: path={} error={}", request.target, error.what());
    respond({http_status::kBadRequest, protocol::encode_error(error.what()), 0});
  }
}

void Controller::dispatch_peer_request(const transport::Request& request,
                                       const transport::Respond& respond) {
  if (request.target == protocol::kForwardedRequestPath) {
    request_forwarder_.handle_forwarded(request.body, respond);
  } else if (request.target == protocol::kRelayPath) {
    heartbeat_router_.handle_relayed_batch(protocol::parse_batch(request.body), respond);
  } else if (request.target == protocol::kCancellationPath) {
    handle_cancellation(request.body, respond);
  } else {
    status_exchange_.handle_status(request.body);
    respond({http_status::kOk, "{}", 0});
  }
}

void Controller::handle_cancellation(const std::string& body, const transport::Respond& respond) {
  const auto notice = protocol::parse_cancellation_notice(body);
  if (!peers_.is_peer(notice.member)) {
    throw protocol::Malformed("a cancellation from no peer: " + notice.member);
  }
  // A leader whose lease has expired also stops the tasks. This is safe because a notice alone
  // never causes a write.
  if (election_.holds_leader_key() && !leader_.apply_peer_cancellation(notice.job)) {
    respond({http_status::kBadRequest, protocol::encode_error("no such job here"), 0});
    return;
  }
  respond({http_status::kOk, "{}", 0});
}

}  // namespace larkroad::coordination
