// The state client against a scripted service.
#include "storage/state_client.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <map>

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

  CommitReply settle() {
    Transaction txn;
    txn.guards.push_back({"a", 0});
    txn.writes.push_back({"a", {{"x", 1}}, std::nullopt});
    std::optional<CommitReply> got;
    client.settle(
        txn, [this, until = clock.now() + 20] { return clock.now() < until; },
        [&](CommitReply reply) { got = reply; });
    clock.run(clock.now() + 30);
    return got.value();
  }

  Settings settings;
  ManualClock clock;
  ScriptedClient net;
  StateClient client;
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
    const CommitReply reply = settle();
    EXPECT_EQ(reply.status, c.status) << c.what;
    if (c.status == Status::ok) {
      EXPECT_EQ(reply.revision, c.revision) << c.what;
    }
    EXPECT_TRUE(net.script.empty()) << c.what;
  }
}

TEST_F(State, SettleGivesUpWhenNoLongerWanted) {
  for (int i = 0; i < 1000; ++i) net.script.push_back(kLost);
  EXPECT_EQ(settle().status, Status::unknown);
}

TEST_F(State, KeepsItsShareOfTheLimits) {
  client.set_share(0.5);
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

}  // namespace
}  // namespace larkroad::storage
