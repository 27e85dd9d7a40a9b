// Messages to one machine are held up: a direct command, and the answer to a report, which repeats the
// launch of a gang's task. The other task's machine, a spot machine, is recalled meanwhile.
#include <cstdio>
#include <cstdlib>

#include "standins.hpp"

using review::Json;

int main(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr, "usage: case_1 FOLDER RUN-COMMAND...\n");
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  review::World world(review::seri_dispatch(), argv[1], review::split_command(argc, argv, 2),
                      trouble == nullptr || std::string(trouble) != "0");

  // Three machines of 64 cores: `here` and `there` have room for one task of the gang each, the
  // third one is full of short tasks.
  const std::string keep_here = "job-000001";
  const std::string keep_there = "job-000002";
  const std::string short_tasks = "job-000003";
  const std::string gang = "job-000004";
  // A small task whose end causes a report at once.
  const std::string small_here = "job-000005";
  const Json big{{"breeds", {"besar-gpu"}}, {"crew", "laluan"}};
  const auto with = [&big](Json more) {
    Json out = big;
    out.update(more);
    return out;
  };
  world.job(keep_here, with({{"cores", 47.0}, {"yard", "penang"}, {"loaners", false},
                             {"cargo", "img-01"}}), 300);
  world.job(small_here, with({{"cores", 1.0}, {"yard", "penang"}, {"loaners", false},
                              {"cargo", "img-01"}}), 300);
  world.job(keep_there, with({{"cores", 48.0}, {"yard", "kl-timur"}, {"cargo", "img-01"}}), 300);
  world.job(short_tasks, with({{"cores", 6.4}, {"legs", 10}, {"yard", "kl-timur"},
                               {"loaners", false}}), 300);
  world.job(gang, {{"shape", "gang"}, {"rank", "urgent"}, {"legs", 2}, {"cores", 16.0},
                   {"memGb", 20.0}, {"breeds", {"besar-gpu"}}, {"pullGb", 0.2}}, 30);

  const auto runs = [&world](const std::string& job) {
    int count = 0;
    for (const auto& [leg, machines] : world.judge.where) {
      if (leg.starts_with(job + "/")) count += static_cast<int>(machines.size());
    }
    return count;
  };
  const auto host_of = [&world](const std::string& job) -> review::Worker* {
    for (auto& [name, machine] : world.cloud.machines) {
      if (machine.worker->has_leg(job)) return machine.worker.get();
    }
    return nullptr;
  };
  const auto judge_in = [&](double delay) {
    world.after(delay, [&] { world.conclude("ran_twice"); });
  };

  review::Worker* here = nullptr;
  review::Worker* there = nullptr;
  std::optional<double> held_up_at;
  bool raised = false;
  bool answer_held = false;
  // The leader takes a higher token by writing its key again, which is bound to a lease.
  world.state.on_applied = [&](size_t, const Json& transaction) {
    for (const Json& change : transaction.at("apply")) {
      if (change.contains("hold") && held_up_at) raised = true;
    }
  };

  // Spot machines get a notice of about 12 s.
  const auto recall = [&] {
    world.record.line(there->name + " is recalled in 12 s");
    there->announce_recall(12);
    judge_in(15);
  };

  // For 8 s, the answers to the machine's reports take 2.5 s: workers wait for 4 s.
  const auto hold_answers = [&] {
    here->answer_delay = [&, until = world.now() + 8] {
      if (world.now() > until) return 0.0;
      answer_held = true;
      world.record.line("the answer to a report of " + here->name + " is held up for 2.5 s");
      return 2.5;
    };
    world.when("an answer is held up", 10, [&] { return answer_held; },
               [&] { world.after(0.3, recall); });
  };

  const auto submit_gang = [&] {
    if (!world.trouble) {
      world.submit(gang);
      world.when("the gang runs", 20, [&] { return runs(gang) == 2; }, [&] {
        host_of(short_tasks)->complete(short_tasks);
        world.after(4, recall);
      });
      return;
    }
    here->intercept = [&](const review::Request& request, const review::Respond& respond) {
      if (held_up_at || request.body.find("launch") == std::string::npos) return false;
      held_up_at = world.now();
      world.record.line("a command to " + here->name + " is held up for 9 s: " + request.body);
      world.after(9, [&, request, respond] {
        world.record.line("the command that was held up reaches " + here->name);
        here->carry_out(request, [&](const review::Response& response) {
          world.record.line("its answer, which nobody reads: " + std::to_string(response.status));
        });
      });
      return true;
    };
    world.submit(gang);
    world.when("a launch is held up", 20, [&] { return held_up_at.has_value(); }, [&] {
      // The ends of ten tasks on one machine make the leader take a higher token.
      host_of(short_tasks)->complete(short_tasks);
      // The machine reports now, and then after 1.24 report intervals. Until then the leader has
      // given the call up (after 1.5 report intervals).
      world.after(1, [&] {
        here->next_report_factor = 1.24;
        here->complete(small_here);
      });
      world.when("the leader takes a higher token", 10, [&] { return raised; }, hold_answers);
    });
  };

  world.start([&] {
    world.submit(keep_there);
    world.when("the spot machine is in use", 30, [&] { return runs(keep_there) == 1; }, [&] {
      there = host_of(keep_there);
      for (const auto& job : {keep_here, small_here, short_tasks}) world.submit(job);
      world.when("all machines are in use", 30,
                 [&] {
                   return runs(keep_here) == 1 && runs(small_here) == 1 && runs(short_tasks) == 10;
                 },
                 [&] {
                   here = host_of(keep_here);
                   host_of(short_tasks)->next_report_factor = 0.75;
                   world.after(3, submit_gang);
                 });
    });
  });
  return world.run(110);
}
