#include "carobtide/daemon.hpp"

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>
#include <variant>

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitFaults = 2;

/** Reads the settings; prints every fault and returns nothing on any. */
std::optional<carobtide::DaemonSettings> LoadSettings(const std::string& aPath)
{
  const std::ifstream file(aPath);
  if (!file) {
    std::cerr << aPath << ": cannot be read\n";
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  auto parsed = carobtide::ParseDaemonSettings(text.str());
  if (auto* settings = std::get_if<carobtide::DaemonSettings>(&parsed)) {
    return std::move(*settings);
  }
  for (const auto& fault :
       std::get<std::vector<carobtide::YamlFault>>(parsed)) {
    std::cerr << aPath << ':' << fault.ToString() << '\n';
  }
  return std::nullopt;
}

/** Waits for signals: the first stops gracefully, the second at once. */
void HandleSignals(carobtide::Daemon& aDaemon, const sigset_t& aSignals)
{
  int signal = 0;
  sigwait(&aSignals, &signal);
  aDaemon.RequestStop();
  sigwait(&aSignals, &signal);
  std::_Exit(kExitFailure);
}

} // namespace

int main(int argc, char** argv)
{
  CLI::App app{ "carobtided, the daemon of carobtide" };
  std::string path;
  app.set_version_flag("--version", std::string(carobtide::Version()));
  app.add_option("settings", path, "Settings file (YAML)")->required();
  CLI11_PARSE(app, argc, argv);
  auto settings = LoadSettings(path);
  if (!settings) {
    return kExitFaults;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  carobtide::InitLogging(settings->mName.Text(), settings->mLogLevel);
  carobtide::Daemon daemon(std::move(*settings));
  const auto started = daemon.Start();
  if (!started) {
    carobtide::LogError(started.GetError());
    return kExitFailure;
  }
  std::thread(HandleSignals, std::ref(daemon), signals).detach();
  daemon.Wait();
  return 0;
}
