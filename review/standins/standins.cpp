#include "standins.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <asio/write.hpp>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <sstream>

namespace review {
namespace {

constexpr Seconds kWorkerTimeout = 4;
constexpr Seconds kRetry = 1;
constexpr Seconds kMinBetweenReports = 0.5;

std::map<std::string, std::string> parse_query(const std::string& target) {
  std::map<std::string, std::string> out;
  const auto mark = target.find('?');
  if (mark == std::string::npos) return out;
  std::stringstream in(target.substr(mark + 1));
  std::string item;
  while (std::getline(in, item, '&')) {
    const auto equals = item.find('=');
    if (equals != std::string::npos) out[item.substr(0, equals)] = item.substr(equals + 1);
  }
  return out;
}

std::string path_of(const std::string& target) { return target.substr(0, target.find('?')); }

std::string job_of(const std::string& leg) { return leg.substr(0, leg.rfind('/')); }

std::string number(double value) {
  std::ostringstream out;
  out << value;
  if (out.str().find_first_of(".e") == std::string::npos) out << ".0";
  return out.str();
}

std::string stage_of(const Response& response) {
  const Json body = Json::parse(response.body, nullptr, false);
  return body.is_object() ? body.value("stage", "") : "";
}

larkroad::Address loopback(unsigned short port) { return {"127.0.0.1", port}; }

}  // namespace

// Below the range from which the system takes the ports of outgoing connections.
unsigned short free_port() {
  static std::mt19937 generator{std::random_device{}()};
  static std::set<unsigned short> given;
  std::uniform_int_distribution<int> any(12'000, 31'999);
  for (int tries = 0; tries < 1000; ++tries) {
    const auto port = static_cast<unsigned short>(any(generator));
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool is_free = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (is_free && given.insert(port).second) return port;
  }
  std::fprintf(stderr, "no free port\n");
  std::exit(2);
}

std::pair<std::unique_ptr<HttpServer>, std::string> listen(
    asio::io_context& io, AsioClock& clock, size_t connections,
    const larkroad::transport::Handler& handler) {
  for (int tries = 0;; ++tries) {
    const unsigned short port = free_port();
    try {
      return {std::make_unique<HttpServer>(io, clock, loopback(port), connections, handler),
              "127.0.0.1:" + std::to_string(port)};
    } catch (const std::exception&) {
      if (tries > 100) throw;
    }
  }
}

std::vector<std::string> split_command(int argc, char** argv, int from) {
  return {argv + from, argv + argc};
}

// ------------------------------------------------------------------------------------- sites

Site seri_dispatch() {
  Site site;
  site.name = "seri-dispatch";
  site.zones = {"kl-timur", "penang"};
  site.controller_zones = {"kl-timur", "penang", "kl-timur"};
  site.teams = {{"roster", 64, 112, 4, 12},
                {"tambang", 64, 152, 2, 8},
                {"laluan", 88, 360, 8, 16},
                {"ahli", 64, 208, 4, 12}};
  site.types = {{"kecil", 4, 0, 16, 60, 0.4, 0.27, 0.07, 35},
                {"sedang", 32, 0, 256, 70, 0.2, 2.4, 0.66, 50},
                {"besar-gpu", 64, 8, 256, 120, 0.2, 21.64, 5.63, 25}};
  site.report_s = 2.5;
  site.lease_s = 14;
  site.gang_wait_s = 30;
  site.gang_peer_s = 4;
  site.cancel_s = 34;
  site.state_rps = 200;
  site.write_rps = 25;
  site.value_kb = 4;
  site.txn_ops = 8;
  site.cloud_rps = 5;
  site.list_lag_s = 5;
  site.cpu = 0.048;
  site.ram_mb = 40;
  site.sockets = 600;
  return site;
}

Site villarreal_etiquetas() {
  Site site;
  site.name = "villarreal-etiquetas";
  site.zones = {"planta-zapopan"};
  site.controller_zones = {"planta-zapopan", "planta-zapopan", "planta-zapopan"};
  site.teams = {{"preprensa", 120, 192, 8, 25},
                {"color", 240, 728, 16, 40},
                {"troquel", 192, 576, 16, 48}};
  site.types = {{"caja-chica", 4, 0, 16, 60, 0.4, 0.17, 0.04, 25},
                {"mesa-pliego", 8, 0, 64, 60, 0.4, 0.45, 0.11, 35},
                {"rip-doble", 16, 0, 64, 60, 0.4, 0.79, 0.17, 35},
                {"tinta-gpu", 32, 4, 128, 60, 0.4, 14.18, 3.39, 60},
                {"gran-rodillo", 64, 8, 384, 60, 0.4, 29.18, 7.15, 45}};
  site.report_s = 3;
  site.lease_s = 22;
  site.gang_wait_s = 35;
  site.gang_peer_s = 8;
  site.cancel_s = 47;
  site.state_rps = 150;
  site.write_rps = 60;
  site.value_kb = 8;
  site.txn_ops = 16;
  site.cloud_rps = 5;
  site.list_lag_s = 6;
  site.cpu = 0.048;
  site.ram_mb = 104;
  site.sockets = 1800;
  return site;
}

void Record::line(const std::string& text) {
  char time[32];
  std::snprintf(time, sizeof time, "%9.3f  ", elapsed_());
  out_ << time << text << '\n' << std::flush;
}

// ----------------------------------------------------------------------------- state service

StateService::StateService(World& world) : world_(world) {}

void StateService::handle(size_t controller, const Request& request, Respond respond) {
  static bool ticking = false;
  if (!ticking) {
    ticking = true;
    tick();
  }
  const std::string path = path_of(request.target);
  if (cut_off.contains(controller)) {
    world_.unanswered.push_back(respond);
    return;
  }
  if (refused.contains(controller)) {
    respond({503, R"({"error":"refused"})", 0});
    return;
  }
  if (!within_rates(request)) {
    world_.record.line("the state service answers 429 to perch-" + std::to_string(controller));
    respond({429, "{}", 0});
    return;
  }
  if (path == "/commit" && request.method == "POST") {
    const Json transaction = Json::parse(request.body, nullptr, false);
    if (transaction.is_discarded()) {
      respond({400, "{}", 0});
      return;
    }
    if (intercept(controller, transaction, request, respond)) return;
    const Response response = commit(transaction);
    if (response.status == 200) on_applied(controller, transaction);
    respond(response);
  } else if (path == "/watch") {
    watch(controller, parse_query(request.target), std::move(respond));
  } else if (path == "/store") {
    respond(list(parse_query(request.target)));
  } else if (path.starts_with("/store/")) {
    respond(get(path.substr(7)));
  } else if (path.starts_with("/grants")) {
    respond(grants(request));
  } else {
    respond({400, "{}", 0});
  }
}

bool StateService::within_rates(const Request& request) {
  const Seconds now = world_.clock.now();
  const Site& site = world_.site;
  if (refilled_at_ == 0) refilled_at_ = now - 1;
  request_tokens_ =
      std::min(site.state_rps, request_tokens_ + (now - refilled_at_) * site.state_rps);
  write_tokens_ = std::min(site.write_rps, write_tokens_ + (now - refilled_at_) * site.write_rps);
  refilled_at_ = now;
  double writes = 0;
  if (request.target == "/commit") {
    const Json body = Json::parse(request.body, nullptr, false);
    if (body.is_object()) writes = static_cast<double>(body.value("apply", Json::array()).size());
  }
  if (request_tokens_ < 1 || write_tokens_ < std::min(writes, site.write_rps)) return false;
  request_tokens_ -= 1;
  write_tokens_ -= writes;
  return true;
}

Response StateService::get(const std::string& key) const {
  const auto it = pairs_.find(key);
  if (it == pairs_.end()) return {404, Json{{"ledger", ledger_}}.dump(), 0};
  Json out{{"k", key}, {"data", it->second.data}, {"mark", it->second.mark}};
  if (it->second.hold != 0) out["hold"] = it->second.hold;
  return {200, out.dump(), 0};
}

Response StateService::list(const std::map<std::string, std::string>& query) const {
  const auto value = [&](const char* name) {
    const auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
  };
  const std::string prefix = value("starts");
  const std::string since = value("since");
  const size_t limit = std::min<size_t>(1000, std::strtoul(value("limit").c_str(), nullptr, 10));
  Json pairs = Json::array();
  bool more = false;
  size_t bytes = 0;
  for (auto it = pairs_.lower_bound(prefix); it != pairs_.end(); ++it) {
    if (!it->first.starts_with(prefix)) break;
    if (!since.empty() && it->first <= since) continue;
    if (pairs.size() >= limit || bytes > 500 * 1024) {
      more = true;
      break;
    }
    pairs.push_back({{"k", it->first}, {"data", it->second.data}, {"mark", it->second.mark}});
    bytes += pairs.back().dump().size();
  }
  return {200, Json{{"pairs", pairs}, {"more", more}, {"ledger", ledger_}}.dump(), 0};
}

void StateService::drop_key(const std::string& key) {
  pairs_.erase(key);
  events_.push_back({key, {{"drop", key}, {"mark", ledger_}}, ledger_});
}

Response StateService::commit(const Json& transaction) {
  const Json guards = transaction.value("guards", Json::array());
  const Json apply = transaction.value("apply", Json::array());
  if (apply.size() > static_cast<size_t>(world_.site.txn_ops) ||
      guards.size() > 4 * static_cast<size_t>(world_.site.txn_ops) ||
      transaction.dump().size() > 64 * 1024) {
    return {400, R"({"error":"too large"})", 0};
  }
  for (const Json& change : apply) {
    if (!change.contains("write")) continue;
    if (change.at("data").dump().size() > world_.site.value_kb * 1024) {
      return {400, R"({"error":"value too large"})", 0};
    }
    if (change.contains("hold") && !grants_.contains(change.at("hold").get<std::uint64_t>())) {
      return {400, R"({"error":"no such lease"})", 0};
    }
  }
  Json failed = Json::array();
  for (const Json& guard : guards) {
    const auto it = pairs_.find(guard.at("k").get<std::string>());
    const std::uint64_t mark = it == pairs_.end() ? 0 : it->second.mark;
    if (mark != guard.at("mark").get<std::uint64_t>()) failed.push_back(guard.at("k"));
  }
  if (!failed.empty()) return {409, Json{{"failed", failed}, {"ledger", ledger_}}.dump(), 0};
  if (apply.empty()) return {200, Json{{"ledger", ledger_}}.dump(), 0};
  ++ledger_;
  for (const Json& change : apply) {
    if (change.contains("write")) {
      const std::string key = change.at("write");
      pairs_[key] = {change.at("data"), ledger_, change.value("hold", std::uint64_t{0})};
      events_.push_back(
          {key, {{"write", key}, {"data", change.at("data")}, {"mark", ledger_}}, ledger_});
    } else {
      const std::string key = change.at("drop");
      if (pairs_.contains(key)) drop_key(key);
    }
  }
  while (events_.size() > 10'000) events_.pop_front();
  return {200, Json{{"ledger", ledger_}}.dump(), 0};
}

Response StateService::grants(const Request& request) {
  const Seconds now = world_.clock.now();
  if (request.target == "/grants") {
    const double life = Json::parse(request.body).at("lifeMs").get<double>() / 1000;
    const std::uint64_t id = next_grant_++;
    grants_[id] = {life, now + life};
    return {200, Json{{"hold", id}}.dump(), 0};
  }
  const std::uint64_t id = std::strtoull(request.target.c_str() + 8, nullptr, 10);
  const auto it = grants_.find(id);
  if (it == grants_.end()) return {404, "{}", 0};
  if (request.method == "DELETE") {
    end_grant(id);
    return {200, "{}", 0};
  }
  it->second.ends_at = now + it->second.life;
  return {200, "{}", 0};
}

void StateService::end_grant(std::uint64_t id) {
  grants_.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, pair] : pairs_) {
    if (pair.hold == id) keys.push_back(key);
  }
  if (keys.empty()) return;
  ++ledger_;
  for (const auto& key : keys) drop_key(key);
}

