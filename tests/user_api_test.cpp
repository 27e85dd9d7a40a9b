/// The users' API of one controller, with scripted replies of the key-value store.
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
using testing::ScriptedReply;
using transport::Outcome;
using transport::Request;
using transport::Response;

ScriptedReply answer(int status, const Json& body) {
  return {Outcome::answered, {status, body.dump(), 0}};
}

ScriptedReply job_entry(bool cancelled, std::uint64_t revision) {
  const storage::JobRecord record{testing::spec("job-1", 3), 1, 16, cancelled};
  return answer(200, {{"k", "j/job-1"}, {"data", storage::encode(record)}, {"mark", revision}});
}

ScriptedReply finished_entry(bool cancelled) {
  return answer(200, {{"k", "d/job-1"},
                      {"data", storage::encode(storage::FinishedRecord{cancelled, 3})},
                      {"mark", 5}});
}

const ScriptedReply kRecordMissing = answer(404, {{"ledger", 9}});
const ScriptedReply kCommitSucceeded = answer(200, {{"ledger", 9}});
const ScriptedReply kCommitConflict = answer(409, {{"failed", {"j/job-1"}}, {"ledger", 9}});
const ScriptedReply kEmptyJobList = answer(200, {{"pairs", Json::array()}, {"ledger", 9}});

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

TEST_F(UserApiTest, RequestsThatNeedNoStoreAccess) {
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

TEST_F(UserApiTest, FinishedJobsAreReadFromTheStoreOnce) {
  net.script = {kEmptyJobList, finished_entry(false)};
  for (int i = 0; i < 3; ++i) {
    const Response response = request({"GET", "/v2/runs/job-1", ""});
    EXPECT_EQ(response.status, 200);
    const Json body = Json::parse(response.body);
    EXPECT_EQ(body["stage"], "done");
    EXPECT_EQ(body["done"], 3);
  }
  EXPECT_EQ(net.sent.size(), 2u);
}

TEST_F(UserApiTest, CancellationDependsOnTheJobRecord) {
  const struct {
    const char* what;
    std::deque<ScriptedReply> script;
    int status;
    const char* state;  // nullptr: no job in the response
    bool newly_cancelled;
  } cases[] = {
      {"active", {job_entry(false, 7), kCommitSucceeded}, 200, "withdrawn", true},
      {"concurrently cancelled",
       {job_entry(false, 7), kCommitConflict, job_entry(true, 8)},
       200,
       "withdrawn",
       false},
      {"concurrently updated",
       {job_entry(false, 7), kCommitConflict, job_entry(false, 8), kCommitSucceeded},
       200,
       "withdrawn",
       true},
      {"unknown", {kRecordMissing, kRecordMissing}, 404, nullptr, false},
      {"concurrently finished",
       {job_entry(false, 7), kCommitConflict, kRecordMissing, finished_entry(false)},
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

TEST_F(UserApiTest, UsersAreToldToRetryWhenTheStoreDoesNotAnswer) {
  const Request requests[] = {{"GET", "/v2/runs/job-1", ""},
                              {"POST", "/v2/runs/job-1/cancel", ""},
                              {"POST", "/v2/runs", R"({"ref":"job-1"})"}};
  for (const Request& user_request : requests) {
    net.script = {testing::kLostReply};
    const Response response = request(user_request);
    EXPECT_EQ(response.status, 503) << user_request.target;
    EXPECT_EQ(response.retry_after_s, 1) << user_request.target;
  }
}

// An accepted job stays accepted, whatever a repeated submission contains.
TEST_F(UserApiTest, MalformedSubmissionOfAnAcceptedJobReportsItsState) {
  net.script = {job_entry(false, 7)};
  EXPECT_EQ(request({"POST", "/v2/runs", R"({"ref":"job-1"})"}).status, 200);
  net.script = {kRecordMissing, kRecordMissing};
  EXPECT_EQ(request({"POST", "/v2/runs", R"({"ref":"job-1"})"}).status, 400);
}

}  // namespace
}  // namespace larkroad::coordination
