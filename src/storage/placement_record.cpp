#include "storage/placement_record.hpp"

#include <algorithm>

#include "storage/record_error.hpp"

namespace larkroad::storage {
namespace {

constexpr const char* kRecordKind = "placement";
constexpr const char* kAttempt = "attempt";
constexpr const char* kDone = "done";
constexpr const char* kPlaced = "placed";

// The largest encoding of a placed task: [99999,18446744073709551615,"i-0000000000000",1844674407],
constexpr double kBytesPerTask = 64;
constexpr double kMaxTasksPerShard = 1024;

Json encode_range(const TaskRange& range) { return Json::array({range.first, range.last}); }

TaskRange decode_range(const Json& item) {
  return {item.at(0).get<std::uint32_t>(), item.at(1).get<std::uint32_t>()};
}

Json encode_placed(const PlacedTask& placed) {
  return Json::array({placed.task, placed.attempt, placed.machine, placed.incarnation});
}

PlacedTask decode_placed(const Json& item) {
  return {item.at(0).get<std::uint32_t>(), item.at(1).get<std::uint64_t>(),
          item.at(2).get<std::string>(), item.at(3).get<std::uint64_t>()};
}

}  // namespace

Json encode(const PlacementRecord& record) {
  Json out{{kAttempt, record.attempt}};
  Json done = Json::array();
  for (const TaskRange& range : record.done) done.push_back(encode_range(range));
  if (!done.empty()) out[kDone] = std::move(done);
  Json placed = Json::array();
  for (const PlacedTask& task : record.placed) placed.push_back(encode_placed(task));
  if (!placed.empty()) out[kPlaced] = std::move(placed);
  return out;
}

PlacementRecord decode_placement_record(const Json& data) {
  const RecordReader reader(kRecordKind, data);
  PlacementRecord record;
  record.attempt = reader.integer(kAttempt);
  reader.for_each(kDone, "[first task, last task]",
                  [&](const Json& item) { record.done.push_back(decode_range(item)); });
  reader.for_each(kPlaced, "[task, attempt, machine, incarnation]",
                  [&](const Json& item) { record.placed.push_back(decode_placed(item)); });
  return record;
}

std::uint32_t max_tasks_per_shard(double value_kb) {
  const double tasks = value_kb * 1024 / kBytesPerTask;
  return static_cast<std::uint32_t>(std::clamp(tasks, 1.0, kMaxTasksPerShard));
}

}  // namespace larkroad::storage