void StateService::end_outage() {
  for (auto& [id, grant] : grants_) grant.ends_at = world_.clock.now() + grant.life;
}

void StateService::watch(size_t controller, const std::map<std::string, std::string>& query,
                         Respond respond) {
  const auto value = [&](const char* name) {
    const auto it = query.find(name);
    return it == query.end() ? std::string("") : it->second;
  };
  Watch out{controller, value("starts"), std::strtoull(value("since").c_str(), nullptr, 10),
            world_.clock.now() + std::atof(value("blockMs").c_str()) / 1000, std::move(respond)};
  if (!events_.empty() && events_.size() >= 10'000 && out.since + 1 < events_.front().mark) {
    out.respond({410, "{}", 0});
    return;
  }
  if (!answer(out, world_.clock.now() >= out.ends_at)) watches_.push_back(std::move(out));
}

bool StateService::answer(const Watch& watch, bool at_end) const {
  Json events = Json::array();
  for (auto it = events_.rbegin(); it != events_.rend() && it->mark > watch.since; ++it) {
    if (it->key.starts_with(watch.prefix)) events.push_back(it->json);
  }
  if (events.empty() && !at_end) return false;
  std::reverse(events.begin(), events.end());
  watch.respond({200, Json{{"ledger", ledger_}, {"events", events}}.dump(), 0});
  return true;
}

void StateService::tick() {
  const Seconds now = world_.clock.now();
  const bool outage = refused.size() >= world_.controllers.size();
  std::vector<std::uint64_t> ended;
  for (const auto& [id, grant] : grants_) {
    if (!outage && now >= grant.ends_at) ended.push_back(id);
  }
  for (const auto id : ended) end_grant(id);
  for (auto it = watches_.begin(); it != watches_.end();) {
    const bool done =
        !refused.contains(it->controller) && !cut_off.contains(it->controller) && answer(*it, now >= it->ends_at);
    it = done ? watches_.erase(it) : std::next(it);
  }
  world_.after(0.004, [this] { tick(); });
}

