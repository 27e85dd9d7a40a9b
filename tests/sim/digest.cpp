// Prints digests of all messages that the controllers send in a fixed set of simulated runs. Two
// builds with the same behaviour print the same lines. If a digest differs, compare the dumps of
// that run to find the first message that differs.
//
//   larkroad_digest                prints one line per run: name, seed, number of messages, digest
//   larkroad_digest --dump NAME    prints every message of the run
//   larkroad_digest --repeat NAME  executes the run twice; fails if the digests differ
#include <fmt/format.h>

#include <cstdint>
#include <cstdio>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "log.hpp"
#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

// 64-bit FNV-1a hash.
class Fnv1a {
 public:
  void add(std::string_view bytes) {
    for (const char byte : bytes) {
      value_ ^= static_cast<unsigned char>(byte);
      value_ *= kPrime;
    }
  }
  std::uint64_t value() const { return value_; }

 private:
  static constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325;
  static constexpr std::uint64_t kPrime = 0x100000001b3;
  std::uint64_t value_ = kOffsetBasis;
};

struct Run {
  const char* name;
  std::uint64_t seed;
};

// Each name is that of a scenario in one of the test tables or in kDigestScenarios.
constexpr Run kRuns[] = {
    {"lost_answers", 1},
    {"leader_crashes", 2},
    {"all_crash_with_relays", 3},
    {"state_outage", 1},
    {"leader_cut_from_all", 2},
    {"crowded", 1},
    {"machines_die", 2},
    {"large_jobs_under_load", 1},
    {"a_node_stands_still", 3},
    {"relays_with_slow_answers", 1},
    {"relays_while_leaders_change", 2},
    {"all_at_once", 3},
    {"hung_machines_and_cancellations", 1},
    {"odd_requests_and_a_slow_state_service", 2},
    {"copies_of_direct_commands", 3},
    {"machines_go_and_leaders_change", 1},
    {"cancelled_while_cut_off_and_refused", 2},
    {"crashes_on_the_way", 1},
    {"relays_of_both_versions", 2},
    {"watch_held_up_zones_apart_and_smaller_limits", 1},
    {"services_pushed_aside", 1},
    {"jobs_with_gpus", 1},
};

const Scenario kDigestScenarios[] = {
    // Store limits reduced without notice, a job whose tasks always fail, a leader whose watches go
    // unanswered, and a partition between zones.
    {"watch_held_up_zones_apart_and_smaller_limits",
     {.lost_responses = 0.005,
      .delayed_requests = 0.005,
      .max_request_delay = 20,
      .cancelled_jobs = 0.2},
     [](World& world) {
       world.events.schedule_at(20, [&world] { world.store.limits.max_transaction_changes = 2; });
       JobSpec many_tasks = testing::spec("job-5000", 100, 0.25);
       many_tasks.memory_gb = 0.1;
       world.users.submit(many_tasks, 25);
       JobSpec faulty = testing::spec("job-5001", 4);
       world.tasks.faulty_jobs.insert(faulty.id);
       world.users.submit(faulty, 30);
       world.events.schedule_at(150, [&world, id = faulty.id] { world.users.cancel(id); });
       with_leader(world, 45, [&world](size_t leader) {
         world.store.hold_watches(controller_name(leader), 100);
       });
       world.events.schedule_at(110, [&world] { world.network.partition_zones(20); });
     }},
    // High-priority jobs that preempt service replicas and array tasks of lower priority.
    {"services_pushed_aside",
     {},
     [](World& world) {
       world.cloud.capacity = 8;
       for (int k = 0; k < 6; ++k) {
         JobSpec replicas = testing::service("job-" + std::to_string(5000 + k), 3, 1 + k % 3);
         replicas.priority = protocol::Priority::low;
         replicas.team = k % 2 == 0 ? "red" : "blue";
         world.users.submit(replicas, 5 + k);
         world.events.schedule_at(150, [&world, id = replicas.id] { world.users.cancel(id); });
       }
       for (int k = 0; k < 30; ++k) {
         JobSpec urgent = testing::spec("job-" + std::to_string(6000 + k), 1 + k % 4, 2);
         urgent.priority = protocol::Priority::high;
         urgent.team = k % 2 == 0 ? "blue" : "red";
         urgent.estimate_s = 6;
         world.users.submit(urgent, 30 + 3 * k);
       }
     }},
    {"jobs_with_gpus",
     {.lost_responses = 0.005, .delayed_requests = 0.005, .max_request_delay = 20},
     [](World& world) {
       for (int k = 0; k < 24; ++k) {
         JobSpec spec = testing::spec("job-" + std::to_string(5000 + k), 1 + k % 3, 2);
         spec.gpus = 1;
         spec.shape = k % 4 == 0 ? protocol::Shape::gang : protocol::Shape::array;
         spec.priority = k % 3 == 0 ? protocol::Priority::high : protocol::Priority::low;
         world.users.submit(spec, 5 + 4 * k);
       }
       with_leader(world, 60, [&world](size_t leader) { world.crash(leader, 2); });
     }},
};

