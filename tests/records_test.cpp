#include "storage/records.hpp"

#include <gtest/gtest.h>

#include "support.hpp"

namespace larkroad::storage {
namespace {

TEST(Records, PlacementKeys) {
  std::string id;
  std::uint32_t shard = 0;
  ASSERT_TRUE(parse_placement_key(placement_key("job-12", 340), id, shard));
  EXPECT_EQ(id, "job-12");
  EXPECT_EQ(shard, 340u);
  for (const char* key : {"j/job-1/2", "p/job-1", "p/job-1/", "p/job-1/x", "p//"}) {
    EXPECT_FALSE(parse_placement_key(key, id, shard)) << key;
  }
}

TEST(Records, TheWorstChunkFitsTheValueLimit) {
  for (const double kb : {1.0, 4.0, 8.0}) {
    PlacementRecord record;
    record.attempt = ~0ull;
    for (std::uint32_t i = 0; i < max_tasks_per_shard(kb); ++i) {
      record.placed.push_back({99'000 + i, ~0ull, "i-000000000000", 4'000'000'000ull});
    }
    EXPECT_LE(encode(record).dump().size(), kb * 1024) << kb;
    PlacementRecord done;
    for (std::uint32_t i = 0; i < max_tasks_per_shard(kb); i += 2) done.done.emplace_back(i, i);
    EXPECT_LE(encode(done).dump().size(), kb * 1024) << kb;
  }
}

// A job's record may grow by the mark of its cancellation alone.
TEST(Records, ACancelledJobFitsWhatItFittedBefore) {
  JobRecord record{testing::spec("job-1", 3), 1.5, 16, false};
  record.spec.image = std::string(200, '\x01');  // six bytes each
  const auto size = static_cast<double>(encoded_size(encode(record)));
  EXPECT_FALSE(can_be_cancelled_within(record, size));
  EXPECT_TRUE(can_be_cancelled_within(record, size + 20));
  EXPECT_EQ(encode_within(record, size - 1), encode(record)) << "only a cancelled one is cut";
  record.cancelled = true;
  const Json cut = encode_within(record, size);
  EXPECT_LT(static_cast<double>(encoded_size(cut)), size);
  const JobRecord back = decode_job("job-1", cut);
  EXPECT_TRUE(back.cancelled);
  EXPECT_EQ(back.spec.team, record.spec.team);
  EXPECT_EQ(back.spec.tasks, 3u);
  EXPECT_DOUBLE_EQ(back.spec.cpus, record.spec.cpus);
}

TEST(Records, ChunkGivesTheSameBack) {
  PlacementRecord record{7, {{0, 3}, {5, 5}}, {{4, 7, "i-1", 2}}};
  const PlacementRecord back = decode_placement_record(encode(record));
  EXPECT_EQ(encode(back), encode(record));
  EXPECT_EQ(back.placed[0].machine, "i-1");
  EXPECT_TRUE(decode_placement_record(encode(PlacementRecord{})).placed.empty());
}

TEST(Records, ImagesGiveTheSameBack) {
  const Images images{{"img-1", 2.5}, {"img-2", 4}};
  EXPECT_EQ(decode_images(encode(images)), images);
  EXPECT_TRUE(decode_images(encode(Images{})).empty());
}

// A new leader builds its statistics from shards in whatever order the store lists their keys.
TEST(Records, ALedgerIsBuiltFromChunksInAnyOrder) {
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
    EXPECT_EQ(encode(cluster.placement_record(job, 0)), encode(first));
    EXPECT_EQ(encode(cluster.placement_record(job, 1)), encode(second));
  }
}

}  // namespace
}  // namespace larkroad::storage