// ------------------------------------------------------------------------------------- cloud

std::string Cloud::add_machine(const std::string& type, const std::string& zone, bool spot,
                               Seconds boot) {
  char name[32];
  std::snprintf(name, sizeof name, "i-%06d", next_++);
  Machine& machine = machines[name];
  machine = {name, type, zone, "", spot, world_.clock.now(), world_.clock.now() + boot, {}, {}};
  machine.worker = std::make_shared<Worker>(world_, name, type, zone, spot);
  machine.address = machine.worker->address;
  world_.after(boot, [this, id = std::string(name)] {
    Machine& up = machines.at(id);
    if (!up.gone_at) up.worker->start();
  });
  return name;
}

void Cloud::handle(const Request& request, const Respond& respond) {
  const std::string path = path_of(request.target);
  const Seconds now = world_.clock.now();
  if (path == "/catalog") {
    Json breeds = Json::array();
    for (const MachineType& type : world_.site.types) {
      breeds.push_back({{"name", type.name},
                        {"cores", type.cpus},
                        {"accelerators", type.gpus},
                        {"memGb", type.memory_gb},
                        {"localGb", type.cache_gb},
                        {"fetchGbPerS", type.fetch_gb_per_s},
                        {"hourly", type.price},
                        {"marketPrice", type.spot_price},
                        {"bootS", type.boot_s},
                        {"yards", world_.site.zones}});
    }
    respond({200, Json{{"breeds", breeds}}.dump(), 0});
  } else if (path == "/rentals" && request.method == "POST") {
    const Json body = Json::parse(request.body);
    const std::string ask = body.at("ask");
    if (const auto it = answered_.find(ask); it != answered_.end()) {
      respond({200, it->second.dump(), 0});
      return;
    }
    const std::string type = body.at("breed");
    const std::string zone = body.at("yard");
    const bool spot = body.at("loaners");
    if (!has_room(type, zone, spot)) {
      respond({503, R"({"error":"no capacity"})", 0});
      return;
    }
    Json names = Json::array();
    for (int i = 0; i < body.at("number").get<int>(); ++i) {
      names.push_back(add_machine(type, zone, spot, boot_s));
    }
    world_.record.line("cloud: rented " + names.dump() + " for " + request.body);
    answered_[ask] = Json{{"perches", names}};
    respond({200, answered_[ask].dump(), 0});
  } else if (path == "/rentals/return") {
    for (const Json& name : Json::parse(request.body).at("perches")) {
      const auto it = machines.find(name.get<std::string>());
      if (it == machines.end() || it->second.gone_at) continue;
      world_.record.line("cloud: returned " + it->first);
      it->second.gone_at = now;
      it->second.worker->terminate();
    }
    respond({200, "{}", 0});
  } else if (path == "/rentals") {
    const auto query = parse_query(request.target);
    const auto since = query.find("since");
    const Seconds at = now - world_.site.list_lag_s;
    Json perches = Json::array();
    for (const auto& [name, machine] : machines) {
      if (since != query.end() && name <= since->second) continue;
      if (machine.rented_at > at || (machine.gone_at && *machine.gone_at <= at)) continue;
      perches.push_back({{"ref", name},
                         {"address", machine.address},
                         {"breed", machine.type},
                         {"yard", machine.zone},
                         {"loaners", machine.spot},
                         {"stage", machine.up_at <= at ? "running" : "booting"},
                         {"ageS", at - machine.rented_at}});
    }
    respond({200, Json{{"perches", perches}, {"more", false}}.dump(), 0});
  } else {
    respond({400, "{}", 0});
  }
}

// ------------------------------------------------------------------------------------ worker

Worker::Worker(World& world, std::string its_name, std::string its_type, std::string its_zone,
               bool is_spot)
    : name(std::move(its_name)),
      type(std::move(its_type)),
      zone(std::move(its_zone)),
      spot(is_spot),
      world_(world) {
  // It listens from the start, so that nobody else takes its port, but answers only once it is up.
  std::tie(server_, address) = listen(
      world_.io, world_.clock, 200, [this](const Request& request, const Respond& respond) {
        if (!up_) {
          world_.unanswered.push_back(respond);
          return;
        }
        handle(request, respond);
      });
}

void Worker::start() {
  if (terminated_) return;
  up_ = true;
  world_.record.line("worker " + name + " (" + type + ", " + zone + ") is up");
  lease_from_ = world_.clock.now();
  controller_ = static_cast<size_t>(world_.random() * static_cast<double>(world_.controllers.size()));
  send_report();
  check_lease();
}

void Worker::terminate() {
  if (terminated_) return;
  end_all();
  terminated_ = true;
  world_.after(0, [self = shared_from_this()] { self->server_.reset(); });
}

void Worker::later(Seconds delay, std::function<void()> action) {
  world_.after(delay, [weak = weak_from_this(), action = std::move(action)] {
    const auto self = weak.lock();
    if (!self || self->terminated_) return;
    const Seconds now = self->world_.clock.now();
    if (self->hung_until && now < *self->hung_until) {
      self->later(*self->hung_until - now + 0.001, action);
    } else {
      action();
    }
  });
}

bool Worker::has_leg(const std::string& job) const {
  return std::any_of(legs_.begin(), legs_.end(),
                     [&](const auto& entry) { return job_of(entry.first.first) == job; });
}

bool Worker::runs_leg(const std::string& job) const {
  return std::any_of(legs_.begin(), legs_.end(), [&](const auto& entry) {
    return job_of(entry.first.first) == job && entry.second.stage == "running";
  });
}

void Worker::complete(const std::string& job) {
  std::vector<Key> running;
  for (const auto& [key, leg] : legs_) {
    if (job_of(key.first) == job && leg.stage == "running") running.push_back(key);
  }
  for (const auto& key : running) {
    world_.judge.done.insert(key.first);
    exit_leg(key, "done", false);
  }
}

Json Worker::report_body(bool advance) {
  if (advance) ++tick_;
  Json legs = Json::array();
  for (const auto& [key, leg] : legs_) {
    Json item{{"leg", key.first}, {"try", key.second}, {"stage", leg.stage}};
    if (leg.stage == "exited") {
      item["cause"] = leg.cause;
      if (leg.saved) item["saved"] = true;
    }
    legs.push_back(std::move(item));
  }
  return {{"perch", name},   {"address", address}, {"breed", type}, {"yard", zone},
          {"loaners", spot}, {"flight", flight_},  {"tick", tick_}, {"baton", baton_},
          {"recallS", recall_at_ ? Json(*recall_at_ - world_.clock.now()) : Json(nullptr)},
          {"legs", legs}};
}

void Worker::announce_recall(Seconds notice) {
  if (terminated_ || recall_at_) return;
  recall_at_ = world_.clock.now() + notice;
  changed();
  world_.after(notice, [self = shared_from_this()] {
    self->world_.cloud.machines.at(self->name).gone_at = self->world_.clock.now();
    self->terminate();
  });
}

