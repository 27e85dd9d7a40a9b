// CloudReconciler in isolation; the tests answer its calls to the cloud.
#include "coordination/scaling/cloud_reconciler.hpp"

#include <gtest/gtest.h>

#include <deque>

#include "fakes/manual_clock.hpp"
#include "support.hpp"

namespace larkroad::coordination {
namespace {

using transport::Outcome;
using transport::Request;

// Records each call for the test to answer; catalog calls are answered immediately.
class RecordingClient : public transport::Client {
 public:
  struct Call {
    Request request;
    transport::OnReply reply;
  };

  void call(const std::string& /*endpoint*/, Request request, Seconds /*timeout*/,
            transport::OnReply reply) override {
    if (request.target == protocol::kCatalogPath) {
      reply(Outcome::answered, {200, protocol::encode_catalog(testing::types())});
      return;
    }
    calls.push_back({std::move(request), std::move(reply)});
  }

  std::vector<Call> sent_to(const std::string& target) const {
    std::vector<Call> found;
    for (const auto& call : calls) {
      if (call.request.target == target) found.push_back(call);
    }
    return found;
  }

  std::deque<Call> calls;
};

class FixedLeadership : public Leadership {
 public:
  bool is_leader() const override { return leading; }
  std::uint64_t fencing_token() const override { return 7; }
  void confirm_job_view(Seconds /*sent_at*/) override {}
  Seconds job_view_interval() const override { return 1; }
  Seconds grace_period() const override { return 0; }
  void resign(const std::string& /*reason*/) override {}

  bool leading = true;
};

class CloudReconcilerTest : public ::testing::Test {
 protected:
  CloudReconcilerTest()
      : settings_(testing::settings()),
        store_(clock_, client_, settings_),
        catalog_(clock_, client_, store_, settings_),
        cluster_(settings_),
        reconciler_(
            clock_, client_, leadership_, settings_, catalog_, cluster_, removed_, activity_,
            {[this](Machine& machine) { inspected_.push_back(machine.name); },
             [this](Machine& machine, const std::string&) { tasks_lost_.push_back(machine.name); },
             [this](const std::string& machine) { removed_names_.push_back(machine); }}) {
    cluster_.set_types(testing::types());
    catalog_.refresh();
    reconciler_.begin_term();
    reconciler_.start(clock_.now());
  }

  static std::string list_response(const std::vector<std::string>& names,
                                   const std::string& stage) {
    protocol::Json machines = protocol::Json::array();
    for (const auto& name : names) {
      machines.push_back({{"ref", name},
                          {"address", "10.0.0.1:1"},
                          {"breed", "small"},
                          {"yard", "east"},
                          {"loaners", false},
                          {"stage", stage},
                          {"ageS", 1.0}});
    }
    return protocol::Json{{"perches", machines}}.dump();
  }

  // Answers the latest list call; `start` has sent the first one.
  void answer_list(const std::vector<std::string>& names, const std::string& stage = "running") {
    const auto lists = client_.sent_to(protocol::machine_list_target(""));
    ASSERT_FALSE(lists.empty());
    lists.back().reply(Outcome::answered, {200, list_response(names, stage)});
  }

  // Answers the first list call and lets the time pass in which machines of an earlier leader may
  // report, as the first scaling round requires.
  void pass_startup_delay() {
    answer_list({});
    clock_.run_for(settings_.heartbeat_interval_s * 1.5);
  }

  std::vector<RecordingClient::Call> rentals() const {
    return client_.sent_to(protocol::kRentalsPath);
  }
  std::vector<RecordingClient::Call> releases() const {
    return client_.sent_to(protocol::kReturnPath);
  }

