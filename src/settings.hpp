/// Platform settings and operator settings, read from TOML files and validated on load. The fields
/// of the files are mapped to the names below only in settings.cpp.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace larkroad {

/// Thrown for a settings file that is not valid; the message names the invalid field.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Address {
  std::string host;
  unsigned short port = 0;
  std::string text() const { return host + ":" + std::to_string(port); }
};

/// Another controller.
struct PeerSettings {
  std::string member;
  std::string zone;
  Address addr;
};

/// Value of a team's limit when it has none, which the settings file specifies as 0. Exceeds the
/// capacity of any fleet.
inline constexpr double kNoLimit = 1e12;

/// A team's quota: guaranteed resources and usage limits.
struct TeamSettings {
  std::string name;
  double cpus = 0;      ///< guaranteed
  double cpus_max = 0;  ///< limit; kNoLimit if unlimited
  double gpus = 0;      ///< guaranteed
  double gpus_max = 0;  ///< limit; kNoLimit if unlimited
};

/// A service-level objective for the jobs of a class.
struct Objective {
  std::string kind;       ///< wait, finished, deadline, guarantee, up, ...
  std::string job_class;  ///< empty: all classes
  double within_s = 0;
  double after_s = 0;  ///< a replica's time counts only from this long after its request
  double share = 0;
  double times = 1;
};

/// Limits of the key-value store.
struct StoreLimits {
  double value_kb = 0;              ///< size of one value
  int max_transaction_changes = 0;  ///< writes and deletes in one transaction
  double write_rps = 0;             ///< writes and deletes per second, total of all controllers
  double rps = 0;                   ///< requests per second, total of all controllers

  double value_bytes() const { return value_kb * 1024; }
};

inline constexpr double kDefaultReservationLimitS = 20;
inline constexpr double kDefaultStartBoundS = 240;

/// Settings chosen by operators, from a separate file. Each has a default.
struct OperatorSettings {
  /// How long a gang may hold a reservation while it still lacks resources.
  double reservation_limit_s = kDefaultReservationLimitS;
  /// Time after submission within which priority aging lets every job start, provided that the
  /// cluster can run it; 0 disables aging.
  double start_bound_s = kDefaultStartBoundS;
};

/// Platform settings, for this controller and for the whole cluster.
struct Settings {
  std::string member;     ///< name of this controller
  std::string zone;       ///< zone of this controller
  Address client_listen;  ///< listening address for users and workers
  Address peer_bind;      ///< listening address for the other controllers
  std::vector<PeerSettings> peers;
  Address cloud;
  Address state;  ///< the key-value store

  std::vector<std::string> zones;
  double clock_error_s = 0;  ///< bound on the error of the wall clock
  std::vector<TeamSettings> teams;
  std::vector<Objective> objectives;

  double heartbeat_interval_s = 0;
  double lease_s = 0;               ///< of a worker, from when it sent its last answered heartbeat
  double gang_wait_s = 0;           ///< a task that waits longer for its gang exits
  double gang_peer_s = 0;           ///< time within which a gang detects the loss of a task
  double cancellation_limit_s = 0;  ///< time within which the tasks of a cancelled job must be gone

  StoreLimits store_limits;  ///< current limits
  /// Limits that take effect at an unknown time; equal to the current ones if none are configured.
  StoreLimits next_store_limits;

  double cloud_rps = 0;   ///< requests per second, total of all controllers
  double list_lag_s = 0;  ///< usual delay of the cloud's machine list

  // Limits on what this controller may use of its host.
  double cpu_share = 1;
  double memory_mb = 0;
  int sockets = 0;

  OperatorSettings operators;

  /// Returns nullptr for an unknown team.
  const TeamSettings* team(const std::string& name) const;
  /// Returns the smaller of the current and the next limits. Everything written must respect both,
  /// as records outlive the change of limits.
  StoreLimits strictest_store_limits() const;
  size_t controller_count() const { return peers.size() + 1; }
};

/// Both throw SettingsError. Unknown fields are ignored.
Settings parse_settings(const std::string& toml_text);
Settings load_settings(const std::string& path);

/// Both throw SettingsError, including for unknown fields.
OperatorSettings parse_operators(const std::string& toml_text);
OperatorSettings load_operators(const std::string& path);

}  // namespace larkroad
