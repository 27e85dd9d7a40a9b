#include "coordination/membership/member_versions.hpp"

#include <algorithm>
#include <optional>
#include <string_view>

#include "log.hpp"
#include "storage/records.hpp"

namespace larkroad::coordination {
namespace {

using storage::Status;

// Delay before failed calls are retried and missing versions polled again, as a fraction of the
// workers' lease.
constexpr double kRetryLeaseRatio = 1.0 / 8;
// Precondition: the record must not exist.
constexpr std::uint64_t kNoRecord = 0;

std::string member_of(const std::string& version_key) {
  return version_key.substr(std::string_view(storage::kVersionPrefix).size());
}

}  // namespace

MemberVersions::MemberVersions(transport::Clock& clock, storage::KeyValueClient& store,
                               const Settings& settings)
    : clock_(clock), store_(store), settings_(settings) {}

void MemberVersions::start() {
  reported_[settings_.member] = kOwnVersion;
  record_own_version();
  poll_records();
}

void MemberVersions::record_peer_version(const std::string& member, RecordVersion version) {
  RecordVersion& known = reported_[member];
  if (known == version) return;
  known = version;
  spdlog::info("controller version reported: member={} version={}", member, version);
  delete_outdated_record(member);
  poll_records();
}

bool MemberVersions::all_support(RecordVersion version) const {
  return supports(settings_.member, version) &&
         std::all_of(settings_.peers.begin(), settings_.peers.end(),
                     [&](const PeerSettings& peer) { return supports(peer.member, version); });
}

bool MemberVersions::supports(const std::string& member, RecordVersion version) const {
  if (const auto reported = reported_.find(member); reported != reported_.end()) {
    return reported->second >= version;
  }
  const auto recorded = recorded_.find(member);
  return recorded != recorded_.end() && recorded->second.version >= version;
}

void MemberVersions::record_own_version() {
  const auto handle_record = [this](Status status, const storage::Entry& entry) {
    if (status == Status::missing) {
      write_own_version(kNoRecord);
    } else if (status != Status::ok) {
      clock_.after(settings_.lease_s * kRetryLeaseRatio, [this] { record_own_version(); });
    } else if (storage::decode_version(entry.data) != kOwnVersion) {
      write_own_version(entry.revision);
    }
  };
  store_.get(storage::version_key(settings_.member), handle_record);
}

void MemberVersions::write_own_version(std::uint64_t replaced_revision) {
  const std::string key = storage::version_key(settings_.member);
  storage::Transaction transaction;
  transaction.preconditions.push_back({key, replaced_revision});
  transaction.writes.push_back({key, storage::encode_version(kOwnVersion), std::nullopt});
  store_.commit(transaction, [this](const storage::CommitReply& reply) {
    if (reply.status == Status::ok) return;
    clock_.after(settings_.lease_s * kRetryLeaseRatio, [this] { record_own_version(); });
  });
}

void MemberVersions::poll_records() {
  if (polling_ || all_support(kOwnVersion)) return;
  polling_ = true;
  store_.list(storage::kVersionPrefix, "", [this](const storage::ListReply& reply) {
    handle_records(reply);
    clock_.after(settings_.lease_s * kRetryLeaseRatio, [this] {
      polling_ = false;
      poll_records();
    });
  });
}

void MemberVersions::handle_records(const storage::ListReply& reply) {
  if (reply.status != Status::ok) return;
  for (const auto& entry : reply.entries) {
    const std::string member = member_of(entry.key);
    recorded_[member] = {storage::decode_version(entry.data), entry.revision};
    delete_outdated_record(member);
  }
}

// After a downgrade, a controller of the first version does not overwrite the record of the version
// that ran before it. Left in place, it would be trusted by any controller that has no report from
// that member, for instance because it cannot reach it.
void MemberVersions::delete_outdated_record(const std::string& member) {
  const auto reported = reported_.find(member);
  const auto recorded = recorded_.find(member);
  if (reported == reported_.end() || recorded == recorded_.end()) return;
  if (reported->second >= recorded->second.version) return;
  spdlog::error("controller runs an earlier version than recorded: member={} version={}", member,
                reported->second);
  const std::string key = storage::version_key(member);
  storage::Transaction transaction;
  transaction.preconditions.push_back({key, recorded->second.revision});
  transaction.deletes.push_back(key);
  recorded_.erase(recorded);
  store_.commit(
      transaction, [](const storage::CommitReply&) {}, storage::RequestPriority::background);
}

}  // namespace larkroad::coordination
