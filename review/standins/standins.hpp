/// Stand-ins for everything around larkroad's controllers, on loopback and the real clock: the state
/// service, the cloud, the workers and the users. They follow the users' PROTOCOL page. One process
/// holds all of them and starts the controllers as separate processes.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "transport/asio_clock.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

namespace review {

using Json = nlohmann::json;
using larkroad::transport::AsioClock;
using larkroad::transport::HttpClient;
using larkroad::transport::HttpServer;
using larkroad::transport::Outcome;
using larkroad::transport::Request;
using larkroad::transport::Respond;
using larkroad::transport::Response;
using larkroad::transport::Seconds;

struct Team {
  std::string name;
  double cpus, cpus_max, gpus, gpus_max;
};

struct MachineType {
  std::string name;
  double cpus, gpus, memory_gb, cache_gb, fetch_gb_per_s, price, spot_price, boot_s;
};

/// The deployment, as a site file describes it.
struct Site {
  std::string name;
  std::vector<std::string> controller_zones;  // one entry a controller
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<MachineType> types;
  double report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s;
  double state_rps, write_rps, value_kb;
  int txn_ops;
  double cloud_rps, list_lag_s;
  double cpu, ram_mb;
  int sockets;
};
Site seri_dispatch();
Site villarreal_etiquetas();

class World;

/// Writes record.txt.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void set_clock(std::function<Seconds()> elapsed) { elapsed_ = std::move(elapsed); }
  void line(const std::string& text);

 private:
  std::ofstream out_;
  std::function<Seconds()> elapsed_ = [] { return 0.0; };
};

/// The state service. Each controller reaches it at an address of its own, so that faults can be
/// limited to one of them.
class StateService {
 public:
  explicit StateService(World& world);
  void handle(size_t controller, const Request& request, Respond respond);

  /// Controllers that are refused with 503 (open watches then wait).
  std::set<size_t> refused;
  /// Controllers that are cut off: their requests get no answer.
  std::set<size_t> cut_off;
  /// Called for each transaction before it is carried out; returns whether it took the request over.
  std::function<bool(size_t controller, const Json& transaction, const Request& request,
                     const Respond& respond)>
      intercept = [](size_t, const Json&, const Request&, const Respond&) { return false; };
  /// Called after each transaction that was carried out.
  std::function<void(size_t controller, const Json& transaction)> on_applied =
      [](size_t, const Json&) {};
  Response commit(const Json& transaction);
  void end_outage();

 private:
  struct Pair {
    Json data;
    std::uint64_t mark = 0;
    std::uint64_t hold = 0;
  };
  struct Grant {
    Seconds life = 0;
    Seconds ends_at = 0;
  };
  struct Watch {
    size_t controller;
    std::string prefix;
    std::uint64_t since;
    Seconds ends_at;
    Respond respond;
  };
  Response get(const std::string& key) const;
  Response list(const std::map<std::string, std::string>& query) const;
  void watch(size_t controller, const std::map<std::string, std::string>& query, Respond respond);
  Response grants(const Request& request);
  void drop_key(const std::string& key);
  void end_grant(std::uint64_t id);
  bool answer(const Watch& watch, bool at_end) const;
  void tick();

  World& world_;
  std::uint64_t ledger_ = 0;
  std::uint64_t next_grant_ = 1;
  std::map<std::string, Pair> pairs_;
  std::map<std::uint64_t, Grant> grants_;
  std::list<Watch> watches_;
  double request_tokens_ = 0, write_tokens_ = 0;
  Seconds refilled_at_ = 0;
  /// Whether the rates of the settings allow the request.
  bool within_rates(const Request& request);
  struct Event {
    std::string key;
    Json json;
    std::uint64_t mark;
  };
  std::deque<Event> events_;
};

struct Submission {
  Json body;
  std::string id;
  double cores, accelerators, memory_gb, run_s, waypoint_s, stow_s;
  std::uint32_t legs;
  std::string team, shape;
  bool submitted = false;
  bool accepted = false;
  std::optional<Seconds> cancel_confirmed;
  std::optional<Seconds> cancel_asked;
  std::optional<Seconds> accepted_at;
  std::optional<Seconds> done_told;
  std::optional<Seconds> all_done_at;
};

class Worker;

