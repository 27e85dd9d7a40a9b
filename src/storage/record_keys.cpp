#include "storage/record_keys.hpp"

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace larkroad::storage {
namespace {

constexpr const char* kFinishedPrefix = "d/";
constexpr const char* kRelayAnswerPrefix = "a/";
// Enough digits for the shards of any job, and few enough that the number cannot overflow.
constexpr size_t kMaxShardDigits = 7;

std::optional<std::uint32_t> parse_shard(std::string_view digits) {
  if (digits.empty() || digits.size() > kMaxShardDigits) return std::nullopt;
  std::uint32_t shard = 0;
  for (const char digit : digits) {
    if (digit < '0' || digit > '9') return std::nullopt;
    shard = shard * 10 + static_cast<std::uint32_t>(digit - '0');
  }
  return shard;
}

}  // namespace

std::string job_key(const std::string& id) { return kJobPrefix + id; }

std::string finished_key(const std::string& id) { return kFinishedPrefix + id; }

std::string relay_request_key(const std::string& member, const std::string& slot) {
  return kRelayRequestPrefix + member + "/" + slot;
}

std::string relay_answer_key(const std::string& member, const std::string& slot) {
  return kRelayAnswerPrefix + member + "/" + slot;
}

std::string version_key(const std::string& member) { return kVersionPrefix + member; }

std::string placement_key(const std::string& id, std::uint32_t shard) {
  return kPlacementPrefix + id + "/" + std::to_string(shard);
}

std::optional<PlacementKey> parse_placement_key(const std::string& key) {
  const std::string_view prefix = kPlacementPrefix;
  if (!key.starts_with(prefix)) return std::nullopt;
  const std::string_view rest = std::string_view(key).substr(prefix.size());
  const size_t slash = rest.rfind('/');
  if (slash == std::string_view::npos) return std::nullopt;
  const std::optional<std::uint32_t> shard = parse_shard(rest.substr(slash + 1));
  if (!shard) return std::nullopt;
  return PlacementKey{std::string(rest.substr(0, slash)), *shard};
}

}  // namespace larkroad::storage
