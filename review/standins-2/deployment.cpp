#include "deployment.hpp"

#include <signal.h>
#include <unistd.h>

#include <asio/signal_set.hpp>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace standin {
namespace {

std::string argument(int argc, char** argv, int index) {
  if (index >= argc) throw std::runtime_error("usage: case REPOSITORY RECORD");
  return argv[index];
}

std::string zone_list(const std::vector<std::string>& zones) {
  std::string out;
  for (const auto& zone : zones) out += (out.empty() ? "\"" : ", \"") + zone + "\"";
  return "[" + out + "]";
}

std::string member_name(std::size_t index) { return "perch-" + std::to_string(index); }

}  // namespace

Site seri() {
  Site site;
  site.name = "seri-dispatch";
  site.zones = {"kl-timur", "penang"};
  site.cpu = 0.048;
  site.ram_mb = 40;
  site.sockets = 600;
  site.clock_error_ms = 100;
  site.state_rps = 200;
  site.state_write_rps = 25;
  site.value_kb = 4;
  site.txn_ops = 8;
  site.state_latency_s = 0.005;
  site.cloud_rps = 5;
  site.list_lag_s = 5;
  site.report_s = 2.5;
  site.lease_s = 14;
  site.gang_wait_s = 30;
  site.gang_peer_s = 4;
  site.cancel_s = 34;
  site.types = {{"kecil", 4, 0, 16, 60, 0.4, 0.27, 0.07, 35, site.zones},
                {"sedang", 32, 0, 256, 60, 0.4, 2.4, 0.66, 50, site.zones}};
  site.teams = R"(
[[cluster.teams]]
name = "roster"
cpus = 64.0
cpus_max = 112.0
gpus = 4.0
gpus_max = 12.0

[[cluster.teams]]
name = "tambang"
cpus = 64.0
cpus_max = 152.0
gpus = 2.0
gpus_max = 8.0
)";
  site.objectives = R"(
[[cluster.objectives]]
kind = "wait"
class = "roster-gang"
within_s = 60.0
share = 0.93

[[cluster.objectives]]
kind = "guarantee"
within_s = 10.0
share = 0.85
)";
  return site;
}

Site villarreal() {
  Site site;
  site.name = "villarreal-etiquetas";
  site.zones = {"planta-zapopan"};
  site.cpu = 0.048;
  site.ram_mb = 104;
  site.sockets = 1800;
  site.clock_error_ms = 250;
  site.state_rps = 150;
  site.state_write_rps = 60;
  site.value_kb = 8;
  site.txn_ops = 16;
  site.state_latency_s = 0.003;
  site.cloud_rps = 5;
  site.list_lag_s = 6;
  site.report_s = 3;
  site.lease_s = 22;
  site.gang_wait_s = 35;
  site.gang_peer_s = 8;
  site.cancel_s = 47;
  site.types = {{"caja-chica", 4, 0, 16, 70, 0.8, 0.17, 0.04, 25, site.zones},
                {"mesa-pliego", 8, 0, 64, 60, 0.3, 0.45, 0.11, 35, site.zones}};
  site.teams = R"(
[[cluster.teams]]
name = "preprensa"
cpus = 120.0
cpus_max = 192.0
gpus = 8.0
gpus_max = 25.0

[[cluster.teams]]
name = "color"
cpus = 240.0
cpus_max = 728.0
gpus = 16.0
gpus_max = 40.0
)";
  site.objectives = R"(
[[cluster.objectives]]
kind = "guarantee"
within_s = 5.0
share = 0.96
)";
  return site;
}

