#include "carobtide/daemon.hpp"
#include "carobtide/daemon/node.hpp"
#include "carobtide/platform.hpp"
#include "settings_file.hpp"

#include <CLI/CLI.hpp>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

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

/** Settings of a deployment with catalogs, in a dialect that is linked in. */
std::variant<carobtide::NodeSettings, std::vector<carobtide::YamlFault>>
ParseKnownNodeSettings(std::string_view aText)
{
  auto parsed = carobtide::ParseNodeSettings(aText);
  const auto* settings = std::get_if<carobtide::NodeSettings>(&parsed);
  if (settings != nullptr &&
      settings->mDialect != carobtide::MakePlatformDialect()->Name()) {
    return std::vector<carobtide::YamlFault>{
      { 0, 0, "dialect", "unknown name '" + settings->mDialect + "'" }
    };
  }
  return parsed;
}

/** True if there is something at a path that may be a settings file. */
bool HasSettings(const std::string& aPath)
{
  std::error_code ec;
  const bool hasFile = std::filesystem::exists(aPath, ec) &&
                       !std::filesystem::is_directory(aPath, ec);
  if (!hasFile) {
    std::cerr << aPath << ": cannot be read\n";
  }
  return hasFile;
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
 * Makes and starts a daemon until one starts: the settings may be half written,
 * an address may be in use and a disk may fail for a while. Each try reads the
 * settings again and takes the last sound ones.
 */
template<class Daemon, class Settings>
Started<Daemon> StartDaemon(
  const sigset_t& aSignals, carobtide::SettingsFile<Settings>& aFile,
  const std::function<std::unique_ptr<Daemon>(const Settings&)>& aMake)
{
  carobtide::InitLogging("carobtided", carobtide::LogLevel::Info);
  const auto end = std::chrono::steady_clock::now() + kStartPatience;
  std::optional<Settings> settings;
  while (true) {
    if (auto read = aFile.Read()) {
      settings = std::move(read);
      carobtide::InitLogging(settings->mName.Text(), settings->mLogLevel);
    }
    if (settings) {
      auto started = TryToStart<Daemon>([&] { return aMake(*settings); });
      if (started) {
        return { std::move(*started), 0 };
      }
      carobtide::LogError(started.GetError());
    }
    if (std::chrono::steady_clock::now() >= end) {
      carobtide::FlushLogs(kLastLines);
      aFile.PrintFaults();
      return { nullptr, settings ? kExitFailure : kExitFaults };
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
  carobtide::SettingsFile<carobtide::DaemonSettings> file(
    aPath, carobtide::ParseDaemonSettings);
  const auto started =
    StartDaemon<carobtide::Daemon, carobtide::DaemonSettings>(
      aSignals, file, [](const carobtide::DaemonSettings& aSettings) {
        return std::make_unique<carobtide::Daemon>(aSettings);
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
  carobtide::SettingsFile<carobtide::NodeSettings> file(aPath,
                                                        ParseKnownNodeSettings);
  if (auto settings = file.Read()) {
    aNode.Reload(std::move(*settings));
  }
}

/** A daemon of deployments with catalogs. */
int RunNode(const std::string& aPath, const sigset_t& aSignals)
{
  carobtide::SettingsFile<carobtide::NodeSettings> file(aPath,
                                                        ParseKnownNodeSettings);
  const auto started = StartDaemon<carobtide::Node, carobtide::NodeSettings>(
    aSignals, file, [](const carobtide::NodeSettings& aSettings) {
      return carobtide::MakeNode(aSettings, carobtide::MakePlatformDialect());
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
  if (!HasSettings(path)) {
    return kExitFaults;
  }
  return isNode ? RunNode(path, signals) : RunDaemon(path, signals);
}
