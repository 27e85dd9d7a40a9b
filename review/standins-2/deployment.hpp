/// A small deployment: controllers, store, cloud, workers and users, with the figures of a site.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "bench.hpp"
#include "cloud.hpp"
#include "controllers.hpp"
#include "store.hpp"
#include "users.hpp"

namespace standin {

struct Site {
  std::string name;
  std::vector<std::string> zones;
  double cpu = 0, ram_mb = 0;
  int sockets = 0;
  double clock_error_ms = 0;
  double state_rps = 0, state_write_rps = 0, value_kb = 0, state_latency_s = 0;
  int txn_ops = 0;
  double cloud_rps = 0, list_lag_s = 0;
  double report_s = 0, lease_s = 0, gang_wait_s = 0, gang_peer_s = 0, cancel_s = 0;
  std::vector<MachineType> types;
  std::string teams;  // as TOML
  std::string objectives;  // as TOML
};

Site seri();
Site villarreal();

/// Exit codes of a case.
enum Verdict { kept = 0, broken = 1, could_not_run = 2 };

struct Link {
  std::string from, to;  // members
};

class Deployment {
 public:
  /// `folder`: where the record goes; taken from the arguments of the program.
  Deployment(Site site, int argc, char** argv, std::size_t controller_count = 3);
  ~Deployment();

  /// Writes the settings and starts all controllers.
  void start();
  /// The index of the controller that leads, by the leader's key in the store; -1: none.
  int leader() const;
  /// Whether a controller answers /healthz with 200.
  void when_healthy(std::function<void()> action);
  /// Runs the loop until `finish` has been called; returns its verdict. Ends after `limit` at the
  /// latest.
  int run(Seconds limit);
  void finish(Verdict verdict, const std::string& why);
  /// False with TROUBLE=0.
  bool trouble() const { return trouble_; }

  const std::vector<std::string>& client_addresses() const { return client_addresses_; }

  Site site;
  Bench bench;
  JobBook book;
  Store store;
  std::unique_ptr<Cloud> cloud;
  std::unique_ptr<Users> users;
  std::unique_ptr<Controllers> controllers;

 private:
  std::string settings_of(std::size_t index) const;

  std::string repository_, temporary_;
  std::size_t count_;
  std::vector<std::string> client_addresses_, peer_addresses_, store_addresses_;
  bool trouble_ = true;
  int verdict_ = could_not_run;
  bool finished_ = false;
};

/// A submission with the fields that the protocol page shows.
Json submission(const std::string& id, const std::string& team, const std::string& shape, int tasks,
                double cpus, double memory_gb);

}  // namespace standin
