/// The settings file of the platform (TOML) and the operators' own, checked when they are read. The
/// files' field names are mapped to the names below in settings.cpp alone.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace larkroad {

/// A settings file that cannot be used; the message names the field at fault.
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

/// A team's limit that the settings give as 0, which means none: above what any fleet has.
inline constexpr double kNoLimit = 1e12;

/// A team's quota: guaranteed resources, and the limit of what it may use.
struct TeamSettings {
  std::string name;
  double cpus = 0;      ///< guaranteed
  double cpus_max = 0;  ///< limit; kNoLimit: none
  double gpus = 0;      ///< guaranteed
  double gpus_max = 0;  ///< limit; kNoLimit: none
};

/// A service-level objective for the jobs of a class.
struct Objective {
  std::string kind;       ///< wait, finished, deadline, guarantee, up, ...
  std::string job_class;  ///< empty: all
  double within_s = 0;
  double after_s = 0;  ///< a replica's time counts from so long after it was requested
  double share = 0;
  double times = 1;
};

/// Limits of the key-value store.
struct StoreLimits {
  double value_kb = 0;              ///< of one value
  int max_transaction_changes = 0;  ///< writes and deletes of one transaction
  double write_rps = 0;             ///< writes and deletes in a second, of all controllers together
  double rps = 0;                   ///< requests in a second, of all controllers together

  double value_bytes() const { return value_kb * 1024; }
};

inline constexpr double kDefaultReservationLimitS = 20;
inline constexpr double kDefaultStartBoundS = 240;

/// The operators' own settings, from a file beside the platform's; each has a default.
struct OperatorSettings {
  /// How long a gang may reserve resources while it lacks some.
  double reservation_limit_s = kDefaultReservationLimitS;
  /// Priority aging delays no job's start past this, if there are resources at all.
  double start_bound_s = kDefaultStartBoundS;
};

/// What the platform sets, for this controller and for the whole cluster.
struct Settings {
  std::string member;     ///< this controller's name
  std::string zone;       ///< where this controller runs
  Address client_listen;  ///< for users and workers
  Address peer_bind;      ///< for the other controllers
  std::vector<PeerSettings> peers;
  Address cloud;
  Address state;  ///< the key-value store

  std::vector<std::string> zones;
  double clock_error_s = 0;  ///< bound on the error of the time of day
  std::vector<TeamSettings> teams;
  std::vector<Objective> objectives;

  double heartbeat_interval_s = 0;
  double lease_s = 0;      ///< of a worker, from the sending of its last answered heartbeat
  double gang_wait_s = 0;  ///< a task that waits for its gang for longer exits
  double gang_peer_s = 0;  ///< within which a gang notices that it lost a task
  double cancellation_limit_s = 0;  ///< within which the tasks of a cancelled job must be gone

  StoreLimits store_limits;  ///< at present
  /// Those that come into force at a moment that is not known; without any, the present ones.
  StoreLimits next_store_limits;

  double cloud_rps = 0;   ///< requests in a second, of all controllers together
  double list_lag_s = 0;  ///< by which the cloud's list of machines usually lags

  // What this controller may use of its host.
  double cpu_share = 1;
  double memory_mb = 0;
  int sockets = 0;

  OperatorSettings operators;

  /// Returns nullptr for an unknown team.
  const TeamSettings* team(const std::string& name) const;
  /// The smaller of the present and the next limits. All that is written must keep to them, as a
  /// record outlives the moment at which the limits change.
  StoreLimits lasting_store_limits() const;
  size_t controller_count() const { return peers.size() + 1; }
};

/// These throw SettingsError. Fields that are not known are ignored.
Settings parse_settings(const std::string& toml_text);
Settings load_settings(const std::string& path);

/// These throw SettingsError, also for a field that is not known.
OperatorSettings parse_operators(const std::string& toml_text);
OperatorSettings load_operators(const std::string& path);

}  // namespace larkroad