void Worker::schedule_report(Seconds delay) {
  const std::uint64_t timer = ++report_timer_;
  later(delay, [this, timer] {
    if (timer == report_timer_) send_report();
  });
}

void Worker::changed() {
  if (in_flight_) {
    changed_ = true;
    return;
  }
  const Seconds earliest = last_sent_ + kMinBetweenReports;
  schedule_report(std::max(0.0, earliest - world_.clock.now()));
}

void Worker::send_report() {
  if (terminated_ || in_flight_) return;
  in_flight_ = true;
  changed_ = false;
  last_sent_ = world_.clock.now();
  const Json body = report_body(true);
  const size_t target = controller_;
  on_report(target, body);
  const auto on_reply = [weak = weak_from_this(), sent = last_sent_, flight = flight_](
                            Outcome outcome, const Response& response) {
    const auto self = weak.lock();
    if (!self || self->terminated_) return;
    self->later(self->answer_delay(), [raw = self.get(), sent, flight, outcome, response] {
      raw->on_response(sent, flight, raw->deaf ? Outcome::unknown : outcome, response);
    });
  };
  if (mute) {
    later(kWorkerTimeout, [on_reply] { on_reply(Outcome::unknown, {}); });
    return;
  }
  world_.client.call(world_.controllers[target]->client, {"POST", "/checkin", body.dump()},
                     kWorkerTimeout, on_reply);
}

void Worker::on_response(Seconds sent, std::uint64_t flight, Outcome outcome,
                         const Response& response) {
  in_flight_ = false;
  const Seconds interval =
      world_.site.report_s * next_report_factor.value_or(0.75 + world_.random() / 2);
  const auto next_node = [this] {
    controller_ = (controller_ + 1) % world_.controllers.size();
    schedule_report(kRetry);
  };
  const bool in_time = world_.clock.now() - sent <= kWorkerTimeout;
  if (outcome != Outcome::answered || !in_time) return next_node();
  if (response.status == 421) {
    const Json body = Json::parse(response.body, nullptr, false);
    const std::string home = body.is_object() ? body.value("home", "") : "";
    for (size_t i = 0; i < world_.controllers.size(); ++i) {
      if (world_.controllers[i]->member != home || i == controller_) continue;
      controller_ = i;
      schedule_report(world_.random() / 2);
      return;
    }
    return next_node();
  }
  if (response.status != 200) return next_node();
  const Json body = Json::parse(response.body);
  const std::uint64_t baton = body.value("baton", std::uint64_t{0});
  if (flight == flight_ && baton >= baton_ && baton > 0) {
    if (baton > baton_) changed_ = true;
    baton_ = baton;
    lease_from_ = std::max(lease_from_, sent);
    execute(body.at("calls"), "report answer of " + world_.controllers[controller_]->member);
  }
  schedule_report(changed_ ? std::max(0.0, last_sent_ + kMinBetweenReports - world_.clock.now())
                           : interval);
}

void Worker::execute(const Json& calls, const std::string& how) {
  for (const Json& call : calls) {
    const Key key{call.at("leg"), call.at("try").get<std::uint64_t>()};
    const std::string kind = call.at("call");
    world_.record.line(name + " executes (" + how + ") " + call.dump());
    if (kind == "launch") {
      launch(key);
    } else if (kind == "kill") {
      const auto it = legs_.find(key);
      if (it == legs_.end() || it->second.stage == "exited") continue;
      const Submission& job = world_.jobs.at(job_of(key.first));
      const double slack = call.value("slackS", 0.0);
      if (it->second.stage == "running" && job.waypoint_s > 0 && slack >= job.stow_s) {
        it->second.stage = "saving";
        changed();
        later(job.stow_s, [this, key, launch = it->second.launch] {
          const auto at = legs_.find(key);
          if (at != legs_.end() && at->second.launch == launch && at->second.stage == "saving") {
            exit_leg(key, "stopped", true);
          }
        });
      } else if (it->second.stage != "saving" || slack <= 0) {
        exit_leg(key, "stopped", false);
      }
    } else if (kind == "forget") {
      const auto it = legs_.find(key);
      if (it != legs_.end() && it->second.stage == "exited") legs_.erase(it);
    }
  }
}

void Worker::launch(const Key& key) {
  if (legs_.contains(key)) return;
  Leg& leg = legs_[key];
  leg.launch = ++launches_;
  const auto job = world_.jobs.find(job_of(key.first));
  if (job == world_.jobs.end() || !job->second.submitted) {
    exit_leg(key, "unknown", false);
    return;
  }
  double cores = 0, accelerators = 0, memory = 0;
  for (const auto& [other, state] : legs_) {
    if (state.stage == "exited") continue;
    if (other.first == key.first && other != key) {
      exit_leg(key, "busy", false);
      return;
    }
    const Submission& spec = world_.jobs.at(job_of(other.first));
    cores += spec.cores;
    accelerators += spec.accelerators;
    memory += spec.memory_gb;
  }
  for (const MachineType& mine : world_.site.types) {
    if (mine.name != type) continue;
    if (cores > mine.cpus + 1e-6 || accelerators > mine.gpus + 1e-6 ||
        memory > mine.memory_gb + 1e-6) {
      exit_leg(key, "full", false);
      return;
    }
  }
  changed();
  const std::string image = job->second.body.at("cargo");
  Seconds fetch = 0;
  for (const MachineType& mine : world_.site.types) {
    if (mine.name == type && !images_.contains(image)) {
      fetch = job->second.body.at("pullGb").get<double>() / mine.fetch_gb_per_s;
    }
  }
  later(fetch, [this, key, image, number = leg.launch] {
    const auto at = legs_.find(key);
    if (at == legs_.end() || at->second.launch != number || at->second.stage != "fetching") return;
    images_.insert(image);
    at->second.on_machine = true;
    world_.judge.task_on_machine(key.first, name);
    changed();
    if (world_.judge.done.contains(key.first)) {
      exit_leg(key, "done", false);
      return;
    }
    if (sick) {
      exit_leg(key, "error", false);
      return;
    }
    const Submission& spec = world_.jobs.at(job_of(key.first));
    if (spec.shape != "gang" || spec.legs == 1) {
      run_leg(key);
      return;
    }
    at->second.stage = "gathering";
    const auto attempt = std::make_pair(spec.id, key.second);
    world_.gangs[attempt][key.first] = this;
    later(world_.site.gang_wait_s, [this, key, number] {
      const auto waiting = legs_.find(key);
      if (waiting != legs_.end() && waiting->second.launch == number &&
          waiting->second.stage == "gathering") {
        exit_leg(key, "alone", false);
      }
    });
    if (world_.gangs[attempt].size() < spec.legs || world_.started_gangs.contains(attempt)) return;
    world_.started_gangs.insert(attempt);
    const auto members = world_.gangs[attempt];
    for (const auto& [leg, worker] : members) worker->run_leg({leg, key.second});
    world_.after(spec.run_s, [this, attempt] {
      const auto& gang = world_.gangs[attempt];
      if (gang.size() < world_.jobs.at(attempt.first).legs) return;
      for (const auto& [leg, worker] : gang) {
        if (worker->legs_.at({leg, attempt.second}).stage != "running") return;
        if (worker->hung_until && world_.clock.now() < *worker->hung_until) return;
      }
      const auto all = gang;
      for (const auto& [leg, worker] : all) world_.judge.done.insert(leg);
      for (const auto& [leg, worker] : all) worker->exit_leg({leg, attempt.second}, "done", false);
    });
  });
}

