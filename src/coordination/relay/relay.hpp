// Workers' reports on a node that does not lead. They go to the leader in batches, and a worker
// hears the leader's own answer to that very report, or 503 in time. A relay never answers 200 by
// itself, so only the leader's word renews a worker's lease.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/relay/store_relay_client.hpp"
#include "protocol/relay_messages.hpp"
#include "protocol/worker_messages.hpp"
#include "settings.hpp"
#include "transport/http.hpp"

namespace larkroad::coordination {

using transport::Seconds;

class Relay {
 public:
  Relay(transport::Clock& clock, transport::Client& client, StoreRelayClient& store_relay,
        const Settings& settings);

  // Who leads, as far as this node knows; an empty name: nobody.
  void aim(const std::string& member, std::uint64_t fencing_token);
  const std::string& aimed_at() const { return leader_; }
  // The peer has answered, or has not.
  void reached(const std::string& member, bool answered);
  // Whether the leader has answered this node lately.
  bool works() const;
  // Whether the leader is known, but has answered nothing for longer than it would keep the lead if
  // it had ended: it can only be reached by way of the state service.
  bool cut_off() const;
  // Whether batches may go by way of the state service when the leader cannot be reached.
  void allow_store(bool allowed) { store_allowed_ = allowed; }
  bool uses_store() const { return store_allowed_ && !works() && cut_off(); }
  // `words` is the report as its worker sent it.
  void take(std::string payload, protocol::Heartbeat heartbeat, transport::Respond respond);

 private:
  struct Waiting {
    std::string payload;
    protocol::Heartbeat heartbeat;
    transport::Respond respond;
    Seconds until = 0;
    bool whole = false;  // the leader has asked for the words
  };
  using Items = std::vector<Waiting>;
  void arm();
  void send();
  // Whether one more batch may be under way.
  bool may_send() const;
  // Whether the leader has answered a report that says the same.
  bool told_before(const Waiting& item) const;
  size_t bytes_of(const Waiting& item) const;
  void answered(Items items, bool repeated, bool by_store, transport::Outcome outcome,
                const transport::Response& response);
  void put(Items items, bool repeated);
  static void give_up(const Waiting& item);
  void forget_old();

  transport::Clock& clock_;
  transport::Client& client_;
  StoreRelayClient& store_relay_;
  const Settings& settings_;
  std::string leader_;
  std::string endpoint_;
  std::uint64_t fencing_token_ = 0;
  Seconds reached_at_ = -1;
  Seconds unreached_since_ = 0;  // the leader has not answered since then
  bool store_allowed_ = false;
  std::deque<Waiting> queue_;
  int under_way_ = 0;
  bool armed_ = false;
  // The last report of each machine that the leader has answered in whole.
  struct Told {
    protocol::Heartbeat heartbeat;
    Seconds at = 0;
  };
  std::unordered_map<std::string, Told> told_;
};

}  // namespace larkroad::coordination
