/// Tests of the wire format of user, worker and cloud messages.
#include <gtest/gtest.h>

#include "coordination/api/user_api.hpp"
#include "protocol/cloud_messages.hpp"
#include "protocol/job_messages.hpp"
#include "protocol/job_spec_record.hpp"
#include "protocol/relay_messages.hpp"
#include "protocol/user_routes.hpp"
#include "protocol/worker_messages.hpp"
#include "support.hpp"

namespace larkroad::protocol {
namespace {

Json submission() {
  return Json::parse(R"({"ref":"job-000412","lane":"train","crew":"red","shape":"gang",
    "rank":"urgent","legs":4,"cores":2.0,"accelerators":1.0,"memGb":8.0,"cargo":"img-07",
    "pullGb":6.2,"breeds":["gpu"],"yard":null,"samePlace":true,"apart":false,"loaners":true,
    "expectS":240.0,"waypointS":30.0,"stowS":4.0,"dueS":900.0})");
}

TEST(Submission, ReadsEveryField) {
  const JobSpec spec = parse_submission(submission());
  EXPECT_EQ(spec.id, "job-000412");
  EXPECT_TRUE(spec.is_gang());
  EXPECT_EQ(spec.priority, Priority::high);
  EXPECT_EQ(spec.tasks, 4u);
  EXPECT_DOUBLE_EQ(spec.image_gb, 6.2);
  ASSERT_TRUE(spec.types);
  EXPECT_EQ(*spec.types, std::vector<std::string>{"gpu"});
  EXPECT_FALSE(spec.zone);
  EXPECT_TRUE(spec.one_zone);
  EXPECT_DOUBLE_EQ(*spec.deadline_s, 900);
}

TEST(Submission, RecordRoundTrips) {
  const JobSpec spec = parse_submission(submission());
  EXPECT_EQ(encode_spec(decode_spec(spec.id, encode_spec(spec))), encode_spec(spec));
}

TEST(Submission, OptionalFieldsMayBeNullOrOmitted) {
  for (const char* key : {"breeds", "yard", "dueS"}) {
    Json json = submission();
    json[key] = nullptr;
    EXPECT_NO_THROW(parse_submission(json)) << key;
    json.erase(key);
    EXPECT_NO_THROW(parse_submission(json)) << key;
  }
  Json json = submission();
  json["unknown"] = {{"nested", 1}};
  EXPECT_NO_THROW(parse_submission(json));
}

TEST(Submission, AllOtherFieldsAreRequired) {
  const Json complete = submission();
  for (const auto& [key, value] : complete.items()) {
    if (key == "breeds" || key == "yard" || key == "dueS") continue;
    Json json = submission();
    json.erase(key);
    EXPECT_THROW(parse_submission(json), Malformed) << key;
    json[key] = nullptr;
    EXPECT_THROW(parse_submission(json), Malformed) << key;
  }
}

TEST(Submission, RejectsInvalidValues) {
  const struct {
    const char* key;
    const char* value;
  } cases[] = {
      {"ref", "\"000412\""}, {"ref", "\"job-\""},    {"ref", "\"job-12x\""},  {"ref", "12"},
      {"lane", "\"\""},      {"lane", "7"},          {"crew", "[]"},          {"shape", "\"ring\""},
      {"rank", "\"high\""},  {"legs", "0"},          {"legs", "-1"},          {"legs", "100001"},
      {"legs", "4.0"},       {"legs", "\"4\""},      {"cores", "0"},          {"cores", "-2.0"},
      {"cores", "\"2\""},    {"accelerators", "-1"}, {"memGb", "true"},       {"breeds", "[]"},
      {"breeds", "[1]"},     {"breeds", "\"gpu\""},  {"yard", "\"\""},        {"yard", "1"},
      {"samePlace", "1"},    {"apart", "\"no\""},    {"apart", "true"},       {"loaners", "0"},
      {"cargo", "\"\""},     {"pullGb", "-0.1"},     {"expectS", "\"long\""}, {"waypointS", "-1"},
      {"stowS", "[]"},       {"dueS", "-5"},         {"dueS", "\"soon\""},
  };
  for (const auto& c : cases) {
    Json json = submission();
    json[c.key] = Json::parse(c.value);
    EXPECT_THROW(parse_submission(json), Malformed) << c.key << " = " << c.value;
  }
}

TEST(Submission, RejectsBodiesThatAreNotObjects) {
  for (const char* body : {"", "{", "[]", "7", "null", R"({"ref":1,"ref":2})", "{} trailing"}) {
    EXPECT_THROW(parse_object(body), Malformed) << body;
  }
}

TEST(Submission, ErrorNamesTheField) {
  const struct {
    const char* key;
    const char* value;
    const char* what;
  } cases[] = {
      {"ref", "\"000412\"", "ref is not a job id"},
      {"lane", "\"\"", "lane has an impossible length"},
      {"shape", "\"ring\"", "shape is unknown"},
      {"rank", "\"high\"", "rank is unknown"},
      {"legs", "0", "legs is out of range"},
      {"legs", "4.0", "legs must be a whole number"},
      {"breeds", "[1]", "breeds must be a list of strings"},
      {"breeds", "[]", "breeds must not be empty"},
      {"samePlace", "null", "samePlace is missing"},
      {"dueS", "-5", "dueS is out of range"},
  };
  for (const auto& c : cases) {
    Json json = submission();
    json[c.key] = Json::parse(c.value);
    try {
      parse_submission(json);
      ADD_FAILURE() << c.key << " = " << c.value;
    } catch (const Malformed& error) {
      EXPECT_EQ(error.field(), c.key);
      EXPECT_STREQ(error.what(), c.what);
    }
  }
}

TEST(Submission, ContradictoryZoneConstraintsNameBothFields) {
  Json json = submission();
  json["apart"] = true;
  try {
    parse_submission(json);
    ADD_FAILURE();
  } catch (const Malformed& error) {
    EXPECT_STREQ(error.what(), "samePlace and apart contradict each other");
  }
}

TEST(Submission, DetectsJobsThatCanNeverRun) {
  Settings settings = testing::settings();
  settings.teams.push_back({"guests", 0, kNoLimit, 0, kNoLimit});
  const auto types = testing::types();
  const struct {
    const char* what;
    void (*change)(JobSpec&);
    bool runnable;
  } cases[] = {
      {"default job", [](JobSpec&) {}, true},
      {"unknown team", [](JobSpec& s) { s.team = "green"; }, false},
      {"too large for any machine", [](JobSpec& s) { s.cpus = 17; }, false},
      {"too much memory", [](JobSpec& s) { s.memory_gb = 65; }, false},
      {"unknown machine type", [](JobSpec& s) { s.types = {{"huge"}}; }, false},
      {"fits only a machine type that is not allowed",
       [](JobSpec& s) {
         s.cpus = 8;
         s.types = {{"small"}};
       },
       false},
      {"unknown zone", [](JobSpec& s) { s.zone = "north"; }, false},
      {"machine type not available in the zone",
       [](JobSpec& s) {
         s.gpus = 1;
         s.zone = "west";
       },
       false},
      {"array larger than the limit, which can run a few tasks at a time",
       [](JobSpec& s) { s.tasks = 100; }, true},
      {"gang larger than the limit",
       [](JobSpec& s) {
         s.shape = protocol::Shape::gang;
         s.tasks = 17;
       },
       false},
      {"gang exactly at the limit",
       [](JobSpec& s) {
         s.shape = protocol::Shape::gang;
         s.tasks = 16;
       },
       true},
      // All replicas must run at the same time, so together they must fit.
      {"service larger than the limit",
       [](JobSpec& s) {
         s.shape = protocol::Shape::service;
         s.tasks = 17;
       },
       false},
      {"service exactly at the limit",
       [](JobSpec& s) {
         s.shape = protocol::Shape::service;
         s.tasks = 16;
       },
       true},
      {"service whose replicas fit no machine",
       [](JobSpec& s) {
         s.shape = protocol::Shape::service;
         s.cpus = 17;
       },
       false},
      {"spread service that fits in only one zone",
       [](JobSpec& s) {
         s.shape = protocol::Shape::service;
         s.spread = true;
         s.tasks = 2;
         s.gpus = 1;
       },
       false},
      {"team without a limit",
       [](JobSpec& s) {
         s.team = "guests";
         s.tasks = 25'000;
       },
       true},
      {"GPUs for a team that may use none",
       [](JobSpec& s) {
         s.team = "blue";
         s.gpus = 1;
       },
       false},
      {"spread gang that fits in only one zone",
       [](JobSpec& s) {
         s.shape = protocol::Shape::gang;
         s.spread = true;
         s.tasks = 2;
         s.gpus = 1;
       },
       false},
  };
  for (const auto& c : cases) {
    JobSpec spec = testing::spec("job-1");
    c.change(spec);
    EXPECT_EQ(!coordination::unschedulable_reason(spec, settings, types), c.runnable) << c.what;
  }
}

TEST(UserCalls, RouteByMethodAndPath) {
  const struct {
    const char* method;
    const char* target;
    UserCall call;
    const char* id;
    bool wrong_method;
  } cases[] = {
      {"POST", "/v2/runs", UserCall::submit, "", false},
      {"GET", "/v2/runs", UserCall::submit, "", true},
      {"GET", "/v2/runs/job-7", UserCall::query, "job-7", false},
      {"GET", "/v2/runs/job-7?x=1", UserCall::query, "job-7", false},
      {"DELETE", "/v2/runs/job-7", UserCall::query, "job-7", true},
      {"POST", "/v2/runs/job-7/cancel", UserCall::cancel, "job-7", false},
      {"GET", "/v2/runs/job-7/cancel", UserCall::cancel, "job-7", true},
      {"GET", "/healthz", UserCall::health, "", false},
      {"GET", "/v2/runs/", UserCall::none, "", false},
      {"GET", "/v2/runs/a/b", UserCall::none, "", false},
      {"POST", "/v2/runs//cancel", UserCall::none, "", false},
      {"GET", "/v2/runsx", UserCall::none, "", false},
      {"GET", "/", UserCall::none, "", false},
  };
  for (const auto& c : cases) {
    const auto got = route_user_call(c.method, c.target);
    EXPECT_EQ(got.call, c.call) << c.method << " " << c.target;
    EXPECT_EQ(got.id, c.id) << c.target;
    EXPECT_EQ(got.wrong_method, c.wrong_method) << c.method << " " << c.target;
  }
}

TEST(RelayedHeartbeats, CompactFormRoundTrips) {
  const Heartbeat heartbeat = parse_heartbeat(R"({"perch":"i-000231","address":"10.1.0.232:9000",
    "breed":"g8","yard":"a","loaners":true,"flight":3,"tick":88,"baton":41,"recallS":7.5,"legs":[
    {"leg":"job-000412/3","try":2,"stage":"running"},
    {"leg":"job-000412/4","try":2,"stage":"gathering"},
    {"leg":"job-000398/0","try":1,"stage":"exited","cause":"unknown"},
    {"leg":"job-000398/1","try":1,"stage":"exited","cause":"stopped","saved":true}]})");
  RelayedHeartbeat item;
  item.heartbeat = heartbeat;
  const RelayBatch batch{"node-1", 41, {item}};
  const std::string body = encode_batch(batch);
  const RelayBatch parsed = parse_batch(body);
  ASSERT_EQ(parsed.heartbeats.size(), 1u);
  ASSERT_TRUE(parsed.heartbeats[0].heartbeat);
  EXPECT_TRUE(equal_except_sequence(*parsed.heartbeats[0].heartbeat, heartbeat));
  EXPECT_EQ(parsed.heartbeats[0].heartbeat->sequence, 88u);
  EXPECT_EQ(parsed.heartbeats[0].heartbeat->reclaim_notice_s, 7.5);
  // An invalid state, an invalid exit cause and a field of the wrong type.
  for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
           {R"("job-000412",3,2,2,0)", R"("job-000412",3,2,5,0)"},
           {R"("job-000398",0,1,4,8)", R"("job-000398",0,1,4,9)"},
           {R"("job-000412",3,2)", R"("job-000412","x",2)"}}) {
    std::string malformed = body;
    const auto at = malformed.find(from);
    ASSERT_NE(at, std::string::npos) << from << " in " << body;
    malformed.replace(at, from.size(), to);
    EXPECT_THROW(parse_batch(malformed), Malformed) << to;
  }
}

