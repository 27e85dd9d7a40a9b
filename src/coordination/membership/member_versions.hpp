/// The version of records and messages that each controller supports.
///
/// Controllers report their version to their peers and also record it in the key-value store, so
/// that the version of an unreachable controller is known too. A feature that needs a newer version
/// is used once every configured controller is known to support it. Owned by `Controller`.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using RecordVersion = std::uint64_t;

/// Controllers of the first version neither report nor record their version.
inline constexpr RecordVersion kFirstVersion = 1;
/// Adds services, and heartbeat batches relayed through the key-value store.
inline constexpr RecordVersion kServicesVersion = 2;
inline constexpr RecordVersion kOwnVersion = kServicesVersion;

class MemberVersions {
 public:
  MemberVersions(transport::Clock& clock, storage::KeyValueClient& store, const Settings& settings);

  /// Records this controller's version, and polls those of the others until they are known.
  void start();
  /// Records the version that a peer has reported.
  void record_peer_version(const std::string& member, RecordVersion version);
  /// Whether every configured controller is known to support this version. A reported version takes
  /// precedence over the recorded one, as the peer may have been downgraded since.
  bool all_support(RecordVersion version) const;

 private:
  struct Record {
    RecordVersion version = kFirstVersion;
    std::uint64_t revision = 0;
  };

  bool supports(const std::string& member, RecordVersion version) const;
  void record_own_version();
  /// `replaced_revision`: the revision of the record to replace, 0 if there is none.
  void write_own_version(std::uint64_t replaced_revision);
  /// Reads all records repeatedly until every controller is known to support this version.
  void poll_records();
  void handle_records(const storage::ListReply& reply);
  /// Deletes the record of a member that has reported an earlier version.
  void delete_outdated_record(const std::string& member);

  transport::Clock& clock_;
  storage::KeyValueClient& store_;
  const Settings& settings_;
  bool polling_ = false;
  std::map<std::string, RecordVersion> reported_;  // since this process started, by member
  std::map<std::string, Record> recorded_;         // by member
};

}  // namespace larkroad::coordination
