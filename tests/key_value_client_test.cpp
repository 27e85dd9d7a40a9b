// The state client against a scripted service.
#include "storage/key_value_client.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>

#include "storage/job_cache.hpp"
#include "support.hpp"

namespace larkroad::storage {
namespace {

using transport::Outcome;
using transport::Request;
using transport::Response;

class ManualClock : public transport::Clock {
 public:
  Seconds now() const override { return now_; }
  Seconds unix_time() const override { return 1e9 + now_; }
  transport::TimerId after(Seconds delay, std::function<void()> fn) override {
    timers_.emplace(now_ + std::max(0.0, delay), std::move(fn));
    return 0;
  }
  void cancel(transport::TimerId) override {}
  void run(Seconds until) {
    while (!timers_.empty() && timers_.begin()->first <= until) {
      auto fn = std::move(timers_.begin()->second);
      now_ = std::max(now_, timers_.begin()->first);
      timers_.erase(timers_.begin());
      fn();
    }
    now_ = until;
  }

 private:
  Seconds now_ = 1;
  std::multimap<Seconds, std::function<void()>> timers_;
};

class ScriptedClient : public transport::Client {
 public:
  void call(const std::string&, Request request, Seconds, transport::OnReply reply) override {
    sent.push_back(request);
    if (script.empty()) {
      reply(Outcome::answered, {200, R"({"ledger":1})", 0});
      return;
    }
    auto [outcome, response] = script.front();
    script.pop_front();
    reply(outcome, response);
  }
  std::vector<Request> sent;
  std::deque<std::pair<Outcome, Response>> script;
};

class State : public ::testing::Test {
 protected:
  State() : settings(testing::settings()), client(clock, net, settings) {}

  CommitReply commit_until_certain() {
    Transaction txn;
    txn.preconditions.push_back({"a", 0});
    txn.writes.push_back({"a", {{"x", 1}}, std::nullopt});
    std::optional<CommitReply> got;
    client.commit_until_certain(
        txn, [this, until = clock.now() + 20] { return clock.now() < until; },
        [&](CommitReply reply) { got = reply; });
    clock.run(clock.now() + 30);
    return got.value();
  }

