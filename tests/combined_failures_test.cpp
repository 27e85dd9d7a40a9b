// Meetings of troubles: most rules that were ever broken broke when two troubles met. Each row
// stands for a meeting in docs/DESIGN.md, "Where troubles meet".
#include "log.hpp"
#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

// ---------------------------------------------------------------- the gap

// Long tasks on a few machines, so that nothing but a stop or a lease ends them.
constexpr int kLongJobs = 8;

void submit_long(World& world, Seconds run = 200) {
  for (int k = 0; k < kLongJobs; ++k) {
    JobSpec s = testing::spec("job-" + std::to_string(100 + k), 1, 2);
    s.team = k % 2 == 0 ? "red" : "blue";
    s.estimate_s = run;
    world.submit(s, 2);
  }
}

size_t running(const World& world) {
  size_t count = 0;
  for (int k = 0; k < kLongJobs; ++k) {
    count += std::any_of(world.workers.begin(), world.workers.end(), [&](const auto& worker) {
      return !worker->gone && worker->runs("job-" + std::to_string(100 + k));
    });
  }
  return count;
}

void cut_peers(World& world, size_t i, Seconds length) {
  for (size_t j = 0; j < 3; ++j) {
    if (j != i) world.cut(node(i), node(j), length);
  }
}

struct Gap {
  const char* name;
  // What happens to the leader at 40 s; jobs are called off from 40.5 s on.
  std::function<void(World&, size_t)> trouble;
  Seconds outage_at;
};

std::ostream& operator<<(std::ostream& out, const Gap& gap) { return out << gap.name; }

const Gap kGaps[] = {
    // The users' day: refused alone, then an outage for all beyond `cancellation_limit_s`.
    {"refused_alone",
     [](World& w, size_t i) {
       w.refused_by_state.insert(node(i));
       cut_peers(w, i, 100);
       w.events.at(54, [&w] { w.refused_by_state.clear(); });
     },
     42},
    {"refused_alone_and_told_by_peers",
     [](World& w, size_t i) {
       w.refused_by_state.insert(node(i));
       w.events.at(54, [&w] { w.refused_by_state.clear(); });
     },
     42},
    // Its lease is renewed all the time, yet the watch on the jobs brings nothing.
    {"watch_held_up",
     [](World& w, size_t i) {
       w.state.hold_watches(node(i), 140);
       cut_peers(w, i, 100);
     },
     1000},
    {"watch_held_up_then_an_outage",
     [](World& w, size_t i) {
       w.state.hold_watches(node(i), 52);
       cut_peers(w, i, 100);
     },
     50},
    // Held up from before the cancellations until after an outage: it leads again at 58 s.
    {"leads_again_before_its_watch",
     [](World& w, size_t i) {
       w.state.hold_watches(node(i), 140);
       cut_peers(w, i, 100);
       w.events.at(46, [&w] { w.state.set_outage(true); });
       w.events.at(58, [&w] { w.state.set_outage(false); });
     },
     1000},
    {"slow_to_hear",
     [](World& w, size_t i) {
       w.state.hold_watches(node(i), 44);
       w.refused_by_state.insert(node((i + 1) % 3));
       cut_peers(w, i, 100);
       w.events.at(60, [&w] { w.refused_by_state.clear(); });
     },
     43.5},
};

class TheGap : public ::testing::TestWithParam<Gap> {};

// Another controller confirms cancellations that the leader does not hear of. Whatever it goes on
// doing for its workers, the tasks must be gone in time, and no new one may be ordered.
TEST_P(TheGap, CancelledTasksAreGoneInTime) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    spdlog::set_level(std::getenv("LOG_LEVEL") ? spdlog::level::debug : spdlog::level::err);
    World world(seed, {});
    submit_long(world);
    to_leader(world, 40, [&world](size_t i) { GetParam().trouble(world, i); });
    world.events.at(40.5, [&world] { world.cancel_now(6); });
    world.events.at(GetParam().outage_at, [&world] { world.state.set_outage(true); });
    world.events.at(GetParam().outage_at + 40, [&world] { world.state.set_outage(false); });
    world.run(39);
    ASSERT_GT(running(world), 4u);
    world.run(200);
    for (const auto& line : world.checker.broken()) ADD_FAILURE() << line;
  }
}

INSTANTIATE_TEST_SUITE_P(Meetings, TheGap, ::testing::ValuesIn(kGaps),
                         [](const auto& info) { return std::string(info.param.name); });

