#include "coordination/scheduling/due_time_ranking.hpp"

#include <gtest/gtest.h>

#include <deque>

namespace larkroad::coordination {
namespace {

// Jobs of one team on an empty fleet, of whose capacity a tenth can be started each second.
class DueTimeRanking : public ::testing::Test {
 protected:
  DueTimeRanking() {
    capacity.fleet.finish(10);
    capacity.quotas["red"].finish(10);
  }
  QueueEntry& add(const std::string& id, double share, std::vector<Seconds> due_times) {
    Job& job = jobs.emplace_back();
    job.spec.id = id;
    job.spec.team = "red";
    QueueEntry& entry = entries.emplace_back();
    entry.job = &job;
    entry.fleet_share = share;
    entry.quota_share = share;
    entry.run_time = 10;
    entry.due_times = std::move(due_times);
    return entry;
  }
  void rank(Seconds now) {
    std::vector<QueueEntry*> pointers;
    for (QueueEntry& entry : entries) pointers.push_back(&entry);
    rank_by_due_times(pointers, now, capacity);
  }

  SharedCapacity capacity;
  std::deque<Job> jobs;
  std::deque<QueueEntry> entries;
};

TEST_F(DueTimeRanking, JobsThatCanStartInTimeShareTheFirstRank) {
  const QueueEntry& first = add("job-1", 0.5, {10});
  const QueueEntry& second = add("job-2", 0.5, {10});
  const QueueEntry& later = add("job-3", 0.5, {15});  // by then half the fleet is free again
  rank(0);
  for (const QueueEntry* entry : {&first, &second, &later}) {
    EXPECT_EQ(entry->rank, 1) << entry->job->id();
    EXPECT_EQ(entry->sort_time, entry->due_times[0]) << entry->job->id();
  }
}

TEST_F(DueTimeRanking, TheLargestJobIsRejectedAndMeetsItsNextDueTime) {
  const QueueEntry& small = add("job-1", 0.3, {10, 100});
  const QueueEntry& large = add("job-2", 0.6, {10, 100});
  const QueueEntry& other = add("job-3", 0.3, {10, 100});
  rank(0);
  EXPECT_EQ(small.rank, 1);
  EXPECT_EQ(other.rank, 1);
  EXPECT_EQ(large.rank, 2);
  EXPECT_EQ(large.sort_time, 100);
}

TEST_F(DueTimeRanking, JobsThatCanMeetNoDueTimeComeLastOrderedByWork) {
  const QueueEntry& on_time = add("job-1", 0.3, {100});
  const QueueEntry& late = add("job-2", 0.2, {40});
  rank(50);
  EXPECT_EQ(on_time.rank, 1);
  EXPECT_GT(late.rank, kNoDueTimeRank);
  EXPECT_DOUBLE_EQ(late.sort_time, 0.2 * 10);
}

// When a team's limit is exceeded, its own jobs are rejected, not larger jobs of another team.
TEST_F(DueTimeRanking, AnExceededQuotaRejectsOnlyJobsOfItsTeam) {
  QueueEntry& blue = add("job-1", 0.8, {10});
  blue.job->spec.team = "blue";
  capacity.quotas["blue"].finish(10);
  QueueEntry& red = add("job-2", 0.05, {10});
  red.quota_share = 0.6;
  QueueEntry& other = add("job-3", 0.05, {10});
  other.quota_share = 0.5;
  rank(0);
  EXPECT_EQ(blue.rank, 1);
  EXPECT_EQ(other.rank, 1);
  EXPECT_GT(red.rank, kNoDueTimeRank);
}

}  // namespace
}  // namespace larkroad::coordination
