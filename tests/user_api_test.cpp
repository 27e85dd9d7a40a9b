/// Users' requests to one controller, against a scripted key-value store.
#include "coordination/api/user_api.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "scripted_store.hpp"
#include "storage/records.hpp"

namespace larkroad::coordination {
namespace {

using protocol::Json;
using testing::ScriptedAnswer;
using transport::Outcome;
using transport::Request;
using transport::Response;

ScriptedAnswer answer(int status, const Json& body) {
  return {Outcome::answered, {status, body.dump(), 0}};
}

ScriptedAnswer job_entry(bool cancelled, std::uint64_t revision) {
  const storage::JobRecord record{testing::spec("job-1", 3), 1, 16, cancelled};
  return answer(200, {{"k", "j/job-1"}, {"data", storage::encode(record)}, {"mark", revision}});
}

ScriptedAnswer finished_entry(bool cancelled) {
  return answer(200, {{"k", "d/job-1"},
                      {"data", storage::encode(storage::FinishedRecord{cancelled, 3})},
                      {"mark", 5}});
}

const ScriptedAnswer kMissing = answer(404, {{"ledger", 9}});
const ScriptedAnswer kCommitted = answer(200, {{"ledger", 9}});
const ScriptedAnswer kConflict = answer(409, {{"failed", {"j/job-1"}}, {"ledger", 9}});
const ScriptedAnswer kNoJobs = answer(200, {{"pairs", Json::array()}, {"ledger", 9}});

class UserApiTest : public testing::ScriptedStoreTest {
 protected:
  UserApiTest() : catalog(clock, net, client, settings), api(clock, client, catalog, settings) {
    api.on_cancelled = [this](const std::string& id) { cancelled.push_back(id); };
  }

  Response request(const Request& request) {
    std::optional<Response> got;
    api.handle(request, [&](const Response& response) { got = response; });
    clock.run_until(clock.now() + 5);
    return got.value();
  }

  MachineCatalog catalog;
  UserApi api;
  std::vector<std::string> cancelled;
};

TEST_F(UserApiTest, RequestsThatNeedNoJob) {
  const struct {
    Request request;
    int status;
  } cases[] = {
      {{"GET", "/nowhere", ""}, 404},          {{"DELETE", "/v2/runs/job-1", ""}, 405},
      {{"GET", "/healthz", ""}, 200},          {{"GET", "/v2/runs/not-an-id", ""}, 404},
      {{"POST", "/v2/runs", "not JSON"}, 400},
  };
  for (const auto& c : cases) {
    EXPECT_EQ(request(c.request).status, c.status) << c.request.target;
  }
  EXPECT_TRUE(net.sent.empty());
  api.healthy = [] { return false; };
  EXPECT_EQ(request({"GET", "/healthz", ""}).status, 503);
}

TEST_F(UserApiTest, FinishedJobsAreReadOnce) {
  net.script = {kNoJobs, finished_entry(false)};
  for (int i = 0; i < 3; ++i) {
    const Response response = request({"GET", "/v2/runs/job-1", ""});
    EXPECT_EQ(response.status, 200);
    const Json body = Json::parse(response.body);
    EXPECT_EQ(body["stage"], "done");
    EXPECT_EQ(body["done"], 3);
  }
  EXPECT_EQ(net.sent.size(), 2u);
}

TEST_F(UserApiTest, CancellationFollowsTheRecord) {
  const struct {
    const char* what;
    std::deque<ScriptedAnswer> script;
    int status;
    const char* state;  // nullptr: no job in the response
    bool newly_cancelled;
  } cases[] = {
      {"active", {job_entry(false, 7), kCommitted}, 200, "withdrawn", true},
      {"changed meanwhile, to cancelled",
       {job_entry(false, 7), kConflict, job_entry(true, 8)},
       200,
       "withdrawn",
       false},
      {"changed meanwhile, to another revision",
       {job_entry(false, 7), kConflict, job_entry(false, 8), kCommitted},
       200,
       "withdrawn",
       true},
      {"unknown", {kMissing, kMissing}, 404, nullptr, false},
      {"done meanwhile",
       {job_entry(false, 7), kConflict, kMissing, finished_entry(false)},
       200,
       "done",
       false},
  };
  for (const auto& c : cases) {
    SCOPED_TRACE(c.what);
    cancelled.clear();
    net.script = c.script;
    const Response response = request({"POST", "/v2/runs/job-1/cancel", ""});
    EXPECT_EQ(response.status, c.status);
    if (c.state != nullptr) {
      EXPECT_EQ(Json::parse(response.body)["stage"], c.state);
    }
    EXPECT_EQ(cancelled.size(), c.newly_cancelled ? 1u : 0u);
    EXPECT_TRUE(net.script.empty());
  }
}

TEST_F(UserApiTest, UsersAreAskedToRetryWhenTheStoreDoesNotAnswer) {
  const Request requests[] = {{"GET", "/v2/runs/job-1", ""},
                              {"POST", "/v2/runs/job-1/cancel", ""},
                              {"POST", "/v2/runs", R"({"ref":"job-1"})"}};
  for (const Request& request_of_user : requests) {
    net.script = {testing::kLostAnswer};
    const Response response = request(request_of_user);
    EXPECT_EQ(response.status, 503) << request_of_user.target;
    EXPECT_EQ(response.retry_after_s, 1) << request_of_user.target;
  }
}

// A job that was accepted stays accepted, whatever a repeated submission says.
TEST_F(UserApiTest, MalformedSubmissionOfAnAcceptedJobReportsItsState) {
  net.script = {job_entry(false, 7)};
  EXPECT_EQ(request({"POST", "/v2/runs", R"({"ref":"job-1"})"}).status, 200);
  net.script = {kMissing, kMissing};
  EXPECT_EQ(request({"POST", "/v2/runs", R"({"ref":"job-1"})"}).status, 400);
}

}  // namespace
}  // namespace larkroad::coordination
