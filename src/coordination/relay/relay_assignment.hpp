// Which node each worker reports to, as the leader sees it. While the leader can hold all workers'
// connections they come to it; beyond that they are spread over the nodes that relay.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using transport::Seconds;

class RelayAssignment {
 public:
  explicit RelayAssignment(const Settings& settings);
  // `spread`: whether the leader before this one could not hold them all.
  void clear(bool spread);

  // A peer says that it reaches this leader and relays to it.
  void relays(const std::string& member, Seconds now) { relays_at_[member] = now; }
  // A worker's report has come, by way of `via`; empty: straight to the leader.
  void reported(const std::string& machine, const std::string& via, Seconds now);
  // The node that this worker is to report to instead; none: it stays.
  std::optional<std::string> elsewhere(const std::string& machine, const std::string& zone,
                                       const std::string& via, Seconds now);
  // Counts anew who reports where; `machines`: all that are known, or none while that is not known.
  void count(std::optional<size_t> machines, Seconds now);
  // Whether workers are spread over the nodes at present.
  bool spread() const { return spread_; }
  // The most workers that are to report to a node; empty: to the leader itself.
  size_t share(const std::string& via) const { return via.empty() ? own_share_ : relay_share_; }
  size_t at(const std::string& via) const;

 private:
  struct Route {
    std::string via;
    Seconds last_heartbeat_at = -1;
    Seconds sent_on_at = -1;
  };
  bool recent(Seconds when, Seconds now) const;

  const Settings& settings_;
  size_t own_share_;
  size_t relay_share_;
  bool spread_ = false;
  std::unordered_map<std::string, Route> routes_;
  std::map<std::string, size_t> counts_;
  std::map<std::string, Seconds> relays_at_;
};

}  // namespace larkroad::coordination