void Worker::run_leg(const Key& key) {
  Leg& leg = legs_.at(key);
  leg.stage = "running";
  changed();
  const Submission& spec = world_.jobs.at(job_of(key.first));
  if (spec.shape == "service" || (spec.shape == "gang" && spec.legs > 1)) return;
  later(spec.run_s, [this, key, number = leg.launch] {
    const auto ended = legs_.find(key);
    if (ended == legs_.end() || ended->second.launch != number ||
        ended->second.stage != "running") {
      return;
    }
    world_.judge.done.insert(key.first);
    exit_leg(key, "done", false);
  });
}

// A task of a gang is gone: if the gang was running, the others notice.
void Worker::member_lost(const Key& key) {
  const auto attempt = std::make_pair(job_of(key.first), key.second);
  const auto gang = world_.gangs.find(attempt);
  if (gang == world_.gangs.end() || gang->second.erase(key.first) == 0) return;
  if (!world_.started_gangs.contains(attempt)) return;
  world_.after(world_.site.gang_peer_s * world_.random(), [this, attempt] {
    const auto rest = world_.gangs[attempt];
    for (const auto& [leg, worker] : rest) {
      worker->later(0, [worker = worker, key = Key{leg, attempt.second}] {
        const auto at = worker->legs_.find(key);
        if (at != worker->legs_.end() && at->second.stage != "exited") {
          worker->exit_leg(key, "mates_gone", false);
        }
      });
    }
  });
}

void Worker::exit_leg(const Key& key, const std::string& cause, bool saved) {
  Leg& leg = legs_.at(key);
  leg.stage = "exited";
  leg.cause = cause;
  leg.saved = saved;
  if (std::exchange(leg.on_machine, false)) {
    world_.judge.task_off_machine(key.first, name);
    member_lost(key);
  }
  world_.record.line(name + ": " + key.first + " try " + std::to_string(key.second) + " exited, " +
                     cause);
  changed();
}

void Worker::handle(const Request& request, const Respond& respond) {
  if (terminated_) return;
  if (deaf) {
    world_.unanswered.push_back(respond);
    return;
  }
  if (hung_until && world_.clock.now() < *hung_until) {
    later(0.01, [this, request, respond] { handle(request, respond); });
    return;
  }
  if (request.target != "/inspect" && intercept(request, respond)) return;
  carry_out(request, respond);
}

void Worker::carry_out(const Request& request, const Respond& respond) {
  if (terminated_) return;
  if (request.target == "/inspect") {
    respond({200, report_body(true).dump(), 0});
    return;
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("baton") || !body.contains("flight")) {
    respond({400, "{}", 0});
    return;
  }
  const auto baton = body.at("baton").get<std::uint64_t>();
  if (baton < baton_ || body.at("flight").get<std::uint64_t>() != flight_) {
    respond({409, report_body(true).dump(), 0});
    return;
  }
  if (baton > baton_) {
    baton_ = baton;
    changed();
  }
  execute(body.at("calls"), "direct");
  respond({200, report_body(true).dump(), 0});
}

// The end of a lease also ends the tasks of a machine that hangs: it may go on only within its lease.
void Worker::check_lease() {
  world_.after(0.05, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || self->terminated_) return;
    if (self->world_.clock.now() - self->lease_from_ > self->world_.site.lease_s) {
      self->world_.record.line(self->name + ": lease expired, session " +
                               std::to_string(self->flight_ + 1));
      self->end_all();
      ++self->flight_;
      self->lease_from_ = self->world_.clock.now();
      self->changed();
    }
    self->check_lease();
  });
}

void Worker::end_all() {
  for (auto& [key, leg] : legs_) {
    if (!std::exchange(leg.on_machine, false)) continue;
    world_.judge.task_off_machine(key.first, name);
    member_lost(key);
  }
  legs_.clear();
}

// -------------------------------------------------------------------------------- controllers

Controller::Controller(World& world, size_t index) : world_(world), index_(index) {
  member = "perch-" + std::to_string(index);
  client = "127.0.0.1:" + std::to_string(free_port());
  peer = "127.0.0.1:" + std::to_string(free_port());
}

void Controller::start() {
  const Site& site = world_.site;
  const std::string path = world_.work_folder + "/" + member + ".toml";
  std::ofstream out(path);
  out << "member = \"" << member << "\"\nzone = \"" << site.controller_zones[index_]
      << "\"\nclient_listen = \"" << client << "\"\npeer_bind = \"" << peer << "\"\n";
  for (size_t i = 0; i < world_.controllers.size(); ++i) {
    if (i == index_) continue;
    out << "[[peers]]\nmember = \"" << world_.controllers[i]->member << "\"\nzone = \""
        << site.controller_zones[i] << "\"\naddr = \""
        << (world_.with_peer_proxies ? world_.controllers[i]->peer_as_seen_by.at(index_)
                                     : world_.controllers[i]->peer)
        << "\"\n";
  }
  out << "[endpoints]\ncloud = \"" << world_.cloud_address_ << "\"\nstate = \"" << state << "\"\n";
  out << "[cluster]\ncount = " << site.controller_zones.size() << "\nzones = "
      << Json(site.zones).dump() << "\nclock_error_ms = 100.0\n";
  for (const Team& team : site.teams) {
    out << "[[cluster.teams]]\nname = \"" << team.name << "\"\ncpus = " << number(team.cpus)
        << "\ncpus_max = " << number(team.cpus_max) << "\ngpus = " << number(team.gpus)
        << "\ngpus_max = " << number(team.gpus_max) << "\n";
  }
  out << "[cluster.workers]\nreport_s = " << number(site.report_s)
      << "\nlease_s = " << number(site.lease_s) << "\ngang_wait_s = " << number(site.gang_wait_s)
      << "\ngang_peer_s = " << number(site.gang_peer_s) << "\ncancel_s = " << number(site.cancel_s)
      << "\n[cluster.state]\nrps = " << number(site.state_rps)
      << "\nwrite_rps = " << number(site.write_rps) << "\nvalue_kb = " << number(site.value_kb)
      << "\ntxn_ops = " << site.txn_ops << "\n[cluster.cloud]\nrps = " << number(site.cloud_rps)
      << "\nlist_lag_s = " << number(site.list_lag_s) << "\n[cluster.resources]\ncpu = "
      << number(site.cpu) << "\nram_mb = " << number(site.ram_mb) << "\nsockets = " << site.sockets
      << "\n";
  out.close();
  std::vector<std::string> words = world_.run_command;
  words.push_back(path);
  std::vector<char*> arguments;
  for (auto& word : words) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  const std::string log = world_.work_folder + "/" + member + ".log";
  const int parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, 2);
    for (int other = 3; other < 1024; ++other) close(other);
    const char* level = std::getenv("REVIEW_LOG_LEVEL");
    setenv("LOG_LEVEL", level != nullptr ? level : "info", 1);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  world_.record.line("controller " + member + " started");
}