// A leader that has just been elected has read nothing of the jobs yet: when the state service goes
// away at that very moment it must not keep alive what was cancelled before.
TEST(TheGapOf, ALeaderThatIsStillLoading) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    spdlog::set_level(std::getenv("LOG_LEVEL") ? spdlog::level::debug : spdlog::level::err);
    World world(seed, {});
    submit_long(world);
    // The leader is deaf to the cancellations, and ends with them unheard.
    to_leader(world, 40, [&world](size_t i) {
      world.state.hold_watches(node(i), 140);
      cut_peers(world, i, 100);
      world.events.at(41.5, [&world, i] { world.kill(i, 100); });
    });
    world.events.at(40.2, [&world] { world.cancel_now(6); });
    bool out = false;
    std::function<void()> look = [&] {
      for (size_t i = 0; i < 3 && !out; ++i) {
        if (world.is_up(i) && world.node(i).election().holds() && world.events.now() > 42) {
          out = true;
          world.state.set_outage(true);
          world.events.at(world.events.now() + 40, [&world] { world.state.set_outage(false); });
        }
      }
      if (!out) world.events.at(world.events.now() + 0.0005, look);
    };
    world.events.at(42, look);
    world.run(200);
    EXPECT_TRUE(out);
    for (const auto& line : world.checker.broken()) ADD_FAILURE() << line;
  }
}

// Where the peers reach it, a leader that the state service refuses hears of a cancellation at
// once, and stops the tasks although it may start nothing.
TEST(CancellationNotifier, ReachALeaderThatTheStateServiceRefuses) {
  World world(1, {});
  submit_long(world);
  to_leader(world, 40, [&world](size_t i) { world.refused_by_state.insert(node(i)); });
  world.events.at(40.2, [&world] { world.cancel_now(kLongJobs); });
  world.run(39);
  ASSERT_EQ(running(world), static_cast<size_t>(kLongJobs));
  world.run(41.5);  // before anybody else can lead
  ASSERT_EQ(world.leader(), 3u);
  world.run(42);
  EXPECT_EQ(running(world), 0u);
}

// What a peer says of a cancellation changes nothing unless it is for a job of this leadership, and
// it is the record that counts in the end.
TEST(CancellationNotifier, AreTakenFromPeersOnly) {
  World world(1, {});
  submit_long(world);
  world.run(30);
  const size_t leader = world.leader();
  ASSERT_LT(leader, 3u);
  const std::string peer = node((leader + 1) % 3);
  const auto message = [](const std::string& member, const std::string& job) {
    return Json{{"member", member}, {"job", job}}.dump();
  };
  const struct {
    const char* what;
    size_t to;
    std::string body;
    int status;
    size_t run_on;
  } cases[] = {
      {"no peer", leader, message("node-7", "job-100"), 400, kLongJobs},
      {"itself", leader, message(node(leader), "job-100"), 400, kLongJobs},
      {"an unknown job", leader, message(peer, "job-999"), 400, kLongJobs},
      {"malformed", leader, "{\"member\":3}", 400, kLongJobs},
      {"not JSON", leader, "cancelled", 400, kLongJobs},
      {"a node that does not lead", (leader + 1) % 3, message(node((leader + 2) % 3), "job-100"),
       200, kLongJobs},
      {"as it should be", leader, message(peer, "job-100"), 200, kLongJobs - 1},
  };
  for (const auto& c : cases) {
    Response got;
    world.node(c.to).handle_peer({"POST", "/cancelled", c.body},
                                 [&](const Response& response) { got = response; });
    EXPECT_EQ(got.status, c.status) << c.what;
    world.run(world.events.now() + 0.05);
    EXPECT_EQ(running(world), c.run_on) << c.what;
  }
  // This one was a lie: nobody has made it durable, and the job runs again.
  world.run(world.events.now() + 10);
  EXPECT_EQ(running(world), static_cast<size_t>(kLongJobs));
  // A true one that comes once more when the job is over.
  world.cancel_now(kLongJobs);
  world.run(world.events.now() + 10);
  EXPECT_EQ(running(world), 0u);
  Response got;
  world.node(leader).handle_peer({"POST", "/cancelled", message(peer, "job-100")},
                                 [&](const Response& response) { got = response; });
  EXPECT_EQ(got.status, 400);
  EXPECT_TRUE(world.checker.broken().empty());
}

// ---------------------------------------------------------------- the other meetings

