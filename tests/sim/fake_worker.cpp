#include "sim/fake_worker.hpp"

#include <algorithm>

#include "sim/world.hpp"

namespace larkroad::sim {
namespace {

constexpr Seconds kHeartbeatTimeout = 4;
constexpr Seconds kMinHeartbeatInterval = 0.5;
constexpr Seconds kRetryDelay = 1;
constexpr Seconds kRedirectDelay = 0.1;
constexpr Seconds kLeaseCheckInterval = 0.1;

const char* wire_name(FakeWorker::Stage stage) {
  switch (stage) {
    case FakeWorker::Stage::fetching:
      return "fetching";
    case FakeWorker::Stage::gathering:
      return "gathering";
    case FakeWorker::Stage::running:
      return "running";
    case FakeWorker::Stage::saving:
      return "saving";
    case FakeWorker::Stage::exited:
      return "exited";
  }
  return "";
}

TaskId parse_task_id(const std::string& text) {
  const auto slash = text.rfind('/');
  return {text.substr(0, slash), static_cast<std::uint32_t>(std::stoul(text.substr(slash + 1)))};
}

}  // namespace

FakeWorker::FakeWorker(World& world, std::string machine, std::string network_address,
                       std::string machine_type, std::string its_zone, bool is_spot)
    : name(std::move(machine)),
      address(std::move(network_address)),
      type(std::move(machine_type)),
      zone(std::move(its_zone)),
      spot(is_spot),
      world_(world) {}

void FakeWorker::start() {
  up_ = true;
  lease_renewed_at_ = world_.events.now();
  controller_ = static_cast<size_t>(world_.random_fraction() * kControllers);
  send_heartbeat();
  check_lease();
}

bool FakeWorker::is_running(const std::string& job) const {
  return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& entry) {
    return entry.first.first.job == job && entry.second.stage == Stage::running;
  });
}

bool FakeWorker::has_live_task(const std::string& job) const {
  return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& entry) {
    return entry.first.first.job == job && entry.second.stage != Stage::exited;
  });
}

// ---------------------------------------------------------------- heartbeats

Json FakeWorker::heartbeat() {
  Json tasks = Json::array();
  for (const auto& [key, task] : tasks_) {
    Json status{{"leg", key.first.text()}, {"try", key.second}, {"stage", wire_name(task.stage)}};
    if (task.stage == Stage::exited) status["cause"] = task.exit_cause;
    if (task.checkpointed) status["saved"] = true;
    tasks.push_back(std::move(status));
  }
  Json out{{"perch", name},       {"address", address},      {"breed", type},
           {"yard", zone},        {"loaners", spot},         {"flight", incarnation_},
           {"tick", ++sequence_}, {"baton", fencing_token_}, {"legs", tasks}};
  out["recallS"] = reclaim_at_ ? Json(*reclaim_at_ - world_.events.now()) : Json(nullptr);
  return out;
}

void FakeWorker::report_change() {
  if (terminated) return;
  if (heartbeat_in_flight_) {
    changed_since_heartbeat_ = true;
    return;
  }
  const Seconds now = world_.events.now();
  const Seconds earliest = last_heartbeat_at_ ? *last_heartbeat_at_ + kMinHeartbeatInterval : now;
  world_.events.cancel(next_heartbeat_);
  next_heartbeat_ =
      world_.events.schedule_at(std::max(now, earliest), [this] { send_heartbeat(); });
}

void FakeWorker::send_heartbeat() {
  if (terminated || heartbeat_in_flight_) return;
  if (is_hung()) {
    when_responsive([this] { send_heartbeat(); });
    return;
  }
  heartbeat_in_flight_ = true;
  changed_since_heartbeat_ = false;
  const Seconds sent = world_.events.now();
  last_heartbeat_at_ = sent;
  Request request{"POST", protocol::kHeartbeatPath, heartbeat().dump()};
  world_.network.send(
      name, controller_address(controller_) + kClientPort, std::move(request), kHeartbeatTimeout,
      [this, sent, incarnation = incarnation_, process = process_](Outcome outcome,
                                                                   const Response& response) {
        if (terminated || process != process_) return;
        heartbeat_in_flight_ = false;
        Seconds delay = on_heartbeat_reply(sent, incarnation, outcome, response);
        if (changed_since_heartbeat_) delay = std::min(delay, kMinHeartbeatInterval);
        next_heartbeat_ =
            world_.events.schedule_at(world_.events.now() + delay, [this] { send_heartbeat(); });
      },
      std::make_shared<bool>(true));
}

Seconds FakeWorker::on_heartbeat_reply(Seconds sent, std::uint64_t incarnation, Outcome outcome,
                                       const Response& response) {
  const Seconds interval =
      world_.settings.heartbeat_interval_s * (0.75 + world_.random_fraction() / 2);
  if (outcome != Outcome::answered) return try_next_controller();
  if (response.status == 421) return on_redirect(response);
  if (response.status != 200) return try_next_controller();
  on_heartbeat_accepted(sent, incarnation, Json::parse(response.body));
  return interval;
}

