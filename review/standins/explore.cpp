// Random troubles, to search for orders of events that break a rule. Not a case: it only prints what
// it found.  explore FOLDER SEED SECONDS RUN-COMMAND...
#include <cstdio>
#include <cstdlib>

#include "standins.hpp"

using namespace review;

int main(int argc, char** argv) {
  if (argc < 5) return 2;
  const unsigned seed = static_cast<unsigned>(std::atoi(argv[2]));
  const double length = std::atof(argv[3]);
  const auto option = [](const char* name) {
    const char* value = std::getenv(name);
    return value == nullptr ? 0.0 : std::atof(value);
  };
  Site site = seri_dispatch();
  if (option("EXPLORE_SOCKETS") > 0) site.sockets = static_cast<int>(option("EXPLORE_SOCKETS"));
  const bool tight = option("EXPLORE_TIGHT") > 0;  // teams are always at their limits
  const bool small = option("EXPLORE_SMALL") > 0;  // many small machines
  const bool no_late_reports = option("EXPLORE_NO_LATE_REPORTS") > 0;
  if (tight) {
    for (Team& team : site.teams) {
      team.cpus = 16;
      team.cpus_max = 46;
    }
  }
  World world(site, argv[1], split_command(argc, argv, 4), true, true);
  world.generator.seed(seed);
  const auto chance = [&](double p) { return world.random() < p; };
  const auto between = [&](double a, double b) { return a + (b - a) * world.random(); };
  const double calm_from = length - 45;
  const auto trouble_time = [&] { return world.now() < calm_from; };

  // Shares that change over time.
  double late_writes = 0, lost_answers = 0, late_reports = 0, late_commands = 0, slow_answers = 0;
  double slow_state = 0, slow_peers = 0;
  std::vector<Json> kept_reports;
  std::function<void(double, std::function<void()>)> every =
      [&](double mean, std::function<void()> action) {
        world.after(between(0, 2 * mean), [&, mean, action] {
          if (trouble_time()) {
            action();
            every(mean, action);
          }
        });
      };

  world.state.intercept = [&](size_t controller, const Json& transaction, const Request&,
                              const Respond& respond) {
    if (!trouble_time()) return false;
    if (chance(lost_answers)) {
      world.state.commit(transaction);
      world.after(12, [respond] { (void)respond; });
      return true;
    }
    if (chance(late_writes)) {
      world.after(between(2, 12), [&world, transaction, controller, respond] {
        (void)controller;
        world.state.commit(transaction);
      });
      return true;
    }
    return false;
  };
  world.state.on_applied = [&](size_t controller, const Json& transaction) {
    for (const Json& change : transaction.at("apply")) {
      if (!change.contains("hold") || kept_reports.empty()) continue;
      world.record.line("perch-" + std::to_string(controller) + " leads; late reports arrive");
      const auto copies = std::exchange(kept_reports, {});
      world.after(0.05, [&world, copies, controller] {
        if (!world.controllers[controller]->running()) return;
        for (const Json& copy : copies) {
          world.client.call(world.controllers[controller]->client,
                            {"POST", "/checkin", copy.dump()}, 10, [](auto, const auto&) {});
        }
      });
    }
  };

  world.state_delay = [&] {
    return trouble_time() && chance(slow_state) ? between(0.05, 1.2) : 0.003;
  };
  world.peer_delay = [&] {
    return trouble_time() && chance(slow_peers) ? between(0.05, 5) : 0.001;
  };
  std::set<Worker*> hooked;
  const auto hook_workers = [&] {
    for (auto& [name, machine] : world.cloud.machines) {
      Worker* worker = machine.worker.get();
      if (!hooked.insert(worker).second) continue;
      worker->on_report = [&](size_t, const Json& report) {
        if (!trouble_time() || !chance(late_reports)) return;
        if (chance(0.4)) {
          kept_reports.push_back(report);
          return;
        }
        const size_t target = world.healthy_controller();
        world.after(between(2, 25), [&world, report, target] {
          if (!world.controllers[target]->running()) return;
          world.client.call(world.controllers[target]->client, {"POST", "/checkin", report.dump()},
                            10, [](auto, const auto&) {});
        });
      };
      worker->answer_delay = [&] {
        return trouble_time() && chance(slow_answers) ? between(0.5, 3.8) : 0.0;
      };
      worker->intercept = [&, worker](const Request& request, const Respond& respond) {
        if (!trouble_time() || !chance(late_commands)) return false;
        world.record.line("a command to " + worker->name + " is held up: " + request.body);
        world.after(between(2, 16), [request, respond, weak = worker->weak_from_this()] {
          if (const auto self = weak.lock()) self->carry_out(request, [](const Response&) {});
        });
        return true;
      };
    }
  };

  int next_job = 1;
  const std::vector<std::string> teams{"roster", "tambang", "laluan", "ahli"};
  std::function<void(const std::string&)> poll = [&](const std::string& id) {
    world.after(between(0.2, 4), [&, id] {
      if (world.now() > length - 1) return;
      Submission& job = world.jobs.at(id);
      world.query(id, world.healthy_controller(), [&, id](int, const std::string& stage) {
        if (stage == "done" || stage == "withdrawn") {
          for (size_t i = 0; i < 3; ++i) world.query(id, i, [](int, const std::string&) {});
          if (chance(0.5)) world.submit(id);
          if (chance(0.3) && stage == "done") world.cancel(id);
          if (chance(0.3)) poll(id);
          return;
        }
        poll(id);
      });
      if (chance(0.02) && !job.cancel_asked) {
        world.cancel(id, [&, id] {
          for (size_t i = 0; i < 3; ++i) world.query(id, i, [](int, const std::string&) {});
          if (chance(0.3)) world.submit(id);
        });
      }
    });
  };
  const auto new_job = [&] {
    char id[32];
    std::snprintf(id, sizeof id, "job-%06d", next_job++);
    const char* ranks[] = {"urgent", "normal", "normal", "best_effort"};
    const double kind = world.random();
    Json spec{{"crew", teams[static_cast<size_t>(world.random() * 1.5)]},
              {"rank", ranks[static_cast<size_t>(world.random() * 4)]},
              {"loaners", chance(0.7)}};
    if (chance(0.5)) spec["waypointS"] = 3.0, spec["stowS"] = 1.0;
    if (kind < 0.35) {
      spec["shape"] = "gang";
      spec["legs"] = 1 + static_cast<int>(world.random() * 3);
      spec["cores"] = 15.0;
      spec["memGb"] = 50.0;
      spec["samePlace"] = chance(0.6);
    } else if (kind < 0.5) {
      spec["shape"] = "service";
      spec["legs"] = 1 + static_cast<int>(world.random() * 3);
      spec["cores"] = 4.0;
      if (chance(0.4)) spec["apart"] = true;
    } else {
      spec["legs"] = 1 + static_cast<int>(world.random() * 6);
      spec["cores"] = chance(0.5) ? 8.0 : 2.0;
      spec["samePlace"] = chance(0.3);
      if (chance(0.2)) spec["yard"] = "penang";
    }
    if (small) {
      spec["cores"] = chance(0.7) ? 4.0 : 2.0;
      spec["memGb"] = 4.0;
      spec["breeds"] = {"kecil"};
    }
    world.job(id, spec, between(1, 20));
    world.submit(id, [&, id = std::string(id)](int status) {
      if (status == 200 || status == 201) {
        for (size_t i = 0; i < 3; ++i) world.query(id, i, [](int, const std::string&) {});
        poll(id);
      }
    });
    poll(id);
    // Services end when they are cancelled.
    if (spec.value("shape", "") == "service") {
      world.after(between(10, 40), [&, id = std::string(id)] { world.cancel(id); });
    }
  };

  const auto random_worker = [&]() -> Worker* {
    std::vector<Worker*> up;
    for (auto& [name, machine] : world.cloud.machines) {
      if (!machine.gone_at && machine.up_at < world.clock.now()) up.push_back(machine.worker.get());
    }
    return up.empty() ? nullptr : up[static_cast<size_t>(world.random() * static_cast<double>(up.size()))];
  };

  world.start([&] {
    for (int i = 0; i < 8; ++i) new_job();
    every(1.2, new_job);
    every(0.5, hook_workers);
    every(8, [&] {
      late_writes = chance(0.4) ? between(0, 0.3) : 0;
      lost_answers = chance(0.4) ? between(0, 0.4) : 0;
      late_reports = chance(0.6) && !no_late_reports ? between(0, 0.6) : 0;
      late_commands = chance(0.5) ? between(0, 0.4) : 0;
      slow_state = chance(0.4) ? between(0, 0.5) : 0;
      slow_peers = chance(0.4) ? between(0, 0.6) : 0;
      slow_answers = chance(0.5) ? between(0, 0.6) : 0;
    });
    every(9, [&] {
      const size_t i = world.healthy_controller();
      world.controllers[i]->kill();
      world.after(chance(0.3) ? 0.3 : 6, [&, i] {
        if (!world.controllers[i]->running()) world.controllers[i]->start();
      });
    });
    every(60, [&] {
      world.record.line("all controllers end");
      for (auto& controller : world.controllers) controller->kill();
      const double away = chance(0.5) ? between(0.2, 6) : between(14, 22);
      for (size_t i = 0; i < 3; ++i) {
        world.after(away + between(0, 1), [&, i] {
          if (!world.controllers[i]->running()) world.controllers[i]->start();
        });
      }
    });
    every(14, [&] {
      const size_t i = world.healthy_controller();
      if (!world.controllers[i]->running()) return;
      world.controllers[i]->stop_signal();
      world.after(between(0.5, 12), [&, i] { world.controllers[i]->continue_signal(); });
    });
    every(14, [&] {
      const size_t i = world.healthy_controller();
      world.record.line("the state service refuses perch-" + std::to_string(i));
      world.state.refused.insert(i);
      world.after(between(1, 25), [&, i] { world.state.refused.erase(i); });
    });
    every(30, [&] {
      world.record.line("the state service is down");
      for (size_t i = 0; i < 3; ++i) world.state.refused.insert(i);
      world.after(between(2, 20), [&] {
        world.state.refused.clear();
        world.state.end_outage();
        world.record.line("the state service is up");
      });
    });
    every(15, [&] {
      const size_t i = world.healthy_controller();
      world.record.line("perch-" + std::to_string(i) + " is cut from its peers");
      for (size_t j = 0; j < 3; ++j) {
        if (j == i) continue;
        world.controllers[i]->cut_from.insert(j);
        world.controllers[j]->cut_from.insert(i);
      }
      world.after(between(2, 20), [&, i] {
        for (auto& controller : world.controllers) controller->cut_from.erase(i);
        world.controllers[i]->cut_from.clear();
      });
    });
    every(4, [&] {
      Worker* worker = random_worker();
      if (worker == nullptr) return;
      const double kind = world.random();
      const double time = between(1, 20);
      auto self = worker->shared_from_this();
      if (kind < 0.25) {
        world.record.line(worker->name + " is mute");
        worker->mute = true;
        world.after(time, [self] { self->mute = false; });
      } else if (kind < 0.5) {
        world.record.line(worker->name + " is deaf");
        worker->deaf = true;
        world.after(time, [self] { self->deaf = false; });
      } else if (kind < 0.75) {
        world.record.line(worker->name + " hangs");
        worker->hung_until = world.clock.now() + time;
      } else if (kind < 0.85) {
        world.record.line(worker->name + " dies");
        world.cloud.machines.at(worker->name).gone_at = world.clock.now();
        worker->terminate();
      } else if (kind < 0.93) {
        world.record.line(worker->name + " is sick");
        worker->sick = true;
        world.after(time, [self] { self->sick = false; });
      } else if (worker->spot) {
        world.record.line(worker->name + " is recalled");
        worker->announce_recall(between(6, 18));
      }
    });
    // Once all is calm again, every job must be answered and, unless cancelled, be done.
    world.after(calm_from, [&] {
      world.state.refused.clear();
      world.state.end_outage();
      for (auto& controller : world.controllers) {
        controller->cut_from.clear();
        if (!controller->running()) controller->start();
        controller->continue_signal();
      }
      for (auto& [id, job] : world.jobs) {
        if (job.shape == "service" && !job.cancel_confirmed) world.cancel(id);
      }
    });
    world.after(length - 5, [&] {
      double delay = 0;
      for (auto& [id, job] : world.jobs) {
        if (!job.accepted) continue;
        for (size_t i = 0; i < 3; ++i) {
          world.after(delay += 0.004, [&world, id = id, i] {
            world.query(id, i, [&world, id](int status, const std::string& stage) {
              if (status != 200) {
                world.record.line("UNANSWERED " + id + " " + std::to_string(status));
              } else if (stage != "done" && stage != "withdrawn") {
                world.record.line("UNFINISHED " + id + " " + stage);
              }
            });
          });
        }
      }
    });
    world.after(length, [&] {
      std::string text = "nothing broken";
      for (const auto& [rule, found] : world.judge.violations) {
        text = std::to_string(found.size()) + " times " + rule + ": " + found.front();
        std::printf("%s\n", text.c_str());
      }
      world.finish(world.judge.violations.empty() ? 0 : 1, text);
    });
  });
  return world.run(length + 30);
}
