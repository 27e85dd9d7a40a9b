// Which version of the records and messages each controller understands. Controllers tell it to
// their peers, and each keeps its own in the state service, so that it is also known of one that
// cannot be reached. What only newer versions understand is used once all controllers do.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "settings.hpp"
#include "storage/key_value_client.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using RecordVersion = std::uint64_t;

// The first version neither tells nor records which one it is.
inline constexpr RecordVersion kFirstVersion = 1;
// Knows services: jobs whose tasks are never done.
inline constexpr RecordVersion kServicesVersion = 2;
inline constexpr RecordVersion kOwnVersion = kServicesVersion;

class MemberVersions {
 public:
  MemberVersions(transport::Clock& clock, storage::KeyValueClient& store, const Settings& settings);

  // Records this controller's own version and reads those of the others.
  void start();
  // A peer has said which version it runs, just now.
  void peer_reported(const std::string& member, RecordVersion version);
  // Whether every controller of the settings is known to understand this version. What a peer says
  // itself counts before what is recorded of it: a process may come back with an earlier version.
  bool all_understand(RecordVersion version) const;

 private:
  void record_own();
  void write_own(std::uint64_t replaced_revision);
  // Until all controllers are known to understand this version.
  void read_all();
  void drop_outdated(const std::string& member);

  transport::Clock& clock_;
  storage::KeyValueClient& store_;
  const Settings& settings_;
  bool reading_ = false;
  std::map<std::string, RecordVersion> heard_;
  struct Recorded {
    RecordVersion version = kFirstVersion;
    std::uint64_t revision = 0;
  };
  std::map<std::string, Recorded> recorded_;
};

}  // namespace larkroad::coordination