const Scenario& find_scenario(std::string_view name) {
  for (const auto& table :
       {single_fault_scenarios(), relay_scenarios(), combined_failure_scenarios(),
        service_scenarios(), upgrade_scenarios(), std::span<const Scenario>(kDigestScenarios)}) {
    for (const Scenario& scenario : table) {
      if (name == scenario.name) return scenario;
    }
  }
  throw std::runtime_error(fmt::format("unknown scenario: {}", name));
}

const Run& find_run(std::string_view name) {
  for (const Run& run : kRuns) {
    if (name == run.name) return run;
  }
  throw std::runtime_error(fmt::format("unknown run: {}", name));
}

// One line per message: time in full precision, sender, receiver, method, target and body.
std::string format_message(Seconds when, const std::string& sender, const std::string& receiver,
                           const Request& request, const Response* response) {
  const std::string prefix =
      fmt::format("{} {} -> {} {} {}", when, sender, receiver, request.method, request.target);
  if (response == nullptr) return fmt::format("{} {}\n", prefix, request.body);
  return fmt::format("{} status={} retry_after={} brief={} {}\n", prefix, response->status,
                     response->retry_after_s, response->close_near_limit, response->body);
}

void execute_run(const Run& run, const std::function<void(const std::string& line)>& on_message) {
  const Scenario& scenario = find_scenario(run.name);
  World world(run.seed, scenario.faults,
              [&](Seconds when, const std::string& sender, const std::string& receiver,
                  const Request& request, const Response* response) {
                on_message(format_message(when, sender, receiver, request, response));
              });
  run_scenario(world, scenario);
}

std::string digest_line(const Run& run) {
  std::uint64_t messages = 0;
  Fnv1a hash;
  execute_run(run, [&](const std::string& line) {
    ++messages;
    hash.add(line);
  });
  return fmt::format("{} {} {} {:016x}\n", run.name, run.seed, messages, hash.value());
}

void print(const std::string& text) {
  std::fwrite(text.data(), 1, text.size(), stdout);
  std::fflush(stdout);
}

bool is_reproducible(const Run& run) {
  const std::string first = digest_line(run);
  const std::string second = digest_line(run);
  print(first + second);
  return first == second;
}

int run_tool(const std::vector<std::string>& arguments) {
  spdlog::set_level(spdlog::level::off);
  if (arguments.empty()) {
    for (const Run& run : kRuns) print(digest_line(run));
  } else if (arguments.size() == 2 && arguments[0] == "--dump") {
    execute_run(find_run(arguments[1]), print);
  } else if (arguments.size() == 2 && arguments[0] == "--repeat") {
    if (!is_reproducible(find_run(arguments[1]))) return 1;
  } else {
    throw std::runtime_error("usage: larkroad_digest [--dump NAME | --repeat NAME]");
  }
  // gtest has already printed any expectation that failed inside the simulation.
  return ::testing::Test::HasFailure() ? 1 : 0;
}

}  // namespace
}  // namespace larkroad::sim

int main(int argc, char** argv) {
  try {
    return larkroad::sim::run_tool({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
