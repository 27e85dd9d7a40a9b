#include "coordination/triage.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace larkroad::coordination {
namespace {

// More important work of a team is taken to leave the rest at least this part of its room.
constexpr double kLeastRoom = 0.1;
// A job that has not begun after these parts of the bound rises, and becomes urgent.
constexpr double kRisesAfter = 1.0 / 2;
constexpr double kUrgentAfter = 3.0 / 4;

// Jobs of one priority and team.
using Group = std::pair<protocol::Priority, std::string>;

struct Candidate {
  Job* job;
  double work;    // what is left of it, in seconds of its team's whole room
  Seconds least;  // what is left of it if all its tasks ran at once
  std::vector<Seconds> due;
  size_t stage = 0;       // the due time it is held to at present
  Seconds sort_time = 0;  // orders the jobs of a rank
  int rank = 0;           // the smaller, the earlier
};

// The most that a team's jobs of a priority can use at once, of each resource: its limit or the
// fleet, whichever is less, without what its more important work takes at present.
Resources team_room(const Ledger& ledger, const std::string& name, protocol::Priority priority,
                    const Resources& fleet, const std::map<Group, Resources>& taken) {
  const TeamSettings* team = ledger.settings().team(name);
  if (team == nullptr) return {};
  // Before any machine is known the team's limit alone tells.
  Resources room{fleet.cpus > 0 ? std::min(team->cpus_max, fleet.cpus) : team->cpus_max,
                 fleet.gpus > 0 ? std::min(team->gpus_max, fleet.gpus) : team->gpus_max, 0};
  const Resources whole = room;
  for (const auto& [group, used] : taken) {
    if (group.second == name && group.first < priority) room -= used;
  }
  room.cpus = std::max(room.cpus, whole.cpus * kLeastRoom);
  room.gpus = std::max(room.gpus, whole.gpus * kLeastRoom);
  return room;
}

double part_of_room(const JobSpec& spec, const Resources& room) {
  double part = 0;
  if (room.cpus > 0) part = std::max(part, spec.cpus / room.cpus);
  if (room.gpus > 0) part = std::max(part, spec.gpus / room.gpus);
  return std::min(part, 1.0);
}

// Of the jobs held to a due time, keeps as many as can be done in time, in the way of Moore and
// Hodgson: in order of their due times, and whenever one would be late, the largest so far is
// given up. What is given up is left for the next due time, or for the end.
void keep_in_time(std::vector<Candidate*>& jobs, Seconds now, double& load, int rank,
                  std::vector<Candidate*>& given_up) {
  std::sort(jobs.begin(), jobs.end(), [](const Candidate* a, const Candidate* b) {
    return std::tie(a->due[a->stage], a->job->id()) < std::tie(b->due[b->stage], b->job->id());
  });
  std::vector<Candidate*> kept;
  for (Candidate* c : jobs) {
    kept.push_back(c);
    load += c->work;
    // Its own last tasks take their time, however much room there is.
    if (now + std::max(load, c->least) <= c->due[c->stage]) continue;
    const auto largest =
        std::max_element(kept.begin(), kept.end(), [](const Candidate* a, const Candidate* b) {
          return std::tie(a->work, a->job->id()) < std::tie(b->work, b->job->id());
        });
    load -= (*largest)->work;
    given_up.push_back(*largest);
    kept.erase(largest);
  }
  for (Candidate* c : kept) {
    c->rank = rank;
    c->sort_time = c->due[c->stage];
  }
}

}  // namespace

std::vector<Seconds> due_times(const Ledger& ledger, const Job& job) {
  std::vector<Seconds> out;
  for (const auto& aim : ledger.settings().objectives) {
    if (!aim.job_class.empty() && aim.job_class != job.spec.job_class) continue;
    if (aim.kind == "deadline" && job.spec.deadline_s) {
      out.push_back(job.submitted + *job.spec.deadline_s * aim.times);
    } else if (aim.kind == "finished") {
      out.push_back(job.submitted + aim.within_s);
    } else if (aim.kind == "wait" && !job.seen_running) {
      out.push_back(job.submitted + aim.within_s + ledger.expected_run(job.spec));
    }
  }
  if (out.empty() && job.spec.deadline_s) out.push_back(job.submitted + *job.spec.deadline_s);
  std::sort(out.begin(), out.end());
  return out;
}

std::set<std::string> within_guarantee(const Ledger& ledger) {
  std::map<std::string, std::vector<const Job*>> by_team;
  for (const auto& [id, job] : ledger.jobs()) {
    if (!job->over()) by_team[job->spec.team].push_back(job.get());
  }
  std::set<std::string> out;
  for (auto& [name, jobs] : by_team) {
    const TeamSettings* team = ledger.settings().team(name);
    if (team == nullptr) continue;
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
      return std::tie(a->submitted_at, a->id()) < std::tie(b->submitted_at, b->id());
    });
    Resources sum;
    const Resources guarantee{team->cpus, team->gpus, 1e12};
    for (const Job* job : jobs) {
      sum.cpus += job->spec.cpus * job->spec.tasks;
      sum.gpus += job->spec.gpus * job->spec.tasks;
      if (guarantee.fits(sum)) out.insert(job->id());
    }
  }
  return out;
}