void each_worker(World& w, double share, const std::function<void(Worker&)>& fn) {
  for (const auto& worker : w.workers) {
    if (!worker->gone && w.chance() < share) fn(*worker);
  }
}

const Scenario kMeetings[] = {
    // Workers can't open connections to any controller, while direct commands still reach them.
    {"mute_machines",
     {0.002, 0.005, 30, 0.3},
     [](World& w) {
       for (int k = 0; k < 4; ++k) {
         w.events.at(20 + 32 * k, [&w, k] {
           each_worker(w, 0.4, [&](Worker& m) { w.mute(m.name, k % 2 == 0 ? 25 : 9); });
         });
         to_leader(w, 22 + 32 * k, [&w](size_t i) { w.kill(i, 2); });
         w.events.at(24 + 32 * k, [&w] { w.cancel_now(2); });
       }
     }},
    {"all_controllers_away_beyond_a_lease",
     {0, 0.01, 30, 0.2, 0.1},
     [](World& w) {
       for (const Seconds when : {35, 95}) {
         w.events.at(when, [&w] { w.cancel_now(4); });
         w.events.at(when + 0.3, [&w] {
           for (size_t i = 0; i < 3; ++i) w.kill(i, 15 + static_cast<double>(i) * 0.3);
         });
       }
     }},
    {"cancelled_at_the_end",
     {0.01, 0.01, 20, 0.1, 0, 0, 200, 0.5},
     [](World& w) { to_leader(w, 60, [&w](size_t i) { w.kill(i, 1); }); }},
    {"late_transactions_while_leaders_change",
     {0.04, 0.08, 12, 0.2},
     [](World& w) {
       for (int k = 0; k < 6; ++k) to_leader(w, 25 + 18 * k, [&w](size_t i) { w.kill(i, 1); });
     }},
    {"hung_machines_and_cancellations",
     {0.002, 0.005, 30, 0.2, 0.1},
     [](World& w) {
       for (int k = 0; k < 6; ++k) {
         w.events.at(20 + 20 * k, [&w, k] { w.cancel_now(3, 3 + 4 * k); });
         w.events.at(21 + 20 * k, [&w, k] {
           each_worker(w, 0.2, [&](Worker& m) { m.hang(k % 2 == 0 ? 8 : 15); });
         });
         to_leader(w, 22 + 20 * k, [&w](size_t i) { w.kill(i, 2); });
       }
     }},
    {"cut_from_state_and_peers_while_jobs_are_cancelled",
     {0.002, 0.005, 30, 0.2},
     [](World& w) {
       for (const Seconds when : {30, 90}) {
         to_leader(w, when, [&w](size_t i) { w.isolate(i, 35); });
         w.events.at(when + 4, [&w] { w.cancel_now(6); });
       }
     }},
    {"limits_at_a_takeover",
     {0.002, 0.01, 25, 0.2},
     [](World& w) {
       w.submit_some(60, 60);
       for (int k = 0; k < 4; ++k) {
         const Seconds when = 25 + 30 * k;
         w.events.at(when, [&w] {
           each_worker(w, 0.4, [&](Worker& m) {
             for (size_t i = 0; i < 3; ++i) w.cut(node(i), m.name, 16);
           });
         });
         to_leader(w, when + 1, [&w](size_t i) { w.kill(i, 3); });
         w.events.at(when + 2, [&w] { w.cancel_now(5); });
       }
     }},
    {"long_tasks_not_reached_at_a_takeover",
     {0.002, 0.005, 25, 0.2},
     [](World& w) {
       submit_long(w, 60);
       for (int k = 0; k < 3; ++k) {
         const Seconds when = 25 + 40 * k;
         w.events.at(when, [&w, k] {
           each_worker(w, 0.5, [&](Worker& m) {
             if (k == 1) {
               w.deafen(m.name, 20);
             } else {
               for (size_t i = 0; i < 3; ++i) w.cut(node(i), m.name, 11 + 6 * k);
             }
           });
         });
         to_leader(w, when + 0.5, [&w](size_t i) { w.kill(i, 3); });
       }
     }},
    {"a_zone_cut_off_with_a_controller",
     {0.002, 0.005, 25, 0.2},
     [](World& w) {
       // One controller and the machines of a zone see each other, and nobody else.
       for (const Seconds when : {30, 90}) {
         w.events.at(when, [&w] {
           const size_t inside = (w.leader() + 1) % 3;
           w.isolate(inside, 20);
           for (const auto& m : w.workers) {
             if (m->zone != "west") continue;
             for (size_t i = 0; i < 3; ++i) {
               if (i != inside) w.cut(node(i), m->name, 20);
             }
           }
         });
         w.events.at(when + 2, [&w] { w.cancel_now(4); });
       }
     }},
    {"ten_leaders_in_two_minutes",
     {0.005, 0.005, 30, 0.2, 0.2},
     [](World& w) {
       for (int k = 0; k < 10; ++k) {
         to_leader(w, 20 + 12 * k, [&w, k](size_t i) { w.kill(i, k % 3 == 0 ? 0.2 : 3); });
       }
       w.events.at(64, [&w] { w.state.set_outage(true); });
       w.events.at(78, [&w] { w.state.set_outage(false); });
       w.events.at(63, [&w] { w.cancel_now(4); });
     }},
    // Arrays that are bound to one zone lose machines, while the leader changes.
    {"arrays_of_one_zone_lose_machines",
     {0.002, 0.01, 25, 0.1},
     [](World& w) {
       for (int k = 0; k < 20; ++k) {
         JobSpec s = testing::spec("job-" + std::to_string(5000 + k), 6, 2);
         s.team = k % 2 == 0 ? "red" : "blue";
         s.one_zone = true;
         s.estimate_s = 12;
         w.submit(s, 5 + 5 * k);
       }
       for (int k = 0; k < 8; ++k) {
         w.events.at(25 + 14 * k, [&w] {
           each_worker(w, 0.15, [](Worker& m) { m.vanish(); });
           each_worker(w, 0.2, [&](Worker& m) {
             for (size_t i = 0; i < 3; ++i) w.cut(node(i), m.name, 15);
           });
         });
         if (k % 2 == 0) to_leader(w, 27 + 14 * k, [&w](size_t i) { w.kill(i, 2); });
       }
     }},
    {"tasks_that_end_far_apart",
     {0.01, 0.01, 25, 0.1, 0.1, 0, 200, 0.1},
     [](World& w) {
       for (int k = 0; k < 20; ++k) {
         JobSpec s = testing::spec("job-" + std::to_string(5000 + k), 2 + k % 2, 2);
         s.team = k % 2 == 0 ? "red" : "blue";
         s.estimate_s = 25;
         w.submit(s, 5 + 4 * k);
       }
       for (int k = 0; k < 6; ++k) to_leader(w, 30 + 17 * k, [&w](size_t i) { w.kill(i, 1); });
     }},
    {"odd_requests_and_a_slow_state_service",
     {0.01, 0.05, 4, 0.2},
     [](World& w) {
       w.odd_requests(150);
       w.events.at(70, [&w] { w.state.set_outage(true); });
       w.events.at(85, [&w] { w.state.set_outage(false); });
       to_leader(w, 110, [&w](size_t i) {
         w.refused_by_state.insert(node(i));
         w.events.at(125, [&w, i] { w.refused_by_state.erase(node(i)); });
       });
     }},
    // Commands that were carried out and answered arrive once more, after their tasks were stopped
    // or failed, were forgotten and run elsewhere.
    {"copies_of_direct_commands",
     {0.002, 0.002, 25, 0.3, 0, 0, 200, 0, 1, 0.7, 0.05},
     [](World& w) {
       // Low work that urgent work pushes aside again and again, at its team's limit.
       for (int k = 0; k < 90; ++k) {
         JobSpec s = testing::spec("job-" + std::to_string(5000 + k), 1 + k % 4, 3);
         s.team = k % 2 == 0 ? "red" : "blue";
         s.estimate_s = k % 3 == 0 ? 5 : 15;
         s.priority = k % 3 == 0 ? protocol::Priority::high : protocol::Priority::low;
         w.submit(s, 5 + 1.2 * k);
       }
       for (int k = 0; k < 12; ++k) {
         w.events.at(20 + 10 * k, [&w] { w.cancel_now(2); });
       }
     }},
    {"more_work_than_room",
     {0.002, 0.002, 25, 0.1},
     [](World& w) {
       w.capacity = 10;
       for (int k = 0; k < 120; ++k) {
         JobSpec s = testing::spec("job-" + std::to_string(5000 + k), 1 + k % 3, 3);
         s.team = k % 2 == 0 ? "red" : "blue";
         s.estimate_s = 8;
         s.priority = k % 3 == 0 ? protocol::Priority::high : protocol::Priority::low;
         w.submit(s, 5 + k);
       }
     },
     0},
};

