/// The network between the hosts of a simulated deployment.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sim/event_queue.hpp"
#include "sim/hosts.hpp"

namespace larkroad::sim {

class World;

/// Called for every message that a controller sends, in order: for a request, as the controller
/// made it, with the target address as receiver; for a response, with the request that it answers
/// and the requesting host as receiver.
using SendObserver =
    std::function<void(Seconds when, const std::string& sender, const std::string& receiver,
                       const Request& request, const Response* response)>;

/// Models latency, refused connections, partitions (by host, by zone, in one direction), and
/// requests and responses that are lost, late, slow or duplicated. A request on a connection that
/// is already open is delayed by a partition and delivered when the partition ends. It does not
/// model bandwidth, reordering within a connection, or the number of sockets.
class Network {
 public:
  Network(World& world, SendObserver observer) : world_(world), observer_(std::move(observer)) {}

  /// Sends a request from a host to an address. `reply` is called at most once: with the response
  /// or at the timeout, whichever comes first, and only while `alive` is true.
  void send(const std::string& from, const std::string& address, Request request, Seconds timeout,
            OnReply reply, std::shared_ptr<bool> alive);

  /// Hosts are named as in hosts.hpp; kWorkersHost stands for all machines.
  void partition(const std::string& a, const std::string& b, Seconds length);
  /// The controllers and machines of one zone cannot reach those of another.
  void partition_zones(Seconds length);
  /// Connections opened by `from` to `to` are refused.
  void refuse_connections(const std::string& from, const std::string& to, Seconds length);
  /// Requests of the machine arrive; responses and commands to it do not.
  void block_inbound(const std::string& machine, Seconds length);
  /// Commands to the machine and their responses arrive; its own requests do not.
  void block_outbound(const std::string& machine, Seconds length);
  /// Keeps delivering copies of the machine's last heartbeat, even after the machine is terminated.
  void replay_last_heartbeat(const std::string& machine, Seconds length);

  /// Controllers to which the key-value store responds 503.
  std::set<std::string> refused_by_store;
  /// Committed transactions, with the controller that sent each.
  std::vector<std::pair<std::string, Request>> committed_transactions;
  size_t relay_batches = 0;
  /// Number of direct calls that carry commands.
  size_t command_calls = 0;

 private:
  /// Passes the outcome to the sender of the request, unless it has already received one.
  using Finish = std::function<void(Outcome, const Response&)>;

  Finish reply_once(const std::string& from, OnReply reply, std::shared_ptr<bool> alive);
  /// Arrival time of a request that is sent now; nullopt if no connection can be opened.
  std::optional<Seconds> arrival_time(const std::string& from, const std::string& to,
                                      bool new_connection, Seconds latency);
  Seconds random_command_delay();
  void duplicate_at_random(const std::string& from, const std::string& address,
                           const Request& request);
  /// Delivers the request and passes the response to `finish`.
  void deliver_with_reply(Seconds arrival, const std::string& from, const std::string& address,
                          Request request, Finish finish);
  void deliver(const std::string& from, const std::string& address, const Request& request,
               Respond respond);
  void deliver_to_host(const std::string& from, const std::string& address, const Request& request,
                       Respond respond);
  void deliver_to_store(const std::string& from, const Request& request, Respond respond);
  void deliver_to_machine(const std::string& address, const Request& request, Respond respond);
  void deliver_to_controller(const std::string& to, const std::string& from,
                             const std::string& address, const Request& request, Respond respond);
  /// Wraps `respond` so that the observer is also called with the controller's response.
  Respond with_observer(const std::string& controller, const std::string& receiver,
                        const Request& request, Respond respond);
  void record_launches(const Json& commands);

  std::string host_at(const std::string& address) const;
  std::string zone_of(const std::string& host) const;
  Seconds partition_end(const std::string& a, const std::string& b) const;
  bool is_partitioned(const std::string& a, const std::string& b) const;
  bool are_zones_partitioned(const std::string& a, const std::string& b) const;
  bool refuses_connection(const std::string& from, const std::string& to) const;
  bool is_inbound_blocked(const std::string& host) const;
  bool is_outbound_blocked(const std::string& host) const;

  World& world_;
  SendObserver observer_;
  /// Each maps to the time when it ends.
  std::map<std::pair<std::string, std::string>, Seconds> partitions_;
  std::map<std::pair<std::string, std::string>, Seconds> refused_connections_;
  std::map<std::string, Seconds> inbound_blocked_;
  std::map<std::string, Seconds> outbound_blocked_;
  Seconds zone_partition_end_ = 0;
  std::map<std::string, Request> last_heartbeat_;
};

}  // namespace larkroad::sim
