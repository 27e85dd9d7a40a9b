// Conditions under which a leader that receives no heartbeats steps down.
#include "coordination/election/unreachable_leader_watch.hpp"

#include <gtest/gtest.h>

#include "support.hpp"

namespace larkroad::coordination {
namespace {

struct WatchCase {
  const char* name;
  std::optional<Seconds> unreachable_for;
  bool peers_receive_heartbeats;
  bool steps_down;
};

class UnreachableLeaderWatchTest : public ::testing::TestWithParam<WatchCase> {};

TEST_P(UnreachableLeaderWatchTest, StepsDownOnlyForAPeerThatWorkersReach) {
  constexpr Seconds kNow = 1000;
  const Settings settings = testing::settings();
  const UnreachableLeaderWatch watch(settings);
  std::optional<Seconds> unreachable_since;
  if (GetParam().unreachable_for) unreachable_since = kNow - *GetParam().unreachable_for;
  EXPECT_EQ(watch.should_step_down(unreachable_since, GetParam().peers_receive_heartbeats, kNow),
            GetParam().steps_down);
}

// The worker lease is 12 s.
const WatchCase kWatchCases[] = {
    {"too_few_workers_to_tell", {}, true, false},
    {"below_a_third_of_the_lease", 3.9, true, false},
    {"a_third_of_the_lease", 4, true, true},
    {"far_beyond_a_third_of_the_lease", 60, true, true},
    {"no_peer_receives_heartbeats", 60, false, false},
};

INSTANTIATE_TEST_SUITE_P(Cases, UnreachableLeaderWatchTest, ::testing::ValuesIn(kWatchCases),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(UnreachableLeaderWatch, CampaignPauseIsOneWorkerLease) {
  const Settings settings = testing::settings();
  EXPECT_EQ(UnreachableLeaderWatch(settings).campaign_pause(), settings.lease_s);
}

}  // namespace
}  // namespace larkroad::coordination
