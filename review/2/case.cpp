// A late copy of a worker's report reaches the controllers just as a new leader begins. The task that
// it lists was stopped long before to make room for a more urgent job of the same team.
#include <cstdio>
#include <cstdlib>

#include "standins.hpp"

using review::Json;

int main(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr, "usage: case_2 FOLDER RUN-COMMAND...\n");
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  review::World world(review::seri_dispatch(), argv[1], review::split_command(argc, argv, 2),
                      trouble == nullptr || std::string(trouble) != "0");

  // Team `roster` may use 112 cores: 96 by `steady`, 16 by `low`. Later `urgent` needs 16 too.
  world.job("job-000001", {{"rank", "prod"}, {"legs", 6}, {"cores", 16.0}, {"memGb", 20.0},
                           {"breeds", {"sedang"}}}, 300);
  world.job("job-000002", {{"rank", "best_effort"}, {"cores", 16.0}, {"memGb", 20.0},
                           {"breeds", {"besar-gpu"}}, {"yard", "penang"}}, 300);
  // Short tasks of another team on the machine of `low`.
  world.job("job-000003", {{"crew", "tambang"}, {"legs", 10}, {"breeds", {"besar-gpu"}},
                           {"yard", "penang"}}, 2);
  world.job("job-000004", {{"rank", "urgent"}, {"cores", 16.0}, {"memGb", 20.0},
                           {"breeds", {"besar-gpu"}}, {"yard", "penang"}}, 300);
  const std::string low = "job-000002";
  const std::string urgent = "job-000004";

  review::Worker* host = nullptr;  // of `low`
  Json old_report;
  std::uint64_t first_baton = 0;
  const auto runs = [&world](const std::string& job) {
    int count = 0;
    for (const auto& [leg, machines] : world.judge.where) {
      if (leg.starts_with(job + "/")) count += static_cast<int>(machines.size());
    }
    return count;
  };

  const auto judge_in = [&](double delay) {
    world.after(delay, [&] { world.conclude("quota"); });
  };

  const auto deliver_copies = [&] {
    world.record.line("late copies of a report arrive: " + old_report.dump());
    for (auto& controller : world.controllers) {
      if (!controller->running()) continue;
      world.client.call(controller->client, {"POST", "/checkin", old_report.dump()}, 10,
                        [&world, member = controller->member](auto outcome, const auto& response) {
                          world.record.line(
                              "answer of " + member + " to the late copy, which nobody reads: " +
                              (outcome == review::Outcome::answered
                                   ? std::to_string(response.status) + " " + response.body
                                   : "none"));
                        });
    }
  };

  // The leader of the first term is known by the first write that is bound to a lease.
  size_t leader = 0;
  bool watch_for_successor = false;
  world.state.on_applied = [&](size_t controller, const Json& transaction) {
    for (const Json& change : transaction.at("apply")) {
      if (!change.contains("hold")) continue;
      world.record.line("perch-" + std::to_string(controller) + " wrote a key under a lease");
      if (!watch_for_successor || controller == leader) {
        leader = controller;
        continue;
      }
      watch_for_successor = false;
      world.after(0.004, deliver_copies);
    }
  };

  const auto crash = [&] {
    if (!world.trouble) {
      judge_in(25);
      return;
    }
    watch_for_successor = true;
    world.controllers[leader]->kill();
    const size_t ended = leader;
    world.after(6, [&, ended] { world.controllers[ended]->start(); });
    judge_in(25);
  };

  const auto submit_urgent = [&] {
    old_report = host->report_body(false);  // replaced by each report that is sent
    host->on_report = [&](size_t, const Json& report) {
      if (runs(urgent) == 0 && runs(low) == 1) old_report = report;
    };
    world.submit(urgent);
    world.when("urgent runs, and the machine of low has forgotten low", 40,
               [&] { return runs(urgent) == 1 && runs(low) == 0 && !host->has_leg(low); },
               // From 2 s to well over a lease later.
               [&] { world.after(4, crash); });
  };

  world.start([&] {
    world.submit("job-000001");
    world.submit(low);
    world.when("steady and low run", 40, [&] { return runs("job-000001") == 6 && runs(low) == 1; },
               [&] {
                 for (auto& [name, machine] : world.cloud.machines) {
                   if (machine.worker->has_leg(low)) host = machine.worker.get();
                 }
                 first_baton = host->baton();
                 world.submit("job-000003");
                 world.when("the short tasks have ended, and the token has grown", 40,
                            [&] {
                              return world.judge.done.size() >= 10 && !host->has_leg("job-000003") &&
                                     host->baton() > first_baton;
                            },
                            [&] { world.after(3, submit_urgent); });
               });
  });
  return world.run(110);
}
