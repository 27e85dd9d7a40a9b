/// What the jobs of each class have been like: how many tasks arrive, and how long they run.
///
/// Learnt by the leader from the jobs that it loads and from tasks that complete. Read by the work
/// queue (expected run times) and by the forecast of demand (arrival rates).
#pragma once

#include <map>
#include <optional>
#include <string>

#include "coordination/cluster_state/job.hpp"
#include "protocol/job_messages.hpp"
#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

/// Statistics of one class of jobs. Arrivals are weighted: each counts for less the longer ago it
/// was, by an exponential decay.
struct ClassStatistics {
  JobSpec latest;             ///< of the job submitted last
  double weighted_tasks = 0;  ///< tasks that have arrived
  /// The sum of the squared sizes of the jobs, which gives the variance of arrivals.
  double weighted_squares = 0;
  std::map<std::string, double> weighted_tasks_by_team;
  Seconds weighted_to = 0;               ///< the time to which the weights are reckoned
  double run_ratio = 1;                  ///< run time over the owners' estimates
  std::optional<Seconds> mean_run_time;  ///< of a task; none while no run has been measured
};

/// Learns the statistics of all classes.
class WorkloadStatistics {
 public:
  /// `settings` must outlive this.
  explicit WorkloadStatistics(const Settings& settings) : settings_(settings) {}

  /// How long a task of the job is expected to run: its owner's estimate, corrected by what the
  /// tasks of its class have shown. For a service longer than anything is planned ahead.
  Seconds expected_run(const JobSpec& spec) const;
  /// Learns from a task of the job that has completed after running for `run_time`.
  void learn_run(const JobSpec& spec, Seconds run_time);
  /// Learns from the submission of the job. Jobs may come in any order.
  void learn_arrival(const Job& job);
  /// Tasks of the class that arrive in a second, on average.
  double arrival_rate(const ClassStatistics& statistics, Seconds now) const;
  /// By the name of the class.
  const std::map<std::string, ClassStatistics>& classes() const { return classes_; }

 private:
  /// The time constant of the decay of arrivals.
  Seconds decay_time() const;

  const Settings& settings_;
  std::map<std::string, ClassStatistics> classes_;
};

}  // namespace larkroad::coordination
