/// A stand-in for the state service, as the protocol page describes it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bench.hpp"

namespace standin {

class Store {
 public:
  struct Limits {
    double value_kb = 0;
    int txn_ops = 0;
    double rps = 0, write_rps = 0;  // bursts of one second's worth
    Seconds latency = 0;
  };
  Store(Bench& bench, const Limits& limits);

  /// Opens a port of its own for a controller, so that the store knows who asks.
  std::string open_port_for(const std::string& member);

  /// The controller is answered 503 alone; its open watches wait.
  void refuse(const std::string& member, bool refused);
  /// 503 for everybody; leases do not run out.
  void set_outage(bool outage);
  /// Called for every transaction; what it returns happens to it.
  struct Fate {
    bool answered = true;
    Seconds applied_after = 0;
  };
  std::function<Fate(const std::string& member, const Json& transaction)> fate_of;

  /// As many changes of a key that no controller uses as a deployment makes in a long time.
  void make_changes(std::size_t count);

  /// The data of a key; null if it does not exist.
  Json data(const std::string& key) const;
  std::uint64_t revision() const { return revision_; }
  std::uint64_t revision_of(const std::string& key) const {
    const auto it = entries_.find(key);
    return it == entries_.end() ? 0 : it->second.revision;
  }
  /// Requests so far, and how many of them were answered 429.
  std::map<std::string, std::size_t> requests_of;
  std::size_t too_many = 0;
  bool has(const std::string& key) const { return entries_.contains(key); }

 private:
  struct Entry {
    Json data;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Seconds life = 0;
    Seconds ends_at = 0;
  };
  struct Change {
    std::uint64_t revision = 0;
    std::string key;
    bool dropped = false;
    Json data;
  };
  struct Watch {
    std::string member, prefix;
    std::uint64_t since = 0;
    Seconds until = 0;
    Respond respond;
    bool answered = false;
  };

  void handle(const std::string& member, const Request& request, Respond respond);
  bool within_rate(const Request& request);
  Response list(const std::string& target) const;
  Response grant(const std::string& body);
  Response lease_call(const Request& request);
  Response commit(const Json& transaction);
  void watch(const std::string& member, const std::string& target, Respond respond);
  bool answer(Watch& watch, bool also_empty);
  void answer_watches();
  void tick();
  void add_change(Change change);
  void drop_keys_of(std::uint64_t lease);

  Bench& bench_;
  Limits limits_;
  double request_tokens_, write_tokens_;
  Seconds refilled_at_ = 0;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Change> changes_;  // the most recent ones
  std::vector<std::shared_ptr<Watch>> watches_;
  std::vector<std::unique_ptr<larkroad::transport::HttpServer>> servers_;
  std::set<std::string> refused_;
  std::uint64_t revision_ = 0;
  std::uint64_t next_lease_ = 1;
  std::uint64_t dropped_up_to_ = 0;  // changes up to this revision are no longer retained
  bool outage_ = false;
};

}  // namespace standin
