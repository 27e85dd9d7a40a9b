// A task that the leader counts as gone must not start on its worker any more, in whatever order
// launches, stops, heartbeats and their responses arrive.
#include <gtest/gtest.h>

#include <cstdint>
#include <iterator>
#include <ostream>
#include <random>
#include <string>
#include <vector>

#include "leader_and_worker.hpp"
#include "log.hpp"

namespace larkroad::coordination {
namespace {

struct Sequence {
  const char* name;
  std::vector<Step> steps;
};

std::ostream& operator<<(std::ostream& out, const Sequence& sequence) {
  return out << sequence.name;
}

std::vector<Step> concatenate(std::vector<Step> first, const std::vector<Step>& second) {
  first.insert(first.end(), second.begin(), second.end());
  return first;
}

// The leader knows that the task is running.
const std::vector<Step> kRunning{Step::launch, Step::answer_calls, Step::heartbeat,
                                 Step::deliver_response};

// A leader has stopped the task, given its share to others, and ended. The records still name the
// placement, and the worker has forgotten the task.
const std::vector<Step> kStoppedBeforeLeaderChange =
    concatenate(kRunning, {Step::heartbeat, Step::deliver_response, Step::stop, Step::answer_calls,
                           Step::raise_token, Step::heartbeat, Step::deliver_response,
                           Step::heartbeat, Step::deliver_response, Step::change_leader});

const Sequence kSequences[] = {
    // A direct launch went unanswered, and the token was raised. The launch is repeated in the
    // response to a heartbeat, under the new token; a direct stop overtakes the response.
    {"stop_overtakes_repeated_launch",
     {Step::launch, Step::leave_calls_unanswered, Step::raise_token, Step::heartbeat, Step::stop,
      Step::answer_calls}},
    {"cancellation_overtakes_repeated_launch",
     {Step::launch, Step::leave_calls_unanswered, Step::raise_token, Step::heartbeat, Step::cancel,
      Step::answer_calls}},
    {"stop_overtakes_second_repeated_launch",
     {Step::launch, Step::leave_calls_unanswered, Step::raise_token, Step::heartbeat,
      Step::drop_response, Step::heartbeat, Step::stop, Step::answer_calls}},
    {"stop_overtakes_both_launches",
     {Step::launch, Step::leave_calls_unanswered, Step::heartbeat, Step::stop, Step::answer_calls}},
    {"stop_under_a_higher_token_than_the_repeated_launch",
     {Step::launch, Step::leave_calls_unanswered, Step::raise_token, Step::heartbeat,
      Step::raise_token, Step::stop, Step::answer_calls}},
    {"status_query_between_stop_and_repeated_launch",
     {Step::launch, Step::leave_calls_unanswered, Step::raise_token, Step::heartbeat, Step::stop,
      Step::answer_calls, Step::inspect, Step::answer_calls}},
    {"stop_is_lost_after_repeated_launch",
     {Step::launch, Step::leave_calls_unanswered, Step::raise_token, Step::heartbeat, Step::stop,
      Step::leave_calls_unanswered, Step::inspect, Step::answer_calls, Step::deliver_late_calls}},
    {"lease_expires_before_repeated_launch_arrives",
     {Step::launch, Step::leave_calls_unanswered, Step::raise_token, Step::heartbeat,
      Step::expire_lease, Step::stop, Step::answer_calls}},
    {"first_launch_arrives_beside_repeated_one",
     {Step::launch, Step::leave_calls_unanswered, Step::heartbeat, Step::deliver_late_calls,
      Step::stop, Step::answer_calls, Step::raise_token, Step::deliver_response, Step::heartbeat}},
    {"copy_of_a_launch_arrives_after_its_task_was_forgotten",
     {Step::launch, Step::copy_calls, Step::answer_calls, Step::complete, Step::heartbeat,
      Step::deliver_response, Step::heartbeat, Step::deliver_response}},
    // The new leader first hears of the machine by a heartbeat from before the stop.
    {"old_heartbeat_reaches_a_new_leader_after_a_stop",
     concatenate(kStoppedBeforeLeaderChange,
                 {Step::deliver_old_heartbeat, Step::heartbeat, Step::deliver_response})},
    {"old_heartbeat_reaches_two_new_leaders_after_a_stop",
     concatenate(kStoppedBeforeLeaderChange,
                 {Step::deliver_old_heartbeat, Step::change_leader, Step::deliver_old_heartbeat,
                  Step::heartbeat, Step::deliver_response})},
    {"old_heartbeat_reaches_a_new_leader_after_a_current_one",
     concatenate(kStoppedBeforeLeaderChange,
                 {Step::heartbeat, Step::deliver_old_heartbeat, Step::deliver_response,
                  Step::heartbeat, Step::deliver_response})},
    {"status_query_after_an_old_heartbeat",
     concatenate(kStoppedBeforeLeaderChange,
                 {Step::deliver_old_heartbeat, Step::inspect, Step::answer_calls, Step::heartbeat,
                  Step::deliver_response})},
    {"stop_by_a_new_leader_after_an_old_heartbeat",
     concatenate(kStoppedBeforeLeaderChange,
                 {Step::deliver_old_heartbeat, Step::stop, Step::heartbeat, Step::answer_calls,
                  Step::deliver_response})},
    {"launch_of_an_earlier_leader_arrives_after_a_stop_by_the_next",
     {Step::launch, Step::leave_calls_unanswered, Step::change_leader, Step::heartbeat,
      Step::deliver_late_calls, Step::stop, Step::answer_calls, Step::deliver_response}},
};

class LaunchSafety : public ::testing::TestWithParam<Sequence> {};

// Guards against a task that starts although the leader has counted it as gone: it would run twice,
// or beyond its team's quota.
TEST_P(LaunchSafety, TaskCountedAsGoneDoesNotStart) {
  spdlog::set_level(spdlog::level::err);
  for (const Route route : kRoutes) {
    SCOPED_TRACE("route " + std::to_string(static_cast<int>(route)));
    LeaderAndWorker world(route);
    for (const Step step : GetParam().steps) world.run(step);
    world.settle();
    EXPECT_FALSE(world.ran_after_gone());
    EXPECT_TRUE(world.is_gone());
  }
}

// Relative frequencies of the steps after the first launch, in the order of `Step`. Frequent are
// those that decide whether a launch can still be carried out.
constexpr int kStepWeights[] = {0, 4, 4, 1, 3, 1, 4, 4, 3, 1, 4, 1, 1, 1, 1, 2};
// What has happened before the random steps.
const std::vector<Step> kStarts[] = {{Step::launch}, kRunning, kStoppedBeforeLeaderChange};
constexpr std::uint64_t kRandomSequences = 6000;
constexpr int kRandomSteps = 16;

// Guards against the same in orders of events that nobody has thought of.
TEST(LaunchSafetyInRandomOrder, TaskCountedAsGoneDoesNotStart) {
  spdlog::set_level(spdlog::level::err);
  for (std::uint64_t seed = 1; seed <= kRandomSequences; ++seed) {
    std::mt19937_64 random(seed);
    std::discrete_distribution<int> next_step(std::begin(kStepWeights), std::end(kStepWeights));
    LeaderAndWorker world(kRoutes[seed % std::size(kRoutes)]);
    std::vector<int> steps;
    for (const Step step : kStarts[random() % std::size(kStarts)]) world.run(step);
    for (int i = 0; i < kRandomSteps && !world.ran_after_gone(); ++i) {
      const int step = next_step(random);
      steps.push_back(step);
      world.run(static_cast<Step>(step));
    }
    world.settle();
    EXPECT_FALSE(world.ran_after_gone())
        << "seed " << seed << ", steps " << ::testing::PrintToString(steps);
  }
}

INSTANTIATE_TEST_SUITE_P(Sequences, LaunchSafety, ::testing::ValuesIn(kSequences),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace larkroad::coordination
