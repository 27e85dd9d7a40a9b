// Copies of a start command that was carried out and answered before, which arrive after a leader,
// a machine or all of them have come back.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "leader_and_worker.hpp"
#include "log.hpp"

namespace larkroad::coordination {
namespace {

struct NamedSteps {
  const char* name;
  std::vector<Step> steps;
};

// The launch is answered and carried out, and a copy of it is kept.
const std::vector<Step> kLaunched{Step::launch,          Step::copy_calls,       Step::answer_calls,
                                  Step::heartbeat,       Step::deliver_response, Step::heartbeat,
                                  Step::deliver_response};
const std::vector<Step> kReported{Step::answer_calls, Step::heartbeat, Step::deliver_response,
                                  Step::heartbeat, Step::deliver_response};
// The worker has seen a higher token than that of the launch, so it may forget the task.
const std::vector<Step> kForgotten{
    Step::raise_token,      Step::heartbeat, Step::deliver_response, Step::heartbeat,
    Step::deliver_response, Step::heartbeat, Step::deliver_response};

const NamedSteps kTaskStates[] = {
    {"there", {}},
    {"moved", {Step::stop}},
    {"cancelled", {Step::cancel}},
    {"done", {Step::complete}},
};
const NamedSteps kForgetting[] = {{"retained", {}}, {"forgotten", kForgotten}};
const NamedSteps kNewerAttempts[] = {
    {"no_newer_attempt", {}},
    {"newer_attempt", {Step::place_again, Step::answer_calls}},
};
const NamedSteps kReturns[] = {
    {"nobody", {}},
    {"leader", {Step::change_leader}},
    {"two_leaders", {Step::change_leader, Step::change_leader}},
    {"machine_after_a_hang", {Step::stop, Step::leave_calls_unanswered}},
    {"machine_after_a_lost_lease", {Step::expire_lease}},
    {"machine_in_the_next_session", {Step::restart_in_next_incarnation}},
    {"all", {Step::change_leader, Step::restart_in_next_incarnation}},
    {"machine_in_the_same_session", {Step::restart_in_same_incarnation}},
    {"all_with_the_machine_in_the_same_session",
     {Step::change_leader, Step::restart_in_same_incarnation}},
};
// A heartbeat interval in which the leader answers, asks, and stops what it finds.
const std::vector<Step> kInterval{Step::heartbeat,    Step::answer_calls, Step::deliver_response,
                                  Step::answer_calls, Step::answer_calls, Step::run_periodic_work,
                                  Step::answer_calls, Step::answer_calls, Step::run_periodic_work,
                                  Step::answer_calls, Step::answer_calls};

std::vector<Step> repeat(const std::vector<Step>& steps, int times) {
  std::vector<Step> all;
  for (int i = 0; i < times; ++i) all.insert(all.end(), steps.begin(), steps.end());
  return all;
}

// What happens between the return and the copy.
const NamedSteps kContacts[] = {
    {"before_the_first_heartbeat", {}},
    {"after_the_first_heartbeat", {Step::heartbeat, Step::deliver_response}},
    {"after_a_few_intervals", repeat(kInterval, 4)},
};

bool is_in_the_same_session(const NamedSteps& returned) {
  return !returned.steps.empty() && returned.steps.back() == Step::restart_in_same_incarnation;
}

protocol::JobSpec gang_spec() {
  protocol::JobSpec spec = testing::spec("job", 2);
  spec.shape = protocol::Shape::gang;
  return spec;
}

struct Scene {
  const NamedSteps& task;
  const NamedSteps& forgetting;
  const NamedSteps& newer;
  const NamedSteps& returned;
  const NamedSteps& contact;
};

void run_all(LeaderAndWorker& world, const std::vector<Step>& steps) {
  for (const Step step : steps) world.run(step);
}

void deliver_copy_in(LeaderAndWorker& world, const Scene& scene) {
  run_all(world, kLaunched);
  run_all(world, kInterval);
  run_all(world, scene.task.steps);
  run_all(world, kReported);
  run_all(world, scene.forgetting.steps);
  run_all(world, scene.newer.steps);
  run_all(world, scene.returned.steps);
  run_all(world, scene.contact.steps);
  world.run(Step::deliver_late_calls);
}

// Nothing tells a worker that has restarted in the same session, and has heard of nobody, from the
// one for which the command was meant. What the copy starts then is stopped as soon as the leader
// has asked.
bool may_start(const Scene& scene) {
  const bool has_seen_a_higher_token = &scene.contact == &kContacts[2];
  return is_in_the_same_session(scene.returned) && !has_seen_a_higher_token;
}

void expect_without_effect(const Scene& scene, const protocol::JobSpec& spec) {
  for (const Route route : kRoutes) {
    SCOPED_TRACE("tasks " + std::to_string(spec.tasks) + ", route " +
                 std::to_string(static_cast<int>(route)));
    LeaderAndWorker world(route, spec);
    deliver_copy_in(world, scene);
    EXPECT_TRUE(may_start(scene) || !world.ran_after_gone());
    run_all(world, repeat(kInterval, 2));
    EXPECT_FALSE(world.is_gone() && world.is_running()) << "not stopped";
    world.settle();
    world.settle();
    EXPECT_TRUE(may_start(scene) || !world.ran_after_gone()) << "later";
    EXPECT_FALSE(world.is_gone() && world.is_running()) << "at the end";
    EXPECT_FALSE(world.awaits_next_incarnation()) << "its lease has been renewed";
  }
}

// Guards against a task that runs on two machines, or although its job is cancelled, because a late
// copy of a start command is carried out.
TEST(LateLaunchCopy, DoesNotRunATaskThatTheLeaderCountsAsGone) {
  spdlog::set_level(spdlog::level::err);
  for (const auto& task : kTaskStates) {
    for (const auto& forgetting : kForgetting) {
      for (const auto& newer : kNewerAttempts) {
        for (const auto& returned : kReturns) {
          for (const auto& contact : kContacts) {
            SCOPED_TRACE(std::string(task.name) + ", " + forgetting.name + ", " + newer.name +
                         ", " + returned.name + ", " + contact.name);
            const Scene scene{task, forgetting, newer, returned, contact};
            expect_without_effect(scene, testing::spec("job", 1));
            expect_without_effect(scene, gang_spec());
          }
        }
      }
    }
  }
}

}  // namespace
}  // namespace larkroad::coordination
