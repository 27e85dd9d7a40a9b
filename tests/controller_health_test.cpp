// Which controllers report themselves healthy while they cannot reach the key-value store.
#include <gtest/gtest.h>

#include <functional>
#include <ostream>
#include <string>

#include "log.hpp"
#include "sim/long_jobs.hpp"
#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

constexpr Seconds kFaultBegins = 30;
constexpr Seconds kFaultLength = 100;
constexpr size_t kController = 0;

struct HealthCase {
  const char* name;
  /// Applied when the fault begins; lasts for kFaultLength.
  std::function<void(World&)> fault;
  /// Whether the controller counts as healthy while the fault lasts.
  bool healthy;
};

std::ostream& operator<<(std::ostream& out, const HealthCase& health_case) {
  return out << health_case.name;
}

void refuse_by_store(World& world) {
  world.network.refused_by_store.insert(controller_name(kController));
  world.events.schedule_at(kFaultBegins + kFaultLength,
                           [&world] { world.network.refused_by_store.clear(); });
}

void begin_outage(World& world) {
  world.store.set_outage(true);
  world.events.schedule_at(kFaultBegins + kFaultLength,
                           [&world] { world.store.set_outage(false); });
}

const HealthCase kHealthCases[] = {
    {"no_fault", [](World&) {}, true},
    {"isolated_from_store_and_peers",
     [](World& world) { world.isolate_controller(kController, kFaultLength); }, false},
    {"refused_by_store_and_isolated_from_peers",
     [](World& world) {
       refuse_by_store(world);
       partition_from_peers(world, kController, kFaultLength);
     },
     false},
    {"refused_by_store_alone", refuse_by_store, false},
    {"isolated_from_peers_alone",
     [](World& world) { partition_from_peers(world, kController, kFaultLength); }, true},
    // Peers cannot serve users any better during an outage.
    {"store_outage", begin_outage, true},
    {"store_outage_and_one_peer_down",
     [](World& world) {
       begin_outage(world);
       world.crash(1, kFaultLength);
     },
     true},
};

class ControllerHealth : public ::testing::TestWithParam<HealthCase> {
 protected:
  static int status(World& world) {
    int status = 0;
    world.controller(kController)
        .handle_client({"GET", "/healthz", ""},
                       [&status](const Response& response) { status = response.status; });
    return status;
  }
};

// Guards against a controller that keeps its users although it can serve none of them: while it
// counts as healthy, nobody moves their connections, and all their requests fail.
TEST_P(ControllerHealth, IsReportedWhenOnlyOthersCanServeUsers) {
  spdlog::set_level(spdlog::level::err);
  World world(1, {});
  world.run(kFaultBegins - 1);
  ASSERT_EQ(status(world), 200);
  world.events.schedule_at(kFaultBegins, [&world] { GetParam().fault(world); });
  // Load balancers need a few seconds more; users may go unanswered for 90 s.
  const Seconds detected = kFaultBegins + world.settings.lease_s / 2;
  for (Seconds when = detected; when < kFaultBegins + kFaultLength; when += 1) {
    world.run(when);
    EXPECT_EQ(status(world), GetParam().healthy ? 200 : 503) << "at " << when;
  }
  world.run(kFaultBegins + kFaultLength + world.settings.lease_s);
  EXPECT_EQ(status(world), 200);
}

INSTANTIATE_TEST_SUITE_P(Faults, ControllerHealth, ::testing::ValuesIn(kHealthCases),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace larkroad::sim