bool Controller::ended_by_itself() {
  int status = 0;
  if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) return false;
  pid_ = 0;
  return true;
}

void Controller::kill() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
  world_.record.line("controller " + member + " killed");
}

void Controller::stop_signal() {
  if (pid_ > 0) ::kill(pid_, SIGSTOP);
  world_.record.line("controller " + member + " stopped (SIGSTOP)");
}

void Controller::continue_signal() {
  if (pid_ > 0) ::kill(pid_, SIGCONT);
  world_.record.line("controller " + member + " continued (SIGCONT)");
}

// ------------------------------------------------------------------------------ load balancer

struct LoadBalancer::Connection {
  explicit Connection(asio::ip::tcp::socket socket)
      : user(std::move(socket)), node(user.get_executor()) {}
  asio::ip::tcp::socket user, node;
  std::array<char, 8192> from_user, from_node;
  std::optional<size_t> controller;
  bool open = true;
  void close() {
    open = false;
    asio::error_code ignored;
    user.close(ignored);
    node.close(ignored);
  }
};

LoadBalancer::LoadBalancer(World& world)
    : world_(world), acceptor_(world.io), nodes_(world.controllers.size()) {
  for (int tries = 0;; ++tries) {
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), free_port());
    asio::error_code error;
    acceptor_.open(endpoint.protocol());
    acceptor_.bind(endpoint, error);
    if (!error) acceptor_.listen(200, error);
    if (!error) {
      address = "127.0.0.1:" + std::to_string(endpoint.port());
      break;
    }
    acceptor_.close();
    if (tries > 100) std::exit(2);
  }
}

void LoadBalancer::start() {
  for (size_t i = 0; i < nodes_.size(); ++i) probe(i);
  accept();
}

void LoadBalancer::accept() {
  acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (error) return;
    const auto connection = std::make_shared<Connection>(std::move(socket));
    connections_.push_back(connection);
    connect(connection, {});
    accept();
  });
}

void LoadBalancer::connect(const std::shared_ptr<Connection>& connection, std::set<size_t> tried) {
  std::map<size_t, int> open;
  for (const auto& weak : connections_) {
    const auto other = weak.lock();
    if (other && other->open && other->controller) ++open[*other->controller];
  }
  std::optional<size_t> best;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i].healthy || tried.contains(i) || world_.now() < nodes_[i].skipped_until) continue;
    if (!best || open[i] < open[*best]) best = i;
  }
  if (!best || tried.size() >= 3) {
    connection->close();
    return;
  }
  tried.insert(*best);
  connection->controller = best;
  const std::string& target = world_.controllers[*best]->client;
  const auto port = static_cast<unsigned short>(std::atoi(target.c_str() + target.rfind(':') + 1));
  auto decided = std::make_shared<bool>(false);
  const auto failed = [this, connection, tried, best] {
    Node& node = nodes_[*best];
    if (++node.refused >= 3) {
      node.refused = 0;
      node.skipped_until = world_.now() + 3;
    }
    connection->controller.reset();
    asio::error_code ignored;
    connection->node.close(ignored);
    connection->node = asio::ip::tcp::socket(connection->user.get_executor());
    connect(connection, tried);
  };
  world_.after(0.5, [decided, failed] {
    if (!std::exchange(*decided, true)) failed();
  });
  connection->node.async_connect(
      {asio::ip::address_v4::loopback(), port},
      [this, connection, decided, failed, best](const asio::error_code& error) {
        if (std::exchange(*decided, true)) return;
        if (error) {
          failed();
          return;
        }
        nodes_[*best].refused = 0;
        pass(connection, true);
        pass(connection, false);
      });
}

void LoadBalancer::pass(const std::shared_ptr<Connection>& connection, bool upwards) {
  auto& from = upwards ? connection->user : connection->node;
  auto& buffer = upwards ? connection->from_user : connection->from_node;
  from.async_read_some(
      asio::buffer(buffer), [this, connection, upwards](const asio::error_code& error, size_t size) {
        if (error) {
          connection->close();
          return;
        }
        auto& to = upwards ? connection->node : connection->user;
        auto& bytes = upwards ? connection->from_user : connection->from_node;
        asio::async_write(to, asio::buffer(bytes, size),
                          [this, connection, upwards](const asio::error_code& failed, size_t) {
                            if (failed) {
                              connection->close();
                            } else {
                              pass(connection, upwards);
                            }
                          });
      });
}

void LoadBalancer::probe(size_t controller) {
  world_.after(1, [this, controller] { probe(controller); });
  world_.client.call(world_.controllers[controller]->client, {"GET", "/healthz", ""}, 1,
                     [this, controller](Outcome outcome, const Response& response) {
                       judge_probe(controller,
                                   outcome == Outcome::answered && response.status == 200);
                     });
}

void LoadBalancer::judge_probe(size_t controller, bool answered) {
  Node& node = nodes_[controller];
  const Seconds now = world_.now();
  node.probes.push_back(answered);
  if (node.probes.size() > 6) node.probes.pop_front();
  const auto last_are = [&node](bool value) {
    return node.probes.size() >= 2 && node.probes.back() == value &&
           node.probes[node.probes.size() - 2] == value;
  };
  const std::string& name = world_.controllers[controller]->member;
  if (node.healthy) {
    if (!last_are(false) && std::count(node.probes.begin(), node.probes.end(), false) < 3) return;
    node.healthy = false;
    node.changed_at = now;
    node.pause = node.removed_at >= 0 && now - node.removed_at < 120 ? std::min(60.0, node.pause * 2) : 3;
    node.removed_at = now;
    world_.record.line("load balancer: " + name + " is unhealthy");
    world_.after(5, [this, controller] { reset_old_connections(controller); });
  } else if (answered && (!node.ever_healthy ||
                          (last_are(true) && now - node.changed_at >= node.pause))) {
    node.healthy = true;
    node.ever_healthy = true;
    node.changed_at = now;
    node.probes.clear();
    world_.record.line("load balancer: " + name + " is healthy");
  }
}

void LoadBalancer::reset_old_connections(size_t controller) {
  const Node& node = nodes_[controller];
  if (node.healthy || world_.now() - node.changed_at < 4.9) return;
  for (const auto& weak : connections_) {
    const auto connection = weak.lock();
    if (connection && connection->open && connection->controller == controller) connection->close();
  }
}

// -------------------------------------------------------------------------------------- judge

void Judge::broken(const std::string& rule, const std::string& text) {
  violations[rule].push_back(text);
  world_.record.line("RULE BROKEN " + rule + ": " + text);
}