// A new leader reads the records behind nobody, however often users ask about their jobs. Behind
// their questions it once took 48 s, in which the workers' leases ran out.
TEST(Questions, DoNotDelayATakeover) {
  Troubles troubles;
  troubles.questions = 30;
  World world(1, troubles);
  submit_long(world);
  for (int k = 0; k < 150; ++k) {
    JobSpec s = testing::spec("job-" + std::to_string(3000 + k), 1, 16);
    s.team = k % 2 == 0 ? "red" : "blue";
    s.estimate_s = 400;
    world.submit(s, 3 + 0.1 * k);
  }
  world.run(40);
  ASSERT_LT(world.leader(), 3u);
  world.kill(world.leader(), 30);
  // Its lease ends first, and the nodes find out within a block of their watch.
  world.run(40 + 2 * world.settings.lease_s / 6);
  EXPECT_LT(world.leader(), 3u);
  EXPECT_EQ(running(world), static_cast<size_t>(kLongJobs));
  for (const auto& line : world.checker.broken()) ADD_FAILURE() << line;
}

// A leader that loses only the workers makes way for one that they reach, before their leases end.
TEST(Leadership, GoesWhereTheWorkersAre) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    World world(seed, {});
    submit_long(world);
    size_t first = 3;
    to_leader(world, 40, [&](size_t i) {
      first = i;
      world.cut(node(i), "workers", 60);
    });
    world.run(39);
    ASSERT_GT(running(world), 4u);
    const size_t before = running(world);
    world.run(40 + 0.8 * world.settings.lease_s);
    ASSERT_LT(world.leader(), 3u);
    EXPECT_NE(world.leader(), first);
    world.run(40 + 3 * world.settings.lease_s);
    EXPECT_EQ(running(world), before) << "seed " << seed;
    EXPECT_NE(world.leader(), first);  // it leaves it there
    for (const auto& line : world.checker.broken()) ADD_FAILURE() << line;
  }
}

