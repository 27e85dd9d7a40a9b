#include "sim/long_jobs.hpp"

namespace larkroad::sim {
namespace {

std::string long_job_id(size_t index) { return "job-" + std::to_string(100 + index); }

}  // namespace

void submit_long_jobs(World& world, Seconds run_time) {
  for (size_t i = 0; i < kLongJobs; ++i) {
    JobSpec spec = testing::spec(long_job_id(i), 1, 2);
    spec.team = i % 2 == 0 ? "red" : "blue";
    spec.estimate_s = run_time;
    world.users.submit(spec, 2);
  }
}

size_t running_long_jobs(const World& world) {
  size_t count = 0;
  for (size_t i = 0; i < kLongJobs; ++i) {
    if (world.tasks.running_tasks(long_job_id(i)) > 0) ++count;
  }
  return count;
}

void partition_from_peers(World& world, size_t controller, Seconds length) {
  for (size_t peer = 0; peer < kControllers; ++peer) {
    if (peer == controller) continue;
    world.network.partition(controller_name(controller), controller_name(peer), length);
  }
}

}  // namespace larkroad::sim
