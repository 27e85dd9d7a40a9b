#include "coordination/scheduling/due_time_ranking.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>

namespace larkroad::coordination {
namespace {

// The rank of a job that can meet none of its due times any more.
constexpr int kLateRank = 1000;
// Sums of shares are compared with this much leeway.
constexpr double kRounding = 1e-9;

// The jobs selected so far, by how much they take of the fleet and of their team's limit.
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

void promise(const QueueEntry& entry, SharedCapacity& capacity) {
  capacity.fleet_promised += entry.fleet_share;
  capacity.quota_promised[entry.job->spec.team] += entry.quota_share;
}

void withdraw_promise(const QueueEntry& entry, SharedCapacity& capacity) {
  capacity.fleet_promised -= entry.fleet_share;
  capacity.quota_promised[entry.job->spec.team] -= entry.quota_share;
}

// Selects as many of the jobs as can start by their times, by the Moore-Hodgson algorithm: in order
// of those times, and whenever one would be late, the largest selected so far is given up. Selected
// jobs get the rank; returned are those given up.
std::vector<QueueEntry*> select_on_time(std::vector<QueueEntry*>& entries, Seconds now, int rank,
                                        SharedCapacity& capacity) {
  std::sort(entries.begin(), entries.end(), [](const QueueEntry* a, const QueueEntry* b) {
    const Seconds a_start = a->start_by();
    const Seconds b_start = b->start_by();
    return a_start != b_start ? a_start < b_start : a->job->id() < b->job->id();
  });
  std::vector<QueueEntry*> given_up;
  SelectedJobs selected;
  for (QueueEntry* entry : entries) {
    const std::string& team = entry->job->spec.team;
    selected.insert(entry);
    promise(*entry, capacity);
    const Seconds time = entry->start_by() - now;
    const bool exceeds_quota =
        capacity.quota_promised[team] > capacity.quotas[team].startable_within(time) + kRounding;
    const bool exceeds_fleet =
        capacity.fleet_promised > capacity.fleet.startable_within(time) + kRounding;
    if (!exceeds_quota && !exceeds_fleet) continue;
    // Where the team's limit is short, only its own jobs can make way.
    QueueEntry* largest = exceeds_quota ? selected.largest_of(team) : selected.largest();
    withdraw_promise(*largest, capacity);
    given_up.push_back(largest);
    selected.erase(largest);
  }
  selected.for_each([rank](QueueEntry* entry) {
    entry->rank = rank;
    entry->sort_time = entry->due_times[entry->due_index];
  });
  return given_up;
}

// Late whatever is done: the least work first, so that the fewest wait.
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
    // What is given up is to meet its next due time.
    for (QueueEntry* entry : entries) ++entry->due_index;
  }
}

}  // namespace larkroad::coordination