// What a transaction was written for.
std::string kind_of_transaction(const Json& txn) {
  const Json& first = txn.at("apply").at(0);
  if (first.contains("drop")) return "leftovers";
  std::string key = first.at("write");
  const Json& data = first.at("data");
  if (key == "leader") return data.contains("raised") ? "raised token" : "leader key";
  if (key.starts_with("d/")) return "end of a job";
  if (key.starts_with("j/")) return data.contains("cancelled") ? "cancellation" : "submission";
  if (key.starts_with("m/")) return "images";
  if (key.starts_with("p/")) return data.contains("done") ? "completion" : "placement";
  if (key.starts_with("v/")) return "version";
  return key;
}

// Plays a run with several leaders and carries out all its transactions once more when all jobs are
// over and another one leads: each is refused, and leaves nothing behind.
void refuses_late_transactions(std::uint64_t seed, std::map<std::string, int>& seen) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  Troubles troubles;
  troubles.lost = 0.02;
  troubles.late = 0.02;
  troubles.latest = 12;
  troubles.cancelled = 0.3;
  World world(seed, troubles);
  world.submit_some(60, 90);
  for (int k = 0; k < 4; ++k) to_leader(world, 30 + 25 * k, [&](size_t i) { world.kill(i, 2); });
  world.run(420);
  ASSERT_TRUE(world.all_over()) << world.unfinished();
  to_leader(world, 421, [&](size_t i) { world.kill(i, 2); });
  // The answers that an election needs may be late, too.
  world.run(440);
  for (Seconds when = 441; when < 480 && world.leader() == 3; ++when) world.run(when);
  ASSERT_LT(world.leader(), 3u);
  ASSERT_FALSE(world.has_keys("j/") || world.has_keys("p/"));
  const auto commits = world.commits;  // a copy: nothing below may count as one of the run
  for (const auto& commit : commits) {
    const std::string which = kind_of_transaction(Json::parse(commit.second.body));
    ++seen[which];
    const int status = world.commit_again(commit);
    // The leader's key goes with its lease: without it the write is refused before its guards.
    const bool leased = which == "leader key" || which == "raised token";
    EXPECT_TRUE(status == 409 || (leased && status == 400)) << which << ": " << status;
  }
  EXPECT_FALSE(world.has_keys("j/") || world.has_keys("p/"));
  world.run(490);
  for (const auto& line : world.checker.broken()) ADD_FAILURE() << line;
}