  Settings settings;
  ManualClock clock;
  ScriptedClient net;
  KeyValueClient client;
};

const std::pair<Outcome, Response> kLost{Outcome::unknown, {}};
const std::pair<Outcome, Response> kRefused{Outcome::answered, {503, "{}", 0}};
const std::pair<Outcome, Response> kApplied{Outcome::answered, {200, R"({"ledger":9})", 0}};
const std::pair<Outcome, Response> kConflict{Outcome::answered,
                                             {409, R"({"failed":["a"],"ledger":9})", 0}};
const std::pair<Outcome, Response> kMine{Outcome::answered,
                                         {200, R"({"k":"a","data":{"x":1},"mark":7})", 0}};
const std::pair<Outcome, Response> kOther{Outcome::answered,
                                          {200, R"({"k":"a","data":{"x":2},"mark":7})", 0}};

TEST_F(State, SettleTellsWhatBecameOfATransaction) {
  const struct {
    const char* what;
    std::deque<std::pair<Outcome, Response>> script;
    Status status;
    std::uint64_t revision;
  } cases[] = {
      {"applied", {kApplied}, Status::ok, 9},
      {"refused, then applied", {kRefused, kRefused, kApplied}, Status::ok, 9},
      {"a guard failed", {kConflict}, Status::conflict, 0},
      {"lost, then applied", {kLost, kApplied}, Status::ok, 9},
      {"lost, though applied", {kLost, kConflict, kMine}, Status::ok, 7},
      {"lost, though applied, read back late",
       {kLost, kConflict, kLost, kConflict, kMine},
       Status::ok,
       7},
      {"lost, and another was there", {kLost, kConflict, kOther}, Status::conflict, 0},
  };
  for (const auto& c : cases) {
    net.script = c.script;
    const CommitReply reply = commit_until_certain();
    EXPECT_EQ(reply.status, c.status) << c.what;
    if (c.status == Status::ok) {
      EXPECT_EQ(reply.revision, c.revision) << c.what;
    }
    EXPECT_TRUE(net.script.empty()) << c.what;
  }
}

TEST_F(State, SettleGivesUpWhenNoLongerWanted) {
  for (int i = 0; i < 1000; ++i) net.script.push_back(kLost);
  EXPECT_EQ(commit_until_certain().status, Status::unknown);
}

// The moment at which the limits fall is not told; a refusal tells it. As other things bring
// refusals too, the present limits are tried again, after longer each time.
TEST_F(State, GoesByTheNextLimitsOnceItIsRefused) {
  settings.next_store_limits.write_rps = settings.store_limits.write_rps / 5;
  ScriptedClient own_net;
  KeyValueClient own(clock, own_net, settings);
  own.set_share(1, 1);
  const auto writes_in = [&](Seconds length) {
    const size_t before = own_net.sent.size();
    const Seconds end = clock.now() + length;
    while (clock.now() < end) {
      Transaction txn;
      txn.writes.push_back({"a", {{"x", 1}}, std::nullopt});
      own.commit(
          txn, [](const CommitReply&) {}, RequestPriority::user);
      clock.run(clock.now() + 0.01);
    }
    return own_net.sent.size() - before;
  };
  const double present = settings.store_limits.write_rps;
  const double next = settings.next_store_limits.write_rps;
  writes_in(5);  // past the burst
  EXPECT_GT(static_cast<double>(writes_in(5)), 5 * present * 0.8);
  own_net.script.push_back({Outcome::answered, {429, "{}", 0}});
  writes_in(0.1);
  EXPECT_LE(static_cast<double>(writes_in(5)), 5 * next * 1.1);
  clock.run(clock.now() + settings.lease_s);
  writes_in(5);
  EXPECT_GT(static_cast<double>(writes_in(5)), 5 * present * 0.8) << "tried again";
  own_net.script.push_back({Outcome::answered, {429, "{}", 0}});
  writes_in(0.1);
  clock.run(clock.now() + settings.lease_s);
  writes_in(2);
  EXPECT_LE(static_cast<double>(writes_in(5)), 5 * next * 1.1) << "for longer than before";
}

TEST_F(State, KeepsItsShareOfTheLimits) {
  client.set_share(0.5, 0.5);
  int answered = 0;
  int refused = 0;
  for (int i = 0; i < 500; ++i) {
    client.get("a", [&](Status status, Entry) {
      (status == Status::unavailable ? refused : answered) += 1;
    });
  }
  clock.run(2);
  EXPECT_LE(net.sent.size(), 100u);  // half of 100 a second: a burst, and one second more
  clock.run(20);
  EXPECT_GT(refused, 0);  // what would wait too long is refused rather than kept
  EXPECT_EQ(answered + refused, 500);
}

// Beside a backlog of small transactions a large one lost its place in the queue again and again:
// in an incident the records of a large job were held up for five minutes.
TEST_F(State, ABacklogDoesNotStarveLargeTransactions) {
  client.set_share(0.2, 0.1);  // some 5 changes and 19 requests a second
  std::function<void()> small = [&] {
    Transaction txn;
    txn.writes.push_back({"small", {{"x", 1}}, std::nullopt});
    client.commit(txn, [](const CommitReply&) {});
    clock.after(0.1, small);
  };
  small();
  clock.run(10);
  Transaction large;
  for (int i = 0; i < 4; ++i) large.writes.push_back({"large", {{"x", i}}, std::nullopt});
  std::optional<Seconds> done;
  client.commit_until_certain(
      large, [] { return true; },
      [&](const CommitReply& reply) {
        EXPECT_EQ(reply.status, Status::ok);
        done = clock.now();
      });
  clock.run(60);
  ASSERT_TRUE(done);
  EXPECT_LT(*done, 30);
}

// Records of low work, of which a large array makes more than can be written, delay nobody else's.
TEST_F(State, OtherRecordsGoBeforeThoseOfLowWork) {
  client.set_share(0.5, 0.1);
  std::vector<std::string> order;
  const auto commit = [&](const std::string& what, RequestPriority priority) {
    Transaction txn;
    txn.writes.push_back({what, {{"x", 1}}, std::nullopt});
    client.commit(
        txn, [&order, what](const CommitReply&) { order.push_back(what); }, priority);
  };
  clock.run(10);
  for (int i = 0; i < 20; ++i) commit("low", RequestPriority::bulk);
  const size_t before = order.size();
  ASSERT_LT(before, 20u);
  commit("work", RequestPriority::scheduling);
  commit("user", RequestPriority::user);
  clock.run(30);
  ASSERT_EQ(order.size(), 22u);
  EXPECT_EQ(order[before], "user");
  EXPECT_EQ(order[before + 1], "work");
}

TEST_F(State, RenewalsDoNotWaitForTheirTurn) {
  for (int i = 0; i < 200; ++i) client.get("a", [](Status, Entry) {});
  const size_t before = net.sent.size();
  client.extend(7, [](Status) {});
  ASSERT_EQ(net.sent.size(), before + 1);
  EXPECT_EQ(net.sent.back().target, "/grants/7/extend");
}

TEST_F(State, KnowsHowLongItHasFailed) {
  EXPECT_FALSE(client.answered_ever());
  client.get("a", [](Status, Entry) {});
  EXPECT_TRUE(client.answered_ever());
  EXPECT_EQ(client.failing_for(), 0);
  net.script = {kRefused, kLost};
  client.get("a", [](Status, Entry) {});
  clock.run(clock.now() + 3);
  client.get("a", [](Status, Entry) {});
  EXPECT_NEAR(client.failing_for(), 3, 0.1);
  EXPECT_TRUE(client.worth_trying());   // one probe
  EXPECT_FALSE(client.worth_trying());  // and none right after it
  client.get("a", [](Status, Entry) {});
  EXPECT_EQ(client.failing_for(), 0);
}

// Guards fail while the outcome is not known. Whether it was this transaction that changed them is
// told from the key of its first write: unchanged, it still may hold the very same words.
TEST_F(State, AFailedGuardElsewhereIsNoSuccess) {
  const struct {
    const char* what;
    const char* failed;
    Status status;
  } cases[] = {
      {"its own key has changed, to its own words", R"({"failed":["a"]})", Status::ok},
      {"another one has", R"({"failed":["leader"]})", Status::conflict},
  };
  for (const auto& c : cases) {
    net.script = {kLost,
                  {Outcome::answered, {409, c.failed, 0}},
                  {Outcome::answered, {200, R"({"k":"a","data":{"x":1},"mark":7})", 0}}};
    EXPECT_EQ(commit_until_certain().status, c.status) << c.what;
    net.script.clear();
  }
}

// ---------------------------------------------------------------- the shared view of jobs

constexpr const char* kListed =
    R"({"pairs":[{"k":"j/job-1","data":{},"mark":3},{"k":"j/job-2","data":{"cancelled":true},"mark":4}],)"
    R"("more":false,"ledger":5})";

class View : public State {
 protected:
  View() : view(clock, client, settings) {}
  // What so many questions at once were told.
  std::vector<Status> ask(int questions) {
    std::vector<Status> told;
    for (int i = 0; i < questions; ++i) view.fresh([&](Status status) { told.push_back(status); });
    clock.run(clock.now() + 5);
    return told;
  }
  JobCache view;
};

TEST_F(View, FollowsTheRecordsWithOneCallForManyQuestions) {
  const struct {
    const char* what;
    std::pair<Outcome, Response> answer;
    const char* target;
    Status status;
    std::vector<std::pair<std::string, bool>> jobs;  // and whether they are cancelled
  } cases[] = {
      {"first it is read",
       {Outcome::answered, {200, kListed, 0}},
       "/store?starts=j/",
       Status::ok,
       {{"job-1", false}, {"job-2", true}}},
      {"then only changes are",
       {Outcome::answered,
        {200,
         R"({"ledger":9,"events":[{"write":"j/job-3","data":{},"mark":6},)"
         R"({"drop":"j/job-2","mark":7},{"write":"j/job-1","data":{"cancelled":true},"mark":9}]})",
         0}},
       "/watch?starts=j/&since=5&blockMs=0",
       Status::ok,
       {{"job-1", true}, {"job-3", false}}},
      {"nothing has changed",
       {Outcome::answered, {200, R"({"ledger":12,"events":[]})", 0}},
       "/watch?starts=j/&since=9&blockMs=0",
       Status::ok,
       {{"job-1", true}, {"job-3", false}}},
      {"it cannot be asked",
       {Outcome::answered, {503, "{}", 0}},
       "/watch?starts=j/&since=12&blockMs=0",
       Status::unavailable,
       {{"job-1", true}, {"job-3", false}}},
      {"no answer",
       kLost,
       "/watch?starts=j/&since=12&blockMs=0",
       Status::unknown,
       {{"job-1", true}, {"job-3", false}}},
  };
  for (const auto& c : cases) {
    net.sent.clear();
    net.script = {c.answer};
    EXPECT_EQ(ask(50), std::vector<Status>(50, c.status)) << c.what;
    ASSERT_EQ(net.sent.size(), 1u) << c.what;
    EXPECT_TRUE(net.sent[0].target.starts_with(c.target)) << c.what << ": " << net.sent[0].target;
    for (const char* id : {"job-1", "job-2", "job-3"}) {
      const auto wanted = std::find_if(c.jobs.begin(), c.jobs.end(),
                                       [&](const auto& job) { return job.first == id; });
      const auto* seen = view.find(id);
      ASSERT_EQ(seen != nullptr, wanted != c.jobs.end()) << c.what << ": " << id;
      if (seen == nullptr) continue;
      EXPECT_EQ(seen->cancelled, wanted->second) << c.what << ": " << id;
    }
  }
}

TEST_F(View, IsReadAnewWhenItHasFallenBehind) {
  net.script = {{Outcome::answered, {200, kListed, 0}}};
  ask(1);
  net.script = {{Outcome::answered, {410, "{}", 0}},
                {Outcome::answered, {200, R"({"pairs":[],"more":false,"ledger":40000})", 0}}};
  EXPECT_EQ(ask(1), std::vector<Status>{Status::ok});
  EXPECT_EQ(view.find("job-1"), nullptr);
}

// A call that is under way may have been carried out before the question was asked.
TEST_F(View, AQuestionWaitsForACallSentAfterIt) {
  std::vector<int> told;
  view.fresh([&](Status) {
    told.push_back(1);
    view.fresh([&](Status) { told.push_back(2); });
  });
  clock.run(clock.now() + 5);
  EXPECT_EQ(told, (std::vector<int>{1, 2}));
  EXPECT_EQ(net.sent.size(), 2u);
}

}  // namespace
}  // namespace larkroad::storage