Rise rise_of(const Job& job, Seconds now, Seconds start_bound) {
  if (start_bound <= 0 || job.seen_running) return Rise::none;
  const Seconds waited = now - job.submitted;
  if (waited > start_bound * kUrgentAfter) return Rise::urgent;
  return waited > start_bound * kRisesAfter ? Rise::first_of_its_priority : Rise::none;
}

std::vector<Job*> order_of_work(Ledger& ledger, Seconds now, Seconds start_bound) {
  const auto guaranteed = within_guarantee(ledger);
  // Jobs of one team and priority share its room; what runs already takes the first of it.
  Resources fleet;
  for (const auto& [id, machine] : ledger.machines()) fleet += machine.capacity;
  std::map<Group, Resources> taken;
  for (const auto& [id, job] : ledger.jobs()) {
    if (job->live.empty()) continue;
    const auto count = static_cast<double>(job->live.size());
    taken[{job->spec.priority, job->spec.team}] +=
        Resources{job->spec.cpus * count, job->spec.gpus * count, 0};
  }
  std::map<Group, Resources> rooms;
  const auto room_of = [&](const Job& job) -> const Resources& {
    const Group group{job.spec.priority, job.spec.team};
    const auto it = rooms.find(group);
    if (it != rooms.end()) return it->second;
    return rooms[group] = team_room(ledger, job.spec.team, job.spec.priority, fleet, taken);
  };
  std::map<Group, double> running;
  std::vector<Candidate> all;
  for (const auto& [id, job] : ledger.jobs()) {
    if (!job->live.empty()) {
      const Seconds run = ledger.expected_run(job->spec);
      Seconds left = 0;
      for (const auto& [task, p] : job->live) {
        const Seconds ran = p.running_since < 0 ? 0 : now - p.running_since;
        left += std::max(run - ran, run / 4);
      }
      running[{job->spec.priority, job->spec.team}] +=
          left * part_of_room(job->spec, room_of(*job));
    }
    if (job->waiting() == 0) continue;
    Candidate c{job.get(), 0, 0, due_times(ledger, *job), 0, job->submitted, 0};
    const Seconds run = ledger.expected_run(job->spec);
    const double left = job->waiting();
    const auto& room = room_of(*job);
    c.work = left * run * part_of_room(job->spec, room);
    c.least = run;
    all.push_back(std::move(c));
  }
  std::map<Group, std::vector<Candidate*>> groups;
  for (Candidate& c : all) {
    if (!c.due.empty()) groups[{c.job->spec.priority, c.job->spec.team}].push_back(&c);
  }
  for (auto& [key, group] : groups) {
    double load = running[key];
    int rank = 1;
    std::vector<Candidate*> rest = group;
    while (!rest.empty()) {
      std::vector<Candidate*> hopeful;
      std::vector<Candidate*> over;
      for (Candidate* c : rest) {
        while (c->stage < c->due.size() && now + c->least > c->due[c->stage]) ++c->stage;
        (c->stage < c->due.size() ? hopeful : over).push_back(c);
      }
      for (Candidate* c : over) {
        // Late whatever is done: the least work first, so that the fewest wait.
        c->rank = 1000;
        c->sort_time = c->work;
      }
      std::vector<Candidate*> given_up;
      keep_in_time(hopeful, now, load, rank++, given_up);
      for (Candidate* c : given_up) ++c->stage;
      rest = std::move(given_up);
    }
  }
  const auto key = [&](const Candidate& c) {
    const Job& job = *c.job;
    const Rise rise = rise_of(job, now, start_bound);
    if (rise != Rise::none) {
      const auto priority = rise == Rise::urgent
                                ? std::min(job.spec.priority, protocol::Priority::high)
                                : job.spec.priority;
      return std::make_tuple(priority, false, 0, job.submitted);
    }
    return std::make_tuple(job.spec.priority, !guaranteed.contains(job.id()), c.rank, c.sort_time);
  };
  std::sort(all.begin(), all.end(), [&](const Candidate& a, const Candidate& b) {
    const auto ka = key(a);
    const auto kb = key(b);
    return ka != kb ? ka < kb : a.job->id() < b.job->id();
  });
  std::vector<Job*> out;
  out.reserve(all.size());
  for (const Candidate& c : all) out.push_back(c.job);
  return out;
}

}  // namespace larkroad::coordination
