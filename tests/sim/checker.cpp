#include "sim/checker.hpp"

#include <algorithm>

namespace larkroad::sim {
namespace {

// The users' limits: a job whose questions go unanswered for so long is forgotten, and a class's
// largest jobs begin within so long.
constexpr Seconds kForgottenAfter = 75;
constexpr Seconds kLargestBeginWithin = 240;
// A job waits no longer than this beside room.
constexpr Seconds kWaitsBesideRoom = 90;
// By then, as a part of the workers' lease, a cancellation is known to whoever gives commands.
constexpr double kKnownRatio = 1.0 / 4;
// The part of a class's jobs that counts as its largest; at least one.
constexpr size_t kLargestPart = 10;

}  // namespace

void Checker::submitted(const JobSpec& spec, Seconds now) {
  const auto [it, made] = jobs_.try_emplace(spec.id);
  it->second.spec = spec;
  if (made) it->second.submitted_at = now;
}

void Checker::asks(Seconds now, const std::string& id) {
  const auto it = jobs_.find(id);
  if (it != jobs_.end() && it->second.asking_since < 0) it->second.asking_since = now;
}

void Checker::asks_no_more(const std::string& id) {
  const auto it = jobs_.find(id);
  if (it != jobs_.end()) answered(it->second);
}

void Checker::breach(Seconds now, const std::string& rule, const std::string& what) {
  broken_.push_back(rule + ": " + what + " at " + std::to_string(now));
}

bool Checker::broke(const std::string& rule) const {
  return std::any_of(broken_.begin(), broken_.end(),
                     [&](const auto& line) { return line.starts_with(rule + ":"); });
}

void Checker::asked_to_cancel(const std::string& id) {
  const auto it = jobs_.find(id);
  if (it != jobs_.end()) it->second.cancel_asked = true;
}

void Checker::told(Seconds now, Known& job, const std::string& stage, Seconds asked) {
  const std::string& id = job.spec.id;
  if (stage == "done") {
    if (job.completed.size() < job.spec.tasks) breach(now, "not_done", id);
    if (job.cancelled_at >= 0) breach(now, "went_back", id + " was cancelled, then done");
    job.told_done = true;
    if (job.told_over_at < 0) job.told_over_at = now;
  } else if (stage == "withdrawn") {
    if (!job.cancel_asked) breach(now, "went_back", id + " was cancelled by nobody");
    if (job.told_done) breach(now, "went_back", id + " was done, then cancelled");
    if (job.cancelled_at < 0) job.cancelled_at = now;
    if (job.told_over_at < 0) job.told_over_at = now;
  } else if (job.told_over_at >= 0 && (asked < 0 || asked >= job.told_over_at)) {
    breach(now, "went_back", id + " was over, then " + stage);
  }
}

void Checker::answered_submission(Seconds now, const std::string& id, int status,
                                  const std::string& stage, Seconds asked) {
  if (unfit_.contains(id) && (status == 200 || status == 201)) {
    breach(now, "accepted_unfit", id);
  }
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  if (status == 200 || status == 201) {
    answered(it->second);
    it->second.accepted = true;
    told(now, it->second, stage, asked);
  } else if (it->second.accepted && (status == 400 || status == 422)) {
    breach(now, "forgotten", id + " is refused again");
  }
}

void Checker::answered_query(Seconds now, const std::string& id, int status,
                             const std::string& stage, Seconds asked) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    if (status == 200) breach(now, "invented", id);
    return;
  }
  if (status == 404 && it->second.accepted) breach(now, "forgotten", id + " is not known");
  if (status == 200) {
    answered(it->second);
    it->second.accepted = true;
    told(now, it->second, stage, asked);
  }
}

void Checker::starts(Seconds now, const TaskId& id, const Place& place) {
  ++started_;
  const auto it = jobs_.find(id.job);
  if (it == jobs_.end()) return;
  Known& job = it->second;
  if (job.begun_at < 0) job.begun_at = now;
  auto& on = on_[id];
  for (const auto& [machine, other] : on) {
    if (machine != place.machine) {
      breach(now, "ran_twice", id.text() + " on " + machine + " and " + place.machine);
    }
  }
  on[place.machine] = place;

  coordination::Resources used;
  std::map<std::string, std::uint32_t> zones;
  for (const auto& [task, places] : on_) {
    const auto other = jobs_.find(task.job);
    if (other == jobs_.end()) continue;
    for (const auto& [machine, p] : places) {
      if (task.job == id.job) ++zones[p.zone];
      if (other->second.spec.team != job.spec.team) continue;
      used += coordination::needs_of(other->second.spec);
    }
  }
  const TeamSettings* team = settings_.team(job.spec.team);
  if (team == nullptr || used.cpus > team->cpus_max + 1e-6 || used.gpus > team->gpus_max + 1e-6) {
    breach(now, "quota", job.spec.team + " with " + id.text());
  }
  const bool type_allowed =
      !job.spec.types || std::find(job.spec.types->begin(), job.spec.types->end(), place.type) !=
                             job.spec.types->end();
  const bool zone_allowed = !job.spec.zone || *job.spec.zone == place.zone;
  const bool together = !job.spec.one_zone || zones.size() <= 1;
  const bool spread = !job.spec.spread || zones[place.zone] <= (job.spec.tasks + 1) / 2;
  if (!type_allowed || !zone_allowed || (place.spot && !job.spec.spot) || !together || !spread) {
    breach(now, "wrong_place", id.text() + " on " + place.machine);
  }
  if (job.cancelled_at >= 0 && now > job.cancelled_at + settings_.cancellation_limit_s) {
    breach(now, "ran_cancelled", id.text() + " starts");
  }
}

