#include "storage/records.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "support.hpp"

namespace larkroad::storage {
namespace {

TEST(RecordKeys, PlacementKeyRoundTrip) {
  const auto parsed = parse_placement_key(placement_key("job-12", 340));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->job, "job-12");
  EXPECT_EQ(parsed->shard, 340u);
}

TEST(RecordKeys, OtherKeysAreNotParsedAsPlacementKeys) {
  for (const char* key : {"j/job-1/2", "p/job-1", "p/job-1/", "p/job-1/x", "p//", "p/1", "p/",
                          "leader", "", "p/job-1/12345678", "p/job-1/-1"}) {
    EXPECT_FALSE(parse_placement_key(key)) << key;
  }
}

// Earlier and later versions read the same stored field names.
TEST(Records, StoredFieldNamesAreStable) {
  EXPECT_EQ(encode(PlacementRecord{7, {{0, 3}}, {{4, 7, "i-1", 2}}}),
            Json::parse(R"({"attempt":7,"done":[[0,3]],"placed":[[4,7,"i-1",2]]})"));
  EXPECT_EQ(encode(PlacementRecord{7, {}, {}}), Json::parse(R"({"attempt":7})"));
  EXPECT_EQ(encode(FinishedRecord{true, 3}), Json::parse(R"({"cancelled":true,"tasks":3})"));
  EXPECT_EQ(encode(Images{{"img-1", 2.5}}), Json::parse(R"({"images":[["img-1",2.5]]})"));
  EXPECT_EQ(encode(RelayAnswerRecord{5, 200, R"({"a":1})"}),
            Json::parse(R"({"number":5,"status":200,"body":{"a":1}})"));
  EXPECT_EQ(encode_version(4), Json::parse(R"({"version":4})"));
  const Json job = encode(JobRecord{testing::spec("job-1", 3), 1.5, 16, true});
  EXPECT_EQ(job["at"], 1.5);
  EXPECT_EQ(job["chunk"], 16);
  EXPECT_EQ(job["cancelled"], true);
}

TEST(Records, ErrorsNameTheRecordAndTheField) {
  const auto decode_any_job = [](const Json& data) { decode_job("job-1", data); };
  Json job = encode(JobRecord{testing::spec("job-1", 3), 1.5, 16, false});
  Json invalid_spec = job;
  invalid_spec["team"] = 3;
  job["chunk"] = "many";
  const struct {
    std::function<void(const Json&)> decode;
    Json data;
    const char* record;
    const char* field;
    const char* found;  // must be part of the text
  } cases[] = {
      {decode_placement_record, Json::parse(R"({})"), "placement", "attempt", "is missing"},
      {decode_placement_record, Json::parse(R"({"attempt":-1})"), "placement", "attempt",
       "found -1"},
      {decode_placement_record, Json::parse(R"({"attempt":1,"done":[[2]]})"), "placement", "done",
       "must be [first task, last task], found [2]"},
      {decode_placement_record, Json::parse(R"({"attempt":1,"placed":[[2,1,3,1]]})"), "placement",
       "placed", "must be [task, attempt, machine, incarnation], found [2,1,3,1]"},
      {decode_finished, Json::parse(R"({"cancelled":1,"tasks":3})"), "finished job", "cancelled",
       "found 1"},
      {decode_images, Json::parse(R"({"images":{}})"), "machine images", "images",
       "must be a list of [name, size in GB], found {}"},
      {decode_images, Json::parse(R"({"images":[["img-1"]]})"), "machine images", "images",
       "found [[\"img-1\"]]"},
      {decode_relay_request, Json::parse(R"({"number":1,"batch":3})"), "relay request", "batch",
       "found 3"},
      {decode_relay_answer, Json::parse(R"({"number":1,"status":200})"), "relay answer", "body",
       "is missing"},
      {decode_version, Json::parse(R"([])"), "version", "version", "must be an object, found []"},
      {decode_any_job, Json::parse(R"({"at":1.0,"chunk":1})"), "job", "specification",
       "is missing"},
      {decode_any_job, invalid_spec, "job", "specification", "team must be a string, found 3"},
      {decode_any_job, job, "job", "chunk", "found \"many\""},
  };
  for (const auto& c : cases) {
    SCOPED_TRACE(c.data.dump());
    try {
      c.decode(c.data);
      ADD_FAILURE() << "accepted";
    } catch (const RecordError& error) {
      EXPECT_EQ(error.record(), c.record) << error.what();
      EXPECT_EQ(error.field(), c.field) << error.what();
      EXPECT_NE(std::string(error.what()).find(c.found), std::string::npos) << error.what();
    }
  }
}

TEST(Records, LargestPlacementRecordFitsTheValueLimit) {
  for (const double kb : {1.0, 4.0, 8.0}) {
    PlacementRecord record;
    record.attempt = ~0ull;
    for (std::uint32_t i = 0; i < max_tasks_per_shard(kb); ++i) {
      record.placed.push_back({99'000 + i, ~0ull, "i-000000000000", 4'000'000'000ull});
    }
    EXPECT_LE(encode(record).dump().size(), kb * 1024) << kb;
    PlacementRecord done;
    for (std::uint32_t i = 0; i < max_tasks_per_shard(kb); i += 2) done.done.push_back({i, i});
    EXPECT_LE(encode(done).dump().size(), kb * 1024) << kb;
  }
}

// Cancelling a job may enlarge its record only by the cancellation flag.
TEST(Records, CancelledJobFitsTheLimitOfItsSubmission) {
  JobRecord record{testing::spec("job-1", 3), 1.5, 16, false};
  record.spec.image = std::string(200, '\x01');  // six bytes per character when encoded
  const auto size = static_cast<double>(encoded_size(encode(record)));
  EXPECT_FALSE(cancelled_record_fits(record, size));
  EXPECT_TRUE(cancelled_record_fits(record, size + 20));
  EXPECT_EQ(encode_within(record, size - 1), encode(record))
      << "only the record of a cancelled job is shortened";
  record.cancelled = true;
  const Json shortened = encode_within(record, size);
  EXPECT_LT(static_cast<double>(encoded_size(shortened)), size);
  const JobRecord back = decode_job("job-1", shortened);
  EXPECT_TRUE(back.cancelled);
  EXPECT_EQ(back.spec.team, record.spec.team);
  EXPECT_EQ(back.spec.tasks, 3u);
  EXPECT_DOUBLE_EQ(back.spec.cpus, record.spec.cpus);
}

TEST(Records, PlacementRecordRoundTrip) {
  PlacementRecord record{7, {{0, 3}, {5, 5}}, {{4, 7, "i-1", 2}}};
  const PlacementRecord back = decode_placement_record(encode(record));
  EXPECT_EQ(encode(back), encode(record));
  EXPECT_EQ(back.placed[0].machine, "i-1");
  EXPECT_TRUE(decode_placement_record(encode(PlacementRecord{})).placed.empty());
}

TEST(Records, ImagesRoundTrip) {
  const Images images{{"img-1", 2.5}, {"img-2", 4}};
  EXPECT_EQ(decode_images(encode(images)), images);
  EXPECT_TRUE(decode_images(encode(Images{})).empty());
}

// A new leader restores the cluster state from shards in the order in which the store lists their
// keys, which is not their numerical order.
TEST(Records, ClusterStateIsRestoredFromShardsInAnyOrder) {
  const Settings settings = testing::settings();
  for (const bool reversed : {false, true}) {
    coordination::ClusterState cluster(settings);
    cluster.set_types(testing::types());
    auto spec = testing::spec("job-1", 10);
    auto& job = cluster.add_job("job-1", {spec, 0, 4, false}, 1);
    const PlacementRecord first{3, {{0, 1}}, {{2, 3, "i-1", 1}}};
    const PlacementRecord second{2, {{5, 5}}, {}};
    if (reversed) cluster.restore_placements(job, 1, second, 12, 8, 0);
    cluster.restore_placements(job, 0, first, 11, 8, 0);
    if (!reversed) cluster.restore_placements(job, 1, second, 12, 8, 0);
    EXPECT_EQ(job.done_count, 3u);
    EXPECT_EQ(job.placements.size(), 1u);
    EXPECT_EQ(job.requeued, (std::set<std::uint32_t>{3, 4, 6, 7})) << reversed;
    EXPECT_EQ(job.next_never_placed, 8u);
    EXPECT_EQ(job.waiting(), 6u);
    EXPECT_EQ(job.shards[0].revision, 11u);
    EXPECT_EQ(cluster.used_by("red").cpus, 2);
    EXPECT_EQ(encode(coordination::ClusterState::placement_record(job, 0)), encode(first));
    EXPECT_EQ(encode(coordination::ClusterState::placement_record(job, 1)), encode(second));
  }
}

}  // namespace
}  // namespace larkroad::storage
