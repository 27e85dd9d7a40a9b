#include "coordination/node.hpp"

#include <algorithm>

#include "log.hpp"
#include "protocol/workers.hpp"

namespace larkroad::coordination {
namespace {

// How often a node tells its peers what it sees, as a part of the workers' report interval.
constexpr double kTellRatio = 1.0 / 3;
// A node cut off from the state service for this part of the workers' lease sends users to the
// others, if one of them is served. Shorter troubles pass with a few answers of 503.
constexpr double kUnhealthyRatio = 1.0 / 8;
// The leader's part of the state service's limits; the other nodes share the rest.
constexpr double kLeaderShare = 0.5;

}  // namespace

Node::Node(transport::Clock& clock, transport::Client& client, const Settings& settings)
    : clock_(clock),
      client_(client),
      settings_(settings),
      state_(clock, client, settings),
      catalog_(clock, client, state_, settings),
      election_(clock, state_, settings,
                {[this] {
                   if (settings_.peers.empty())
                     state_.set_share(1);
                   else
                     state_.set_share(kLeaderShare);
                   leader_.begin();
                 },
                 [this] {
                   state_.set_share((1 - kLeaderShare) / static_cast<double>(std::max<size_t>(
                                                             1, settings_.node_count() - 1)));
                   leader_.end();
                 }}),
      front_(clock, state_, catalog_, settings),
      leader_(clock, client, state_, election_, catalog_, settings) {
  front_.healthy = [this] { return healthy(); };
  catalog_.on_change = [this] { leader_.types_changed(); };
}

void Node::start() {
  election_.start();
  catalog_.start();
  tell_peers();
}

bool Node::healthy() {
  if (!state_.answered_ever() || !catalog_.known()) return false;
  if (state_.failing_for() < settings_.lease_s * kUnhealthyRatio) return true;
  // No node can be served better elsewhere when the service is down for all.
  const Seconds now = clock_.now();
  return std::none_of(peer_serves_.begin(), peer_serves_.end(),
                      [&](const auto& peer) { return now - peer.second < settings_.report_s; });
}

void Node::handle_client(transport::Request request, transport::Respond respond) {
  if (request.target == protocol::kReportPath) {
    if (request.method != "POST") {
      respond({405, protocol::encode_error("no such method here"), 0});
      return;
    }
    respond(checkin(request.body));
    return;
  }
  front_.handle(std::move(request), std::move(respond));
}

transport::Response Node::checkin(const std::string& body) {
  protocol::Report report;
  try {
    report = protocol::parse_report(body);
  } catch (const std::exception& error) {
    spdlog::error("report: {}", error.what());
    return {400, protocol::encode_error(error.what()), 0};
  }
  election_.superseded(report.token);
  if (election_.may_answer_reports()) return leader_.checkin(report);
  const std::string& leader = election_.leader();
  return {421, protocol::encode_redirect(leader == settings_.member ? "" : leader), 0};
}

void Node::tell_peers() {
  clock_.after(settings_.report_s * kTellRatio, [this] { tell_peers(); });
  protocol::Json message{{"member", settings_.member},
                         {"served", state_.answered_ever() && state_.failing_for() == 0},
                         {"token", election_.token()}};
  if (election_.leads()) {
    auto progress = leader_.progress();
    protocol::Json jobs = protocol::Json::object();
    for (const auto& [id, p] : progress) {
      jobs[id] = {p.done, p.running};
      // Display only: a very long list is cut rather than refused by the peer.
      if (jobs.size() >= transport::kBodyLimit / 64) break;
    }
    message["jobs"] = std::move(jobs);
    front_.set_progress(std::move(progress));
  }
  const std::string body = message.dump();
  for (const auto& peer : settings_.peers) {
    client_.call(peer.addr.text(), {"POST", "/peer", body}, settings_.report_s * kTellRatio,
                 [](transport::Outcome, const transport::Response&) {});
  }
}

void Node::handle_peer(transport::Request request, transport::Respond respond) {
  if (request.target != "/peer" || request.method != "POST") {
    respond({404, "{}", 0});
    return;
  }
  try {
    const auto message = protocol::parse_object(request.body);
    if (protocol::boolean(message, "served")) {
      peer_serves_[protocol::text(message, "member")] = clock_.now();
    }
    election_.superseded(protocol::integer(message, "token"));
    if (const auto* jobs = protocol::find(message, "jobs"); jobs != nullptr && jobs->is_object()) {
      std::unordered_map<std::string, Front::Progress> progress;
      for (const auto& [id, p] : jobs->items()) {
        progress[id] = {p.at(0).get<std::uint32_t>(), p.at(1).get<std::uint32_t>()};
      }
      if (!election_.leads()) front_.set_progress(std::move(progress));
    }
    respond({200, "{}", 0});
  } catch (const std::exception& error) {
    spdlog::error("peer: {}", error.what());
    respond({400, protocol::encode_error(error.what()), 0});
  }
}

}  // namespace larkroad::coordination
