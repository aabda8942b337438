#include "carobtide/daemon.hpp"
#include "carobtide/daemon/node.hpp"
#include "carobtide/platform.hpp"

#include <CLI/CLI.hpp>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <variant>

#include <malloc.h>

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitFaults = 2;
/** Most that the end of the process waits for its last log lines. */
constexpr carobtide::Duration kLastLines = std::chrono::milliseconds(300);
/** Pause before another try to start. */
constexpr carobtide::Duration kStartInterval = std::chrono::milliseconds(250);
/** The supervisor is told after this long that there is no start. */
constexpr carobtide::Duration kStartPatience = std::chrono::seconds(30);

template<class Settings>
using Parser = std::variant<Settings, std::vector<carobtide::YamlFault>> (*)(
  std::string_view);

/** Reads the settings; prints every fault and returns nothing on any. */
template<class Settings>
std::optional<Settings> LoadSettings(const std::string& aPath,
                                     Parser<Settings> aParse)
{
  const std::ifstream file(aPath);
  if (!file) {
    std::cerr << aPath << ": cannot be read\n";
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  auto parsed = aParse(text.str());
  if (auto* settings = std::get_if<Settings>(&parsed)) {
    return std::move(*settings);
  }
  for (const auto& fault :
       std::get<std::vector<carobtide::YamlFault>>(parsed)) {
    std::cerr << aPath << ':' << fault.ToString() << '\n';
  }
  return std::nullopt;
}

/**
 * Has the allocator return large blocks to the system when they are freed. By
 * default it keeps up to 32 MiB of them, and other blocks between them.
 */
void GiveLargeBlocksBack()
{
  constexpr int kLargeBlockBytes = 256 * 1024;
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

/** Blocks the signals that a thread of its own waits for. */
sigset_t BlockSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

/**
 * Waits for signals: SIGHUP reloads, SIGTERM and SIGINT stop gracefully. While
 * it stops, SIGTERM changes nothing, since supervisors repeat it; SIGINT ends
 * the process at once.
 */
void HandleSignals(sigset_t aSignals, const std::function<void()>& aStop,
                   const std::function<void()>& aReload)
{
  bool isStopping = false;
  while (true) {
    int signal = 0;
    sigwait(&aSignals, &signal);
    if (signal == SIGHUP) {
      aReload();
    } else if (!std::exchange(isStopping, true)) {
      aStop();
    } else if (signal == SIGINT) {
      carobtide::FlushLogs(kLastLines);
      std::_Exit(kExitFailure);
    } else {
      carobtide::Log(carobtide::LogLevel::Info,
                     { "signal.repeated", {}, {}, {}, "already stopping" });
    }
  }
}

/**
 * Waits before the next try to start; false if the process is to stop instead.
 * Precondition: the signals are blocked.
 */
bool WaitToStart(const sigset_t& aSignals)
{
  const auto end = std::chrono::steady_clock::now() + kStartInterval;
  while (true) {
    const auto left = end - std::chrono::steady_clock::now();
    if (left <= left.zero()) {
      return true;
    }
    const auto nanos =
      std::chrono::duration_cast<std::chrono::nanoseconds>(left).count();
    const timespec timeout{ 0, static_cast<long>(nanos) };
    const int signal = sigtimedwait(&aSignals, nullptr, &timeout);
    // The settings are read again for each try.
    if (signal == SIGTERM || signal == SIGINT) {
      return false;
    }
  }
}

/** What became of the start of a daemon. */
template<class Daemon>
struct Started
{
  /** Null if the process ends. */
  std::unique_ptr<Daemon> mDaemon;
  int mExit = 0;
};

/** Makes and starts a daemon once. */
template<class Daemon>
carobtide::Result<std::unique_ptr<Daemon>> TryToStart(
  const std::function<std::unique_ptr<Daemon>()>& aMake)
{
  try {
    auto daemon = aMake();
    const auto started = daemon->Start();
    if (!started) {
      return started.GetError();
    }
    return daemon;
  } catch (const std::exception& error) {
    // E.g. no descriptor or thread is left.
    return carobtide::Error{
      carobtide::ErrorCode::Internal, "daemon.start", {}, error.what()
    };
  }
}

/**
 * Makes and starts a daemon until one starts: an address may be in use and a
 * disk may fail for a while.
 */
template<class Daemon>
Started<Daemon> StartDaemon(
  const sigset_t& aSignals,
  const std::function<std::unique_ptr<Daemon>()>& aMake)
{
  const auto end = std::chrono::steady_clock::now() + kStartPatience;
  while (true) {
    auto started = TryToStart(aMake);
    if (started) {
      return { std::move(*started), 0 };
    }
    carobtide::LogError(started.GetError());
    if (std::chrono::steady_clock::now() >= end) {
      carobtide::FlushLogs(kLastLines);
      return { nullptr, kExitFailure };
    }
    if (!WaitToStart(aSignals)) {
      carobtide::FlushLogs(kLastLines);
      return { nullptr, 0 };
    }
  }
}

/** The daemon of deployments with bundles. */
int RunDaemon(const std::string& aPath, const sigset_t& aSignals)
{
  auto settings = LoadSettings<carobtide::DaemonSettings>(
    aPath, carobtide::ParseDaemonSettings);
  if (!settings) {
    return kExitFaults;
  }
  carobtide::InitLogging(settings->mName.Text(), settings->mLogLevel);
  const auto started = StartDaemon<carobtide::Daemon>(aSignals, [&settings] {
    return std::make_unique<carobtide::Daemon>(*settings);
  });
  if (!started.mDaemon) {
    return started.mExit;
  }
  carobtide::Daemon& daemon = *started.mDaemon;
  std::thread(
    HandleSignals, aSignals, [&daemon] { daemon.RequestStop(); }, [] {})
    .detach();
  daemon.Wait();
  carobtide::FlushLogs(kLastLines);
  return 0;
}

/** Takes the settings again; faulty ones are logged and left. */
void Reload(carobtide::Node& aNode, const std::string& aPath)
{
  auto settings =
    LoadSettings<carobtide::NodeSettings>(aPath, carobtide::ParseNodeSettings);
  if (settings) {
    aNode.Reload(std::move(*settings));
  }
}

/** A daemon of deployments with catalogs. */
int RunNode(const std::string& aPath, const sigset_t& aSignals)
{
  auto settings =
    LoadSettings<carobtide::NodeSettings>(aPath, carobtide::ParseNodeSettings);
  if (!settings) {
    return kExitFaults;
  }
  if (settings->mDialect != carobtide::MakePlatformDialect()->Name()) {
    std::cerr << aPath << ": dialect: unknown name '" << settings->mDialect
              << "'\n";
    return kExitFaults;
  }
  carobtide::InitLogging(settings->mName.Text(), settings->mLogLevel);
  bool isFirstTry = true;
  const auto started = StartDaemon<carobtide::Node>(
    aSignals, [&]() -> std::unique_ptr<carobtide::Node> {
      // They may have changed, and a reload that came meanwhile was taken.
      if (!std::exchange(isFirstTry, false)) {
        auto changed = LoadSettings<carobtide::NodeSettings>(
          aPath, carobtide::ParseNodeSettings);
        settings = changed ? std::move(changed) : std::move(settings);
      }
      return carobtide::MakeNode(*settings, carobtide::MakePlatformDialect());
    });
  if (!started.mDaemon) {
    return started.mExit;
  }
  carobtide::Node& node = *started.mDaemon;
  std::thread(
    HandleSignals, aSignals, [&node] { node.RequestStop(); },
    [&node, aPath] { Reload(node, aPath); })
    .detach();
  node.Run();
  carobtide::FlushLogs(kLastLines);
  // The signal thread still refers to the node.
  std::_Exit(0);
}

} // namespace

int main(int argc, char** argv)
{
  // Before anything that takes time: a signal that comes early must not end the
  // process.
  const sigset_t signals = BlockSignals();
  GiveLargeBlocksBack();
  CLI::App app{ "carobtided, the daemon of carobtide" };
  std::string path;
  bool isNode = false;
  app.set_version_flag("--version", std::string(carobtide::Version()));
  app.add_flag("--node", isNode,
               "The settings are those of a deployment with catalogs");
  app.add_option("settings", path, "Settings file (YAML)")->required();
  CLI11_PARSE(app, argc, argv);
  return isNode ? RunNode(path, signals) : RunDaemon(path, signals);
}
