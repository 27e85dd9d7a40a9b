// Compatibility with the first version, in both directions.
//
// fixtures/first_version.json contains requests sent by the controllers of the commit that it
// names. They were captured in that commit's simulated runs (single faults and late transactions),
// by logging in Network::send each request of a controller to the store or to another controller.
// One message of each kind is kept.
#include <gtest/gtest.h>

#include <fstream>
#include <set>

#include "protocol/cloud_messages.hpp"
#include "protocol/relay_messages.hpp"
#include "sim/world.hpp"
#include "storage/records.hpp"
#include "support.hpp"

namespace larkroad {
namespace {

using protocol::Json;

struct Captured {
  std::string target;
  Json body;
};

std::vector<Captured> captured_messages() {
  std::ifstream file(LARKROAD_FIXTURES "/first_version.json");
  const Json json = Json::parse(file);
  std::vector<Captured> out;
  for (const Json& message : json.at("messages")) {
    out.push_back({message.at("target"), message.at("body")});
  }
  return out;
}

struct Record {
  std::string key;
  Json data;
};

std::vector<Record> captured_records() {
  std::vector<Record> out;
  for (const auto& message : captured_messages()) {
    if (message.target != "/commit") continue;
    for (const Json& item : message.body.at("apply")) {
      if (item.contains("write")) out.push_back({item.at("write"), item.at("data")});
    }
  }
  return out;
}

std::set<std::string> fields_of(const Json& object) {
  std::set<std::string> out;
  for (const auto& [name, value] : object.items()) out.insert(name);
  return out;
}

TEST(FirstVersion, RecordsRoundTripUnchanged) {
  std::map<std::string, int> seen;
  for (const auto& record : captured_records()) {
    SCOPED_TRACE(record.key + " " + record.data.dump());
    const std::string kind = record.key.substr(0, record.key.find('/'));
    ++seen[kind];
    if (kind == "j") {
      const auto job = storage::decode_job(record.key.substr(2), record.data);
      EXPECT_EQ(storage::encode(job), record.data);
      EXPECT_FALSE(job.spec.is_service());
    } else if (kind == "p") {
      EXPECT_EQ(storage::encode(storage::decode_placement_record(record.data)), record.data);
    } else if (kind == "d") {
      EXPECT_EQ(storage::encode(storage::decode_finished(record.data)), record.data);
    } else if (kind == "m") {
      EXPECT_EQ(storage::encode(storage::decode_images(record.data)), record.data);
    } else if (kind == "catalog") {
      const auto types = protocol::parse_catalog(record.data.dump());
      EXPECT_EQ(Json::parse(protocol::encode_catalog(types)), record.data);
    } else if (kind == "leader") {
      EXPECT_FALSE(protocol::text(record.data, "member").empty());
      EXPECT_GT(protocol::integer(record.data, "lease"), 0u);
    } else {
      ADD_FAILURE() << "unknown kind of record";
    }
  }
  for (const char* kind : {"j", "p", "d", "m", "catalog", "leader"}) EXPECT_GT(seen[kind], 0);
}

// The first version reads only the fields below. It requires those that all of its records contain,
// and drops unknown fields when it rewrites a record.
TEST(FirstVersion, ReadsAServiceRecordAsAnArrayJob) {
  std::set<std::string> known{"types", "zone", "deadline_s", "cancelled"};
  std::map<std::string, Json> needed;
  for (const auto& record : captured_records()) {
    if (!record.key.starts_with("j/")) continue;
    for (const auto& [name, value] : record.data.items()) {
      known.insert(name);
      if (name != "zone" && name != "cancelled") needed[name] = value;
    }
  }
  auto spec = testing::spec("job-1", 3);
  spec.shape = protocol::Shape::service;
  const storage::JobRecord service{spec, 12.5, 32, false};
  const Json written = storage::encode(service);
  for (const auto& [name, value] : needed) {
    ASSERT_TRUE(written.contains(name)) << name;
    EXPECT_EQ(written[name].is_number(), value.is_number()) << name;
    EXPECT_EQ(written[name].is_boolean(), value.is_boolean()) << name;
    EXPECT_EQ(written[name].is_string(), value.is_string()) << name;
  }
  EXPECT_EQ(written.at("gang"), false);
  // A first-version controller that cancels the job drops the field of its shape, which is not
  // needed for a cancelled job.
  Json rewritten = written;
  for (const auto& name : fields_of(written)) {
    if (!known.contains(name)) rewritten.erase(name);
  }
  rewritten["cancelled"] = true;
  EXPECT_NE(written, rewritten);
  const auto back = storage::decode_job("job-1", rewritten);
  EXPECT_TRUE(back.cancelled);
  EXPECT_EQ(back.spec.tasks, 3u);
  EXPECT_EQ(back.tasks_per_shard, 32u);
  EXPECT_TRUE(storage::decode_job("job-1", written).spec.is_service());
}

TEST(FirstVersion, MessagesAreAccepted) {
  std::set<std::string> targets;
  for (const auto& message : captured_messages()) {
    if (message.target == "/commit") continue;
    SCOPED_TRACE(message.target + " " + message.body.dump());
    targets.insert(message.target);
    sim::World world(1, {});
    world.run(5);
    int status = 0;
    // The recipient is neither the leader nor the sender.
    size_t recipient = 0;
    while (recipient == world.leader() ||
           message.body.value("member", "") == "node-" + std::to_string(recipient)) {
      ++recipient;
    }
    ASSERT_LT(recipient, sim::kControllers);
    world.controller(recipient).handle_peer(
        {"POST", message.target, message.body.dump()},
        [&](const transport::Response& response) { status = response.status; });
    world.run(8);
    // Only the leader accepts a batch of heartbeats.
    EXPECT_EQ(status, message.target == protocol::kRelayPath ? 421 : 200);
  }
  EXPECT_EQ(targets, (std::set<std::string>{"/peer", "/cancelled", "/user", "/relay"}));
}

// A first-version controller treats the replicas of a service as tasks of an array job and may
// record one as done. That completion is ignored, and the replica is placed again.
TEST(FirstVersion, CompletionOfAReplicaIsIgnored) {
  const Settings settings = testing::settings();
  coordination::ClusterState cluster(settings);
  auto spec = testing::spec("job-1", 3);
  spec.shape = protocol::Shape::service;
  auto& job = testing::add_job(cluster, spec);
  cluster.restore_placements(job, 0, {4, {{0, 1}}, {{2, 4, "i-1", 1}}}, 7, 5, 0);
  EXPECT_EQ(job.done_count, 0u);
  EXPECT_EQ(job.waiting(), 2u);
  EXPECT_EQ(job.placements.size(), 1u);
  EXPECT_FALSE(job.is_finished());
}

}  // namespace
}  // namespace larkroad
