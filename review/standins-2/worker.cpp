#include "worker.hpp"

#include <algorithm>

namespace standin {
namespace {

constexpr Seconds kAnswerTimeout = 4;
constexpr Seconds kMinInterval = 0.5;
constexpr double kTolerance = 1e-6;

}  // namespace

Worker::Worker(Bench& bench, const WorkerSettings& settings, WorkerMachine machine)
    : bench_(bench), settings_(settings), machine_(std::move(machine)), port_(free_port()) {}

Worker::~Worker() { *alive_ = false; }

void Worker::later(Seconds delay, std::function<void()> action) {
  bench_.after(delay, [this, alive = alive_, action = std::move(action)] {
    if (*alive && up_) action();
  });
}

// Runs the action if the task is then still the same launch.
void Worker::later_for(const Key& key, Seconds delay, std::function<void()> action) {
  const std::uint64_t launch = tasks_.at(key).launch;
  later(delay, [this, key, launch, action = std::move(action)] {
    const auto it = tasks_.find(key);
    if (it != tasks_.end() && it->second.launch == launch && it->second.stage != "exited") action();
  });
}

void Worker::start() {
  if (!*alive_) return;
  up_ = true;
  lease_from_ = bench_.now();
  controller_ = static_cast<std::size_t>(bench_.random() * settings_.controllers.size());
  server_ = bench_.serve(port_, [this](Request request, Respond respond) {
    try {
      handle_call(request, respond);
    } catch (const std::exception&) {
      respond({400, "{}"});
    }
  });
  bench_.record("machine " + name() + " is up: " + machine_.type + " " + machine_.zone +
                (machine_.spot ? " spot" : ""));
  send_report();
  check_lease();
}

void Worker::power_off() {
  if (!*alive_) return;
  drop_all();
  up_ = false;
  *alive_ = false;
  server_.reset();
}

void Worker::left(const std::string& task) {
  auto& on = settings_.book->on_machines[task];
  on.erase(name());
}

void Worker::drop_all() {
  const auto tasks = std::exchange(tasks_, {});
  for (const auto& [key, task] : tasks) {
    if (task.stage == "exited") continue;
    left(key.first);
    leave_gang(key, false);
  }
}

void Worker::check_lease() {
  if (bench_.now() - lease_from_ > settings_.lease_s) {
    bench_.record("machine " + name() + ": lease over, session " + std::to_string(session_ + 1));
    drop_all();
    ++session_;
    lease_from_ = bench_.now();
    report_soon();
  }
  later(0.05, [this] { check_lease(); });
}

Json Worker::report() {
  Json legs = Json::array();
  for (const auto& [key, task] : tasks_) {
    Json leg{{"leg", key.first}, {"try", key.second}, {"stage", task.stage}};
    if (task.stage == "exited") leg["cause"] = task.cause;
    if (task.saved) leg["saved"] = true;
    legs.push_back(std::move(leg));
  }
  return {{"perch", name()},      {"address", address()}, {"breed", machine_.type},
          {"yard", machine_.zone}, {"loaners", machine_.spot}, {"flight", session_},
          {"tick", ++tick_},      {"baton", token_},      {"recallS", nullptr},
          {"legs", legs}};
}

void Worker::schedule_report(Seconds delay) {
  later(delay, [this, number = ++report_number_] {
    if (number == report_number_) send_report();
  });
}

void Worker::report_soon() {
  if (!up_) return;
  if (in_flight_) {
    changed_ = true;
    return;
  }
  schedule_report(std::max(0.0, last_report_ + kMinInterval - bench_.now()));
}

void Worker::send_report() {
  if (in_flight_) return;
  in_flight_ = true;
  changed_ = false;
  last_report_ = bench_.now();
  const Seconds sent = last_report_;
  const Json body = report();
  const auto on_answer = [this, alive = alive_, sent, session = session_](
                             Outcome outcome, const Response& response) {
    if (!*alive) return;
    in_flight_ = false;
    Seconds delay = handle_answer(sent, session, outcome, response);
    if (changed_) delay = std::min(delay, kMinInterval);
    schedule_report(delay);
  };
  if (mute) {
    later(kAnswerTimeout, [on_answer] { on_answer(Outcome::not_sent, {}); });
    return;
  }
  bench_.client.call(settings_.controllers[controller_].second,
                     {"POST", "/checkin", body.dump()}, kAnswerTimeout,
                     [this, alive = alive_, sent, on_answer](Outcome outcome,
                                                             const Response& response) {
                       if (!*alive) return;
                       if (!deaf) {
                         on_answer(outcome, response);
                         return;
                       }
                       later(sent + kAnswerTimeout - bench_.now(),
                             [on_answer] { on_answer(Outcome::unknown, {}); });
                     });
}

Seconds Worker::handle_answer(Seconds sent, std::uint64_t session, Outcome outcome,
                              const Response& response) {
  const auto next = [this] {
    controller_ = (controller_ + 1) % settings_.controllers.size();
    return 1.0;
  };
  if (outcome != Outcome::answered) return next();
  if (response.status == 421) {
    const std::string home = Json::parse(response.body).value("home", "");
    for (std::size_t i = 0; i < settings_.controllers.size(); ++i) {
      if (settings_.controllers[i].first != home || i == controller_) continue;
      controller_ = i;
      return bench_.random() / 2;
    }
    return next();
  }
  if (response.status != 200) return next();
  const Json answer = Json::parse(response.body);
  const std::uint64_t token = answer.value("baton", std::uint64_t{0});
  const Seconds interval = settings_.report_s * (0.75 + bench_.random() / 2);
  if (session != session_ || token < token_ || token == 0) return interval;
  if (token > token_) {
    token_ = token;
    changed_ = true;
  }
  lease_from_ = sent;
  execute(answer.value("calls", Json::array()));
  return interval;
}

void Worker::handle_call(const Request& request, const Respond& respond) {
  if (deaf) return;
  if (request.target == "/inspect") {
    respond({200, report().dump()});
    return;
  }
  const Json body = Json::parse(request.body);
  if (!body.contains("baton") || !body.contains("flight")) {
    respond({400, "{}"});
    return;
  }
  const std::uint64_t token = body.at("baton");
  if (token < token_ || body.at("flight").get<std::uint64_t>() != session_) {
    respond({409, report().dump()});
    return;
  }
  if (token > token_) {
    token_ = token;
    report_soon();
  }
  execute(body.value("calls", Json::array()));
  respond({200, report().dump()});
}

void Worker::execute(const Json& calls) {
  for (const Json& call : calls) {
    const Key key{call.at("leg").get<std::string>(), call.at("try").get<std::uint64_t>()};
    const std::string kind = call.at("call");
    if (kind == "launch") {
      launch(key);
    } else if (kind == "kill") {
      kill(key, call.value("slackS", 0.0));
    } else if (kind == "forget") {
      const auto it = tasks_.find(key);
      if (it != tasks_.end() && it->second.stage == "exited") tasks_.erase(it);
    }
  }
}

std::pair<double, double> Worker::used() const {
  double cpus = 0, memory = 0;
  for (const auto& [key, task] : tasks_) {
    if (task.stage == "exited") continue;
    const Json& spec = settings_.book->submissions.at(job_of(key.first));
    cpus += spec.at("cores").get<double>();
    memory += spec.at("memGb").get<double>();
  }
  return {cpus, memory};
}

std::string Worker::refusal(const std::string& task) const {
  const auto spec = settings_.book->submissions.find(job_of(task));
  if (spec == settings_.book->submissions.end()) return "unknown";
  for (const auto& [key, other] : tasks_) {
    if (key.first == task && other.stage != "exited") return "busy";
  }
  const auto [cpus, memory] = used();
  if (cpus + spec->second.at("cores").get<double>() > machine_.cpus + kTolerance ||
      memory + spec->second.at("memGb").get<double>() > machine_.memory_gb + kTolerance) {
    return "full";
  }
  return "";
}

void Worker::launch(const Key& key) {
  if (tasks_.contains(key)) return;
  const std::string refused = refusal(key.first);
  tasks_[key] = {"fetching", "", false, ++launches_};
  if (!refused.empty()) {
    exit(key, refused);
    return;
  }
  const Json& spec = settings_.book->submissions.at(job_of(key.first));
  const std::string image = spec.at("cargo");
  const Seconds now = bench_.now();
  if (!images_.contains(image)) {
    images_[image] = now + spec.at("pullGb").get<double>() / machine_.fetch_gb_per_s;
  }
  report_soon();
  later_for(key, std::max(0.0, images_[image] - now), [this, key] { fetched(key); });
}

void Worker::fetched(const Key& key) {
  JobBook& book = *settings_.book;
  auto& on = book.on_machines[key.first];
  for (const auto& other : on) {
    if (other == name()) continue;
    book.ran_twice.push_back(key.first + " starts on " + name() + " while it is on " + other);
    bench_.record("RAN TWICE: " + book.ran_twice.back());
  }
  on.insert(name());
  book.starts.push_back(key.first + " " + std::to_string(key.second) + " " + name());
  bench_.record("task " + key.first + " try " + std::to_string(key.second) + " starts on " +
                name());
  if (book.completed.contains(key.first)) {
    exit(key, "done");
    return;
  }
  if (is_in_gang(key.first)) {
    gather(key);
  } else {
    run(key);
  }
}

bool Worker::is_in_gang(const std::string& task) const {
  const Json& spec = settings_.book->submissions.at(job_of(task));
  return spec.at("shape") == "gang" && spec.at("legs").get<int>() > 1;
}

void Worker::gather(const Key& key) {
  JobBook& book = *settings_.book;
  tasks_.at(key).stage = "gathering";
  report_soon();
  const std::string job = job_of(key.first);
  const auto gang = std::make_pair(job, key.second);
  const std::uint64_t launch = tasks_.at(key).launch;
  const auto is_same = [this, key, launch] {
    const auto it = tasks_.find(key);
    return it != tasks_.end() && it->second.launch == launch && it->second.stage != "exited";
  };
  book.gangs[gang][key.first] = {
      [this, key, is_same] {
        if (is_same()) run(key);
      },
      [this, key, is_same](const std::string& cause) {
        if (is_same()) exit(key, cause);
      }};
  later_for(key, settings_.gang_wait_s, [this, key] {
    if (tasks_.at(key).stage == "gathering") exit(key, "alone");
  });
  const int legs = book.submissions.at(job).at("legs").get<int>();
  for (int i = 0; i < legs; ++i) {
    const std::string task = job + "/" + std::to_string(i);
    if (!book.gangs[gang].contains(task) && !book.completed.contains(task)) return;
  }
  book.running_gangs.insert(gang);
  const auto members = book.gangs[gang];
  for (const auto& [task, member] : members) member.run();
}

void Worker::leave_gang(const Key& key, bool done) {
  if (!is_in_gang(key.first)) return;
  JobBook& book = *settings_.book;
  const auto gang = std::make_pair(job_of(key.first), key.second);
  book.gangs[gang].erase(key.first);
  if (done || !book.running_gangs.contains(gang)) return;
  bench_.after(settings_.gang_peer_s * bench_.random(), [&book, gang] {
    const auto members = book.gangs[gang];
    for (const auto& [task, member] : members) member.exit("mates_gone");
  });
}

void Worker::complete(const Key& key) {
  JobBook& book = *settings_.book;
  book.completed.insert(key.first);
  if (!is_in_gang(key.first)) {
    exit(key, "done");
    return;
  }
  const std::string job = job_of(key.first);
  const int legs = book.submissions.at(job).at("legs").get<int>();
  for (int i = 0; i < legs; ++i) book.completed.insert(job + "/" + std::to_string(i));
  const auto members = book.gangs[{job, key.second}];
  for (const auto& [task, member] : members) member.exit("done");
}

void Worker::run(const Key& key) {
  tasks_.at(key).stage = "running";
  report_soon();
  const auto run_time = settings_.book->run_times.find(job_of(key.first));
  if (run_time == settings_.book->run_times.end()) return;
  later_for(key, run_time->second, [this, key] {
    if (tasks_.at(key).stage == "running") complete(key);
  });
}

void Worker::kill(const Key& key, double slack) {
  const auto it = tasks_.find(key);
  if (it == tasks_.end() || it->second.stage == "exited") return;
  const Json& spec = settings_.book->submissions.at(job_of(key.first));
  const double save = spec.value("stowS", 0.0);
  if (it->second.stage == "running" && spec.value("waypointS", 0.0) > 0 && slack >= save) {
    it->second.stage = "saving";
    report_soon();
    later_for(key, save, [this, key] { exit(key, "stopped", true); });
    return;
  }
  if (it->second.stage == "saving" && slack > 0) return;
  exit(key, "stopped");
}

void Worker::exit(const Key& key, const std::string& cause, bool saved) {
  Task& task = tasks_.at(key);
  task.stage = "exited";
  task.cause = cause;
  task.saved = saved;
  left(key.first);
  if (settings_.book->submissions.contains(job_of(key.first))) {
    leave_gang(key, cause == "done" || cause == "mates_gone");
  }
  bench_.record("task " + key.first + " try " + std::to_string(key.second) + " exits on " + name() +
                ": " + cause);
  report_soon();
}

void Worker::end_task(const std::string& task, const std::string& cause) {
  for (const auto& [key, state] : tasks_) {
    if (key.first != task || state.stage != "running") continue;
    if (cause == "done") {
      complete(Key(key));
    } else {
      exit(Key(key), cause);
    }
    return;
  }
}

bool Worker::has(const std::string& task) const {
  const auto on = settings_.book->on_machines.find(task);
  return on != settings_.book->on_machines.end() && on->second.contains(name());
}

std::string Worker::state() const {
  std::string out = name() + " session " + std::to_string(session_) + " token " +
                    std::to_string(token_) + ":";
  for (const auto& [key, task] : tasks_) {
    out += " " + key.first + "#" + std::to_string(key.second) + "=" + task.stage;
  }
  return out;
}

}  // namespace standin
