/// The key-value store's client against a scripted store.
#include "storage/key_value_client.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

#include "scripted_store.hpp"

namespace larkroad::storage {
namespace {

using testing::ScriptedAnswer;
using testing::ScriptedStoreClient;
using transport::Outcome;

class KeyValueClientTest : public testing::ScriptedStoreTest {
 protected:
  CommitReply commit_until_certain() {
    Transaction txn;
    txn.preconditions.push_back({"a", 0});
    txn.writes.push_back({"a", {{"x", 1}}, std::nullopt});
    std::optional<CommitReply> got;
    client.commit_until_certain(
        txn, [this, until = clock.now() + 20] { return clock.now() < until; },
        [&](CommitReply reply) { got = reply; });
    clock.run_until(clock.now() + 30);
    return got.value();
  }
};

const ScriptedAnswer kUnavailable{Outcome::answered, {503, "{}", 0}};
const ScriptedAnswer kApplied{Outcome::answered, {200, R"({"ledger":9})", 0}};
const ScriptedAnswer kConflict{Outcome::answered, {409, R"({"failed":["a"],"ledger":9})", 0}};
const ScriptedAnswer kOwnData{Outcome::answered, {200, R"({"k":"a","data":{"x":1},"mark":7})", 0}};
const ScriptedAnswer kOtherData{Outcome::answered,
                                {200, R"({"k":"a","data":{"x":2},"mark":7})", 0}};

TEST_F(KeyValueClientTest, CommitUntilCertainReportsTheOutcome) {
  const struct {
    const char* what;
    std::deque<ScriptedAnswer> script;
    Status status;
    std::uint64_t revision;
  } cases[] = {
      {"applied", {kApplied}, Status::ok, 9},
      {"refused, then applied", {kUnavailable, kUnavailable, kApplied}, Status::ok, 9},
      {"a precondition failed", {kConflict}, Status::conflict, 0},
      {"lost, then applied", {testing::kLostAnswer, kApplied}, Status::ok, 9},
      {"lost, though applied", {testing::kLostAnswer, kConflict, kOwnData}, Status::ok, 7},
      {"lost, though applied, read back late",
       {testing::kLostAnswer, kConflict, testing::kLostAnswer, kConflict, kOwnData},
       Status::ok,
       7},
      {"lost, and another was there",
       {testing::kLostAnswer, kConflict, kOtherData},
       Status::conflict,
       0},
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

TEST_F(KeyValueClientTest, CommitUntilCertainGivesUpWhenNoLongerWanted) {
  for (int i = 0; i < 1000; ++i) net.script.push_back(testing::kLostAnswer);
  EXPECT_EQ(commit_until_certain().status, Status::unknown);
}

// The moment at which the limits fall is not announced; a refusal shows it. As other things bring
// refusals too, the present limits are tried again, after longer each time.
TEST_F(KeyValueClientTest, RefusalLowersTheLimitsForAWhile) {
  settings.next_store_limits.write_rps = settings.store_limits.write_rps / 5;
  ScriptedStoreClient own_net;
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
      clock.run_until(clock.now() + 0.01);
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
  clock.run_until(clock.now() + settings.lease_s);
  writes_in(5);
  EXPECT_GT(static_cast<double>(writes_in(5)), 5 * present * 0.8) << "tried again";
  own_net.script.push_back({Outcome::answered, {429, "{}", 0}});
  writes_in(0.1);
  clock.run_until(clock.now() + settings.lease_s);
  writes_in(2);
  EXPECT_LE(static_cast<double>(writes_in(5)), 5 * next * 1.1) << "for longer than before";
}

TEST_F(KeyValueClientTest, KeepsToItsShareOfTheLimits) {
  client.set_share(0.5, 0.5);
  int answered = 0;
  int refused = 0;
  for (int i = 0; i < 500; ++i) {
    client.get("a", [&](Status status, Entry) {
      (status == Status::unavailable ? refused : answered) += 1;
    });
  }
  clock.run_until(2);
  EXPECT_LE(net.sent.size(), 100u);  // half of 100 a second: a burst, and one second more
  clock.run_until(20);
  EXPECT_GT(refused, 0);  // what would wait too long is refused rather than kept
  EXPECT_EQ(answered + refused, 500);
}

// Beside a backlog of small transactions a large one lost its place in the queue again and again:
// in an incident the records of a large job were held up for five minutes.
TEST_F(KeyValueClientTest, BacklogDoesNotStarveLargeTransactions) {
  client.set_share(0.2, 0.1);  // some 5 changes and 19 requests a second
  std::function<void()> small = [&] {
    Transaction txn;
    txn.writes.push_back({"small", {{"x", 1}}, std::nullopt});
    client.commit(txn, [](const CommitReply&) {});
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

// Records of low-priority work, of which a large array makes more than can be written, delay no
// other requests.
TEST_F(KeyValueClientTest, BulkRequestsGoLast) {
  client.set_share(0.5, 0.1);
  std::vector<std::string> order;
  const auto commit = [&](const std::string& what, RequestPriority priority) {
    Transaction txn;
    txn.writes.push_back({what, {{"x", 1}}, std::nullopt});
    client.commit(
        txn, [&order, what](const CommitReply&) { order.push_back(what); }, priority);
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

TEST_F(KeyValueClientTest, LeaseRenewalsDoNotWait) {
  for (int i = 0; i < 200; ++i) client.get("a", [](Status, Entry) {});
  const size_t before = net.sent.size();
  client.extend(7, [](Status) {});
  ASSERT_EQ(net.sent.size(), before + 1);
  EXPECT_EQ(net.sent.back().target, "/grants/7/extend");
}

TEST_F(KeyValueClientTest, ReportsHowLongRequestsHaveFailed) {
  EXPECT_FALSE(client.answered_ever());
  client.get("a", [](Status, Entry) {});
  EXPECT_TRUE(client.answered_ever());
  EXPECT_EQ(client.failing_for(), 0);
  net.script = {kUnavailable, testing::kLostAnswer};
  client.get("a", [](Status, Entry) {});
  clock.run_until(clock.now() + 3);
  client.get("a", [](Status, Entry) {});
  EXPECT_NEAR(client.failing_for(), 3, 0.1);
  EXPECT_TRUE(client.worth_trying());   // one probe
  EXPECT_FALSE(client.worth_trying());  // and none right after it
  client.get("a", [](Status, Entry) {});
  EXPECT_EQ(client.failing_for(), 0);
}

// Preconditions fail while the outcome is not known. Whether it was this transaction that changed
// the keys is seen from the key of its first write: unchanged, it may still hold the same data.
TEST_F(KeyValueClientTest, FailedPreconditionOnAnotherKeyIsNoSuccess) {
  const struct {
    const char* what;
    const char* failed;
    Status status;
  } cases[] = {
      {"its own key has changed, to its own data", R"({"failed":["a"]})", Status::ok},
      {"another one has", R"({"failed":["leader"]})", Status::conflict},
  };
  for (const auto& c : cases) {
    net.script = {testing::kLostAnswer,
                  {Outcome::answered, {409, c.failed, 0}},
                  {Outcome::answered, {200, R"({"k":"a","data":{"x":1},"mark":7})", 0}}};
    EXPECT_EQ(commit_until_certain().status, c.status) << c.what;
    net.script.clear();
  }
}

}  // namespace
}  // namespace larkroad::storage
