/// The controllers under test: separate processes, started with the command of the deploy file.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "bench.hpp"

namespace standin {

class Controllers {
 public:
  Controllers(Bench& bench, std::string repository, std::string folder);
  ~Controllers();

  struct Controller {
    std::string member, settings_path, log_path;
    pid_t pid = -1;
  };

  void add(const std::string& member, const std::string& settings);
  void start(std::size_t index);
  /// Ends the process with SIGKILL.
  void kill(std::size_t index);
  /// Stops the process, and lets it go on.
  void freeze(std::size_t index);
  void go_on(std::size_t index);
  void end_all();
  /// Whether a process has ended by itself.
  bool any_ended_by_itself();
  std::size_t size() const { return controllers_.size(); }
  const Controller& at(std::size_t index) const { return controllers_.at(index); }

 private:
  Bench& bench_;
  std::string repository_, folder_;
  std::vector<std::string> command_;
  std::vector<Controller> controllers_;
};

}  // namespace standin
