// The settings file that the platform hands over (TOML), checked.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace larkroad {

struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Address {
  std::string host;
  unsigned short port = 0;
  std::string text() const { return host + ":" + std::to_string(port); }
};

struct PeerSettings {
  std::string member;
  std::string zone;
  Address addr;
};

// A team's limit that the settings give as 0, which means none: above what any fleet has.
inline constexpr double kNoLimit = 1e12;

struct TeamSettings {
  std::string name;
  double cpus = 0;
  double cpus_max = 0;
  double gpus = 0;
  double gpus_max = 0;
};

struct Objective {
  std::string kind;       // wait, finished, deadline, guarantee, up, ...
  std::string job_class;  // empty: all
  double within_s = 0;
  double after_s = 0;  // a replica's time counts from so long after it was asked for
  double share = 0;
  double times = 1;
};

// Limits of the state service on what is written there.
struct StoreLimits {
  double value_kb = 0;              // of one value
  int max_transaction_changes = 0;  // writes and deletes of one transaction
  double write_rps = 0;             // writes and deletes in a second, of all controllers together
  double rps = 0;                   // requests in a second, of all controllers together

  double value_bytes() const { return value_kb * 1024; }
};

// The operators' own settings, from a file beside the platform's; each has a default.
struct OperatorSettings {
  double reservation_limit_s = 20;  // how long a gang may hold room while it lacks some
  double start_bound_s = 240;  // triage delays no job's start past this, if there is room at all
};

struct Settings {
  std::string member;
  std::string zone;
  Address client_listen;
  Address peer_bind;
  std::vector<PeerSettings> peers;
  Address cloud;
  Address state;

  std::vector<std::string> zones;
  double clock_error_s = 0;
  std::vector<TeamSettings> teams;
  std::vector<Objective> objectives;

  double heartbeat_interval_s = 0;
  double lease_s = 0;
  double gang_wait_s = 0;
  double gang_peer_s = 0;
  double cancellation_limit_s = 0;

  StoreLimits store_limits;  // at present
  // Those that come into force at a moment that is not known; without any, the same as at present.
  StoreLimits next_store_limits;

  double cloud_rps = 0;
  double list_lag_s = 0;

  double cpu_share = 1;
  double memory_mb = 0;
  int sockets = 0;

  OperatorSettings operators;

  const TeamSettings* team(const std::string& name) const;
  // The smaller of the present and the next limits, by which all that is written must go: a record
  // outlives the moment at which the limits change.
  StoreLimits lasting_store_limits() const;
  size_t controller_count() const { return peers.size() + 1; }
};

// Throws SettingsError that names the field at fault.
Settings parse_settings(const std::string& toml_text);
Settings load_settings(const std::string& path);
OperatorSettings parse_operators(const std::string& toml_text);
OperatorSettings load_operators(const std::string& path);

}  // namespace larkroad
