/// Heartbeats and their answers that are passed through the key-value store when a relay cannot
/// reach the leader directly. The relay writes a batch under `q/MEMBER/SLOT` and the leader writes
/// the answer under `a/MEMBER/SLOT`. The number distinguishes a batch and its answer from earlier
/// ones in the same slot.
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
  int status = 0;    ///< the HTTP status that the answer would have if sent directly
  std::string body;  ///< JSON text
};

/// Throws when the body is not JSON.
Json encode(const RelayAnswerRecord& record);

/// Throws RecordError.
RelayAnswerRecord decode_relay_answer(const Json& data);

}  // namespace larkroad::storage
