/// A stand-in for the cloud, as the protocol page describes it.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bench.hpp"
#include "worker.hpp"

namespace standin {

struct MachineType {
  std::string name;
  double cpus = 0, gpus = 0, memory_gb = 0, cache_gb = 0, fetch_gb_per_s = 0;
  double price = 0, spot_price = 0, boot_s = 0;
  std::vector<std::string> zones;
};

class Cloud {
 public:
  Cloud(Bench& bench, WorkerSettings worker_settings, std::vector<MachineType> types,
        Seconds list_lag);

  std::string address() const { return loopback(port_); }
  /// A machine that is up from the start.
  Worker& add_running_machine(const std::string& type, const std::string& zone, bool spot);
  /// The machine stops by itself, with all that is on it.
  void power_off(const std::string& machine);
  Worker* machine(const std::string& name);
  const std::vector<std::unique_ptr<Worker>>& machines() const { return machines_; }

  /// The share of its usual time that a machine takes to boot.
  double boot_factor = 1;
  /// The most machines that exist at a time; beyond that, "no capacity".
  std::size_t capacity = 40;
  /// 503 for everything.
  bool outage = false;

 private:
  struct Rented {
    Seconds created_at = 0;
    Seconds boots_until = 0;
    Seconds deleted_at = -1;
    Seconds died_at = -1;
  };

  void handle(const Request& request, const Respond& respond);
  Worker& create(const std::string& type, const std::string& zone, bool spot, Seconds boot);
  Response rent(const Json& request);
  Response give_back(const Json& request);
  Response list(const std::string& target) const;
  Response catalog() const;

  Bench& bench_;
  WorkerSettings worker_settings_;
  std::vector<MachineType> types_;
  Seconds list_lag_;
  unsigned short port_;
  std::vector<std::unique_ptr<Worker>> machines_;
  std::map<std::string, Rented> rented_;
  std::map<std::string, std::string> granted_;
  int next_number_ = 1;
  std::unique_ptr<larkroad::transport::HttpServer> server_;
};

}  // namespace standin
