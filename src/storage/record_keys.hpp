/// The keys of what larkroad keeps in the key-value store.
///
///   leader          who leads, under a lease; the key's revision is the fencing token
///   catalog         the machine types, so that a restarted controller need not wait for the cloud
///   j/ID            a job that is not over: what was submitted, and whether it is cancelled
///   p/ID/SHARD      where the job's tasks are placed and which are done, for one range of its
///   tasks d/ID            a job that is over, for good m/MACHINE       the images that a machine
///   is known to hold: a hint to a new leader, no more q/MEMBER/SLOT   a batch of heartbeats that a
///   relay cannot hand to the leader directly a/MEMBER/SLOT   the leader's answer to it v/MEMBER
///   the version of records and messages that a controller understands
///
/// Keys are stored and are read by earlier and later versions: they must not change.
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

/// What a placement key names.
struct PlacementKey {
  std::string job;
  std::uint32_t shard = 0;
};

/// Returns none when `key` is not a placement key.
std::optional<PlacementKey> parse_placement_key(const std::string& key);

}  // namespace larkroad::storage
