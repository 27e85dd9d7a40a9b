/// The keys of larkroad's records in the key-value store.
///
///   leader         the leader, under a lease; the key's revision is the fencing token
///   catalog        the machine types, so that a restarted controller need not wait for the cloud
///   j/ID           an unfinished job: its specification and whether it is cancelled
///   p/ID/SHARD     the placements and completions of one range of a job's tasks
///   d/ID           a finished job; never deleted
///   m/MACHINE      the images in a machine's cache; only a hint for a new leader
///   q/MEMBER/SLOT  a batch of heartbeats that a relay cannot send to the leader directly
///   a/MEMBER/SLOT  the leader's answer to that batch
///   v/MEMBER       the version of records and messages that a controller supports
///
/// Earlier and later versions read the same keys, so the keys must not change.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace larkroad::storage {

inline constexpr const char* kLeaderKey = "leader";
inline constexpr const char* kCatalogKey = "catalog";
inline constexpr const char* kJobPrefix = "j/";
inline constexpr const char* kPlacementPrefix = "p/";
inline constexpr const char* kMachinePrefix = "m/";
inline constexpr const char* kVersionPrefix = "v/";
inline constexpr const char* kRelayRequestPrefix = "q/";

std::string job_key(const std::string& id);
std::string finished_key(const std::string& id);
std::string relay_request_key(const std::string& member, const std::string& slot);
std::string relay_answer_key(const std::string& member, const std::string& slot);
std::string version_key(const std::string& member);
std::string placement_key(const std::string& id, std::uint32_t shard);

/// The components of a placement key.
struct PlacementKey {
  std::string job;
  std::uint32_t shard = 0;
};

/// Returns nullopt when `key` is not a placement key.
std::optional<PlacementKey> parse_placement_key(const std::string& key);

}  // namespace larkroad::storage
