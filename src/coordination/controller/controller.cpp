#include "coordination/controller/controller.hpp"

#include <algorithm>

#include "log.hpp"
#include "protocol/user_routes.hpp"
#include "protocol/worker_messages.hpp"

namespace larkroad::coordination {
namespace {

// How often a node tells its peers what it sees, as a part of the workers' report interval.
constexpr double kTellRatio = 1.0 / 3;
// A node cut off from the state service for this part of the workers' lease sends users to the
// others, if one of them is served. Shorter troubles pass with a few answers of 503.
constexpr double kUnhealthyRatio = 1.0 / 8;
// The leader's part of the state service's limits; the other nodes share the rest. Placements and
// completions are many more writes than submissions and cancellations.
constexpr double kLeaderShare = 0.5;
constexpr double kLeaderWriteShare = 0.65;
// What a peer said of itself counts for this many report intervals.
constexpr double kServesRatio = 1;
// Users wait 2 s for the answer to a query, of which this node has used up to 1.5 s.
constexpr Seconds kForwardWithin = 0.5;
// A leader that is still loading keeps a report for this part of the report interval at most.
constexpr double kLoadingRatio = 1.0 / 5;
// A leader that no worker has reached for this part of their lease makes way for one that they
// reach, and leaves it to the others for a lease.
constexpr double kUnheardRatio = 1.0 / 3;
constexpr const char* kPeerPath = "/peer";
constexpr const char* kUserPath = "/user";

}  // namespace

Controller::Controller(transport::Clock& clock, transport::Client& client, const Settings& settings)
    : clock_(clock),
      client_(client),
      settings_(settings),
      store_(clock, client, settings),
      catalog_(clock, client, store_, settings),
      versions_(clock, store_, settings),
      election_(clock, store_, settings, {[this] { take_lead(); }, [this] { leave_lead(); }}),
      user_api_(clock, store_, catalog_, settings),
      leader_(clock, client, store_, election_, catalog_, settings),
      store_client_(clock, store_, settings),
      store_server_(
          clock, store_, settings, [this] { return election_.fencing_token(); },
          [this](const protocol::RelayBatch& batch, const transport::Respond& respond) {
            relayed_by_store(batch, respond);
          }),
      relay_(clock, client, store_client_, settings),
      cancellations_(clock, client, settings) {
  user_api_.on_cancelled = [this](const std::string& id) {
    leader_.cancelled_by_peer(id);
    cancellations_.tell(id);
  };
  user_api_.services_known = [this] { return versions_.all_understand(kServicesVersion); };
  user_api_.healthy = [this] { return healthy(); };
  catalog_.on_change = [this] { leader_.types_changed(); };
}

void Controller::apply_rate_limit_share(bool leads) {
  if (settings_.peers.empty()) {
    store_.set_share(1, 1);
  } else if (leads) {
    store_.set_share(kLeaderShare, kLeaderWriteShare);
  } else {
    const double others = static_cast<double>(settings_.controller_count()) - 1;
    store_.set_share((1 - kLeaderShare) / others, (1 - kLeaderWriteShare) / others);
  }
}

void Controller::take_lead() {
  apply_rate_limit_share(true);
  leader_.begin(spread_);
  store_server_.begin();
}

void Controller::leave_lead() {
  apply_rate_limit_share(false);
  leader_.end();
  store_server_.end();
}

void Controller::start() {
  election_.start();
  catalog_.start();
  versions_.start();
  tell_peers();
}

bool Controller::healthy() {
  if (!store_.answered_ever() || !catalog_.known()) return false;
  if (store_.failing_for() < settings_.lease_s * kUnhealthyRatio) return true;
  // No node can be served better elsewhere when the service is down for all.
  const Seconds now = clock_.now();
  return std::none_of(peer_serves_.begin(), peer_serves_.end(), [&](const auto& peer) {
    return now - peer.second < settings_.heartbeat_interval_s;
  });
}

void Controller::handle_client(transport::Request request, transport::Respond respond) {
  if (request.target == protocol::kHeartbeatPath) {
    if (request.method != "POST") {
      respond({405, protocol::encode_error("no such method here"), 0});
      return;
    }
    handle_heartbeat(std::move(request.body), std::move(respond));
    return;
  }
  // What this node cannot ask the state service another one perhaps can. All of the users' calls
  // may be repeated, so it does no harm if this node's own try is carried out after all.
  auto kept = std::make_shared<transport::Request>(request);
  user_api_.handle(
      std::move(request), [this, kept, respond = std::move(respond)](transport::Response response) {
        const PeerSettings* peer = response.status == 503 && kept->target != protocol::kHealthPath
                                       ? serving_peer()
                                       : nullptr;
        if (peer == nullptr || kept->body.size() > transport::kBodyLimit / 4) {
          respond(std::move(response));
        } else {
          forward(*peer, *kept, std::move(response), respond);
        }
      });
}

const PeerSettings* Controller::serving_peer() {
  const Seconds now = clock_.now();
  for (size_t i = 0; i < settings_.peers.size(); ++i) {
    const PeerSettings& peer = settings_.peers[next_peer_++ % settings_.peers.size()];
    const auto it = peer_serves_.find(peer.member);
    if (it != peer_serves_.end() &&
        now - it->second < settings_.heartbeat_interval_s * kServesRatio) {
      return &peer;
    }
  }
  return nullptr;
}

void Controller::forward(const PeerSettings& peer, const transport::Request& request,
                         transport::Response own, transport::Respond respond) {
  const protocol::Json message{
      {"method", request.method}, {"target", request.target}, {"body", request.body}};
  client_.call(peer.addr.text(), {"POST", kUserPath, message.dump()}, kForwardWithin,
               [own = std::move(own), respond = std::move(respond)](
                   transport::Outcome outcome, const transport::Response& response) {
                 if (outcome == transport::Outcome::answered && response.status == 200) {
                   try {
                     const auto json = protocol::parse_object(response.body);
                     respond({static_cast<int>(protocol::integer(json, "status")),
                              protocol::text(json, "body"),
                              static_cast<int>(protocol::integer(json, "retry_after"))});
                     return;
                   } catch (const std::exception& error) {
                     spdlog::error("peer: {}", error.what());
                   }
                 }
                 respond(own);
               });
}

void Controller::forwarded(const std::string& body, transport::Respond respond) {
  const auto message = protocol::parse_object(body);
  // Answered here or not at all: it is not sent on once more.
  user_api_.handle({protocol::text(message, "method"), protocol::text(message, "target"),
                    protocol::text(message, "body")},
                   [respond = std::move(respond)](const transport::Response& response) {
                     const protocol::Json answer{{"status", response.status},
                                                 {"body", response.body},
                                                 {"retry_after", response.retry_after_s}};
                     respond({200, answer.dump(), 0});
                   });
}

void Controller::handle_heartbeat(std::string body, transport::Respond respond) {
  protocol::Heartbeat heartbeat;
  try {
    heartbeat = protocol::parse_heartbeat(body);
  } catch (const std::exception& error) {
    spdlog::error("report: {}", error.what());
    respond({400, protocol::encode_error(error.what()), 0});
    return;
  }
  workers_came_at_ = clock_.now();
  serve_report(std::move(body), std::move(heartbeat), std::move(respond),
               clock_.now() + settings_.heartbeat_interval_s * kLoadingRatio);
}

bool Controller::must_wait_for_loading(Seconds until) const {
  return leader_.loading() && clock_.now() < until;
}

void Controller::after_loading_pause(std::function<void()> again) {
  clock_.after(settings_.heartbeat_interval_s * kLoadingRatio / 20, std::move(again));
}

void Controller::serve_report(std::string body, protocol::Heartbeat heartbeat,
                              transport::Respond respond, Seconds until) {
  election_.superseded(heartbeat.fencing_token);
  if (must_wait_for_loading(until)) {
    after_loading_pause([=, this] { serve_report(body, heartbeat, respond, until); });
    return;
  }
  if (election_.may_answer_reports()) {
    respond(leader_.handle_heartbeat(heartbeat));
    // Peers must know at once that workers stay with them from now on, or they would send on to
    // this node those that it sends to them. Past its lease it has nothing to tell, and would
    // otherwise tell it again with each report.
    if (election_.leads() && leader_.relay_assignment().distributes_workers() != told_spread_)
      tell_peers_now();
    return;
  }
  aim_relay();
  if ((spread_ && relay_.leader_reachable()) || relay_.uses_store_route()) {
    relay_.forward(std::move(body), std::move(heartbeat), std::move(respond));
    return;
  }
  const std::string& leader = relay_.leader();
  respond({421, protocol::encode_redirect(leader == settings_.member ? "" : leader), 0, true});
}

void Controller::aim_relay() {
  const bool told = told_at_ >= 0 && clock_.now() - told_at_ < settings_.heartbeat_interval_s &&
                    told_fencing_token_ > election_.leader_revision();
  if (told) {
    relay_.set_leader(told_leader_, told_fencing_token_);
  } else {
    relay_.set_leader(election_.leader(), election_.leader_revision());
  }
  // A leader of the first version would not look there.
  relay_.allow_store_route(store_.failing_for() == 0 && versions_.all_understand(kServicesVersion));
}

bool Controller::is_peer(const std::string& member) const {
  return std::any_of(settings_.peers.begin(), settings_.peers.end(),
                     [&](const PeerSettings& known) { return known.member == member; });
}

void Controller::cancelled_elsewhere(const std::string& body, const transport::Respond& respond) {
  const auto message = protocol::parse_object(body);
  const std::string member = protocol::text(message, "member");
  const std::string id = protocol::text(message, "job");
  if (!is_peer(member)) throw protocol::Malformed("a cancellation from no peer: " + member);
  if (election_.holds() && !leader_.cancelled_by_peer(id)) {
    respond({400, protocol::encode_error("no such job here"), 0});
    return;
  }
  respond({200, "{}", 0});
}

void Controller::handle_relayed_heartbeats(const protocol::RelayBatch& batch,
                                           Leader::RelayRoute route,
                                           const transport::Respond& respond, Seconds until) {
  if (must_wait_for_loading(until)) {
    after_loading_pause([=, this] { handle_relayed_heartbeats(batch, route, respond, until); });
    return;
  }
  if (!election_.may_answer_reports()) {
    respond({421, protocol::encode_redirect(election_.leader()), 0});
  } else if (!leader_.is_own_fencing_token(batch.fencing_token)) {
    respond({409, protocol::encode_fencing_token(election_.fencing_token()), 0});
  } else {
    respond(
        {200, protocol::encode_batch_answers(leader_.handle_relayed_heartbeats(batch, route)), 0});
  }
}

void Controller::relayed_by_store(const protocol::RelayBatch& batch,
                                  const transport::Respond& respond) {
  if (batch.member == settings_.member) return;  // of when another one led
  if (!is_peer(batch.member)) throw protocol::Malformed("no peer: " + batch.member);
  handle_relayed_heartbeats(batch, Leader::RelayRoute::state_service, respond,
                            clock_.now() + settings_.heartbeat_interval_s * kLoadingRatio);
}

void Controller::step_down_if_unreachable() {
  if (!election_.leads()) return;
  const Seconds now = clock_.now();
  const Seconds since = leader_.unreachable_by_workers_since();
  if (since < 0 || now - since < settings_.lease_s * kUnheardRatio) return;
  const bool others = std::any_of(peer_hears_.begin(), peer_hears_.end(), [&](const auto& peer) {
    return now - peer.second < settings_.heartbeat_interval_s;
  });
  if (others) {
    election_.step_down("no worker reaches it, and they reach its peers", settings_.lease_s);
  }
}

void Controller::tell_peers() {
  clock_.after(settings_.heartbeat_interval_s * kTellRatio, [this] { tell_peers(); });
  step_down_if_unreachable();
  tell_peers_now();
}

void Controller::tell_peers_now() {
  aim_relay();
  protocol::Json message{{"member", settings_.member},
                         {"served", store_.answered_ever() && store_.failing_for() == 0},
                         {"token", election_.fencing_token()},
                         {"version", kOwnVersion}};
  if (workers_came_at_ >= 0 && clock_.now() - workers_came_at_ < settings_.heartbeat_interval_s) {
    message["workers"] = true;
  }
  // Whom this node relays to, if it reaches them.
  if (relay_.leader_reachable()) message["relays_to"] = relay_.leader();
  if (election_.leads()) {
    spread_ = told_spread_ = leader_.relay_assignment().distributes_workers();
    message["spread"] = spread_;
    auto progress = leader_.progress();
    protocol::Json jobs = protocol::Json::object();
    for (const auto& [id, p] : progress) {
      jobs[id] = {p.done, p.running};
      // Display only: a very long list is cut rather than refused by the peer.
      if (jobs.size() >= transport::kBodyLimit / 64) break;
    }
    message["jobs"] = std::move(jobs);
    user_api_.set_progress(std::move(progress));
  }
  const std::string body = message.dump();
  for (const auto& peer : settings_.peers) {
    client_.call(
        peer.addr.text(), {"POST", kPeerPath, body}, settings_.heartbeat_interval_s * kTellRatio,
        [this, member = peer.member](transport::Outcome outcome, const transport::Response&) {
          relay_.record_peer_reply(member, outcome == transport::Outcome::answered);
        });
  }
}

void Controller::handle_peer(transport::Request request, transport::Respond respond) {
  if ((request.target != kPeerPath && request.target != kUserPath &&
       request.target != protocol::kRelayPath && request.target != CancellationNotifier::kPath) ||
      request.method != "POST") {
    respond({404, "{}", 0});
    return;
  }
  try {
    if (request.target == kUserPath) {
      forwarded(request.body, respond);
      return;
    }
    if (request.target == protocol::kRelayPath) {
      const auto batch = protocol::parse_batch(request.body);
      if (!is_peer(batch.member)) {
        throw protocol::Malformed("a batch from " + batch.member + ", which is no peer");
      }
      handle_relayed_heartbeats(batch, Leader::RelayRoute::direct, respond,
                                clock_.now() + settings_.heartbeat_interval_s * kLoadingRatio);
      return;
    }
    if (request.target == CancellationNotifier::kPath) {
      cancelled_elsewhere(request.body, respond);
      return;
    }
    peer_told(request.body);
    respond({200, "{}", 0});
  } catch (const std::exception& error) {
    spdlog::error("peer: {}", error.what());
    respond({400, protocol::encode_error(error.what()), 0});
  }
}

void Controller::peer_told(const std::string& body) {
  const auto message = protocol::parse_object(body);
  const std::string member = protocol::text(message, "member");
  const std::uint64_t fencing_token = protocol::integer(message, "token");
  const bool names_version = protocol::find(message, "version") != nullptr;
  versions_.peer_reported(member,
                          names_version ? protocol::integer(message, "version") : kFirstVersion);
  if (protocol::boolean(message, "served")) {
    peer_serves_[member] = clock_.now();
    if (protocol::find(message, "workers") != nullptr) peer_hears_[member] = clock_.now();
  }
  election_.superseded(fencing_token);
  if (const auto* to = protocol::find(message, "relays_to"); to != nullptr && election_.holds()) {
    if (*to == settings_.member) leader_.relay_assignment().record_relay(member, clock_.now());
  }
  if (protocol::find(message, "spread") != nullptr && !election_.leads() &&
      fencing_token >= told_fencing_token_) {
    spread_ = protocol::boolean(message, "spread");
    told_leader_ = member;
    told_fencing_token_ = fencing_token;
    told_at_ = clock_.now();
  }
  const auto* jobs = protocol::find(message, "jobs");
  if (jobs == nullptr || !jobs->is_object()) return;
  std::unordered_map<std::string, UserApi::Progress> progress;
  for (const auto& [id, p] : jobs->items()) {
    progress[id] = {p.at(0).get<std::uint32_t>(), p.at(1).get<std::uint32_t>()};
  }
  if (!election_.leads()) user_api_.set_progress(std::move(progress));
}

}  // namespace larkroad::coordination