/// The cloud: rents machines and lists them with a lag.
class Cloud {
 public:
  explicit Cloud(World& world) : world_(world) {}
  void handle(const Request& request, const Respond& respond);
  /// Rents a machine without a request, as if rented before the test began.
  std::string add_machine(const std::string& type, const std::string& zone, bool spot,
                          Seconds boot_s);
  Seconds boot_s = 1.5;  ///< "at times machines are up within a second or two"
  /// Whether this kind of machine can be rented.
  std::function<bool(const std::string& type, const std::string& zone, bool spot)> has_room =
      [](const std::string&, const std::string&, bool) { return true; };

  struct Machine {
    std::string name, type, zone, address;
    bool spot = false;
    Seconds rented_at = 0;
    Seconds up_at = 0;
    std::optional<Seconds> gone_at;
    std::shared_ptr<Worker> worker;
  };
  std::map<std::string, Machine> machines;

 private:
  World& world_;
  int next_ = 231;
  std::map<std::string, Json> answered_;
};

/// A worker with its machine.
class Worker : public std::enable_shared_from_this<Worker> {
 public:
  Worker(World& world, std::string name, std::string type, std::string zone, bool spot);
  void start();
  void terminate();
  std::string address;
  std::string name, type, zone;
  bool spot;
  bool mute = false;      ///< its reports reach no controller
  bool deaf = false;      ///< answers and commands to it are lost
  bool sick = false;      ///< every task that it starts fails
  /// By how long the answer to a report is held up on its way.
  std::function<Seconds()> answer_delay = [] { return 0.0; };
  /// The time to the next report in multiples of `report_s`: between 0.75 and 1.25. None: at random.
  std::optional<double> next_report_factor;
  std::optional<Seconds> hung_until;
  /// Called with each report that is sent.
  std::function<void(size_t controller, const Json& report)> on_report = [](size_t, const Json&) {};
  bool has_leg(const std::string& job) const;
  bool runs_leg(const std::string& job) const;
  std::uint64_t baton() const { return baton_; }
  /// Announces that the cloud takes the machine away.
  void announce_recall(Seconds notice);
  /// Takes over direct commands; returns whether it did.
  std::function<bool(const Request&, const Respond&)> intercept = [](const Request&,
                                                                     const Respond&) {
    return false;
  };
  /// Completes the running tasks of a job.
  void complete(const std::string& job);
  /// Carries out a direct command or question.
  void carry_out(const Request& request, const Respond& respond);
  void gang_changed(const std::string& job, std::uint64_t attempt);
  Json report_body(bool advance);

 private:
  struct Leg {
    std::string stage = "fetching";
    std::string cause;
    bool saved = false;
    bool on_machine = false;
    std::uint64_t launch = 0;
  };
  using Key = std::pair<std::string, std::uint64_t>;  // "job-1/0", try
  void send_report();
  void schedule_report(Seconds delay);
  void changed();
  void on_response(Seconds sent, std::uint64_t flight, Outcome outcome, const Response& response);
  void execute(const Json& calls, const std::string& how);
  void launch(const Key& key);
  void exit_leg(const Key& key, const std::string& cause, bool saved);
  void handle(const Request& request, const Respond& respond);
  void check_lease();
  void end_all();
  void later(Seconds delay, std::function<void()> action);

  World& world_;
  std::unique_ptr<HttpServer> server_;
  std::map<Key, Leg> legs_;
  std::set<std::string> images_;
  std::uint64_t flight_ = 1, tick_ = 0, baton_ = 0, launches_ = 0;
  Seconds lease_from_ = 0;
  Seconds last_sent_ = -1;
  size_t controller_ = 0;
  bool in_flight_ = false, changed_ = false, terminated_ = false, up_ = false;
  std::uint64_t report_timer_ = 0;
  std::optional<Seconds> recall_at_;
  void run_leg(const Key& key);
  void member_lost(const Key& key);
  friend class World;
};

/// One controller process.
class Controller {
 public:
  Controller(World& world, size_t index);
  void start();
  void kill();
  void stop_signal();
  void continue_signal();
  bool running() const { return pid_ > 0; }
  /// Whether the process has ended by itself.
  bool ended_by_itself();
  std::string client, peer, state, member;
  std::map<size_t, std::string> peer_as_seen_by;  // through a proxy
  std::set<size_t> cut_from;                      // peers that do not reach it

 private:
  World& world_;
  size_t index_;
  int pid_ = 0;
};

/// The load balancer in front of the users' addresses. It chooses a healthy controller for each new
/// connection, the one with the fewest open ones, and passes bytes on. Health is probed each second
/// and judged as the protocol page says; the rise of a new controller's share over 10 s is left out.
class LoadBalancer {
 public:
  explicit LoadBalancer(World& world);
  void start();
  std::string address;
  bool healthy(size_t controller) const { return nodes_[controller].healthy; }

