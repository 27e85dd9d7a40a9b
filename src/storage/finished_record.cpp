#include "storage/finished_record.hpp"

#include "storage/record_error.hpp"

namespace larkroad::storage {
namespace {

constexpr const char* kRecordKind = "finished job";
constexpr const char* kCancelled = "cancelled";
constexpr const char* kTasks = "tasks";

}  // namespace

Json encode(const FinishedRecord& record) {
  return Json{{kCancelled, record.cancelled}, {kTasks, record.tasks}};
}

FinishedRecord decode_finished(const Json& data) {
  const RecordReader reader(kRecordKind, data);
  return {reader.boolean(kCancelled), static_cast<std::uint32_t>(reader.integer(kTasks))};
}

}  // namespace larkroad::storage