TEST(Heartbeats, ReadsTasks) {
  const Heartbeat heartbeat = parse_heartbeat(R"({"perch":"i-000231","address":"10.1.0.232:9000",
    "breed":"g8","yard":"a","loaners":true,"flight":1,"tick":88,"baton":41,"recallS":7.5,
    "legs":[{"leg":"job-000412/3","try":2,"stage":"gathering"},
            {"leg":"job-000398/0","try":1,"stage":"exited","cause":"stopped","saved":true}]})");
  EXPECT_EQ(heartbeat.machine, "i-000231");
  EXPECT_EQ(heartbeat.fencing_token, 41u);
  EXPECT_DOUBLE_EQ(*heartbeat.reclaim_notice_s, 7.5);
  ASSERT_EQ(heartbeat.tasks.size(), 2u);
  EXPECT_EQ(heartbeat.tasks[0].id, (TaskId{"job-000412", 3}));
  EXPECT_EQ(heartbeat.tasks[0].state, TaskState::waiting);
  EXPECT_EQ(heartbeat.tasks[1].cause, ExitCause::stopped);
  EXPECT_TRUE(heartbeat.tasks[1].saved);
}

TEST(Heartbeats, RejectsMalformedMessages) {
  const std::string head =
      R"({"perch":"i","address":"a:1","breed":"g","yard":"a","loaners":false,"flight":1,"tick":2,)";
  for (const char* rest : {
           R"("baton":-1,"legs":[]})",
           R"("baton":1})",
           R"("baton":1,"legs":[7]})",
           R"("baton":1,"legs":[{"leg":"job-1","try":1,"stage":"running"}]})",
           R"("baton":1,"legs":[{"leg":"job-1/x","try":1,"stage":"running"}]})",
           R"("baton":1,"legs":[{"leg":"job-1/1","try":1,"stage":"dancing"}]})",
           R"("baton":1,"legs":[{"leg":"job-1/1","try":1,"stage":"exited"}]})",
       }) {
    EXPECT_THROW(parse_heartbeat(head + rest), Malformed) << rest;
  }
}

