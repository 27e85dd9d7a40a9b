/// A fake cloud provider that implements the published protocol.
#pragma once

#include <map>
#include <string>

#include "sim/event_queue.hpp"
#include "sim/hosts.hpp"

namespace larkroad::sim {

class World;

/// Models the catalog of machine types, idempotent allocation requests, a maximum number of
/// machines, boot times, termination, and a machine list that lags behind. It does not model
/// prices, rate limits, paging of the list, or spontaneous spot reclaims: scenarios trigger those.
class FakeCloud {
 public:
  explicit FakeCloud(World& world) : world_(world) {}

  void handle(const Request& request, const Respond& respond);

  /// Maximum number of machines that exist at the same time.
  int capacity = 30;

 private:
  Response allocate(const std::string& body);
  /// Allocates one machine, starts booting it, and returns its name.
  std::string add_machine(const Json& request);
  void terminate(const std::string& body);
  Response list() const;

  World& world_;
  std::map<std::string, Json> allocations_;  // response bodies, by request name
  std::map<std::string, Seconds> created_at_;
  int next_machine_ = 0;
};

}  // namespace larkroad::sim