void Judge::task_on_machine(const std::string& leg, const std::string& machine) {
  auto& machines = where[leg];
  world_.record.line(leg + " is on " + machine);
  if (!machines.empty()) {
    broken("ran_twice", leg + " starts on " + machine + " while it is on " + *machines.begin());
  }
  check_place(leg, machine);
  machines.insert(machine);
  const Submission& job = world_.jobs.at(job_of(leg));
  if (job.cancel_confirmed && world_.now() > *job.cancel_confirmed + world_.site.cancel_s) {
    broken("ran_cancelled", leg + " starts on " + machine + " after its cancellation");
  }
  std::map<std::string, std::pair<double, double>> used;
  for (const auto& [other, places] : where) {
    const Submission& spec = world_.jobs.at(job_of(other));
    used[spec.team].first += spec.cores * static_cast<double>(places.size());
    used[spec.team].second += spec.accelerators * static_cast<double>(places.size());
  }
  for (const Team& team : world_.site.teams) {
    if (used[team.name].first > team.cpus_max + 1e-6 ||
        used[team.name].second > team.gpus_max + 1e-6) {
      std::ostringstream text;
      text << "team " << team.name << " uses " << used[team.name].first << " of " << team.cpus_max
           << " cores and " << used[team.name].second << " of " << team.gpus_max
           << " accelerators after the start of " << leg << " on " << machine;
      broken("quota", text.str());
    }
  }
}

void Judge::check_place(const std::string& leg, const std::string& machine) {
  const Json& spec = world_.jobs.at(job_of(leg)).body;
  const Cloud::Machine& host = world_.cloud.machines.at(machine);
  if (host.spot && !spec.at("loaners").get<bool>()) broken("wrong_place", leg + " on spot");
  if (spec.at("yard").is_string() && spec.at("yard") != host.zone) {
    broken("wrong_place", leg + " in zone " + host.zone);
  }
  if (spec.at("breeds").is_array() &&
      std::find(spec.at("breeds").begin(), spec.at("breeds").end(), Json(host.type)) ==
          spec.at("breeds").end()) {
    broken("wrong_place", leg + " on type " + host.type);
  }
  std::map<std::string, std::uint32_t> zones;
  ++zones[host.zone];
  for (const auto& [other, places] : where) {
    if (other == leg || job_of(other) != job_of(leg)) continue;
    for (const auto& place : places) ++zones[world_.cloud.machines.at(place).zone];
  }
  if (spec.at("samePlace").get<bool>() && zones.size() > 1) {
    broken("wrong_place", leg + " in zone " + host.zone + ", others in another zone");
  }
  if (spec.at("apart").get<bool>() &&
      zones[host.zone] > (spec.at("legs").get<std::uint32_t>() + 1) / 2) {
    broken("wrong_place", leg + " is one too many in zone " + host.zone);
  }
}

// `asked`: when the question was sent; only answers given before that bind it.
void Judge::user_was_told(const std::string& id, int status, const std::string& stage,
                          Seconds asked, const std::string& what) {
  const auto known = world_.jobs.find(id);
  if (known == world_.jobs.end() || !known->second.submitted) {
    if (status == 200) broken("invented", what + " of " + id + " got 200");
    return;
  }
  Submission& job = known->second;
  const bool was_accepted = job.accepted_at && *job.accepted_at < asked;
  const bool was_done = job.done_told && *job.done_told < asked;
  const bool was_cancelled = job.cancel_confirmed && *job.cancel_confirmed < asked;
  if (was_accepted && (status == 404 || status == 400 || status == 422)) {
    broken("forgotten", what + " of " + id + " got " + std::to_string(status));
  }
  if (status != 200 && status != 201) return;
  if (was_done && stage != "done") broken("went_back", id + " was done, now " + stage);
  if (was_cancelled && stage != "withdrawn") {
    broken("went_back", id + " was cancelled, now " + stage);
  }
  if (was_accepted && status == 201) broken("forgotten", id + " is accepted a second time");
  if (stage == "withdrawn" && !job.cancel_asked) {
    broken("went_back", id + " is cancelled, which nobody asked for");
  }
  if (!job.accepted_at) job.accepted_at = world_.now();
  if (stage == "withdrawn" && !job.cancel_confirmed) job.cancel_confirmed = world_.now();
  if (stage == "done") {
    if (!job.done_told) job.done_told = world_.now();
    for (std::uint32_t i = 0; i < job.legs; ++i) {
      if (!done.contains(id + "/" + std::to_string(i))) {
        broken("not_done", id + " is declared done before task " + std::to_string(i));
        break;
      }
    }
  }
}

void Judge::task_off_machine(const std::string& leg, const std::string& machine) {
  where[leg].erase(machine);
  world_.record.line(leg + " left " + machine);
}

void Judge::check_cancelled() {
  for (const auto& [leg, machines] : where) {
    const Submission& job = world_.jobs.at(job_of(leg));
    if (machines.empty() || !job.cancel_confirmed) continue;
    if (world_.now() > *job.cancel_confirmed + world_.site.cancel_s) {
      broken("ran_cancelled", leg + " is on " + *machines.begin() + " after its cancellation");
    }
  }
}

// -------------------------------------------------------------------------------------- world

World::World(Site its_site, const std::string& folder, std::vector<std::string> command,
             bool with_trouble, bool peer_proxies)
    : site(std::move(its_site)),
      trouble(with_trouble),
      started_at(clock.now()),
      record(folder + "/record.txt"),
      run_command(std::move(command)),
      with_peer_proxies(peer_proxies) {
  signal(SIGPIPE, SIG_IGN);
  record.set_clock([this] { return now(); });
  const char* temporary = std::getenv("TMPDIR");
  std::string pattern =
      std::string(temporary != nullptr ? temporary : "/tmp") + "/larkroad-review-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) {
    std::perror("mkdtemp");
    std::exit(2);
  }
  work_folder = pattern;
  const auto add_server = [this](size_t connections, const larkroad::transport::Handler& handler) {
    auto [server, address] = listen(io, clock, connections, handler);
    servers_.push_back(std::move(server));
    return address;
  };
  cloud_address_ = add_server(500, [this](const Request& request, const Respond& respond) {
    // The cloud answers after a tenth of a second.
    after(0.1, [this, request, respond] { cloud.handle(request, respond); });
  });
  for (size_t i = 0; i < site.controller_zones.size(); ++i) {
    controllers.push_back(std::make_unique<Controller>(*this, i));
    controllers.back()->state =
        add_server(2000, [this, i](const Request& request, const Respond& respond) {
          // The state service answers after a few milliseconds.
          after(state_delay(), [this, i, request, respond] { state.handle(i, request, respond); });
        });
  }
  for (size_t to = 0; to < controllers.size() && with_peer_proxies; ++to) {
    for (size_t from = 0; from < controllers.size(); ++from) {
      if (from == to) continue;
      controllers[to]->peer_as_seen_by[from] = add_server(
          500, [this, from, to](const Request& request, const Respond& respond) {
            if (controllers[to]->cut_from.contains(from)) {
              after(20, [respond] { (void)respond; });  // hangs without an error
              return;
            }
            after(peer_delay(), [this, to, request, respond] {
              client.call(controllers[to]->peer, request, 20,
                          [this, respond](Outcome outcome, const Response& response) {
                            if (outcome == Outcome::answered) {
                              after(peer_delay(), [respond, response] { respond(response); });
                            } else {
                              after(20, [respond] { (void)respond; });
                            }
                          });
            });
          });
    }
  }
  record.line("site " + site.name + (trouble ? ", with the disruption" : ", without the disruption"));
}

