/// Messages between controllers for relaying worker heartbeats: batches sent to the leader, and the
/// leader's answers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"
#include "protocol/worker_messages.hpp"

namespace larkroad::protocol {

/// Path at which the leader accepts batches from its peers.
inline constexpr const char* kRelayPath = "/relay";

/// A heartbeat in a batch, in one of three forms: the original payload; a compact form, used where
/// space is limited; or a delta, if the heartbeat repeats an earlier one that the leader has
/// answered.
///
///     {"words":"{\"perch\":...}"}
///     {"short":["i-2","10.1.0.2:9000","g8","a",true,1,9,41,null,[["job-1",0,2,2,0,0]]]}
///     {"machine":"i-2","session":1,"tick":9,"base":8}
struct RelayedHeartbeat {
  std::string payload;  // as sent by the worker; empty in the other two forms
  // Delta: equal to heartbeat `base_sequence` except for the sequence number.
  std::string machine;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t base_sequence = 0;
  // Compact form: the fields of the heartbeat and of each task are identified by position.
  std::optional<Heartbeat> heartbeat{};
};

/// `{"member":"node-1","token":41,"reports":[...]}`
struct RelayBatch {
  std::string member;               // the relaying controller
  std::uint64_t fencing_token = 0;  // of the leader that the batch is addressed to
  std::vector<RelayedHeartbeat> heartbeats;
};

/// The leader's answer to one heartbeat, to be returned to the worker:
/// `{"status":200,"body":"..."}`
struct RelayedAnswer {
  int status = 0;
  std::string body;
};
/// Status addressed to the relaying controller, not to the worker: the leader does not have the
/// heartbeat that the delta refers to and needs the full payload.
inline constexpr int kNeedsPayload = 412;

std::string encode_batch(const RelayBatch& batch);
/// Throws Malformed.
RelayBatch parse_batch(const std::string& body);
/// Encodes a batch as a JSON value, for embedding in another document.
Json batch_to_json(const RelayBatch& batch);
/// Throws Malformed.
RelayBatch batch_from_json(const Json& json);

/// `{"answers":[...]}`, in the order of the heartbeats in the batch.
std::string encode_batch_answers(const std::vector<RelayedAnswer>& answers);
/// Throws Malformed.
std::vector<RelayedAnswer> parse_batch_answers(const std::string& body);

/// Encodes the body of the 409 response with which a leader rejects a batch whose fencing token
/// differs from its own: `{"token":41}`
std::string encode_fencing_token(std::uint64_t fencing_token);
/// Throws Malformed.
std::uint64_t parse_fencing_token(const std::string& body);

}  // namespace larkroad::protocol
