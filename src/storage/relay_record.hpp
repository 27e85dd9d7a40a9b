/// Heartbeats and their answers on the way through the key-value store, where a relay cannot reach
/// the leader directly. A relay writes a batch under `q/MEMBER/SLOT`, and the leader its answer
/// under `a/MEMBER/SLOT`; the number tells a batch and its answer from earlier ones in that slot.
#pragma once

#include <cstdint>
#include <string>

#include "protocol/json.hpp"
#include "protocol/relay_messages.hpp"

namespace larkroad::storage {

using protocol::Json;

struct RelayRequestRecord {
  std::uint64_t number = 0;
  protocol::RelayBatch batch;
};

Json encode(const RelayRequestRecord& record);

/// Throws RecordError.
RelayRequestRecord decode_relay_request(const Json& data);

struct RelayAnswerRecord {
  std::uint64_t number = 0;
  int status = 0;    ///< the HTTP status of the same answer sent directly
  std::string body;  ///< JSON text
};

/// Throws when the body is not JSON.
Json encode(const RelayAnswerRecord& record);

/// Throws RecordError.
RelayAnswerRecord decode_relay_answer(const Json& data);

}  // namespace larkroad::storage