World::~World() {
  for (auto& controller : controllers) controller->kill();
  if (std::getenv("REVIEW_KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(work_folder, ignored);
  }
}

void World::start(std::function<void()> ready) {
  for (auto& controller : controllers) controller->start();
  auto healthy = std::make_shared<std::set<size_t>>();
  auto poll = std::make_shared<std::function<void()>>();
  *poll = [this, healthy, weak = std::weak_ptr(poll)] {
    for (size_t i = 0; i < controllers.size(); ++i) {
      client.call(controllers[i]->client, {"GET", "/healthz", ""}, 1,
                  [healthy, i](Outcome outcome, const Response& response) {
                    if (outcome == Outcome::answered && response.status == 200) healthy->insert(i);
                  });
    }
    if (healthy->size() == controllers.size()) return;
    if (const auto again = weak.lock()) after(0.2, [again] { (*again)(); });
  };
  (*poll)();
  when("all controllers are healthy", 20,
       [this, healthy, poll] { return healthy->size() == controllers.size(); }, std::move(ready));
}

int World::run(Seconds limit) {
  after(limit, [this] { finish(2, "the time limit was reached"); });
  auto watchdog = std::make_shared<std::function<void()>>();
  *watchdog = [this, watchdog] {
    for (auto& controller : controllers) {
      if (controller->ended_by_itself()) {
        judge.broken("ended", "controller " + controller->member + " ended by itself");
      }
    }
    judge.check_cancelled();
    after(0.25, [watchdog] { (*watchdog)(); });
  };
  (*watchdog)();
  while (!status_) {
    try {
      io.run_one();
    } catch (const std::exception& error) {
      record.line(std::string("stand-in failed: ") + error.what());
      return 2;
    }
  }
  for (auto& controller : controllers) controller->kill();
  return *status_;
}

void World::finish(int status, const std::string& text) {
  if (status_) return;
  record.line("result " + std::to_string(status) + ": " + text);
  std::printf("%s\n", text.c_str());
  status_ = status;
}

void World::conclude(const std::string& rule) {
  const auto broken = judge.violations.find(rule);
  if (broken != judge.violations.end()) {
    finish(1, "broken: " + rule + ", " + broken->second.front());
  } else if (judge.violations.empty()) {
    finish(0, "no rule was broken");
  } else {
    const auto& other = *judge.violations.begin();
    finish(2, "not the rule of the case: " + other.first + ", " + other.second.front());
  }
}

void World::when(const std::string& what, Seconds limit, std::function<bool()> condition,
                 std::function<void()> then) {
  if (status_) return;
  if (condition()) {
    record.line("reached: " + what);
    then();
  } else if (limit <= 0) {
    finish(2, "not reached in time: " + what);
  } else {
    after(0.02, [this, what, limit, condition = std::move(condition), then = std::move(then)] {
      when(what, limit - 0.02, condition, then);
    });
  }
}

Submission& World::job(const std::string& id, Json changes, double run_s) {
  Json body{{"ref", id},          {"lane", "route-train"}, {"crew", "roster"},
            {"shape", "sweep"},   {"rank", "normal"},      {"legs", 1},
            {"cores", 1.0},       {"accelerators", 0.0},   {"memGb", 2.0},
            {"cargo", "img-07"},  {"pullGb", 0.1},         {"breeds", nullptr},
            {"yard", nullptr},    {"samePlace", false},    {"apart", false},
            {"loaners", true},    {"expectS", run_s},      {"waypointS", 0.0},
            {"stowS", 0.0},       {"dueS", nullptr}};
  body.update(changes);
  Submission& out = jobs[id];
  out.body = body;
  out.id = id;
  out.cores = body.at("cores");
  out.accelerators = body.at("accelerators");
  out.memory_gb = body.at("memGb");
  out.run_s = run_s;
  out.waypoint_s = body.at("waypointS");
  out.stow_s = body.at("stowS");
  out.legs = body.at("legs");
  out.team = body.at("crew");
  out.shape = body.at("shape");
  return out;
}

size_t World::healthy_controller() {
  std::vector<size_t> up;
  for (size_t i = 0; i < controllers.size(); ++i) {
    if (controllers[i]->running()) up.push_back(i);
  }
  return up.empty() ? 0 : up[static_cast<size_t>(random() * static_cast<double>(up.size()))];
}

void World::submit(const std::string& id, std::function<void(int)> then,
                   std::optional<size_t> controller) {
  Submission& job = jobs.at(id);
  job.submitted = true;
  const size_t target = controller.value_or(healthy_controller());
  record.line("user -> " + controllers[target]->member + ": POST /v2/runs " + job.body.dump());
  client.call(controllers[target]->client, {"POST", "/v2/runs", job.body.dump()}, 5,
              [this, id, then, controller, asked = now()](Outcome outcome,
                                                          const Response& response) {
                const int status = outcome == Outcome::answered ? response.status : 0;
                record.line("user <- " + id + ": " + std::to_string(status) + " " + response.body);
                if (status == 200 || status == 201) jobs.at(id).accepted = true;
                judge.user_was_told(id, status, stage_of(response), asked, "submission");
                if (status == 200 || status == 201 || status == 400 || status == 422) {
                  then(status);
                } else {
                  after(1, [this, id, then, controller] { submit(id, then, controller); });
                }
              });
}

void World::cancel(const std::string& id, std::function<void()> then,
                   std::optional<size_t> controller) {
  const size_t target = controller.value_or(healthy_controller());
  record.line("user -> " + controllers[target]->member + ": cancel " + id);
  if (!jobs.at(id).cancel_asked) jobs.at(id).cancel_asked = now();
  client.call(controllers[target]->client, {"POST", "/v2/runs/" + id + "/cancel", ""}, 5,
              [this, id, then, controller, asked = now()](Outcome outcome,
                                                          const Response& response) {
                const int status = outcome == Outcome::answered ? response.status : 0;
                record.line("user <- cancel " + id + ": " + std::to_string(status) + " " +
                            response.body);
                judge.user_was_told(id, status, stage_of(response), asked, "cancellation");
                if (status == 200) {
                  then();
                } else {
                  after(1, [this, id, then, controller] { cancel(id, then, controller); });
                }
              });
}

void World::query(const std::string& id, size_t controller,
                  std::function<void(int, const std::string&)> then) {
  client.call(controllers[controller]->client, {"GET", "/v2/runs/" + id, ""}, 2,
              [this, id, then, asked = now()](Outcome outcome, const Response& response) {
                const int status = outcome == Outcome::answered ? response.status : 0;
                const std::string stage = stage_of(response);
                judge.user_was_told(id, status, stage, asked, "query");
                record.line("user <- query " + id + ": " + std::to_string(status) + " " +
                            response.body);
                then(status, stage);
              });
}

}  // namespace review
