// A controller that starts when the leader's key is more than 10,000 changes old asks the state
// service without a pause, and answers no question in time.
#include <algorithm>
#include <memory>
#include <vector>

#include "balancer.hpp"
#include "deployment.hpp"

using namespace standin;

namespace {

constexpr int kEarlyJobs = 6;
constexpr int kLateJobs = 3;
constexpr std::size_t kChanges = 10'001;
// "back about 6 s after an end"
constexpr Seconds kBackAfter = 6;
// "every poll for it fails for 90 s while most other polls are answered"
constexpr Seconds kForgottenAfter = 90;

class Case {
 public:
  Case(int argc, char** argv) : deployment_(seri(), argc, argv) {}

  int run() {
    deployment_.cloud->add_running_machine("sedang", "kl-timur", false);
    deployment_.start();
    balancer_ = std::make_unique<Balancer>(deployment_.bench, deployment_.client_addresses());
    deployment_.when_healthy([this] {
      deployment_.bench.after(1.5, [this] {
        for (int i = 0; i < kEarlyJobs; ++i) submit();
        deployment_.bench.after(1.5, [this] { age(); });
      });
    });
    return deployment_.run(118);
  }

 private:
  void submit() {
    char id[16];
    std::snprintf(id, sizeof id, "job-%06zu", users_.size() + 1);
    const Json wanted = submission(id, "roster", "gang", 1, 1, 4);
    deployment_.book.submissions[id] = wanted;
    users_.push_back(std::make_unique<JobUser>(deployment_.bench, *balancer_, wanted));
    users_.back()->start();
  }

  // The deployment has been up for long: its state service no longer retains what was changed when
  // the leader was elected.
  void age() {
    deployment_.store.make_changes(kChanges);
    restarted_ = (deployment_.leader() + 1) % 3;
    if (deployment_.trouble()) {
      deployment_.controllers->kill(static_cast<std::size_t>(restarted_));
      deployment_.bench.after(kBackAfter, [this] {
        deployment_.controllers->start(static_cast<std::size_t>(restarted_));
        trouble_over_at_ = deployment_.bench.now();
      });
    }
    deployment_.bench.after(kBackAfter + 1, [this] { wait_until_healthy(); });
    deployment_.bench.every(5, [this] { record_load(); });
  }

  void record_load() {
    std::string line = "store: requests so far:";
    for (const auto& [member, count] : deployment_.store.requests_of) {
      line += " " + member + " " + std::to_string(count);
    }
    line += ", answered 429: " + std::to_string(deployment_.store.too_many) + ", ledger " +
            std::to_string(deployment_.store.revision()) + ", leader's key " +
            std::to_string(deployment_.store.revision_of("leader"));
    deployment_.bench.record(line);
  }

  // New users come when the balancer takes all controllers for healthy.
  void wait_until_healthy() {
    if (!balancer_->is_healthy(restarted_)) {
      deployment_.bench.after(0.1, [this] { wait_until_healthy(); });
      return;
    }
    // By then the share of new connections that the controller gets is the full one.
    deployment_.bench.after(10, [this] {
      for (int i = 0; i < kLateJobs; ++i) submit();
      deployment_.bench.every(0.2, [this] { check(); });
    });
  }

  void check() {
    const Seconds now = deployment_.bench.now();
    bool all_old_enough = true;
    for (const auto& user : users_) {
      if (!user->is_accepted()) {
        all_old_enough = false;
        continue;
      }
      const Seconds since = std::max({user->accepted_at, user->answered_at, trouble_over_at_});
      if (now - since >= kForgottenAfter && most_others_answered(*user)) {
        deployment_.finish(broken, user->job() + " was accepted, and no question about it has been "
                                                 "answered for 90 s, while most others were");
        return;
      }
      all_old_enough = all_old_enough && now - user->accepted_at >= kForgottenAfter + 3;
    }
    if (all_old_enough) deployment_.finish(kept, "questions about every job were answered");
  }

  bool most_others_answered(const JobUser& one) const {
    int asked = 0, answered = 0;
    for (const auto& user : users_) {
      if (user.get() == &one) continue;
      asked += user->asked;
      answered += user->answered;
    }
    return 2 * answered > asked;
  }

  Deployment deployment_;
  std::unique_ptr<Balancer> balancer_;
  std::vector<std::unique_ptr<JobUser>> users_;
  int restarted_ = 0;
  Seconds trouble_over_at_ = 0;  // counted from then on
};

}  // namespace

int main(int argc, char** argv) { return Case(argc, argv).run(); }