  testing::ManualClock clock_{1000, 0};
  RecordingClient client_;
  Settings settings_;
  storage::KeyValueClient store_;
  MachineCatalog catalog_;
  ClusterState cluster_;
  FixedLeadership leadership_;
  RemovedMachines removed_;
  LeaderActivity activity_;
  std::vector<std::string> inspected_;
  std::vector<std::string> tasks_lost_;
  std::vector<std::string> removed_names_;
  CloudReconciler reconciler_;
};

TEST_F(CloudReconcilerTest, RequestsNothingBeforeListAndEarlierMachinesAreKnown) {
  testing::add_job(cluster_, testing::spec("job-1"));
  reconciler_.run_scaling_round();
  EXPECT_TRUE(rentals().empty());
  answer_list({});
  EXPECT_TRUE(reconciler_.has_complete_list());
  reconciler_.run_scaling_round();
  EXPECT_TRUE(rentals().empty());
  clock_.run_for(settings_.heartbeat_interval_s * 1.5);
  leadership_.leading = false;
  reconciler_.run_scaling_round();
  EXPECT_TRUE(rentals().empty());
  leadership_.leading = true;
  reconciler_.run_scaling_round();
  EXPECT_EQ(rentals().size(), 1u);
}

TEST_F(CloudReconcilerTest, CountsPendingRentalsAndAddsGrantedMachines) {
  testing::add_job(cluster_, testing::spec("job-1"));
  pass_startup_delay();
  reconciler_.run_scaling_round();
  reconciler_.run_scaling_round();
  ASSERT_EQ(rentals().size(), 1u) << "a pending rental was requested twice";
  rentals()[0].reply(Outcome::answered, {200, R"({"perches":["i-1"]})"});
  const Machine* machine = cluster_.find_machine("i-1");
  ASSERT_NE(machine, nullptr);
  EXPECT_EQ(machine->type, "small");
  EXPECT_TRUE(machine->identity_confirmed);
  reconciler_.run_scaling_round();
  EXPECT_EQ(rentals().size(), 1u);
}

// The cloud carries out a request id only once, so an unanswered request can be retried safely.
TEST_F(CloudReconcilerTest, RetriesAnUnansweredRentalUnderTheSameId) {
  testing::add_job(cluster_, testing::spec("job-1"));
  pass_startup_delay();
  reconciler_.run_scaling_round();
  ASSERT_EQ(rentals().size(), 1u);
  rentals()[0].reply(Outcome::unknown, {});
  clock_.run_for(settings_.heartbeat_interval_s);
  ASSERT_EQ(rentals().size(), 2u);
  EXPECT_EQ(rentals()[0].request.body, rentals()[1].request.body);
  EXPECT_NE(rentals()[0].request.body.find("\"r-7-1\""), std::string::npos);
}

TEST_F(CloudReconcilerTest, BacksOffFromARefusedMarket) {
  testing::add_job(cluster_, testing::spec("job-1"));
  pass_startup_delay();
  reconciler_.run_scaling_round();
  ASSERT_EQ(rentals().size(), 1u);
  const std::string refused = rentals()[0].request.body;
  rentals()[0].reply(Outcome::answered, {503, R"({"error":"no capacity"})"});
  reconciler_.run_scaling_round();
  for (size_t i = 1; i < rentals().size(); ++i) {
    const auto later = protocol::Json::parse(rentals()[i].request.body);
    const auto before = protocol::Json::parse(refused);
    EXPECT_FALSE(later["breed"] == before["breed"] && later["yard"] == before["yard"])
        << "a market that refused a request was asked again without a delay";
  }
}

TEST_F(CloudReconcilerTest, ReleasesAFailedMachineAndRemovesItWhenConfirmed) {
  answer_list({"i-1"}, "failed");
  EXPECT_EQ(tasks_lost_, std::vector<std::string>{"i-1"});
  ASSERT_EQ(releases().size(), 1u);
  EXPECT_NE(cluster_.find_machine("i-1"), nullptr);
  releases()[0].reply(Outcome::unknown, {});
  clock_.run_for(settings_.heartbeat_interval_s);
  ASSERT_EQ(releases().size(), 2u) << "an unanswered release was not retried";
  releases()[1].reply(Outcome::answered, {200, "{}"});
  EXPECT_EQ(cluster_.find_machine("i-1"), nullptr);
  EXPECT_TRUE(removed_.contains("i-1"));
  EXPECT_EQ(removed_names_, std::vector<std::string>{"i-1"});
}

// The cloud's list lags, so it may still contain a machine that has been removed.
TEST_F(CloudReconcilerTest, DoesNotAddARemovedMachineFromAStaleList) {
  answer_list({"i-1"}, "failed");
  ASSERT_EQ(releases().size(), 1u);
  releases()[0].reply(Outcome::answered, {200, "{}"});
  clock_.run_for(settings_.list_lag_s / 2);
  answer_list({"i-1"}, "running");
  EXPECT_EQ(cluster_.find_machine("i-1"), nullptr);
}

TEST_F(CloudReconcilerTest, InspectsListedMachinesThatHaveNotReported) {
  testing::add_machine(cluster_, "i-1", "small");
  answer_list({"i-1", "i-2"});
  EXPECT_EQ(inspected_, std::vector<std::string>{"i-2"});
}

// A list may be two lags old, so its lack of a machine that was seen later than that proves
// nothing.
TEST_F(CloudReconcilerTest, RemovesAMissingMachineAfterTheListLag) {
  answer_list({"i-1"});
  clock_.run_for(settings_.list_lag_s);
  answer_list({});
  EXPECT_NE(cluster_.find_machine("i-1"), nullptr);
  clock_.run_for(2 * settings_.list_lag_s + settings_.heartbeat_interval_s);
  answer_list({});  // answers a call that was sent at the beginning of that time
  EXPECT_NE(cluster_.find_machine("i-1"), nullptr);
  clock_.run_for(settings_.list_lag_s);
  answer_list({});
  EXPECT_EQ(cluster_.find_machine("i-1"), nullptr);
  EXPECT_EQ(removed_names_, std::vector<std::string>{"i-1"});
}

TEST_F(CloudReconcilerTest, ReleasesRequestedMachinesOnlyOnce) {
  for (const char* name : {"i-1", "i-2", "i-3"}) testing::add_machine(cluster_, name, "small");
  reconciler_.release_machines({"i-1", "i-3", "i-9"});
  EXPECT_EQ(releases().size(), 1u);
  EXPECT_TRUE(cluster_.machine("i-1").being_released);
  EXPECT_FALSE(cluster_.machine("i-2").being_released);
  EXPECT_TRUE(cluster_.machine("i-3").being_released);
  reconciler_.release_machines({"i-1", "i-3"});
  EXPECT_EQ(releases().size(), 1u);
}

TEST_F(CloudReconcilerTest, IgnoresResponsesOfAnEarlierTerm) {
  testing::add_job(cluster_, testing::spec("job-1"));
  pass_startup_delay();
  reconciler_.run_scaling_round();
  ASSERT_EQ(rentals().size(), 1u);
  reconciler_.end_term();
  rentals()[0].reply(Outcome::answered, {200, R"({"perches":["i-1"]})"});
  EXPECT_EQ(cluster_.find_machine("i-1"), nullptr);
}

}  // namespace
}  // namespace larkroad::coordination
