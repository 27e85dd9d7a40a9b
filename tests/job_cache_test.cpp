/// The cache of jobs against a scripted store.
#include "storage/job_cache.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "scripted_store.hpp"

namespace larkroad::storage {
namespace {

using testing::ScriptedAnswer;
using transport::Outcome;

constexpr const char* kListed =
    R"({"pairs":[{"k":"j/job-1","data":{},"mark":3},{"k":"j/job-2","data":{"cancelled":true},"mark":4}],)"
    R"("more":false,"ledger":5})";

class JobCacheTest : public testing::ScriptedStoreTest {
 protected:
  JobCacheTest() : cache(clock, client, settings) {}
  // The results of so many refreshes at once.
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

TEST_F(JobCacheTest, FollowsTheRecordsWithOneRequestForManyQueries) {
  const struct {
    const char* what;
    ScriptedAnswer answer;
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
       testing::kLostAnswer,
       "/watch?starts=j/&since=12&blockMs=0",
       Status::unknown,
       {{"job-1", true}, {"job-3", false}}},
  };
  for (const auto& c : cases) {
    net.sent.clear();
    net.script = {c.answer};
    EXPECT_EQ(refresh(50), std::vector<Status>(50, c.status)) << c.what;
    ASSERT_EQ(net.sent.size(), 1u) << c.what;
    EXPECT_TRUE(net.sent[0].target.starts_with(c.target)) << c.what << ": " << net.sent[0].target;
    for (const char* id : {"job-1", "job-2", "job-3"}) {
      const auto wanted = std::find_if(c.jobs.begin(), c.jobs.end(),
                                       [&](const auto& item) { return item.first == id; });
      const auto* job = cache.find(id);
      ASSERT_EQ(job != nullptr, wanted != c.jobs.end()) << c.what << ": " << id;
      if (job == nullptr) continue;
      EXPECT_EQ(job->cancelled, wanted->second) << c.what << ": " << id;
    }
  }
}

TEST_F(JobCacheTest, IsReadAgainWhenItHasFallenBehind) {
  net.script = {{Outcome::answered, {200, kListed, 0}}};
  refresh(1);
  net.script = {{Outcome::answered, {410, "{}", 0}},
                {Outcome::answered, {200, R"({"pairs":[],"more":false,"ledger":40000})", 0}}};
  EXPECT_EQ(refresh(1), std::vector<Status>{Status::ok});
  EXPECT_EQ(cache.find("job-1"), nullptr);
}

// A request that is under way may have been carried out before the query was made.
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
