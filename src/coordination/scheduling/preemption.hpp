// Chooses tasks to stop, so that a more important job gets their room.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/scheduling/cycle_view.hpp"

namespace larkroad::coordination {

// A task to be stopped.
struct Preemption {
  std::string job;
  std::uint32_t task = 0;
  bool save = false;  // it is given the time to save
  std::string for_job;
};

// Whose tasks a job may have stopped.
struct PreemptionRights {
  bool by_priority = false;   // those of lower priority
  bool by_guarantee = false;  // those that other teams run beyond their own guarantee
  std::string team;

  bool any() const { return by_priority || by_guarantee; }
  // Whether whatever the others allow is allowed by these, too.
  bool cover(const PreemptionRights& others) const;
};

// A need for which no room was left in this cycle. Room only shrinks within a cycle, so whatever
// needs as much of the same pools, and is no more important, need not be tried.
struct UnschedulableNeed {
  std::vector<bool> allowed;  // by pool
  Resources need;
  protocol::Priority priority;

  bool covers(const Resources& other, protocol::Priority its_priority,
              const std::vector<bool>& its_pools) const {
    return priority <= its_priority && other.fits(need) && allowed == its_pools;
  }
};

// When the job must start for its next aim that can still be met; none: there is none.
std::optional<Seconds> next_start(const ClusterState& cluster, const Job& job, Seconds now);

class Preemptor {
 public:
  Preemptor(CycleView& view, GangReservations& holds) : view_(view), holds_(holds) {}

  // Work within its team's guarantee need not wait for what another team runs beyond its own, so it
  // gives that no time to end by itself.
  PreemptionRights rights_of(const Job& job);
  // Whether the job may have lower work stopped. Work that is not urgent first gives room half the
  // time that its next aim leaves to come free by itself.
  bool may_stop_lower(const Job& job) const;

  // Stops less important tasks where that makes room for a job that found none, and claims that
  // room and the part of the team's limit: what the first of them leaves must not go to less
  // important work before the last has left. What is being stopped already counts as room to come,
  // so that nothing is stopped twice for one need. Of a gang all members find room or nothing is
  // stopped.
  void make_room(const Job& job, const PreemptionRights& rights, std::vector<Preemption>& out);

  size_t looked_at() const { return looked_at_; }

 private:
  // A running task that some job may have stopped.
  struct Candidate {
    const Job* owner = nullptr;
    const Placement* placement = nullptr;
    MachineView* machine = nullptr;  // null when that takes no work at present
    bool guaranteed = false;
    bool guest = false;
    bool stopped = false;  // chosen in this cycle
  };
  // What stopping a candidate loses: the time to save, or all since the last checkpoint. Of a gang
  // all members stop, and what all of them lose counts.
  struct Victim {
    Candidate* candidate;
    double loss;
    bool save;
  };
  struct OnMachine {
    std::vector<Candidate*> candidates;
    // All room that stopping could bring: by the priority of the tasks, and of guests' tasks.
    ResourcesByPriority by_priority{};
    ResourcesByPriority of_guests{};
  };
  // The search for one job.
  struct Search {
    const Job& job;
    const PreemptionRights& rights;
    Resources need;
    std::uint32_t wanted;
    Seconds time_left;  // until its next start
    const GangReservations::Hold* own_hold;
  };
  struct FailedSearch {
    UnschedulableNeed need;
    PreemptionRights rights;
    std::uint32_t wanted;
    bool one_zone;
    bool spread;
  };
  // What a search has changed, to undo it.
  struct Changes {
    std::vector<Candidate*> stopped;
    std::vector<Victim> victims;
    std::vector<std::pair<MachineView*, Resources>> releasing;  // as it was before
    std::map<std::string, Resources> releasing_limits;          // as they were before
  };

  bool is_guaranteed(const Job& job);
  void survey();
  void add_candidates(const Job& job);
  bool may_stop(const Search& search, const Candidate& candidate) const;
  Victim victim(const Search& search, Candidate& candidate) const;
  std::vector<Victim> victims_of(const Search& search, const std::vector<Candidate*>& from) const;
  void stop(const Victim& victim, Changes& changes);
  void undo(Changes& changes);

  bool already_failed(const Search& search, const std::vector<bool>& allowed) const;
  bool limit_fits(const Search& search);
  bool free_limit(const Search& search, Changes& changes);
  bool claim_machines(const Search& search, const std::string& zone, ZoneCounts in_zone,
                      Changes& changes, std::vector<MachineView*>& claimed);
  Resources room_on(const Search& search, const MachineView& machine) const;
  bool could_fit(const Search& search, const MachineView& machine) const;
  double price(const Search& search, MachineView& machine, std::vector<Victim>& whom) const;
  void claim(const Search& search, const std::vector<MachineView*>& machines);
  static void append_preemptions(const Search& search, const Changes& changes,
                                 std::vector<Preemption>& out);

  CycleView& view_;
  GangReservations& holds_;
  size_t looked_at_ = 0;
  bool surveyed_ = false;
  std::optional<std::set<std::string>> guaranteed_;  // jobs within their team's guarantee
  std::vector<Candidate> candidates_;
  std::unordered_map<const Placement*, Candidate*> by_placement_;  // of gangs
  std::unordered_map<const MachineView*, OnMachine> on_machine_;
  std::map<std::string, std::vector<Candidate*>> of_team_;
  std::map<std::string, Resources> releasing_limits_;  // of tasks that are being stopped, by team
  std::vector<FailedSearch> failed_;
};

}  // namespace larkroad::coordination
