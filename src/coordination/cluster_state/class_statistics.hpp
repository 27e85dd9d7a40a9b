/// Arrival and run-time statistics for each class of jobs.
///
/// The leader updates them from the jobs that it loads and the tasks that complete. The job queue
/// reads the expected run times, the demand forecast the arrival rates.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "coordination/cluster_state/job.hpp"
#include "protocol/job_messages.hpp"
#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

/// Statistics of one class of jobs. Arrivals are weighted by exponential decay with their age.
struct ClassStatistics {
  JobSpec latest;             ///< specification of the most recently submitted job
  double weighted_tasks = 0;  ///< weighted number of tasks that have arrived
  /// Weighted sum of the squared job sizes, from which the variance of arrivals is computed.
  double weighted_squares = 0;
  std::map<std::string, double> weighted_tasks_by_team;
  Seconds weights_as_of = 0;             ///< the time for which the weights were last computed
  double run_time_ratio = 1;             ///< average of actual run time / owner's estimate
  std::optional<Seconds> mean_run_time;  ///< of a task; empty until a run has been measured
};

/// Maintains the statistics of all classes.
class WorkloadStatistics {
 public:
  /// `settings` must outlive this object.
  explicit WorkloadStatistics(const Settings& settings) : settings_(settings) {}

  /// The expected run time of a task of the job: its owner's estimate, corrected by the observed
  /// ratio of its class. For a service, a value beyond every planning horizon.
  Seconds expected_run(const JobSpec& spec) const;
  /// Updates the statistics with a task of the job that completed after `run_time`.
  void learn_run(const JobSpec& spec, Seconds run_time);
  /// Updates the statistics with the submission of the job. Jobs may be added in any order.
  void learn_arrival(const Job& job);
  /// The average arrival rate of tasks of the class, per second.
  double arrival_rate(const ClassStatistics& statistics, Seconds now) const;
  /// Statistics by class name.
  const std::map<std::string, ClassStatistics>& classes() const { return classes_; }

 private:
  /// The time constant of the exponential decay of arrivals.
  Seconds decay_time() const;

  const Settings& settings_;
  std::map<std::string, ClassStatistics> classes_;
};

}  // namespace larkroad::coordination