TEST(Commands, AreEncodedInWireFormat) {
  const std::vector<Command> commands{{CommandType::launch, {"job-1", 4}, 2, 0},
                                      {CommandType::kill, {"job-2", 1}, 1, 10},
                                      {CommandType::forget, {"job-3", 0}, 3, 0}};
  EXPECT_EQ(Json::parse(encode_commands(41, 7, commands)),
            Json::parse(R"({"baton":41,"flight":7,"calls":[
              {"call":"launch","leg":"job-1/4","try":2},
              {"call":"kill","leg":"job-2/1","try":1,"slackS":10.0},
              {"call":"forget","leg":"job-3/0","try":3}]})"));
  EXPECT_EQ(Json::parse(encode_heartbeat_response(41, {})),
            Json::parse(R"({"baton":41,"calls":[]})"));
  EXPECT_EQ(encode_redirect(""), "{}");
  EXPECT_EQ(Json::parse(encode_redirect("perch-2")), Json::parse(R"({"home":"perch-2"})"));
}

TEST(Cloud, ReadsCatalogAndMachineList) {
  const std::string catalog = R"({"breeds":[{"name":"g8","cores":96,"accelerators":8,"memGb":768,
    "localGb":200,"fetchGbPerS":1.0,"hourly":12.0,"marketPrice":4.5,"bootS":45,
    "yards":["a","b"]}]})";
  const auto types = parse_catalog(catalog);
  ASSERT_EQ(types.size(), 1u);
  EXPECT_DOUBLE_EQ(types[0].spot_price, 4.5);
  EXPECT_EQ(encode_catalog(parse_catalog(encode_catalog(types))), encode_catalog(types));

  const auto page = parse_machine_page(R"({"perches":[{"ref":"i-1","address":"10.1.0.2:9000",
    "breed":"g8","yard":"a","loaners":true,"stage":"booting","ageS":61.5}],"more":true})");
  ASSERT_EQ(page.machines.size(), 1u);
  EXPECT_TRUE(page.more);
  EXPECT_EQ(page.machines[0].state, ListedState::booting);
  EXPECT_THROW(parse_machine_page(R"({"perches":[{"ref":"i-1"}]})"), Malformed);
  EXPECT_EQ(parse_rented(R"({"perches":["i-1","i-2"]})").size(), 2u);
}

}  // namespace
}  // namespace larkroad::protocol
