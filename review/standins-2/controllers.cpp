#include "controllers.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace standin {
namespace {

// The words of `run` in the deploy file.
std::vector<std::string> run_command(const std::string& deploy_file) {
  std::ifstream in(deploy_file);
  std::string line;
  while (std::getline(in, line)) {
    if (!line.starts_with("run")) continue;
    const auto from = line.find('"');
    const auto to = line.rfind('"');
    std::istringstream words(line.substr(from + 1, to - from - 1));
    std::vector<std::string> out;
    for (std::string word; words >> word;) out.push_back(word);
    return out;
  }
  throw std::runtime_error("no run command in " + deploy_file);
}

}  // namespace

Controllers::Controllers(Bench& bench, std::string repository, std::string folder)
    : bench_(bench),
      repository_(std::move(repository)),
      folder_(std::move(folder)),
      command_(run_command(repository_ + "/deploy/service.toml")) {}

Controllers::~Controllers() { end_all(); }

void Controllers::add(const std::string& member, const std::string& settings) {
  Controller controller{member, folder_ + "/" + member + ".toml", folder_ + "/" + member + ".log",
                        -1};
  std::ofstream(controller.settings_path) << settings;
  controllers_.push_back(std::move(controller));
}

void Controllers::start(std::size_t index) {
  Controller& controller = controllers_.at(index);
  std::vector<std::string> words = command_;
  words.push_back(controller.settings_path);
  std::vector<char*> arguments;
  for (auto& word : words) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error("fork failed");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(controller.log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (log >= 0) dup2(log, STDERR_FILENO);
    for (int fd = 3; fd < 1024; ++fd) close(fd);
    if (chdir(repository_.c_str()) != 0) _exit(127);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  controller.pid = pid;
  bench_.record("controller " + controller.member + " started");
}

void Controllers::kill(std::size_t index) {
  Controller& controller = controllers_.at(index);
  if (controller.pid < 0) return;
  ::kill(controller.pid, SIGKILL);
  waitpid(controller.pid, nullptr, 0);
  controller.pid = -1;
  bench_.record("controller " + controller.member + " killed");
}

void Controllers::freeze(std::size_t index) {
  ::kill(controllers_.at(index).pid, SIGSTOP);
  bench_.record("controller " + controllers_.at(index).member + " stands still");
}

void Controllers::go_on(std::size_t index) {
  ::kill(controllers_.at(index).pid, SIGCONT);
  bench_.record("controller " + controllers_.at(index).member + " goes on");
}

void Controllers::end_all() {
  for (Controller& controller : controllers_) {
    if (controller.pid < 0) continue;
    ::kill(controller.pid, SIGKILL);
    waitpid(controller.pid, nullptr, 0);
    controller.pid = -1;
  }
}

bool Controllers::any_ended_by_itself() {
  bool any = false;
  for (Controller& controller : controllers_) {
    if (controller.pid < 0) continue;
    int status = 0;
    if (waitpid(controller.pid, &status, WNOHANG) == controller.pid) {
      bench_.record("controller " + controller.member + " ended by itself, status " +
                    std::to_string(status));
      controller.pid = -1;
      any = true;
    }
  }
  return any;
}

}  // namespace standin
