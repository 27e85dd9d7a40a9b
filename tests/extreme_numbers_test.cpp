// Jobs whose numbers are as large or as small as the protocol allows.
#include <algorithm>
#include <functional>
#include <limits>
#include <string>

#include "coordination/scheduling/job_queue.hpp"
#include "log.hpp"
#include "scheduler_fixture.hpp"
#include "sim/scenario.hpp"

namespace larkroad::coordination {
namespace {

constexpr double kHuge = std::numeric_limits<double>::max();
constexpr Seconds kStartBound = 180;
constexpr double kTiny = std::numeric_limits<double>::denorm_min();

struct ExtremeCase {
  const char* name;
  std::function<void(protocol::JobSpec&)> set;
};

const ExtremeCase kExtremeCases[] = {
    {"huge estimate", [](auto& spec) { spec.estimate_s = kHuge; }},
    {"huge image", [](auto& spec) { spec.image_gb = kHuge; }},
    {"huge estimate and image", [](auto& spec) { spec.estimate_s = spec.image_gb = kHuge; }},
    {"huge deadline", [](auto& spec) { spec.deadline_s = kHuge; }},
    {"huge deadline and estimate", [](auto& spec) { spec.deadline_s = spec.estimate_s = kHuge; }},
    {"huge checkpoints", [](auto& spec) { spec.checkpoint_s = spec.save_s = kHuge; }},
    {"all huge",
     [](auto& spec) {
       spec.estimate_s = spec.image_gb = kHuge;
       spec.checkpoint_s = spec.save_s = kHuge;
       spec.deadline_s = kHuge;
     }},
    {"tiny estimate", [](auto& spec) { spec.estimate_s = kTiny; }},
    {"all tiny",
     [](auto& spec) {
       spec.estimate_s = spec.image_gb = kTiny;
       spec.checkpoint_s = spec.save_s = kTiny;
       spec.deadline_s = kTiny;
     }},
};

class ExtremeNumbersTest : public SchedulerTest {
 protected:
  // Jobs of each shape and several priorities with these numbers, and ordinary ones among them.
  void add_jobs(const ExtremeCase& extreme) {
    for (int k = 0; k < 12; ++k) {
      auto spec = testing::spec("job-" + std::to_string(k), 3, 1);
      spec.shape = k % 3 == 1 ? protocol::Shape::gang : protocol::Shape::array;
      spec.priority = static_cast<protocol::Priority>(k % 4);
      spec.team = k % 2 == 0 ? "red" : "blue";
      spec.image = "image-" + std::to_string(k);
      if (k % 6 != 5) extreme.set(spec);
      testing::add_job(cluster, spec, k);
    }
  }
  size_t waiting_jobs() const {
    const auto& jobs = cluster.jobs();
    return static_cast<size_t>(std::count_if(
        jobs.begin(), jobs.end(), [](const auto& entry) { return entry.second->waiting() > 0; }));
  }
  static Seconds running_since(std::uint32_t task) { return 101 + task; }
};

// Guards against numbers of a submission that make the scheduler compute with infinity: the
// undefined result was used as an index, which ended each leader in turn.
TEST_F(ExtremeNumbersTest, JobsAreOrderedAndPlaced) {
  for (const auto& extreme : kExtremeCases) {
    SCOPED_TRACE(extreme.name);
    cluster.clear();
    reservations.clear();
    settings.objectives = {{"finished", "", 20, 0, 0.9, 1},
                           {"wait", "", 5, 0, 0.9, 1},
                           {"deadline", "", 0, 0, 0.9, 1},
                           {"deadline", "", 0, 0, 0.9, 4}};
    for (int k = 0; k < 3; ++k) {
      testing::add_machine(cluster, "i-" + std::to_string(k), "large");
    }
    add_jobs(extreme);
    size_t placed = 0;
    for (Seconds now = 100; now < 130; now += 5) {
      for (const auto& assignment : run_cycle_and_place(now).assignments) {
        placed += assignment.tasks.size();
      }
      // First while the new tasks fetch their images, then while they run.
      EXPECT_EQ(order_jobs(cluster, now, kStartBound).size(), waiting_jobs());
      for (const auto& [id, job] : cluster.jobs()) mark_running(*job, &running_since);
      EXPECT_EQ(order_jobs(cluster, now, kStartBound).size(), waiting_jobs());
    }
    EXPECT_GT(placed, 20u);
  }
}

// Guards against the same in the rest of the leader: jobs with these numbers run beside others, and
// the controllers go on.
TEST(ExtremeNumbers, DoNotDisturbOtherJobs) {
  spdlog::set_level(spdlog::level::err);
  sim::World world(1, {});
  int next_job = 100;
  for (const auto& extreme : kExtremeCases) {
    for (const auto shape : {protocol::Shape::array, protocol::Shape::gang}) {
      auto spec = testing::spec("job-" + std::to_string(next_job++), 2, 1);
      spec.shape = shape;
      spec.team = next_job % 2 == 0 ? "red" : "blue";
      spec.job_class = "short";
      extreme.set(spec);
      world.users.submit(spec, 2);
      world.events.schedule_at(60, [&world, id = spec.id] { world.users.cancel(id); });
    }
  }
  world.users.submit_random_jobs(30, 60);
  world.run(240);
  EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
  sim::expect_no_violations(world);
}

}  // namespace
}  // namespace larkroad::coordination