void FakeWorker::on_heartbeat_accepted(Seconds sent, std::uint64_t incarnation,
                                       const Json& answer) {
  const std::uint64_t fencing_token = answer.value("baton", std::uint64_t{0});
  if (incarnation != incarnation_ || fencing_token < fencing_token_) return;
  if (fencing_token > fencing_token_) {
    fencing_token_ = fencing_token;
    changed_since_heartbeat_ = true;
  }
  lease_renewed_at_ = sent;
  execute(answer.at("calls"));
}

Seconds FakeWorker::on_redirect(const Response& response) {
  const std::string target = Json::parse(response.body).value("home", "");
  if (!is_controller(target) || target == controller_name(controller_)) {
    return try_next_controller();
  }
  controller_ = controller_index(target);
  return kRedirectDelay;
}

Seconds FakeWorker::try_next_controller() {
  controller_ = (controller_ + 1) % kControllers;
  return kRetryDelay;
}

// ---------------------------------------------------------------- commands

void FakeWorker::handle(const Request& request, const Respond& respond) {
  if (is_hung()) {
    when_responsive([self = shared_from_this(), request, respond] {
      if (!self->terminated) self->handle(request, respond);
    });
    return;
  }
  if (request.target == "/inspect") {
    respond({200, heartbeat().dump()});
    return;
  }
  const Json commands = Json::parse(request.body);
  const std::uint64_t fencing_token = commands.at("baton");
  const auto incarnation = commands.at("flight").get<std::uint64_t>();
  if (fencing_token < fencing_token_ || incarnation != incarnation_) {
    respond({409, heartbeat().dump()});
    return;
  }
  fencing_token_ = fencing_token;
  execute(commands.at("calls"));
  respond({200, heartbeat().dump()});
}

void FakeWorker::execute(const Json& commands) {
  for (const auto& command : commands) {
    const Key key{parse_task_id(command.at("leg")), command.at("try").get<std::uint64_t>()};
    const std::string operation = command.at("call");
    if (operation == "launch") {
      launch(key.first, key.second);
    } else if (operation == "kill") {
      stop(key, command.value("slackS", 0.0));
    } else {
      const auto it = tasks_.find(key);
      if (it != tasks_.end() && it->second.stage == Stage::exited) tasks_.erase(it);
    }
  }
}

std::optional<std::string> FakeWorker::launch_error(const TaskId& id) const {
  const JobSpec* spec = world_.users.spec(id.job);
  if (spec == nullptr) return "unknown";
  coordination::Resources used;
  for (const auto& [other, task] : tasks_) {
    if (task.stage == Stage::exited) continue;
    if (other.first == id) return "busy";
    used += coordination::needs_of(*world_.users.spec(other.first.job));
  }
  used += coordination::needs_of(*spec);
  for (const auto& machine_type : testing::types()) {
    if (machine_type.name == type && !coordination::capacity_of(machine_type).fits(used)) {
      return "full";
    }
  }
  return std::nullopt;
}

void FakeWorker::launch(const TaskId& id, std::uint64_t attempt) {
  const Key key{id, attempt};
  if (tasks_.contains(key)) return;
  const auto error = launch_error(id);
  tasks_[key].launch_number = ++launches_;
  if (error) {
    exit(key, *error);
    return;
  }
  report_change();
  schedule_for_task(world_.events.now() + world_.faults.image_fetch_time, key, Stage::fetching,
                    [this, key] { on_image_fetched(key); });
}

void FakeWorker::on_image_fetched(const Key& key) {
  const TaskId& id = key.first;
  tasks_.at(key).counted = true;
  world_.invariants.task_started(world_.events.now(), id, {name, type, zone, spot});
  world_.tasks.record_start(id);
  if (faulty_ || world_.tasks.faulty_jobs.contains(id.job)) {
    world_.tasks.failures[id.job].push_back(world_.events.now());
    exit(key, "error");
  } else if (world_.tasks.is_completed(id)) {
    exit(key, "done");
  } else if (const JobSpec& spec = *world_.users.spec(id.job); spec.is_gang() && spec.tasks > 1) {
    gather(key);
  } else {
    run(key);
  }
}

void FakeWorker::gather(const Key& key) {
  Task& task = tasks_.at(key);
  task.stage = Stage::gathering;
  world_.events.schedule_at(world_.events.now() + world_.settings.gang_wait_s,
                            [this, key, launch_number = task.launch_number] {
                              if (find_task(key, launch_number, Stage::gathering) != nullptr) {
                                exit(key, "alone");
                              }
                            });
  report_change();
  world_.tasks.start_gang_if_complete(key.first.job, key.second);
}