Deployment::Deployment(Site the_site, int argc, char** argv, std::size_t controller_count)
    : site(std::move(the_site)),
      bench(argument(argc, argv, 2)),
      store(bench, {site.value_kb, site.txn_ops, site.state_rps, site.state_write_rps,
                    site.state_latency_s}),
      repository_(argument(argc, argv, 1)),
      count_(controller_count) {
  const char* trouble = std::getenv("TROUBLE");
  trouble_ = trouble == nullptr || std::string(trouble) != "0";
  std::string pattern = (std::filesystem::temp_directory_path() / "larkroad-review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
  temporary_ = pattern;
  controllers = std::make_unique<Controllers>(bench, repository_, temporary_);
  WorkerSettings workers;
  workers.report_s = site.report_s;
  workers.lease_s = site.lease_s;
  workers.gang_wait_s = site.gang_wait_s;
  workers.gang_peer_s = site.gang_peer_s;
  workers.book = &book;
  for (std::size_t i = 0; i < count_; ++i) {
    client_addresses_.push_back(loopback(free_port()));
    peer_addresses_.push_back(loopback(free_port()));
    store_addresses_.push_back(store.open_port_for(member_name(i)));
    workers.controllers.emplace_back(member_name(i), client_addresses_.back());
  }
  cloud = std::make_unique<Cloud>(bench, workers, site.types, site.list_lag_s);
  users = std::make_unique<Users>(bench, book, client_addresses_);
  bench.record("site " + site.name + ", TROUBLE=" + (trouble_ ? "1" : "0"));
}

Deployment::~Deployment() {
  controllers->end_all();
  if (std::getenv("KEEP_LOGS") != nullptr) {
    std::cerr << "logs in " << temporary_ << '\n';
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(temporary_, ignored);
}

std::string Deployment::settings_of(std::size_t index) const {
  const auto zone = [this](std::size_t i) { return site.zones[i % site.zones.size()]; };
  std::ostringstream out;
  out.precision(10);
  const auto number = [](double value) {
    std::ostringstream text;
    text << value;
    return text.str().find('.') == std::string::npos ? text.str() + ".0" : text.str();
  };
  out << "member = \"" << member_name(index) << "\"\nzone = \"" << zone(index)
      << "\"\nclient_listen = \"" << client_addresses_[index] << "\"\npeer_bind = \""
      << peer_addresses_[index] << "\"\n";
  for (std::size_t i = 0; i < count_; ++i) {
    if (i == index) continue;
    out << "\n[[peers]]\nmember = \"" << member_name(i) << "\"\nzone = \"" << zone(i)
        << "\"\naddr = \"" << peer_addresses_[i] << "\"\n";
  }
  out << "\n[endpoints]\ncloud = \"" << cloud->address() << "\"\nstate = \""
      << store_addresses_[index] << "\"\n\n[cluster]\ncount = " << count_
      << "\nzones = " << zone_list(site.zones)
      << "\nclock_error_ms = " << number(site.clock_error_ms) << "\n"
      << site.teams << site.objectives << "\n[cluster.workers]\nreport_s = "
      << number(site.report_s) << "\nlease_s = " << number(site.lease_s)
      << "\ngang_wait_s = " << number(site.gang_wait_s)
      << "\ngang_peer_s = " << number(site.gang_peer_s) << "\ncancel_s = " << number(site.cancel_s)
      << "\n\n[cluster.state]\nrps = " << number(site.state_rps)
      << "\nwrite_rps = " << number(site.state_write_rps)
      << "\nvalue_kb = " << number(site.value_kb) << "\ntxn_ops = " << site.txn_ops
      << "\n\n[cluster.cloud]\nrps = " << number(site.cloud_rps)
      << "\nlist_lag_s = " << number(site.list_lag_s)
      << "\n\n[cluster.resources]\ncpu = " << number(site.cpu)
      << "\nram_mb = " << number(site.ram_mb) << "\nsockets = " << site.sockets << "\n";
  return out.str();
}

void Deployment::start() {
  for (std::size_t i = 0; i < count_; ++i) controllers->add(member_name(i), settings_of(i));
  for (std::size_t i = 0; i < count_; ++i) controllers->start(i);
}

int Deployment::leader() const {
  const Json data = store.data("leader");
  if (!data.is_object()) return -1;
  for (std::size_t i = 0; i < count_; ++i) {
    if (data.value("member", "") == member_name(i)) return static_cast<int>(i);
  }
  return -1;
}

void Deployment::when_healthy(std::function<void()> action) {
  bench.client.call(client_addresses_.front(), {"GET", "/healthz", ""}, 1,
                    [this, action](Outcome outcome, const Response& response) {
                      if (outcome == Outcome::answered && response.status == 200 && leader() >= 0) {
                        bench.record("ready, leader perch-" + std::to_string(leader()));
                        action();
                      } else {
                        bench.after(0.1, [this, action] { when_healthy(action); });
                      }
                    });
}

int Deployment::run(Seconds limit) {
  asio::signal_set signals(bench.io, SIGTERM, SIGINT);
  signals.async_wait([this](const asio::error_code& error, int) {
    if (!error) finish(could_not_run, "ended from outside");
  });
  bench.after(limit, [this] { finish(could_not_run, "the case took too long"); });
  bench.every(1, [this] {
    if (controllers->any_ended_by_itself()) finish(could_not_run, "a controller ended by itself");
  });
  bench.io.run();
  controllers->end_all();
  return verdict_;
}

void Deployment::finish(Verdict verdict, const std::string& why) {
  if (finished_) return;
  finished_ = true;
  verdict_ = verdict;
  const char* names[] = {"the rule held", "the rule was broken", "the case could not run"};
  bench.record(std::string(names[verdict]) + ": " + why);
  std::cout << names[verdict] << ": " << why << '\n';
  bench.io.stop();
}

Json submission(const std::string& id, const std::string& team, const std::string& shape, int tasks,
                double cpus, double memory_gb) {
  return {{"ref", id},         {"lane", "roster-gang"}, {"crew", team},      {"shape", shape},
          {"rank", "normal"},  {"legs", tasks},         {"cores", cpus},     {"accelerators", 0.0},
          {"memGb", memory_gb}, {"cargo", "img-01"},     {"pullGb", 0.2},     {"breeds", nullptr},
          {"yard", nullptr},   {"samePlace", false},    {"apart", false},    {"loaners", false},
          {"expectS", 600.0},  {"waypointS", 45.0},     {"stowS", 2.0},      {"dueS", nullptr}};
}

}  // namespace standin
