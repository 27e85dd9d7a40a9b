#include "coordination/workers/heartbeat_endpoint.hpp"

#include <algorithm>
#include <exception>
#include <tuple>
#include <utility>

#include "transport/http_status.hpp"

namespace larkroad::coordination {
namespace {

namespace http_status = transport::http_status;

using protocol::Command;
using protocol::CommandType;
using protocol::RelayedAnswer;
using protocol::RelayedHeartbeat;

// Sort key of a heartbeat among those of its machine.
auto order_key(const protocol::Heartbeat& heartbeat) {
  return std::tie(heartbeat.incarnation, heartbeat.sequence);
}

}  // namespace

HeartbeatEndpoint::HeartbeatEndpoint(const transport::Clock& clock, ClusterState& cluster,
                                     Election& election, RelayAssignment& relay_assignment,
                                     HeartbeatProcessor& processor)
    : clock_(clock),
      cluster_(cluster),
      election_(election),
      relay_assignment_(relay_assignment),
      processor_(processor) {}

transport::Response HeartbeatEndpoint::handle(const protocol::Heartbeat& heartbeat,
                                              const std::string& via, RelayRoute route,
                                              RecordsState records) {
  const Seconds now = clock_.now();
  if (processor_.must_not_renew_lease(heartbeat)) return {http_status::kServiceUnavailable, "", 0};
  if (route == RelayRoute::direct) {
    const auto target =
        relay_assignment_.choose_redirect(heartbeat.machine, heartbeat.zone, via, now);
    if (target)
      return {http_status::kMisdirectedRequest, protocol::encode_redirect(*target), 0, true};
  }
  relay_assignment_.record_heartbeat(heartbeat.machine, via, now);
  const Commands commands = process(heartbeat, records);
  return {http_status::kOk,
          protocol::encode_heartbeat_response(election_.fencing_token(), commands), 0, true};
}

Commands HeartbeatEndpoint::process(const protocol::Heartbeat& heartbeat, RecordsState records) {
  if (processor_.is_removed(heartbeat.machine)) return {};
  const Seconds now = clock_.now();
  Machine& machine = cluster_.machine(heartbeat.machine);
  // The response renews the worker's lease as of the time when the heartbeat was sent. The lease so
  // ends within one lease duration from now, however late a relay delivers the response. A
  // heartbeat that is not newer than the last known one was sent before it, however late this copy
  // arrives.
  const bool stale = !HeartbeatProcessor::is_newer(heartbeat, machine);
  Commands commands;
  if (records == RecordsState::loaded) {
    commands = processor_.process(heartbeat, HeartbeatSource::worker);
  }
  machine.lease_renewed_at =
      std::max(machine.lease_renewed_at, stale ? machine.last_heartbeat_at : now);
  if (!election_.is_leader()) {
    // After its own lease has expired, the leader keeps running tasks alive and stops tasks that
    // must end, but starts none.
    std::erase_if(commands, [](const Command& c) { return c.type != CommandType::kill; });
  }
  return commands;
}

std::vector<RelayedAnswer> HeartbeatEndpoint::handle_batch(const protocol::RelayBatch& batch,
                                                           RelayRoute route, RecordsState records) {
  relay_assignment_.record_relay(batch.member, clock_.now());
  std::vector<RelayedAnswer> answers;
  for (const auto& item : batch.heartbeats) {
    answers.push_back(handle_relayed(item, batch.member, route, records));
  }
  return answers;
}

RelayedAnswer HeartbeatEndpoint::handle_relayed(const RelayedHeartbeat& item,
                                                const std::string& via, RelayRoute route,
                                                RecordsState records) {
  protocol::Heartbeat heartbeat;
  const bool is_complete = item.heartbeat || !item.payload.empty();
  if (item.heartbeat) {
    heartbeat = *item.heartbeat;
  } else if (is_complete) {
    try {
      heartbeat = protocol::parse_heartbeat(item.payload);
    } catch (const std::exception& error) {
      return {http_status::kBadRequest, protocol::encode_error(error.what())};
    }
  } else {
    const protocol::Heartbeat* base = find_base(item);
    if (base == nullptr) return {protocol::kNeedsPayload, ""};
    heartbeat = *base;
    heartbeat.sequence = item.sequence;
  }
  election_.observe_fencing_token(heartbeat.fencing_token);
  if (!election_.may_answer_heartbeats()) return {http_status::kServiceUnavailable, ""};
  auto response = handle(heartbeat, via, route, records);
  if (is_complete && response.status == http_status::kOk) store_base(std::move(heartbeat));
  return {response.status, std::move(response.body)};
}

// Returns the stored heartbeat that this one equals except for its sequence number. Null if it is
// not stored here, in which case the relay must send the complete heartbeat.
const protocol::Heartbeat* HeartbeatEndpoint::find_base(const RelayedHeartbeat& item) const {
  const Machine* machine = cluster_.find_machine(item.machine);
  if (machine == nullptr) return nullptr;
  const protocol::Heartbeat& base = machine->last_relayed_heartbeat;
  const bool matches = base.incarnation == item.incarnation &&
                       base.sequence == item.base_sequence && item.sequence >= item.base_sequence;
  return matches ? &base : nullptr;
}

// Stores a complete heartbeat as the base to which later deltas of the machine refer.
void HeartbeatEndpoint::store_base(protocol::Heartbeat heartbeat) {
  Machine* machine = cluster_.find_machine(heartbeat.machine);
  if (machine == nullptr) return;
  if (order_key(heartbeat) > order_key(machine->last_relayed_heartbeat)) {
    machine->last_relayed_heartbeat = std::move(heartbeat);
  }
}

}  // namespace larkroad::coordination
