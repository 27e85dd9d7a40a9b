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

/// Told of everything that a controller sends, in order: a request, as the controller made it, with
/// the address it is for; or a response, beside the request it answers, with the host that asked.
using SendObserver =
    std::function<void(Seconds when, const std::string& sender, const std::string& receiver,
                       const Request& request, const Response* response)>;

/// Models latency, connections that can or cannot be opened, partitions (by host, by zone, in one
/// direction), and requests and responses that are lost, late, slow or delivered twice. A request
/// on a connection that is open already is held back by a partition, and delivered when it ends. It
/// does not model bandwidth, reordering inside a connection, or the number of sockets.
class Network {
 public:
  Network(World& world, SendObserver observer) : world_(world), observer_(std::move(observer)) {}

  /// Sends a request from a host to an address. `reply` is called once at most: with the response
  /// or at the timeout, whichever is first, and only while `alive` is true.
  void send(const std::string& from, const std::string& address, Request request, Seconds timeout,
            OnReply reply, std::shared_ptr<bool> alive);

  /// Hosts are named as in hosts.hpp; kWorkersHost stands for all machines.
  void partition(const std::string& a, const std::string& b, Seconds length);
  /// The controllers and machines of one zone cannot reach those of another.
  void partition_zones(Seconds length);
  /// Connections from the one to the other are refused.
  void refuse_connections(const std::string& from, const std::string& to, Seconds length);
  /// What the machine sends arrives; responses and commands to it do not.
  void block_inbound(const std::string& machine, Seconds length);
  /// The other way round: commands and their responses pass, the machine's own requests do not.
  void block_outbound(const std::string& machine, Seconds length);
  /// Copies of the machine's last heartbeat go on arriving, whatever has become of it.
  void replay_last_heartbeat(const std::string& machine, Seconds length);

  /// Controllers to which the key-value store responds 503.
  std::set<std::string> refused_by_store;
  /// Committed transactions, with the controller that sent each.
  std::vector<std::pair<std::string, Request>> committed_transactions;
  size_t relay_batches = 0;
  /// Direct calls with commands.
  size_t command_calls = 0;

 private:
  /// Passes the outcome to whoever sent the request, unless it has one already.
  using Finish = std::function<void(Outcome, const Response&)>;

  Finish reply_once(const std::string& from, OnReply reply, std::shared_ptr<bool> alive);
  /// When a request that is sent now arrives; nothing when no connection can be opened.
  std::optional<Seconds> arrival_time(const std::string& from, const std::string& to,
                                      bool new_connection, Seconds latency);
  void duplicate_at_random(const std::string& from, const std::string& address,
                           const Request& request);
  /// Delivers the request and brings the response back.
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
  /// Passes a controller's response on, and tells the observer of it.
  Respond observed(const std::string& controller, const std::string& receiver,
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
  /// Each with the time of its end.
  std::map<std::pair<std::string, std::string>, Seconds> partitions_;
  std::map<std::pair<std::string, std::string>, Seconds> refused_connections_;
  std::map<std::string, Seconds> inbound_blocked_;
  std::map<std::string, Seconds> outbound_blocked_;
  Seconds zone_partition_end_ = 0;
  std::map<std::string, Request> last_heartbeat_;
};

}  // namespace larkroad::sim
