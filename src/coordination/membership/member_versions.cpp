#include "coordination/membership/member_versions.hpp"

#include <algorithm>

#include "log.hpp"
#include "storage/records.hpp"

namespace larkroad::coordination {
namespace {

using storage::Status;

// Failed calls are repeated, and missing versions looked for, after this part of the workers'
// lease.
constexpr double kRetryRatio = 1.0 / 8;

}  // namespace

MemberVersions::MemberVersions(transport::Clock& clock, storage::KeyValueClient& store,
                               const Settings& settings)
    : clock_(clock), store_(store), settings_(settings) {}

void MemberVersions::start() {
  heard_[settings_.member] = kOwnVersion;
  record_own();
  read_all();
}

void MemberVersions::peer_reported(const std::string& member, RecordVersion version) {
  RecordVersion& known = heard_[member];
  if (known == version) return;
  known = version;
  spdlog::info("controller {} runs version {} of the records", member, version);
  drop_outdated(member);
  read_all();
}

bool MemberVersions::all_understand(RecordVersion version) const {
  const auto understands = [&](const std::string& member) {
    if (const auto it = heard_.find(member); it != heard_.end()) return it->second >= version;
    const auto it = recorded_.find(member);
    return it != recorded_.end() && it->second.version >= version;
  };
  return understands(settings_.member) &&
         std::all_of(settings_.peers.begin(), settings_.peers.end(),
                     [&](const PeerSettings& peer) { return understands(peer.member); });
}

void MemberVersions::record_own() {
  store_.get(storage::version_key(settings_.member), [this](Status status, storage::Entry entry) {
    if (status == Status::missing) {
      write_own(0);
    } else if (status != Status::ok) {
      clock_.after(settings_.lease_s * kRetryRatio, [this] { record_own(); });
    } else if (storage::decode_version(entry.data) != kOwnVersion) {
      write_own(entry.revision);
    }
  });
}

void MemberVersions::write_own(std::uint64_t replaced_revision) {
  const std::string key = storage::version_key(settings_.member);
  storage::Transaction txn;
  txn.preconditions.push_back({key, replaced_revision});
  txn.writes.push_back({key, storage::encode_version(kOwnVersion), std::nullopt});
  store_.commit(txn, [this](const storage::CommitReply& reply) {
    if (reply.status == Status::ok) return;
    clock_.after(settings_.lease_s * kRetryRatio, [this] { record_own(); });
  });
}

void MemberVersions::read_all() {
  if (reading_ || all_understand(kOwnVersion)) return;
  reading_ = true;
  store_.list(storage::kVersionPrefix, "", [this](const storage::ListReply& reply) {
    if (reply.status == Status::ok) {
      for (const auto& entry : reply.entries) {
        const std::string member = entry.key.substr(std::string(storage::kVersionPrefix).size());
        recorded_[member] = {storage::decode_version(entry.data), entry.revision};
        drop_outdated(member);
      }
    }
    clock_.after(settings_.lease_s * kRetryRatio, [this] {
      reading_ = false;
      read_all();
    });
  });
}

// The first version does not replace the record of the one that ran before it. Left alone, the
// record would speak for a newer one as soon as the process cannot be reached.
void MemberVersions::drop_outdated(const std::string& member) {
  const auto spoken = heard_.find(member);
  const auto recorded = recorded_.find(member);
  if (spoken == heard_.end() || recorded == recorded_.end()) return;
  if (spoken->second >= recorded->second.version) return;
  spdlog::error("controller {} has come back with an earlier version", member);
  const std::string key = storage::version_key(member);
  storage::Transaction txn;
  txn.preconditions.push_back({key, recorded->second.revision});
  txn.deletes.push_back(key);
  recorded_.erase(recorded);
  store_.commit(
      txn, [](const storage::CommitReply&) {}, storage::RequestPriority::background);
}

}  // namespace larkroad::coordination
