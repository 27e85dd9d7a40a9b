/// Tests of the job cache with a scripted store.
#include "storage/job_cache.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "scripted_store.hpp"

namespace larkroad::storage {
namespace {

using testing::ScriptedReply;
using transport::Outcome;

constexpr const char* kListed =
    R"({"pairs":[{"k":"j/job-1","data":{},"mark":3},{"k":"j/job-2","data":{"cancelled":true},"mark":4}],)"
    R"("more":false,"ledger":5})";

class JobCacheTest : public testing::ScriptedStoreTest {
 protected:
  JobCacheTest() : cache(clock, client, settings) {}
  // Requests `count` refreshes at once and returns their results.
  std::vector<Status> refresh(int count) {
    std::vector<Status> results;
    for (int i = 0; i < count; ++i) {
      cache.refresh([&](Status status) { results.push_back(status); });
    }
    clock.run_until(clock.now() + 5);
    return results;
  }
  JobCache cache;
};

TEST_F(JobCacheTest, ManyQueriesShareOneRequest) {
  const struct {
    const char* description;
    ScriptedReply answer;
    const char* target;
    Status status;
    std::vector<std::pair<std::string, bool>> jobs;  // id and whether it is cancelled
  } cases[] = {
      {"first read of all jobs",
       {Outcome::answered, {200, kListed, 0}},
       "/store?starts=j/",
       Status::ok,
       {{"job-1", false}, {"job-2", true}}},
      {"later reads of changes only",
       {Outcome::answered,
        {200,
         R"({"ledger":9,"events":[{"write":"j/job-3","data":{},"mark":6},)"
         R"({"drop":"j/job-2","mark":7},{"write":"j/job-1","data":{"cancelled":true},"mark":9}]})",
         0}},
       "/watch?starts=j/&since=5&blockMs=0",
       Status::ok,
       {{"job-1", true}, {"job-3", false}}},
      {"no changes",
       {Outcome::answered, {200, R"({"ledger":12,"events":[]})", 0}},
       "/watch?starts=j/&since=9&blockMs=0",
       Status::ok,
       {{"job-1", true}, {"job-3", false}}},
      {"store unavailable",
       {Outcome::answered, {503, "{}", 0}},
       "/watch?starts=j/&since=12&blockMs=0",
       Status::unavailable,
       {{"job-1", true}, {"job-3", false}}},
      {"reply lost",
       testing::kLostReply,
       "/watch?starts=j/&since=12&blockMs=0",
       Status::unknown,
       {{"job-1", true}, {"job-3", false}}},
  };
  for (const auto& c : cases) {
    net.sent.clear();
    net.script = {c.answer};
    EXPECT_EQ(refresh(50), std::vector<Status>(50, c.status)) << c.description;
    ASSERT_EQ(net.sent.size(), 1u) << c.description;
    EXPECT_TRUE(net.sent[0].target.starts_with(c.target))
        << c.description << ": " << net.sent[0].target;
    for (const char* id : {"job-1", "job-2", "job-3"}) {
      const auto expected = std::find_if(c.jobs.begin(), c.jobs.end(),
                                         [&](const auto& item) { return item.first == id; });
      const auto* job = cache.find(id);
      ASSERT_EQ(job != nullptr, expected != c.jobs.end()) << c.description << ": " << id;
      if (job == nullptr) continue;
      EXPECT_EQ(job->cancelled, expected->second) << c.description << ": " << id;
    }
  }
}

TEST_F(JobCacheTest, ReadsAllJobsAgainWhenItsRevisionIsTooOld) {
  net.script = {{Outcome::answered, {200, kListed, 0}}};
  refresh(1);
  net.script = {{Outcome::answered, {410, "{}", 0}},
                {Outcome::answered, {200, R"({"pairs":[],"more":false,"ledger":40000})", 0}}};
  EXPECT_EQ(refresh(1), std::vector<Status>{Status::ok});
  EXPECT_EQ(cache.find("job-1"), nullptr);
}

// A request already in flight may have been executed before the query was made, so its reply may be
// too old.
TEST_F(JobCacheTest, QueryWaitsForARequestSentAfterIt) {
  std::vector<int> order;
  cache.refresh([&](Status) {
    order.push_back(1);
    cache.refresh([&](Status) { order.push_back(2); });
  });
  clock.run_until(clock.now() + 5);
  EXPECT_EQ(order, (std::vector<int>{1, 2}));
  EXPECT_EQ(net.sent.size(), 2u);
}

}  // namespace
}  // namespace larkroad::storage