// A run with one seed need not have a transaction of each kind: a raised token is rare.
TEST(LateTransactions, OfEveryKindAreRefused) {
  std::map<std::string, int> seen;
  for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6}) refuses_late_transactions(seed, seen);
  for (const char* which :
       {"submission", "cancellation", "placement", "completion", "end of a job", "leader key",
        "raised token", "images", "catalog", "leftovers", "version"}) {
    EXPECT_GT(seen[which], 0) << which;
  }
}

class Meeting : public ::testing::TestWithParam<Scenario> {};

TEST_P(Meeting, KeepsTheRulesAndFinishes) {
  for (const std::uint64_t seed : {1, 2, 3}) keeps_the_rules(GetParam(), seed);
}

INSTANTIATE_TEST_SUITE_P(Scenarios, Meeting, ::testing::ValuesIn(kMeetings),
                         [](const auto& info) { return std::string(info.param.name); });

// ---------------------------------------------------------------- any two at once

using Trouble = std::function<void(World&, Seconds)>;

const Trouble kTroubles[] = {
    [](World& w, Seconds t) {
      to_leader(w, t, [&w](size_t i) { w.kill(i, 0.2 + 4 * w.chance()); });
    },
    [](World& w, Seconds t) {
      w.events.at(t, [&w] {
        for (size_t i = 0; i < 3; ++i) w.kill(i, 1 + 15 * w.chance());
      });
    },
    [](World& w, Seconds t) {
      to_leader(w, t, [&w](size_t i) {
        w.refused_by_state.insert(node(i));
        w.events.at(w.events.now() + 10, [&w, i] { w.refused_by_state.erase(node(i)); });
      });
    },
    [](World& w, Seconds t) {
      w.events.at(t, [&w] { w.state.set_outage(true); });
      w.events.at(t + 17, [&w] { w.state.set_outage(false); });
    },
    [](World& w, Seconds t) { to_leader(w, t, [&w](size_t i) { w.isolate(i, 20); }); },
    [](World& w, Seconds t) { to_leader(w, t, [&w](size_t i) { w.freeze(i, 14); }); },
    [](World& w, Seconds t) {
      to_leader(w, t, [&w](size_t i) { w.state.hold_watches(node(i), w.events.now() + 15); });
    },
    [](World& w, Seconds t) {
      w.events.at(t, [&w] { each_worker(w, 0.3, [&](Worker& m) { w.deafen(m.name, 15); }); });
    },
    [](World& w, Seconds t) {
      w.events.at(t, [&w] { each_worker(w, 0.3, [&](Worker& m) { w.mute(m.name, 15); }); });
    },
    [](World& w, Seconds t) {
      w.events.at(t,
                  [&w] { each_worker(w, 0.3, [&](Worker& m) { m.hang(2 + 14 * w.chance()); }); });
    },
    [](World& w, Seconds t) {
      w.events.at(t, [&w] { each_worker(w, 0.2, [](Worker& m) { m.restart(); }); });
    },
    [](World& w, Seconds t) {
      w.events.at(t, [&w] {
        each_worker(w, 0.3, [&](Worker& m) {
          for (size_t i = 0; i < 3; ++i) w.cut(node(i), m.name, 6 + 10 * w.chance());
        });
      });
    },
    [](World& w, Seconds t) { w.events.at(t, [&w] { w.cancel_now(4, 10 * w.chance()); }); },
    [](World& w, Seconds t) { w.events.at(t, [&w] { w.odd_requests(20); }); },
};

// Drawn from fixed seeds, so that the verdict is the same every time.
TEST(Meetings, AnyTwoTroublesAtOnce) {
  for (std::uint64_t seed = 1; seed <= 24; ++seed) {
    const Scenario scenario{
        "pairs", {0.005, 0.01, 20, 0.2, 0.1, 0, seed % 3 == 0 ? 20 : 200, 0.1}, [](World& w) {
          for (const Seconds when : {25, 65, 105}) {
            for (int k = 0; k < 2; ++k) {
              const auto which = static_cast<size_t>(w.chance() * std::size(kTroubles));
              kTroubles[which](w, when + 4 * w.chance());
            }
            w.events.at(when + 6 * w.chance(), [&w] { w.cancel_now(3); });
          }
        }};
    keeps_the_rules(scenario, seed);
  }
}

}  // namespace

std::span<const Scenario> meeting_scenarios() { return kMeetings; }

}  // namespace larkroad::sim
