#include "storage/relay_record.hpp"

#include "storage/record_error.hpp"

namespace larkroad::storage {
namespace {

constexpr const char* kRequestRecordKind = "relay request";
constexpr const char* kAnswerRecordKind = "relay answer";
constexpr const char* kNumber = "number";
constexpr const char* kBatch = "batch";
constexpr const char* kStatus = "status";
constexpr const char* kBody = "body";

}  // namespace

Json encode(const RelayRequestRecord& record) {
  return Json{{kNumber, record.number}, {kBatch, protocol::batch_to_json(record.batch)}};
}

RelayRequestRecord decode_relay_request(const Json& data) {
  const RecordReader reader(kRequestRecordKind, data);
  return {reader.integer(kNumber), reader.decode(kBatch, protocol::batch_from_json)};
}

Json encode(const RelayAnswerRecord& record) {
  return Json{
      {kNumber, record.number}, {kStatus, record.status}, {kBody, Json::parse(record.body)}};
}

RelayAnswerRecord decode_relay_answer(const Json& data) {
  const RecordReader reader(kAnswerRecordKind, data);
  return {reader.integer(kNumber), static_cast<int>(reader.integer(kStatus)),
          reader.decode(kBody, [](const Json& body) { return body.dump(); })};
}

}  // namespace larkroad::storage
