#include "sim/network.hpp"

#include <algorithm>

#include "protocol/relay_messages.hpp"
#include "protocol/worker_messages.hpp"
#include "sim/first_version.hpp"
#include "sim/world.hpp"

namespace larkroad::sim {
namespace {

/// Fraction of requests that open a new connection; the others reuse an open one.
constexpr double kNewConnectionRate = 0.3;
constexpr Seconds kMinLatency = 0.001;
constexpr Seconds kLatencySpread = 0.004;
constexpr Seconds kSlowResponseSpread = 3.9;  // shorter than the workers' heartbeat timeout
constexpr Seconds kMinDuplicateDelay = 1;
constexpr Seconds kMinCommandDelay = 2;
constexpr Seconds kCommandDelaySpread = 14;
constexpr int kDuplicateLeases = 3;

std::pair<std::string, std::string> sorted_pair(const std::string& a, const std::string& b) {
  return a < b ? std::make_pair(a, b) : std::make_pair(b, a);
}

std::string group_of(const std::string& host) { return is_machine(host) ? kWorkersHost : host; }

void ignore_response(const Response& /*response*/) {}

}  // namespace

// ---------------------------------------------------------------- faults

void Network::partition(const std::string& a, const std::string& b, Seconds length) {
  partitions_[sorted_pair(a, b)] = world_.events.now() + length;
}

void Network::partition_zones(Seconds length) {
  zone_partition_end_ = world_.events.now() + length;
}

void Network::refuse_connections(const std::string& from, const std::string& to, Seconds length) {
  refused_connections_[{from, to}] = world_.events.now() + length;
}

void Network::block_inbound(const std::string& machine, Seconds length) {
  inbound_blocked_[machine] = world_.events.now() + length;
}

void Network::block_outbound(const std::string& machine, Seconds length) {
  outbound_blocked_[machine] = world_.events.now() + length;
}

void Network::replay_last_heartbeat(const std::string& machine, Seconds length) {
  for (Seconds delay = 1; delay < length; delay += 1) {
    world_.events.schedule_at(world_.events.now() + delay, [this, machine] {
      for (size_t controller = 0; controller < kControllers; ++controller) {
        deliver(machine, controller_address(controller) + kClientPort, last_heartbeat_[machine],
                ignore_response);
      }
    });
  }
}

Seconds Network::partition_end(const std::string& a, const std::string& b) const {
  Seconds end = 0;
  for (const auto& pair : {sorted_pair(a, b), sorted_pair(group_of(a), group_of(b))}) {
    const auto it = partitions_.find(pair);
    if (it != partitions_.end()) end = std::max(end, it->second);
  }
  return end;
}

bool Network::is_partitioned(const std::string& a, const std::string& b) const {
  return partition_end(a, b) > world_.events.now();
}

bool Network::are_zones_partitioned(const std::string& a, const std::string& b) const {
  if (zone_partition_end_ <= world_.events.now()) return false;
  const std::string zone = zone_of(a);
  const std::string other = zone_of(b);
  return !zone.empty() && !other.empty() && zone != other;
}

bool Network::refuses_connection(const std::string& from, const std::string& to) const {
  const auto it = refused_connections_.find({from, group_of(to)});
  const bool refused = it != refused_connections_.end() && it->second > world_.events.now();
  return refused || are_zones_partitioned(from, to);
}

bool Network::is_inbound_blocked(const std::string& host) const {
  const auto it = inbound_blocked_.find(host);
  return it != inbound_blocked_.end() && it->second > world_.events.now();
}

bool Network::is_outbound_blocked(const std::string& host) const {
  const auto it = outbound_blocked_.find(host);
  return it != outbound_blocked_.end() && it->second > world_.events.now();
}

// ---------------------------------------------------------------- addresses

std::string Network::host_at(const std::string& address) const {
  if (address.starts_with(std::string(kStoreAddress) + ":")) return kStoreHost;
  if (address.starts_with(std::string(kCloudAddress) + ":")) return kCloudHost;
  if (address.starts_with("10.1.")) {
    for (const auto& worker : world_.workers) {
      if (worker->address == address) return worker->name;
    }
  }
  const size_t digit = controller_address(0).size() - 1;
  return controller_name(static_cast<size_t>(address[digit] - '1'));
}

std::string Network::zone_of(const std::string& host) const {
  if (is_controller(host)) return zone_of_controller(controller_index(host));
  for (const auto& worker : world_.workers) {
    if (worker->name == host) return worker->zone;
  }
  return "";  // the store, the cloud and the users are reachable from every zone
}

// ---------------------------------------------------------------- sending

void Network::send(const std::string& from, const std::string& address, Request request,
                   Seconds timeout, OnReply reply, std::shared_ptr<bool> alive) {
  if (observer_ && is_controller(from)) {
    observer_(world_.events.now(), from, address, request, nullptr);
  }
  const std::string to = host_at(address);
  const Finish finish = reply_once(from, std::move(reply), std::move(alive));
  if (request.target == protocol::kCommandsPath) {
    ++command_calls;
    record_launches(Json::parse(request.body).at("calls"));
  }
  const bool new_connection = world_.random_fraction() < kNewConnectionRate;
  const Seconds now = world_.events.now();
  const Seconds latency = kMinLatency + world_.random_fraction() * kLatencySpread;
  if (refuses_connection(from, to)) {
    world_.events.schedule_at(now + latency, [finish] { finish(Outcome::not_sent, {}); });
    return;
  }
  const auto arrival = arrival_time(from, to, new_connection, latency);
  const Outcome on_timeout = arrival ? Outcome::unknown : Outcome::not_sent;
  world_.events.schedule_at(now + timeout, [finish, on_timeout] { finish(on_timeout, {}); });
  if (!arrival || is_inbound_blocked(to) || is_outbound_blocked(from)) return;
  duplicate_at_random(from, address, request);
  if (request.target == protocol::kHeartbeatPath) last_heartbeat_[from] = request;
  const Seconds delay = request.target == protocol::kCommandsPath ? random_command_delay() : 0;
  deliver_with_reply(*arrival + delay, from, address, std::move(request), finish);
}

Seconds Network::random_command_delay() {
  const double rate = world_.faults.delayed_commands;
  if (rate <= 0 || world_.random_fraction() >= rate) return 0;
  return kMinCommandDelay + world_.random_fraction() * kCommandDelaySpread;
}

Network::Finish Network::reply_once(const std::string& from, OnReply reply,
                                    std::shared_ptr<bool> alive) {
  auto finished = std::make_shared<bool>(false);
  return [this, from, finished, alive = std::move(alive), reply = std::move(reply)](
             Outcome outcome, const Response& response) {
    world_.when_resumed(from, [finished, alive, reply, outcome, response] {
      if (*finished) return;
      *finished = true;
      if (*alive) reply(outcome, response);
    });
  };
}

std::optional<Seconds> Network::arrival_time(const std::string& from, const std::string& to,
                                             bool new_connection, Seconds latency) {
  if (is_partitioned(from, to)) {
    if (new_connection) return std::nullopt;
    return partition_end(from, to) + latency;  // usually after the sender's timeout
  }
  const FaultOptions& faults = world_.faults;
  const Seconds now = world_.events.now();
  if (world_.random_fraction() < faults.delayed_requests) {
    return now + world_.random_fraction() * faults.max_request_delay;
  }
  return now + latency;
}

void Network::duplicate_at_random(const std::string& from, const std::string& address,
                                  const Request& request) {
  const bool is_heartbeat =
      request.target == protocol::kHeartbeatPath || request.target == protocol::kRelayPath;
  const bool is_command = request.target == protocol::kCommandsPath;
  const double rate = is_heartbeat ? world_.faults.duplicated_heartbeats
                      : is_command ? world_.faults.duplicated_commands
                                   : 0;
  if (rate <= 0 || world_.random_fraction() >= rate) return;
  const Seconds when = world_.events.now() + kMinDuplicateDelay +
                       world_.random_fraction() * kDuplicateLeases * world_.settings.lease_s;
  world_.events.schedule_at(
      when, [this, from, address, request] { deliver(from, address, request, ignore_response); });
}

void Network::deliver_with_reply(Seconds arrival, const std::string& from,
                                 const std::string& address, Request request, Finish finish) {
  const FaultOptions& faults = world_.faults;
  const bool lost = world_.random_fraction() < faults.lost_responses;
  const bool slow = faults.slow_heartbeat_responses > 0 &&
                    request.target == protocol::kHeartbeatPath &&
                    world_.random_fraction() < faults.slow_heartbeat_responses;
  const Seconds spread = slow ? kSlowResponseSpread : kLatencySpread;
  const Seconds latency = kMinLatency + world_.random_fraction() * spread;
  world_.events.schedule_at(arrival, [this, from, address, request = std::move(request),
                                      finish = std::move(finish), lost, latency] {
    const std::string to = host_at(address);
    deliver(
        from, address, request, [this, from, to, finish, lost, latency](const Response& response) {
          if (lost || is_partitioned(from, to) || are_zones_partitioned(from, to)) return;
          if (is_inbound_blocked(from)) return;
          world_.events.schedule_at(world_.events.now() + latency,
                                    [finish, response] { finish(Outcome::answered, response); });
        });
  });
}

// ---------------------------------------------------------------- delivery

void Network::deliver(const std::string& from, const std::string& address, const Request& request,
                      Respond respond) {
  if (!world_.is_first_version(from)) {
    deliver_to_host(from, address, request, std::move(respond));
    return;
  }
  const auto sent = convert_to_first_version(request);
  if (sent) {
    deliver_to_host(from, address, *sent, std::move(respond));
  } else {
    respond({409, R"({"failed":[],"ledger":0})"});
  }
}

void Network::deliver_to_host(const std::string& from, const std::string& address,
                              const Request& request, Respond respond) {
  const std::string to = host_at(address);
  if (to == kStoreHost) {
    deliver_to_store(from, request, std::move(respond));
  } else if (to == kCloudHost) {
    world_.cloud.handle(request, respond);
  } else if (is_machine(to)) {
    deliver_to_machine(address, request, std::move(respond));
  } else {
    deliver_to_controller(to, from, address, request, std::move(respond));
  }
}

void Network::deliver_to_store(const std::string& from, const Request& request, Respond respond) {
  if (refused_by_store.contains(from)) {
    respond({503, "{}"});
    return;
  }
  if (request.target == "/commit") {
    respond = [this, from, request, respond = std::move(respond)](const Response& response) {
      if (response.status == 200) committed_transactions.emplace_back(from, request);
      respond(response);
    };
  }
  world_.store.handle(request, from, std::move(respond));
}

void Network::deliver_to_machine(const std::string& address, const Request& request,
                                 Respond respond) {
  for (const auto& worker : world_.workers) {
    if (worker->address == address && worker->is_up()) {
      worker->handle(request, respond);
      return;
    }
  }
}

void Network::deliver_to_controller(const std::string& to, const std::string& from,
                                    const std::string& address, const Request& request,
                                    Respond respond) {
  SimulatedController& controller = world_.host(controller_index(to));
  if (!controller.is_up()) return;
  if (request.target == protocol::kRelayPath) ++relay_batches;
  if (request.target == protocol::kHeartbeatPath) {
    respond = [this, respond = std::move(respond)](const Response& response) {
      if (response.status == 200) record_launches(Json::parse(response.body).at("calls"));
      respond(response);
    };
  }
  controller.handle(address, request, with_observer(to, from, request, std::move(respond)));
}

Respond Network::with_observer(const std::string& controller, const std::string& receiver,
                               const Request& request, Respond respond) {
  if (!observer_) return respond;
  return [this, controller, receiver, request,
          respond = std::move(respond)](const Response& response) {
    observer_(world_.events.now(), controller, receiver, request, &response);
    respond(response);
  };
}

void Network::record_launches(const Json& commands) {
  for (const auto& command : commands) {
    if (command.at("call") != "launch") continue;
    const std::string task = command.at("leg");
    world_.invariants.launch_sent(world_.events.now(), task.substr(0, task.rfind('/')));
  }
}

}  // namespace larkroad::sim
