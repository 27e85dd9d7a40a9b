/// Messages between controllers that carry workers' heartbeats: batches of them on their way to the
/// leader, and its answers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/json.hpp"
#include "protocol/worker_messages.hpp"

namespace larkroad::protocol {

/// Where the leader takes batches from its peers.
inline constexpr const char* kRelayPath = "/relay";

/// A heartbeat in a batch, in one of three forms: its payload; compact, where space is scarce; or a
/// delta, if it repeats an earlier one that the leader has answered.
///
///     {"words":"{\"perch\":...}"}
///     {"short":["i-2","10.1.0.2:9000","g8","a",true,1,9,41,null,[["job-1",0,2,2,0,0]]]}
///     {"machine":"i-2","session":1,"tick":9,"base":8}
struct RelayedHeartbeat {
  std::string payload;  // as the worker sent it; empty: one of the other forms
  // The delta: the same as the heartbeat of `base_sequence`, but for its sequence number.
  std::string machine;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t base_sequence = 0;
  // Compact: the fields of the heartbeat, and of each of its tasks, by their position.
  std::optional<Heartbeat> heartbeat{};
};

/// `{"member":"node-1","token":41,"reports":[...]}`
struct RelayBatch {
  std::string member;               // who relays
  std::uint64_t fencing_token = 0;  // of the leader that it is meant for
  std::vector<RelayedHeartbeat> heartbeats;
};

/// The leader's answer to one of the heartbeats, as the worker is to get it:
/// `{"status":200,"body":"..."}`
struct RelayedAnswer {
  int status = 0;
  std::string body;
};
/// A status that is not for the worker: the leader does not have the heartbeat that the delta
/// refers to, and needs the payload.
inline constexpr int kNeedsPayload = 412;

std::string encode_batch(const RelayBatch& batch);
/// Throws Malformed.
RelayBatch parse_batch(const std::string& body);
/// The same as a part of something larger.
Json batch_to_json(const RelayBatch& batch);
/// Throws Malformed.
RelayBatch batch_from_json(const Json& json);

/// `{"answers":[...]}`, in the order of the batch's heartbeats.
std::string encode_batch_answers(const std::vector<RelayedAnswer>& answers);
/// Throws Malformed.
std::vector<RelayedAnswer> parse_batch_answers(const std::string& body);

/// The body of the 409 by which a leader refuses a batch with another fencing token than its own:
/// `{"token":41}`
std::string encode_fencing_token(std::uint64_t fencing_token);
/// Throws Malformed.
std::uint64_t parse_fencing_token(const std::string& body);

}  // namespace larkroad::protocol
