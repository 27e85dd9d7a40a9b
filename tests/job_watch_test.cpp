// Tests JobWatch in isolation; the test answers in place of the key-value store.
#include "coordination/recovery/job_watch.hpp"

#include <gtest/gtest.h>

#include <deque>

#include "support.hpp"

namespace larkroad::coordination {
namespace {

using transport::Outcome;
using transport::Request;

// A clock that stands still; its timers never fire.
class StoppedClock : public transport::Clock {
 public:
  Seconds now() const override { return 1000; }
  Seconds unix_time() const override { return 1000; }
  transport::TimerId after(Seconds, std::function<void()>) override { return ++last_timer_; }
  void cancel(transport::TimerId) override {}

 private:
  transport::TimerId last_timer_ = 0;
};

class RecordingClient : public transport::Client {
 public:
  void call(const std::string&, Request request, Seconds, transport::OnReply reply) override {
    requests.push_back(std::move(request));
    replies.push_back(std::move(reply));
  }

  std::vector<Request> requests;
  std::deque<transport::OnReply> replies;
};

class RecordingLeadership : public Leadership {
 public:
  bool is_leader() const override { return true; }
  std::uint64_t fencing_token() const override { return 7; }
  void confirm_job_view(Seconds) override {}
  Seconds job_view_interval() const override { return 1; }
  Seconds grace_period() const override { return 0; }
  void resign(const std::string& reason) override { resign_reason = reason; }

  std::string resign_reason;
};

class JobWatchTest : public ::testing::Test {
 protected:
  JobWatchTest()
      : settings_(testing::settings()),
        store_(clock_, client_, settings_),
        cluster_(settings_),
        watch_(clock_, store_, leadership_, settings_, cluster_,
               {[this](Job& job) {
                  job.cancelled = true;
                  cancelled_.push_back(job.id());
                },
                [this](Job& job) { persisted_.push_back(job.id()); },
                [this] { ++requested_cycles_; }}) {
    watch_.begin_term();
  }

  static storage::Json record(bool cancelled = false) {
    return storage::encode(storage::JobRecord{testing::spec("job-1"), 0, 64, cancelled});
  }

  StoppedClock clock_;
  RecordingClient client_;
  Settings settings_;
  storage::KeyValueClient store_;
  ClusterState cluster_;
  RecordingLeadership leadership_;
  std::vector<std::string> cancelled_;
  std::vector<std::string> persisted_;
  int requested_cycles_ = 0;
  JobWatch watch_;
};

TEST_F(JobWatchTest, AddsJobsWithoutCallbacksUntilTheStateIsRecovered) {
  watch_.apply("job-1", record(true), 5);
  ASSERT_NE(cluster_.job("job-1"), nullptr);
  EXPECT_TRUE(cluster_.job("job-1")->cancelled);
  EXPECT_TRUE(cancelled_.empty());
  EXPECT_EQ(requested_cycles_, 0);
}

TEST_F(JobWatchTest, RequestsACycleForANewJobAndAppliesACancellation) {
  watch_.set_recovered();
  watch_.apply("job-1", record(), 5);
  EXPECT_EQ(requested_cycles_, 1);
  watch_.apply("job-1", record(true), 6);
  EXPECT_EQ(cancelled_, std::vector<std::string>{"job-1"});
  EXPECT_EQ(cluster_.job("job-1")->revision, 6u);
}

TEST_F(JobWatchTest, IgnoresARecordOlderThanTheKnownOne) {
  watch_.set_recovered();
  watch_.apply("job-1", record(), 6);
  watch_.apply("job-1", record(true), 5);
  EXPECT_TRUE(cancelled_.empty());
  EXPECT_EQ(cluster_.job("job-1")->revision, 6u);
}

// The watch may lag behind the writes of this leader.
TEST_F(JobWatchTest, DoesNotAddAFinishedJobAgain) {
  watch_.set_recovered();
  watch_.job_finished("job-1", 8);
  watch_.apply("job-1", record(), 5);
  EXPECT_EQ(cluster_.job("job-1"), nullptr);
  watch_.apply("job-1", record(), 9);
  EXPECT_NE(cluster_.job("job-1"), nullptr) << "job resubmitted under the same id was ignored";
}

TEST_F(JobWatchTest, SkipsAnInvalidRecord) {
  watch_.set_recovered();
  watch_.apply("job-1", storage::Json::object(), 5);
  EXPECT_EQ(cluster_.job("job-1"), nullptr);
  EXPECT_EQ(leadership_.resign_reason, "");
}

TEST_F(JobWatchTest, RevertsAPeersCancellationThatTheRecordDoesNotContain) {
  EXPECT_FALSE(watch_.apply_peer_cancellation("job-1"));
  watch_.set_recovered();
  watch_.apply("job-1", record(), 5);
  EXPECT_TRUE(watch_.apply_peer_cancellation("job-1"));
  EXPECT_EQ(cancelled_, std::vector<std::string>{"job-1"});
  Job& job = *cluster_.job("job-1");
  EXPECT_TRUE(job.cancelled_by_peer);
  job.write_in_flight = true;
  watch_.refresh("job-1");
  ASSERT_EQ(client_.replies.size(), 1u);
  const storage::Json entry{{"k", "j/job-1"}, {"data", record()}, {"mark", 5}};
  client_.replies[0](Outcome::answered, {200, entry.dump()});
  EXPECT_FALSE(job.write_in_flight);
  EXPECT_FALSE(job.cancelled);
  EXPECT_EQ(persisted_, std::vector<std::string>{"job-1"});
}

TEST_F(JobWatchTest, ResignsWhenTheRecordIsMissing) {
  watch_.set_recovered();
  watch_.apply("job-1", record(), 5);
  watch_.refresh("job-1");
  ASSERT_EQ(client_.replies.size(), 1u);
  client_.replies[0](Outcome::answered, {404, "{}"});
  EXPECT_NE(leadership_.resign_reason, "");
}

TEST_F(JobWatchTest, IgnoresRepliesOfAnEarlierTerm) {
  watch_.set_recovered();
  watch_.apply("job-1", record(), 5);
  watch_.refresh("job-1");
  ASSERT_EQ(client_.replies.size(), 1u);
  watch_.end_term();
  client_.replies[0](Outcome::answered, {404, "{}"});
  EXPECT_EQ(leadership_.resign_reason, "");
}

}  // namespace
}  // namespace larkroad::coordination
