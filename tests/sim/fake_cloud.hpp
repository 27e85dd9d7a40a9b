/// A stand-in for the cloud, written to its published protocol.
#pragma once

#include <map>
#include <string>

#include "sim/event_queue.hpp"
#include "sim/hosts.hpp"

namespace larkroad::sim {

class World;

/// Models the catalog of machine types, idempotent requests for machines, a bound on how many there
/// are, boot times, termination, and a list that lags behind. It does not model prices, a limit of
/// the rate, pages of the list, or spot reclaims of its own: scenarios announce those.
class FakeCloud {
 public:
  explicit FakeCloud(World& world) : world_(world) {}

  void handle(const Request& request, const Respond& respond);

  /// So many machines may be up at a time.
  int capacity = 30;

 private:
  Response allocate(const std::string& body);
  /// Allocates one machine, which boots, and returns its name.
  std::string add_machine(const Json& request);
  void terminate(const std::string& body);
  Response list() const;

  World& world_;
  std::map<std::string, Json> allocations_;  // answers, by the name of the request
  std::map<std::string, Seconds> created_at_;
  int next_machine_ = 0;
};

}  // namespace larkroad::sim
