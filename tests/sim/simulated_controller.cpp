#include "sim/simulated_controller.hpp"

#include <algorithm>

#include "sim/world.hpp"

namespace larkroad::sim {
namespace {

constexpr Seconds kSteadyClockOffset = 1000;
constexpr Seconds kUnixTimeOffset = 1.7e9;
constexpr double kMaxDrift = 0.0005;
constexpr int kStorePort = 2379;
constexpr int kCloudPort = 8443;
constexpr int kPeerPortNumber = 8081;

/// The clock of one process. It drifts, and its timers do not fire after the process has ended.
class ProcessClock : public transport::Clock {
 public:
  ProcessClock(World& world, SimulatedController& host, std::shared_ptr<bool> alive, double drift)
      : world_(world), host_(host), alive_(std::move(alive)), drift_(drift) {}

  Seconds now() const override { return kSteadyClockOffset + world_.events.now() * drift_; }
  Seconds unix_time() const override { return kUnixTimeOffset + world_.events.now(); }

  transport::TimerId after(Seconds delay, std::function<void()> action) override {
    const Seconds when = world_.events.now() + std::max(0.0, delay) / drift_;
    return world_.events.schedule_at(when,
                                     [&host = host_, alive = alive_, action = std::move(action)] {
                                       if (!*alive) return;
                                       host.when_resumed([alive, action] {
                                         if (*alive) action();
                                       });
                                     });
  }

  void cancel(transport::TimerId id) override { world_.events.cancel(id); }

 private:
  World& world_;
  SimulatedController& host_;
  std::shared_ptr<bool> alive_;
  double drift_;
};

class ProcessClient : public transport::Client {
 public:
  ProcessClient(World& world, std::string host, std::shared_ptr<bool> alive)
      : world_(world), host_(std::move(host)), alive_(std::move(alive)) {}

  void call(const std::string& endpoint, Request request, Seconds timeout, OnReply reply) override {
    world_.network.send(host_, endpoint, std::move(request), timeout, std::move(reply), alive_);
  }

 private:
  World& world_;
  std::string host_;
  std::shared_ptr<bool> alive_;
};

}  // namespace

Settings controller_settings(size_t controller, Settings settings, const FaultOptions& faults) {
  settings.sockets = faults.sockets;
  settings.member = controller_name(controller);
  settings.state = {kStoreAddress, kStorePort};
  settings.cloud = {kCloudAddress, kCloudPort};
  settings.peers.clear();
  for (size_t peer = 0; peer < kControllers; ++peer) {
    if (peer == controller) continue;
    settings.peers.push_back(
        {controller_name(peer), "east", {controller_address(peer), kPeerPortNumber}});
  }
  return settings;
}

SimulatedController::SimulatedController(World& world, Settings settings)
    : world_(world), settings_(std::move(settings)) {}

void SimulatedController::boot() {
  alive_ = std::make_shared<bool>(true);
  const double drift = 1 + kMaxDrift * world_.random_fraction();
  clock_ = std::make_unique<ProcessClock>(world_, *this, alive_, drift);
  client_ = std::make_unique<ProcessClient>(world_, name(), alive_);
  controller_ = std::make_unique<coordination::Controller>(*clock_, *client_, settings_);
  controller_->start();
}

void SimulatedController::crash(Seconds downtime) {
  if (!*alive_) return;
  paused_until_ = 0;
  *alive_ = false;
  controller_.reset();
  world_.events.schedule_at(world_.events.now() + downtime, [this] { boot(); });
}

void SimulatedController::shut_down() { *alive_ = false; }

void SimulatedController::pause(Seconds length) { paused_until_ = world_.events.now() + length; }

void SimulatedController::when_resumed(std::function<void()> action) {
  if (paused_until_ <= world_.events.now()) {
    action();
  } else {
    world_.events.schedule_at(paused_until_, std::move(action));
  }
}

void SimulatedController::set_first_version() {
  first_version_ = true;
  settings_.next_store_limits = settings_.store_limits;
}

void SimulatedController::set_current_version(const StoreLimits& next_store_limits) {
  first_version_ = false;
  settings_.next_store_limits = next_store_limits;
}

void SimulatedController::handle(const std::string& address, const Request& request,
                                 Respond respond) {
  when_resumed([this, alive = alive_, address, request, respond = std::move(respond)] {
    if (!*alive) return;
    if (address.ends_with(kPeerPort)) {
      controller_->handle_peer(request, respond);
    } else {
      controller_->handle_client(request, respond);
    }
  });
}

bool SimulatedController::is_leader() const {
  return controller_ != nullptr && controller_->election().is_leader();
}

}  // namespace larkroad::sim
