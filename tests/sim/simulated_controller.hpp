/// A host that runs a real controller with a simulated clock and network.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "coordination/controller/controller.hpp"
#include "sim/event_queue.hpp"
#include "sim/fault_options.hpp"
#include "sim/hosts.hpp"

namespace larkroad::sim {

class World;

/// The zone of a controller, as in the test settings.
inline const char* zone_of_controller(size_t controller) {
  return controller == 1 ? "west" : "east";
}

/// Settings of one controller, with the addresses of the simulated hosts and the options of the
/// run.
Settings controller_settings(size_t controller, Settings settings, const FaultOptions& faults);

/// Models processes that crash, restart with empty memory and pause, and steady clocks that drift.
/// It does not model message processing time or differing wall clocks.
class SimulatedController {
 public:
  SimulatedController(World& world, Settings settings);

  /// Starts a new process.
  void boot();
  /// Ends the process immediately and starts a new one after the downtime.
  void crash(Seconds downtime);
  /// Ends the process without a restart, at the end of the run.
  void shut_down();
  /// Suspends the process while its clocks continue; timers, requests and responses are delayed.
  void pause(Seconds length);
  /// Runs the action now or, if the process is paused, when it resumes.
  void when_resumed(std::function<void()> action);
  /// From its next start, the controller sends messages as the first version does and observes only
  /// the current store limits.
  void set_first_version();
  void set_current_version(const StoreLimits& next_store_limits);

  void handle(const std::string& address, const Request& request, Respond respond);

  bool is_up() const { return controller_ != nullptr; }
  bool is_first_version() const { return first_version_; }
  const std::string& name() const { return settings_.member; }
  coordination::Controller& controller() { return *controller_; }
  bool is_leader() const;

 private:
  World& world_;
  Settings settings_;
  bool first_version_ = false;
  Seconds paused_until_ = 0;
  std::shared_ptr<bool> alive_;  // false once the current process has ended
  std::unique_ptr<transport::Clock> clock_;
  std::unique_ptr<transport::Client> client_;
  std::unique_ptr<coordination::Controller> controller_;
};

}  // namespace larkroad::sim