 private:
  struct Connection;
  struct Node {
    std::deque<bool> probes;  // the last six
    bool healthy = false;
    bool ever_healthy = false;
    Seconds changed_at = 0;
    Seconds pause = 3;
    Seconds removed_at = -1;
    Seconds skipped_until = 0;
    int refused = 0;
  };
  void accept();
  void probe(size_t controller);
  void judge_probe(size_t controller, bool answered);
  void connect(const std::shared_ptr<Connection>& connection, std::set<size_t> tried);
  void pass(const std::shared_ptr<Connection>& connection, bool upwards);
  void reset_old_connections(size_t controller);

  World& world_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<Node> nodes_;
  std::list<std::weak_ptr<Connection>> connections_;
};

/// What is known of tasks on machines; judges the rules.
class Judge {
 public:
  explicit Judge(World& world) : world_(world) {}
  void task_on_machine(const std::string& leg, const std::string& machine);
  void check_place(const std::string& leg, const std::string& machine);
  void user_was_told(const std::string& id, int status, const std::string& stage, Seconds asked,
                     const std::string& what);
  void task_off_machine(const std::string& leg, const std::string& machine);
  void check_cancelled();
  void broken(const std::string& rule, const std::string& text);
  std::map<std::string, std::vector<std::string>> violations;  // by rule
  std::map<std::string, int> completions;
  std::set<std::string> done;  // legs
  std::map<std::string, std::set<std::string>> where;  // leg -> machines

 private:
  World& world_;
};

class World {
 public:
  World(Site site, const std::string& folder, std::vector<std::string> run_command, bool trouble,
        bool peer_proxies = false);
  ~World();

  /// Starts the controllers, waits until one is healthy, and calls `ready`.
  void start(std::function<void()> ready);
  /// Runs until `finish` or the time limit; returns the exit status.
  int run(Seconds limit);
  void finish(int status, const std::string& text);
  /// Ends the run: status 1 if this rule was broken, 0 if nothing was, 2 if only something else was.
  void conclude(const std::string& rule);

  Seconds now() const { return clock.now() - started_at; }
  void after(Seconds delay, std::function<void()> action) { clock.after(delay, std::move(action)); }
  /// Calls `then` once `condition` holds; ends the run with status 2 if it does not within `limit`.
  void when(const std::string& what, Seconds limit, std::function<bool()> condition,
            std::function<void()> then);
  double random() { return std::uniform_real_distribution<double>(0, 1)(generator); }

  // Users.
  Submission& job(const std::string& id, Json changes, double run_s);
  /// Submits until an answer is final.
  void submit(const std::string& id, std::function<void(int status)> then = [](int) {},
              std::optional<size_t> controller = std::nullopt);
  void cancel(const std::string& id, std::function<void()> then = [] {},
              std::optional<size_t> controller = std::nullopt);
  void query(const std::string& id, size_t controller,
             std::function<void(int status, const std::string& stage)> then);
  size_t healthy_controller();

  asio::io_context io{1};
  AsioClock clock{io};
  HttpClient client{io, clock, 4000};
  Site site;
  bool trouble;
  Seconds started_at;
  std::mt19937 generator{1};
  Record record;
  StateService state{*this};
  Cloud cloud{*this};
  Judge judge{*this};
  std::vector<std::unique_ptr<Controller>> controllers;
  std::map<std::string, Submission> jobs;
  std::vector<std::string> run_command;
  std::string work_folder;
  std::vector<Respond> unanswered;  // kept, so that the connection stays open
  bool with_peer_proxies = false;
  /// How long the state service takes for a request.
  std::function<Seconds()> state_delay = [] { return 0.003; };
  /// How long a message between two controllers takes on its way through their proxy.
  std::function<Seconds()> peer_delay = [] { return 0.0; };
  /// Members of gangs by job and attempt that have their image.
  std::map<std::pair<std::string, std::uint64_t>, std::map<std::string, Worker*>> gangs;
  std::set<std::pair<std::string, std::uint64_t>> started_gangs;

 private:
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::optional<int> status_;
  std::string cloud_address_;
  friend class Controller;
};

unsigned short free_port();
/// Listens at a free port; returns the server and its address.
std::pair<std::unique_ptr<HttpServer>, std::string> listen(
    asio::io_context& io, AsioClock& clock, size_t connections,
    const larkroad::transport::Handler& handler);
std::vector<std::string> split_command(int argc, char** argv, int from);

}  // namespace review