void Checker::leaves(const TaskId& id, const std::string& machine) {
  const auto it = on_.find(id);
  if (it == on_.end()) return;
  it->second.erase(machine);
  if (it->second.empty()) on_.erase(it);
}

void Checker::completes(const TaskId& id) {
  const auto it = jobs_.find(id.job);
  if (it != jobs_.end()) it->second.completed.insert(id.task);
}

void Checker::ordered(Seconds now, const std::string& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.cancelled_at < 0) return;
  if (now > it->second.cancelled_at + settings_.lease_s * kKnownRatio) {
    breach(now, "ordered_cancelled", id);
  }
}

void Checker::hangs(const std::string& machine, bool on) {
  if (on) {
    hung_.insert(machine);
  } else {
    hung_.erase(machine);
  }
}

void Checker::waits_beside_room(Seconds now, const std::string& id, bool so) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Known& job = it->second;
  if (!so || !job.wanted() || job.told_done || now < calm_since_) {
    job.beside_room_since = -1;
  } else if (job.beside_room_since < 0) {
    job.beside_room_since = now;
  } else if (now - job.beside_room_since > kWaitsBesideRoom) {
    breach(now, "waits_beside_room", id);
    job.beside_room_since = now;
  }
}

void Checker::look(Seconds now) {
  for (auto& [id, job] : jobs_) {
    if (!job.accepted || job.asking_since < 0 || job.reported_forgotten) continue;
    if (now - std::max(job.asking_since, calm_since_) > kForgottenAfter) {
      job.reported_forgotten = true;
      breach(now, "forgotten", id + " has had no answer");
    }
  }
  for (const auto& [id, places] : on_) {
    const auto it = jobs_.find(id.job);
    if (it == jobs_.end() || it->second.cancelled_at < 0) continue;
    if (now <= it->second.cancelled_at + settings_.cancellation_limit_s) continue;
    if (std::any_of(places.begin(), places.end(),
                    [&](const auto& place) { return !hung_.contains(place.first); })) {
      breach(now, "ran_cancelled", id.text() + " is still there");
    }
  }
}

void Checker::half_served(Seconds now, const std::string& what,
                          const std::vector<const Known*>& jobs) {
  const auto served =
      std::count_if(jobs.begin(), jobs.end(), [](const Known* job) { return job->served(); });
  if (static_cast<size_t>(served) * 2 < jobs.size()) {
    breach(now, "unserved",
           std::to_string(served) + " of " + std::to_string(jobs.size()) + " of " + what);
  }
}

void Checker::end(Seconds now) {
  if (started_ == 0) breach(now, "nothing_ran", "no task was started");
  std::map<std::string, std::vector<const Known*>> by_class;
  std::map<std::string, std::vector<const Known*>> by_team;
  for (const auto& [id, job] : jobs_) {
    if (!job.wanted()) continue;
    by_class[job.spec.job_class].push_back(&job);
    by_team[job.spec.team].push_back(&job);
  }
  for (const auto& [name, jobs] : by_team) half_served(now, "team " + name, jobs);
  for (auto& [name, jobs] : by_class) {
    half_served(now, "class " + name, jobs);
    std::stable_sort(jobs.begin(), jobs.end(),
                     [](const Known* a, const Known* b) { return a->spec.tasks > b->spec.tasks; });
    jobs.resize(std::max<size_t>(1, jobs.size() / kLargestPart));
    half_served(now, "the largest of class " + name, jobs);
    for (const Known* job : jobs) {
      const Seconds begun = job->begun_at < 0 ? now : job->begun_at;
      if (begun - job->submitted_at > kLargestBeginWithin) {
        breach(now, "starved", job->spec.id + " of " + std::to_string(job->spec.tasks) + " tasks");
      }
    }
  }
}

}  // namespace larkroad::sim
