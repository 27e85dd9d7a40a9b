#include "coordination/scheduling/due_time_ranking.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>

namespace larkroad::coordination {
namespace {

// The rank of a job that can no longer meet any of its due times.
constexpr int kLateRank = 1000;
// The tolerance for rounding errors when sums of shares are compared.
constexpr double kShareTolerance = 1e-9;

// The jobs selected so far, ordered by how much they take of the fleet and of their team's limit.
class SelectedJobs {
 public:
  void insert(QueueEntry* entry) {
    by_fleet_share_.insert(key(entry->fleet_share, entry));
    by_quota_share_[entry->job->spec.team].insert(key(entry->quota_share, entry));
  }
  void erase(QueueEntry* entry) {
    by_fleet_share_.erase(key(entry->fleet_share, entry));
    by_quota_share_[entry->job->spec.team].erase(key(entry->quota_share, entry));
  }
  QueueEntry* largest() const { return std::get<QueueEntry*>(*by_fleet_share_.rbegin()); }
  QueueEntry* largest_of(const std::string& team) const {
    return std::get<QueueEntry*>(*by_quota_share_.at(team).rbegin());
  }
  template <typename Function>
  void for_each(Function function) const {
    for (const Key& selected : by_fleet_share_) function(std::get<QueueEntry*>(selected));
  }

 private:
  using Key = std::tuple<double, std::string_view, QueueEntry*>;
  static Key key(double share, QueueEntry* entry) { return {share, entry->job->id(), entry}; }
  std::set<Key> by_fleet_share_;
  std::map<std::string, std::set<Key>> by_quota_share_;
};

void allocate(const QueueEntry& entry, SharedCapacity& capacity) {
  capacity.fleet_allocated += entry.fleet_share;
  capacity.quota_allocated[entry.job->spec.team] += entry.quota_share;
}

void deallocate(const QueueEntry& entry, SharedCapacity& capacity) {
  capacity.fleet_allocated -= entry.fleet_share;
  capacity.quota_allocated[entry.job->spec.team] -= entry.quota_share;
}

// Selects as many jobs as can start in time, by the Moore-Hodgson algorithm: jobs are added in
// order of their latest start times, and whenever one would be late, the largest job selected so
// far is rejected. Selected jobs get the rank; the rejected ones are returned.
std::vector<QueueEntry*> select_on_time(std::vector<QueueEntry*>& entries, Seconds now, int rank,
                                        SharedCapacity& capacity) {
  std::sort(entries.begin(), entries.end(), [](const QueueEntry* a, const QueueEntry* b) {
    const Seconds a_start = a->start_by();
    const Seconds b_start = b->start_by();
    return a_start != b_start ? a_start < b_start : a->job->id() < b->job->id();
  });
  std::vector<QueueEntry*> rejected;
  SelectedJobs selected;
  for (QueueEntry* entry : entries) {
    const std::string& team = entry->job->spec.team;
    selected.insert(entry);
    allocate(*entry, capacity);
    const Seconds time = entry->start_by() - now;
    const bool exceeds_quota = capacity.quota_allocated[team] >
                               capacity.quotas[team].startable_within(time) + kShareTolerance;
    const bool exceeds_fleet =
        capacity.fleet_allocated > capacity.fleet.startable_within(time) + kShareTolerance;
    if (!exceeds_quota && !exceeds_fleet) continue;
    // When the team's limit is exceeded, only rejecting one of the team's own jobs helps.
    QueueEntry* largest = exceeds_quota ? selected.largest_of(team) : selected.largest();
    deallocate(*largest, capacity);
    rejected.push_back(largest);
    selected.erase(largest);
  }
  selected.for_each([rank](QueueEntry* entry) {
    entry->rank = rank;
    entry->sort_time = entry->due_times[entry->due_index];
  });
  return rejected;
}

// Jobs that will be late in any case are ordered by least work, which keeps the number of waiting
// jobs small.
void rank_as_late(QueueEntry& entry) {
  entry.rank = kLateRank;
  entry.sort_time = entry.fleet_share * entry.run_time;
}

}  // namespace

void rank_by_due_times(std::vector<QueueEntry*> entries, Seconds now, SharedCapacity& capacity) {
  for (int rank = 1; !entries.empty(); ++rank) {
    std::vector<QueueEntry*> on_time;
    for (QueueEntry* entry : entries) {
      while (entry->has_due_time() && now > entry->start_by()) ++entry->due_index;
      if (entry->has_due_time()) {
        on_time.push_back(entry);
      } else {
        rank_as_late(*entry);
      }
    }
    entries = select_on_time(on_time, now, rank, capacity);
    // Rejected jobs are tried again with their next due time.
    for (QueueEntry* entry : entries) ++entry->due_index;
  }
}

}  // namespace larkroad::coordination
