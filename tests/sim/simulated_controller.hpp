/// One host with a real controller, whose clock and network are simulated.
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

/// In which zone a controller is, as in the settings of the tests.
inline const char* zone_of_controller(size_t controller) {
  return controller == 1 ? "west" : "east";
}

/// Settings of one controller: addresses of the simulated hosts, and the options of the run.
Settings controller_settings(size_t controller, Settings settings, const FaultOptions& faults);

/// Models processes that crash, come back with nothing in memory and pause, and steady clocks that
/// drift. It does not model time that handling a message takes, or wall clocks that differ.
class SimulatedController {
 public:
  SimulatedController(World& world, Settings settings);

  /// Starts a new process.
  void boot();
  /// Ends the process at once, and starts a new one after the downtime.
  void crash(Seconds downtime);
  /// Ends the process for good, at the end of the run.
  void shut_down();
  /// The process stands still while its clocks run on; timers, requests and responses wait.
  void pause(Seconds length);
  /// Acts now, or when the process is no longer paused.
  void when_resumed(std::function<void()> action);
  /// From its next start on, the controller speaks as the first version does, and keeps to the
  /// present limits of the store alone.
  void set_first_version();
  void set_present_version(const StoreLimits& next_store_limits);

  void handle(const std::string& address, const Request& request, Respond respond);

  bool is_up() const { return controller_ != nullptr; }
  bool is_first_version() const { return first_version_; }
  const std::string& name() const { return settings_.member; }
  coordination::Controller& process() { return *controller_; }
  bool is_leader() const;

 private:
  World& world_;
  Settings settings_;
  bool first_version_ = false;
  Seconds paused_until_ = 0;
  std::shared_ptr<bool> alive_;  // of the process; false when it has ended
  std::unique_ptr<transport::Clock> clock_;
  std::unique_ptr<transport::Client> client_;
  std::unique_ptr<coordination::Controller> controller_;
};

}  // namespace larkroad::sim
