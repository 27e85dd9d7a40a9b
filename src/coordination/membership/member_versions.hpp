/// Which version of the records and messages each controller understands.
///
/// Controllers report their version to their peers, and each keeps its own in the key-value store
/// as well, so that it is also known of one that cannot be reached. What only newer versions
/// understand is used once every controller of the settings is known to understand it. Owned by
/// `Controller`.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using RecordVersion = std::uint64_t;

/// The first version neither reports nor records which one it is.
inline constexpr RecordVersion kFirstVersion = 1;
/// Understands services, and batches of heartbeats by way of the key-value store.
inline constexpr RecordVersion kServicesVersion = 2;
inline constexpr RecordVersion kOwnVersion = kServicesVersion;

class MemberVersions {
 public:
  MemberVersions(transport::Clock& clock, storage::KeyValueClient& store, const Settings& settings);

  /// Records this controller's own version and reads those of the others, until they are known.
  void start();
  /// A peer has just reported which version it runs.
  void peer_reported(const std::string& member, RecordVersion version);
  /// Whether every controller of the settings is known to understand this version. What a peer
  /// reports counts before what is recorded of it, as it may have been replaced by a process of an
  /// earlier version.
  bool all_understand(RecordVersion version) const;

 private:
  struct Record {
    RecordVersion version = kFirstVersion;
    std::uint64_t revision = 0;
  };

  bool understands(const std::string& member, RecordVersion version) const;
  void record_own_version();
  /// `replaced_revision`: of the record that is to be replaced, 0 for none.
  void write_own_version(std::uint64_t replaced_revision);
  /// Reads all records, again and again until every controller is known to run this version.
  void poll_records();
  void handle_records(const storage::ListReply& reply);
  /// Deletes the record of a member that has reported an earlier version.
  void delete_outdated_record(const std::string& member);

  transport::Clock& clock_;
  storage::KeyValueClient& store_;
  const Settings& settings_;
  bool polling_ = false;
  std::map<std::string, RecordVersion> reported_;  // in this process's life, by member
  std::map<std::string, Record> recorded_;         // by member
};

}  // namespace larkroad::coordination
