#include <algorithm>

#include "sim/world.hpp"

namespace larkroad::sim {
namespace {

TaskId task_id(const std::string& text) {
  const auto slash = text.rfind('/');
  return {text.substr(0, slash), static_cast<std::uint32_t>(std::stoul(text.substr(slash + 1)))};
}

}  // namespace

Worker::Worker(World& world, std::string its_name, std::string its_address, std::string its_type,
               std::string its_zone, bool is_spot)
    : name(std::move(its_name)),
      address(std::move(its_address)),
      type(std::move(its_type)),
      zone(std::move(its_zone)),
      spot(is_spot),
      world_(world) {}

void Worker::start() {
  answered_sent_ = world_.events.now();
  home_ = static_cast<size_t>(world_.chance() * 3);
  send_report();
  check_lease();
}

Json Worker::heartbeat() {
  Json legs = Json::array();
  for (const auto& [key, task] : tasks_) {
    Json leg{{"leg", key.first.text()}, {"try", key.second}, {"stage", task.state}};
    if (task.state == "exited") leg["cause"] = task.cause;
    if (task.saved) leg["saved"] = true;
    legs.push_back(std::move(leg));
  }
  Json out{{"perch", name},   {"address", address},      {"breed", type},
           {"yard", zone},    {"loaners", spot},         {"flight", session_},
           {"tick", ++tick_}, {"baton", fencing_token_}, {"legs", legs}};
  out["recallS"] = taken_at_ >= 0 ? Json(taken_at_ - world_.events.now()) : Json(nullptr);
  return out;
}

void Worker::changed() {
  if (gone) return;
  if (in_flight_) {
    again_ = true;
    return;
  }
  world_.events.cancel(next_report_);
  next_report_ = world_.events.at(std::max(world_.events.now(), reported_at_ + 0.5),
                                  [this] { send_report(); });
}

void Worker::send_report() {
  if (gone || in_flight_) return;
  if (hung_until_ > world_.events.now()) {
    when_awake([this] { send_report(); });
    return;
  }
  in_flight_ = true;
  again_ = false;
  const Seconds sent = reported_at_ = world_.events.now();
  const std::uint64_t incarnation = session_;
  const std::string target = "10.0.0." + std::to_string(home_ + 1) + ":8080";
  world_.send(
      name, target, {"POST", "/checkin", heartbeat().dump()}, 4,
      [this, sent, incarnation](Outcome outcome, const Response& response) {
        in_flight_ = false;
        if (gone) return;
        Seconds next = world_.settings.heartbeat_interval_s * (0.75 + world_.chance() / 2);
        if (outcome == Outcome::answered && response.status == 200) {
          const Json json = Json::parse(response.body);
          const std::uint64_t fencing_token = json.value("baton", std::uint64_t{0});
          if (incarnation == session_ && fencing_token >= fencing_token_) {
            if (fencing_token > fencing_token_) {
              fencing_token_ = fencing_token;
              again_ = true;
            }
            answered_sent_ = sent;
            carry_out(json.at("calls"));
          }
        } else if (outcome == Outcome::answered && response.status == 421) {
          const std::string home = Json::parse(response.body).value("home", "");
          if (home.starts_with("node-") && home != "node-" + std::to_string(home_)) {
            home_ = static_cast<size_t>(home.back() - '0');
            next = 0.1;
          } else {
            home_ = (home_ + 1) % 3;
            next = 1;
          }
        } else {
          home_ = (home_ + 1) % 3;
          next = 1;
        }
        if (again_) next = std::min(next, 0.5);
        next_report_ = world_.events.at(world_.events.now() + next, [this] { send_report(); });
      },
      std::make_shared<bool>(true));
}

void Worker::when_awake(std::function<void()> fn) {
  if (hung_until_ <= world_.events.now()) {
    fn();
  } else {
    world_.events.at(hung_until_,
                     [self = shared_from_this(), fn = std::move(fn)] { self->when_awake(fn); });
  }
}

void Worker::hang(Seconds length) {
  if (gone || hung_until_ > world_.events.now()) return;
  hung_until_ = world_.events.now() + length;
  world_.checker.hangs(name, true);
  for (const auto& [key, task] : tasks_) {
    if (task.state == "running") world_.gang_lost(key.first.job, key.second);
  }
  world_.events.at(hung_until_,
                   [self = shared_from_this()] { self->world_.checker.hangs(self->name, false); });
}

void Worker::handle(const Request& request, Respond respond) {
  if (hung_until_ > world_.events.now()) {
    when_awake([self = shared_from_this(), request, respond] {
      if (!self->gone) self->handle(request, respond);
    });
    return;
  }
  if (request.target == "/inspect") {
    respond({200, heartbeat().dump(), 0});
    return;
  }
  const Json json = Json::parse(request.body);
  const std::uint64_t fencing_token = json.at("baton");
  if (fencing_token < fencing_token_ || json.at("flight").get<std::uint64_t>() != session_) {
    respond({409, heartbeat().dump(), 0});
    return;
  }
  fencing_token_ = fencing_token;
  carry_out(json.at("calls"));
  respond({200, heartbeat().dump(), 0});
}

void Worker::carry_out(const Json& calls) {
  for (const auto& call : calls) {
    const Key key{task_id(call.at("leg")), call.at("try").get<std::uint64_t>()};
    const std::string op = call.at("call");
    if (op == "launch") {
      launch(key.first, key.second);
    } else if (op == "kill") {
      kill(key, call.value("slackS", 0.0));
    } else {
      const auto it = tasks_.find(key);
      if (it != tasks_.end() && it->second.state == "exited") tasks_.erase(it);
    }
  }
}

void Worker::launch(const TaskId& id, std::uint64_t attempt) {
  const Key key{id, attempt};
  if (tasks_.contains(key)) return;
  const JobSpec* spec = world_.spec(id.job);
  coordination::Resources used;
  bool busy = false;
  for (const auto& [other, task] : tasks_) {
    if (task.state == "exited") continue;
    busy = busy || other.first == id;
    used += coordination::needs_of(*world_.spec(other.first.job));
  }
  Task& task = tasks_[key];
  task.state = "fetching";
  task.serial = ++serial_;
  if (spec == nullptr) {
    exit(key, "unknown");
    return;
  }
  if (busy) {
    exit(key, "busy");
    return;
  }
  used += coordination::needs_of(*spec);
  for (const auto& t : testing::types()) {
    if (t.name == type && !coordination::capacity_of(t).fits(used)) {
      exit(key, "full");
      return;
    }
  }
  changed();
  world_.events.at(world_.events.now() + world_.troubles.fetch,
                   [this, key, serial = task.serial] { has_image(key, serial); });
}

void Worker::has_image(const Key& key, std::uint64_t serial) {
  if (hung_until_ > world_.events.now()) {
    when_awake([this, key, serial] { has_image(key, serial); });
    return;
  }
  const auto it = tasks_.find(key);
  if (gone || it == tasks_.end() || it->second.serial != serial || it->second.state != "fetching") {
    return;
  }
  it->second.on = true;
  world_.checker.starts(world_.events.now(), key.first, {name, type, zone, spot});
  world_.starts_[key.first.job].emplace_back(world_.events.now(), key.first.task);
  if (faulty_ || world_.faulty_jobs.contains(key.first.job)) {
    world_.failures[key.first.job].push_back(world_.events.now());
    exit(key, "error");
    return;
  }
  if (world_.results[key.first.job].contains(key.first.task)) {
    exit(key, "done");
    return;
  }
  const JobSpec& spec = *world_.spec(key.first.job);
  if (spec.is_gang() && spec.tasks > 1) {
    it->second.state = "gathering";
    world_.events.at(world_.events.now() + world_.settings.gang_wait_s, [this, key, serial] {
      const auto task = tasks_.find(key);
      if (task != tasks_.end() && task->second.serial == serial &&
          task->second.state == "gathering") {
        exit(key, "alone");
      }
    });
    changed();
    world_.gang_ready(key.first.job, key.second);
    return;
  }
  run(key);
}

void Worker::run(const Key& key) {
  Task& task = tasks_.at(key);
  task.state = "running";
  changed();
  if (world_.spec(key.first.job)->is_service()) return;  // until it is stopped
  const Seconds takes = world_.spec(key.first.job)->estimate_s;
  world_.events.at(world_.events.now() + takes, [this, key, serial = task.serial] {
    when_awake([this, key, serial] {
      const auto it = tasks_.find(key);
      if (gone || it == tasks_.end() || it->second.serial != serial ||
          it->second.state != "running") {
        return;
      }
      world_.complete(key.first, key.second);
    });
  });
}

void Worker::kill(const Key& key, double slack) {
  const auto it = tasks_.find(key);
  if (it == tasks_.end() || it->second.state == "exited") return;
  const JobSpec& spec = *world_.spec(key.first.job);
  if (it->second.state == "running" && spec.checkpoint_s > 0 && slack >= spec.save_s) {
    it->second.state = "saving";
    changed();
    world_.events.at(world_.events.now() + spec.save_s, [this, key, serial = it->second.serial] {
      when_awake([this, key, serial] {
        const auto task = tasks_.find(key);
        if (!gone && task != tasks_.end() && task->second.serial == serial &&
            task->second.state == "saving") {
          exit(key, "stopped", true);
        }
      });
    });
    return;
  }
  if (it->second.state == "saving" && slack > 0) return;
  exit(key, "stopped");
}

void Worker::exit(const Key& key, const std::string& cause, bool saved) {
  Task& task = tasks_.at(key);
  if (task.on) world_.checker.leaves(key.first, name);
  const bool left_gang = task.state == "running" && cause != "done" && cause != "mates_gone";
  task.on = false;
  task.state = "exited";
  task.cause = cause;
  task.saved = saved;
  changed();
  if (left_gang) world_.gang_lost(key.first.job, key.second);
}

void Worker::end_all() {
  const auto tasks = tasks_;
  tasks_.clear();
  for (const auto& [key, task] : tasks) {
    if (task.on) world_.checker.leaves(key.first, name);
    if (task.state == "running") world_.gang_lost(key.first.job, key.second);
  }
}

void Worker::end_lease() {
  if (world_.events.now() - answered_sent_ <= world_.settings.lease_s) return;
  end_all();
  ++session_;
  answered_sent_ = world_.events.now();
  changed();
}

void Worker::check_lease() {
  if (gone) return;
  end_lease();  // what hangs beyond its lease ends everything as it wakes, before anything runs
  world_.events.at(world_.events.now() + 0.1, [this] { check_lease(); });
}

void Worker::vanish() {
  if (gone) return;
  end_all();
  gone = true;
}

void Worker::restart() {
  if (gone) return;
  end_all();
  ++session_;
  fencing_token_ = 0;  // all it knew is gone
  answered_sent_ = world_.events.now();
  changed();
}

void Worker::notice(Seconds in) {
  taken_at_ = world_.events.now() + in;
  changed();
  world_.events.at(taken_at_, [this] { vanish(); });
}

}  // namespace larkroad::sim
