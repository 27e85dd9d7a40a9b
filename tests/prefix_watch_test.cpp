/// Tests of PrefixWatch with a scripted store: what it asks, and when.
#include "storage/prefix_watch.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "scripted_store.hpp"

namespace larkroad::storage {
namespace {

using testing::ScriptedReply;
using transport::Outcome;

constexpr Seconds kBlock = 5;
constexpr Seconds kRetryDelay = 0.5;

const ScriptedReply kRead{
    Outcome::answered,
    {200, R"({"pairs":[{"k":"a/1","data":{},"mark":3}],"more":false,"ledger":40000})", 0}};
const ScriptedReply kChanged{
    Outcome::answered,
    {200, R"({"ledger":40002,"events":[{"write":"a/2","data":{},"mark":40001}]})", 0}};
const ScriptedReply kUnchanged{Outcome::answered, {200, R"({"ledger":40005,"events":[]})", 0}};
const ScriptedReply kTooOld{Outcome::answered, {410, "{}", 0}};
const ScriptedReply kUnavailable{Outcome::answered, {503, "{}", 0}};
const ScriptedReply kTooManyRequests{Outcome::answered, {429, "{}", 0}};

constexpr const char* kList = "/store?starts=a/&limit=1000";

std::string watch_after(int revision) {
  return "/watch?starts=a/&since=" + std::to_string(revision) + "&blockMs=5000";
}

class PrefixWatchTest : public testing::ScriptedStoreTest {
 protected:
  PrefixWatchTest()
      : watch(clock, client, {"a/", kBlock, kRetryDelay},
              {[this](const ListReply& reply) { read += reply.entries.size(); },
               [this](const WatchReply& reply, Seconds) { events += reply.events.size(); },
               [this](std::uint64_t revision) { lost_after = revision; }}) {}

  std::vector<std::string> targets() const {
    std::vector<std::string> targets;
    for (const auto& request : net.sent) targets.push_back(request.target);
    return targets;
  }

  size_t read = 0;
  size_t events = 0;
  std::optional<std::uint64_t> lost_after;
  PrefixWatch watch;
};

// Guards against a watch that starts at the revision of a key, which the store may no longer
// retain.
TEST_F(PrefixWatchTest, StartsAtTheRevisionOfTheStore) {
  net.script = {kRead, kChanged, kTooManyRequests};
  watch.start();
  EXPECT_EQ(targets(), (std::vector<std::string>{kList, watch_after(40000), watch_after(40002)}));
  EXPECT_EQ(read, 1u);
  EXPECT_EQ(events, 1u);
}

// Guards against requests without a pause, which use up the limits that users' requests need.
TEST_F(PrefixWatchTest, PausesAfterEachReplyThatBringsNothing) {
  for (const auto& reply :
       {kUnchanged, kTooOld, kUnavailable, kTooManyRequests, testing::kLostReply}) {
    for (const bool reads_by_itself : {true, false}) {
      net.sent.clear();
      net.script.clear();
      lost_after.reset();
      for (int i = 0; i < 1000; ++i) {
        if (reads_by_itself) net.script.push_back(kRead);
        net.script.push_back(reply);
      }
      if (reads_by_itself) {
        watch.start();
      } else {
        watch.start_after(39000);
      }
      clock.run_for(10 * kRetryDelay);
      EXPECT_LE(net.sent.size(), 22u) << reply.second.status;
      EXPECT_EQ(lost_after.has_value(), !reads_by_itself && reply.second.status == 410);
      watch.stop();
    }
  }
}

TEST_F(PrefixWatchTest, ResumesWhereItWasWhenItsCallerReads) {
  net.script = {kUnavailable, kChanged, kTooOld};
  watch.start_after(39000);
  clock.run_for(2 * kRetryDelay);
  EXPECT_EQ(targets(),
            (std::vector<std::string>{watch_after(39000), watch_after(39000), watch_after(40002)}));
  EXPECT_EQ(lost_after, 40002u);
}

TEST_F(PrefixWatchTest, AsksNothingOnceStopped) {
  net.script = {kRead, kUnavailable};
  watch.start();
  watch.stop();
  clock.run_for(10 * kRetryDelay);
  EXPECT_EQ(net.sent.size(), 2u);
}

}  // namespace
}  // namespace larkroad::storage