void FakeWorker::run(const Key& key) {
  tasks_.at(key).stage = Stage::running;
  report_change();
  const JobSpec& spec = *world_.users.spec(key.first.job);
  if (spec.is_service()) return;  // runs until it is stopped
  schedule_for_task(world_.events.now() + spec.estimate_s, key, Stage::running,
                    [this, key] { world_.tasks.complete(key.first, key.second); });
}

void FakeWorker::stop(const Key& key, double grace_period) {
  const auto it = tasks_.find(key);
  if (it == tasks_.end() || it->second.stage == Stage::exited) return;
  const JobSpec& spec = *world_.users.spec(key.first.job);
  if (it->second.stage == Stage::running && spec.checkpoint_s > 0 && grace_period >= spec.save_s) {
    it->second.stage = Stage::saving;
    report_change();
    schedule_for_task(world_.events.now() + spec.save_s, key, Stage::saving,
                      [this, key] { exit(key, "stopped", true); });
    return;
  }
  if (it->second.stage == Stage::saving && grace_period > 0) return;
  exit(key, "stopped");
}

void FakeWorker::exit(const Key& key, const std::string& cause, bool checkpointed) {
  Task& task = tasks_.at(key);
  if (task.counted) world_.invariants.task_left_machine(key.first, name);
  const bool left_gang = task.stage == Stage::running && cause != "done" && cause != "mates_gone";
  task.counted = false;
  task.stage = Stage::exited;
  task.exit_cause = cause;
  task.checkpointed = checkpointed;
  report_change();
  if (left_gang) world_.tasks.on_gang_member_lost(key.first.job, key.second);
}

FakeWorker::Task* FakeWorker::find_task(const Key& key, std::uint64_t launch_number, Stage stage) {
  const auto it = tasks_.find(key);
  if (terminated || it == tasks_.end()) return nullptr;
  Task& task = it->second;
  return task.launch_number == launch_number && task.stage == stage ? &task : nullptr;
}

void FakeWorker::schedule_for_task(Seconds when, const Key& key, Stage stage,
                                   std::function<void()> action) {
  const std::uint64_t launch_number = tasks_.at(key).launch_number;
  world_.events.schedule_at(when, [this, key, launch_number, stage, action = std::move(action)] {
    when_responsive([this, key, launch_number, stage, action] {
      if (find_task(key, launch_number, stage) != nullptr) action();
    });
  });
}

// ---------------------------------------------------------------- the machine

bool FakeWorker::is_hung() const { return hung_until_ > world_.events.now(); }

void FakeWorker::when_responsive(std::function<void()> action) {
  if (!is_hung()) {
    action();
    return;
  }
  world_.events.schedule_at(hung_until_, [self = shared_from_this(), action = std::move(action)] {
    self->when_responsive(action);
  });
}

void FakeWorker::hang(Seconds length) {
  if (terminated || is_hung()) return;
  hung_until_ = world_.events.now() + length;
  world_.invariants.set_hung(name, true);
  for (const auto& [key, task] : tasks_) {
    if (task.stage == Stage::running) world_.tasks.on_gang_member_lost(key.first.job, key.second);
  }
  world_.events.schedule_at(hung_until_, [self = shared_from_this()] {
    self->world_.invariants.set_hung(self->name, false);
  });
}

void FakeWorker::end_all_tasks() {
  const auto tasks = std::exchange(tasks_, {});
  for (const auto& [key, task] : tasks) {
    if (task.counted) world_.invariants.task_left_machine(key.first, name);
    if (task.stage == Stage::running) world_.tasks.on_gang_member_lost(key.first.job, key.second);
  }
}

void FakeWorker::begin_incarnation() {
  end_all_tasks();
  ++incarnation_;
  lease_renewed_at_ = world_.events.now();
  report_change();
}

void FakeWorker::end_expired_lease() {
  if (world_.events.now() - lease_renewed_at_ > world_.settings.lease_s) begin_incarnation();
}

void FakeWorker::check_lease() {
  if (terminated) return;
  // A worker that hung past its lease ends all tasks when it resumes, before any task continues.
  end_expired_lease();
  world_.events.schedule_at(world_.events.now() + kLeaseCheckInterval, [this] { check_lease(); });
}

void FakeWorker::terminate() {
  if (terminated) return;
  end_all_tasks();
  terminated = true;
}

void FakeWorker::restart() {
  if (terminated) return;
  fencing_token_ = 0;  // the token is kept only in memory
  begin_incarnation();
}

void FakeWorker::restart_in_same_incarnation() {
  if (terminated) return;
  end_all_tasks();
  fencing_token_ = 0;
  sequence_ = 0;
  lease_renewed_at_ = world_.events.now();
  heartbeat_in_flight_ = false;
  ++process_;
  report_change();
}

void FakeWorker::reclaim_in(Seconds notice) {
  reclaim_at_ = world_.events.now() + notice;
  report_change();
  world_.events.schedule_at(*reclaim_at_, [this] { terminate(); });
}

}  // namespace larkroad::sim
