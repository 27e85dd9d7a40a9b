/// Tests of the key-value store client with a scripted store.
#include "storage/key_value_client.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

#include "scripted_store.hpp"

namespace larkroad::storage {
namespace {

using testing::ScriptedReply;
using testing::ScriptedStoreClient;
using transport::Outcome;

class KeyValueClientTest : public testing::ScriptedStoreTest {
 protected:
  CommitReply commit_until_certain() {
    Transaction transaction;
    transaction.preconditions.push_back({"a", 0});
    transaction.writes.push_back({"a", {{"x", 1}}, std::nullopt});
    std::optional<CommitReply> result;
    client.commit_until_certain(
        transaction, [this, until = clock.now() + 20] { return clock.now() < until; },
        [&](CommitReply reply) { result = reply; });
    clock.run_until(clock.now() + 30);
    return result.value();
  }
};

const ScriptedReply kUnavailable{Outcome::answered, {503, "{}", 0}};
const ScriptedReply kApplied{Outcome::answered, {200, R"({"ledger":9})", 0}};
const ScriptedReply kConflict{Outcome::answered, {409, R"({"failed":["a"],"ledger":9})", 0}};
const ScriptedReply kOwnData{Outcome::answered, {200, R"({"k":"a","data":{"x":1},"mark":7})", 0}};
const ScriptedReply kOtherData{Outcome::answered, {200, R"({"k":"a","data":{"x":2},"mark":7})", 0}};

TEST_F(KeyValueClientTest, CommitUntilCertainReportsTheOutcome) {
  const struct {
    const char* description;
    std::deque<ScriptedReply> script;
    Status status;
    std::uint64_t revision;
  } cases[] = {
      {"applied", {kApplied}, Status::ok, 9},
      {"unavailable, then applied", {kUnavailable, kUnavailable, kApplied}, Status::ok, 9},
      {"precondition failed", {kConflict}, Status::conflict, 0},
      {"reply lost, then applied", {testing::kLostReply, kApplied}, Status::ok, 9},
      {"reply lost after being applied", {testing::kLostReply, kConflict, kOwnData}, Status::ok, 7},
      {"reply lost after being applied, first read-back lost",
       {testing::kLostReply, kConflict, testing::kLostReply, kConflict, kOwnData},
       Status::ok,
       7},
      {"reply lost, key changed by another transaction",
       {testing::kLostReply, kConflict, kOtherData},
       Status::conflict,
       0},
  };
  for (const auto& c : cases) {
    net.script = c.script;
    const CommitReply reply = commit_until_certain();
    EXPECT_EQ(reply.status, c.status) << c.description;
    if (c.status == Status::ok) {
      EXPECT_EQ(reply.revision, c.revision) << c.description;
    }
    EXPECT_TRUE(net.script.empty()) << c.description;
  }
}

TEST_F(KeyValueClientTest, CommitUntilCertainGivesUpWhenNoLongerWanted) {
  for (int i = 0; i < 1000; ++i) net.script.push_back(testing::kLostReply);
  EXPECT_EQ(commit_until_certain().status, Status::unknown);
}

// The limits drop at an unannounced time, which a rejected request indicates. As there are other
// reasons for rejections, the client returns to the current limits, after a longer period each
// time.
TEST_F(KeyValueClientTest, RejectionLowersTheLimitsTemporarily) {
  settings.next_store_limits.write_rps = settings.store_limits.write_rps / 5;
  ScriptedStoreClient own_net;
  KeyValueClient own(clock, own_net, settings);
  own.set_share(1, 1);
  const auto writes_in = [&](Seconds length) {
    const size_t before = own_net.sent.size();
    const Seconds end = clock.now() + length;
    while (clock.now() < end) {
      Transaction transaction;
      transaction.writes.push_back({"a", {{"x", 1}}, std::nullopt});
      own.commit(
          transaction, [](const CommitReply&) {}, RequestPriority::user);
      clock.run_until(clock.now() + 0.01);
    }
    return own_net.sent.size() - before;
  };
  const double current_rps = settings.store_limits.write_rps;
  const double next_rps = settings.next_store_limits.write_rps;
  writes_in(5);  // uses up the initial burst
  EXPECT_GT(static_cast<double>(writes_in(5)), 5 * current_rps * 0.8);
  own_net.script.push_back({Outcome::answered, {429, "{}", 0}});
  writes_in(0.1);
  EXPECT_LE(static_cast<double>(writes_in(5)), 5 * next_rps * 1.1);
  clock.run_until(clock.now() + settings.lease_s);
  writes_in(5);
  EXPECT_GT(static_cast<double>(writes_in(5)), 5 * current_rps * 0.8)
      << "current limits apply again";
  own_net.script.push_back({Outcome::answered, {429, "{}", 0}});
  writes_in(0.1);
  clock.run_until(clock.now() + settings.lease_s);
  writes_in(2);
  EXPECT_LE(static_cast<double>(writes_in(5)), 5 * next_rps * 1.1)
      << "lower limits apply for longer";
}

TEST_F(KeyValueClientTest, StaysWithinItsShareOfTheLimits) {
  client.set_share(0.5, 0.5);
  int answered = 0;
  int rejected = 0;
  for (int i = 0; i < 500; ++i) {
    client.get("a", [&](Status status, Entry) {
      (status == Status::unavailable ? rejected : answered) += 1;
    });
  }
  clock.run_until(2);
  EXPECT_LE(net.sent.size(), 100u);  // half of 100 per second: a burst and one more second
  clock.run_until(20);
  EXPECT_GT(rejected, 0);  // requests that would wait too long are rejected
  EXPECT_EQ(answered + rejected, 500);
}

// Guards against starvation: a large transaction used to lose its position in the queue repeatedly
// during a backlog of small ones. In one incident, the records of a large job were delayed by five
// minutes.
TEST_F(KeyValueClientTest, BacklogDoesNotStarveLargeTransactions) {
  client.set_share(0.2, 0.1);  // about 5 changes and 19 requests per second
  std::function<void()> small = [&] {
    Transaction transaction;
    transaction.writes.push_back({"small", {{"x", 1}}, std::nullopt});
    client.commit(transaction, [](const CommitReply&) {});
    clock.after(0.1, small);
  };
  small();
  clock.run_until(10);
  Transaction large;
  for (int i = 0; i < 4; ++i) large.writes.push_back({"large", {{"x", i}}, std::nullopt});
  std::optional<Seconds> done;
  client.commit_until_certain(
      large, [] { return true; },
      [&](const CommitReply& reply) {
        EXPECT_EQ(reply.status, Status::ok);
        done = clock.now();
      });
  clock.run_until(60);
  ASSERT_TRUE(done);
  EXPECT_LT(*done, 30);
}

// A large low-priority array job produces more records than can be written. They must not delay
// other requests.
TEST_F(KeyValueClientTest, BulkRequestsAreSentLast) {
  client.set_share(0.5, 0.1);
  std::vector<std::string> order;
  const auto commit = [&](const std::string& key, RequestPriority priority) {
    Transaction transaction;
    transaction.writes.push_back({key, {{"x", 1}}, std::nullopt});
    client.commit(
        transaction, [&order, key](const CommitReply&) { order.push_back(key); }, priority);
  };
  clock.run_until(10);
  for (int i = 0; i < 20; ++i) commit("bulk", RequestPriority::bulk);
  const size_t before = order.size();
  ASSERT_LT(before, 20u);
  commit("scheduling", RequestPriority::scheduling);
  commit("user", RequestPriority::user);
  clock.run_until(30);
  ASSERT_EQ(order.size(), 22u);
  EXPECT_EQ(order[before], "user");
  EXPECT_EQ(order[before + 1], "scheduling");
}

TEST_F(KeyValueClientTest, LeaseRenewalsAreNotQueued) {
  for (int i = 0; i < 200; ++i) client.get("a", [](Status, Entry) {});
  const size_t before = net.sent.size();
  client.extend(7, [](Status) {});
  ASSERT_EQ(net.sent.size(), before + 1);
  EXPECT_EQ(net.sent.back().target, "/grants/7/extend");
}

TEST_F(KeyValueClientTest, ReportsTheDurationOfFailures) {
  EXPECT_FALSE(client.has_ever_answered());
  client.get("a", [](Status, Entry) {});
  EXPECT_TRUE(client.has_ever_answered());
  EXPECT_EQ(client.failing_for(), 0);
  net.script = {kUnavailable, testing::kLostReply};
  client.get("a", [](Status, Entry) {});
  clock.run_until(clock.now() + 3);
  client.get("a", [](Status, Entry) {});
  EXPECT_NEAR(client.failing_for(), 3, 0.1);
  EXPECT_TRUE(client.allow_request());   // one probe
  EXPECT_FALSE(client.allow_request());  // no second probe right after it
  client.get("a", [](Status, Entry) {});
  EXPECT_EQ(client.failing_for(), 0);
}

// Guards against a controller that counts as healthy although its own requests leave none of the
// limits to its users.
TEST_F(KeyValueClientTest, ReportsHowLongUsersRequestsHaveBeenRejected) {
  const auto spin_for = [&](Seconds length, bool with_users) {
    for (const Seconds end = clock.now() + length; clock.now() < end;) {
      client.extend(7, [](Status) {});
      if (with_users)
        client.get(
            "a", [](Status, Entry) {}, RequestPriority::user);
      clock.run_until(clock.now() + 0.005);
    }
  };
  spin_for(20, true);
  EXPECT_EQ(client.failing_for(), 0);
  EXPECT_GT(client.users_failing_for(), 10);
  spin_for(5, false);
  EXPECT_GT(client.users_failing_for(), 15) << "users may stay away";
  clock.run_until(clock.now() + 2);
  EXPECT_EQ(client.users_failing_for(), 0);
}

// When a precondition fails after a lost reply, the key of the first write shows whether this
// transaction was applied. An unchanged key may hold the same data from an earlier write, and must
// not count as a success.
TEST_F(KeyValueClientTest, FailedPreconditionOnAnotherKeyIsNotASuccess) {
  const struct {
    const char* description;
    const char* failed;
    Status status;
  } cases[] = {
      {"own key changed, to the written data", R"({"failed":["a"]})", Status::ok},
      {"another key changed", R"({"failed":["leader"]})", Status::conflict},
  };
  for (const auto& c : cases) {
    net.script = {testing::kLostReply,
                  {Outcome::answered, {409, c.failed, 0}},
                  {Outcome::answered, {200, R"({"k":"a","data":{"x":1},"mark":7})", 0}}};
    EXPECT_EQ(commit_until_certain().status, c.status) << c.description;
    net.script.clear();
  }
}

}  // namespace
}  // namespace larkroad::storage
