// What controllers tell each other of workers' reports: batches on their way to the leader, and its
// answers.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/json.hpp"
#include "protocol/worker_messages.hpp"

namespace larkroad::protocol {

inline constexpr const char* kRelayPath = "/relay";

// A worker's report as a relay hands it on: in the worker's own words, or, when it says the same as
// an earlier one that the leader has answered, by its session and tick and the earlier one's tick.
struct RelayedHeartbeat {
  std::string payload;  // empty: the same as the report of tick `base_sequence`, or in short
  std::string machine;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t base_sequence = 0;
  // In short, where room is scarce; in place of the words.
  std::optional<Heartbeat> heartbeat{};
};

struct RelayBatch {
  std::string member;               // who relays
  std::uint64_t fencing_token = 0;  // of the leader it is meant for
  std::vector<RelayedHeartbeat> heartbeats;
};

// The leader's answer to one of the reports, as the worker is to get it.
struct RelayedAnswer {
  int status = 0;
  std::string body;
};
// Not for the worker: the leader does not have the report that this one is said to be the same as.
inline constexpr int kNeedsPayload = 412;

std::string encode_batch(const RelayBatch& batch);
RelayBatch parse_batch(const std::string& body);  // throws Malformed
// The same as a part of something larger.
Json batch_to_json(const RelayBatch& batch);
RelayBatch batch_from_json(const Json& json);  // throws Malformed
std::string encode_batch_answers(const std::vector<RelayedAnswer>& answers);
std::vector<RelayedAnswer> parse_batch_answers(const std::string& body);  // throws Malformed

// A batch refused for its token tells the right one.
std::string encode_fencing_token(std::uint64_t fencing_token);
std::uint64_t parse_fencing_token(const std::string& body);  // throws Malformed

}  // namespace larkroad::protocol
