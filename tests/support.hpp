/// Helpers shared by several tests: settings of a small deployment, and machines and jobs of a
/// cluster.
#pragma once

#include <string>

#include "coordination/cluster_state/cluster_state.hpp"
#include "settings.hpp"

namespace larkroad::testing {

/// Settings of a small fictitious deployment with two zones and two teams.
// NOLINTNEXTLINE(readability-function-size): a single literal, the settings file.
inline std::string settings_text() {
  return R"(
member = "node-0"
zone = "east"
client_listen = "127.0.0.1:18080"
peer_bind = "127.0.0.1:18081"

[[peers]]
member = "node-1"
zone = "west"
addr = "127.0.0.2:18081"

[[peers]]
member = "node-2"
zone = "east"
addr = "127.0.0.3:18081"

[endpoints]
cloud = "127.0.0.9:443"
state = "127.0.0.8:2379"

[cluster]
count = 3
zones = ["east", "west"]
clock_error_ms = 100.0

[[cluster.teams]]
name = "red"
cpus = 16.0
cpus_max = 32.0
gpus = 2.0
gpus_max = 4.0

[[cluster.teams]]
name = "blue"
cpus = 16.0
cpus_max = 64.0

[[cluster.objectives]]
kind = "wait"
class = "short"
within_s = 1.0
share = 0.9

[cluster.workers]
report_s = 2.0
lease_s = 12.0
gang_wait_s = 20.0
gang_peer_s = 4.0
cancel_s = 30.0

[cluster.state]
rps = 100.0
write_rps = 50.0
value_kb = 4.0
txn_ops = 8

[cluster.cloud]
rps = 5.0
list_lag_s = 4.0

[cluster.resources]
cpu = 0.05
ram_mb = 40.0
sockets = 200
)";
}

inline Settings settings() { return parse_settings(settings_text()); }

/// Machine types. Only "gpu" has GPUs, and it is available in only one zone.
inline std::vector<protocol::MachineType> types() {
  protocol::MachineType small{"small", 4, 0, 16, 50, 0.5, 0.2, 0.05, 30, {"east", "west"}};
  protocol::MachineType large{"large", 16, 0, 64, 50, 0.5, 1.0, 0.25, 40, {"east", "west"}};
  protocol::MachineType gpu{"gpu", 16, 4, 64, 100, 0.5, 8.0, 2.0, 50, {"east"}};
  return {small, large, gpu};
}

/// A job of team "red" whose tasks may run on any machine.
inline protocol::JobSpec spec(const std::string& id, std::uint32_t tasks = 1, double cpus = 2) {
  protocol::JobSpec spec;
  spec.id = id;
  spec.job_class = "plain";
  spec.team = "red";
  spec.tasks = tasks;
  spec.cpus = cpus;
  spec.memory_gb = 1;
  spec.image = "image";
  spec.image_gb = 1;
  spec.estimate_s = 10;
  return spec;
}

/// A service of team "red" whose replicas run until it is cancelled.
inline protocol::JobSpec service(const std::string& id, std::uint32_t replicas = 3,
                                 double cpus = 1) {
  protocol::JobSpec service = spec(id, replicas, cpus);
  service.shape = protocol::Shape::service;
  service.priority = protocol::Priority::production;
  service.job_class = "serving";
  service.estimate_s = 0;
  return service;
}

/// Adds an accepted job.
inline coordination::Job& add_job(coordination::ClusterState& cluster,
                                  const protocol::JobSpec& spec, double submitted_at = 0) {
  constexpr std::uint32_t kTasksPerShard = 64;
  return cluster.add_job(spec.id, {spec, submitted_at, kTasksPerShard, false}, 1);
}

/// Adds an idle machine that is up and in the cloud's machine list.
inline coordination::Machine& add_machine(coordination::ClusterState& cluster,
                                          const std::string& name, const std::string& type,
                                          const std::string& zone = "east", bool spot = false) {
  auto& machine = cluster.machine(name);
  machine.has_reported = true;
  machine.identity_confirmed = true;
  machine.incarnation = 1;
  machine.zone = zone;
  machine.spot = spot;
  machine.address = "10.0.0.1:1";
  machine.rented_at = 0.001;
  machine.last_worker_heartbeat_at = 1e6;  // later than any time in the tests: stays alive
  cluster.set_type(machine, type);
  return machine;
}

}  // namespace larkroad::testing
