#include "carobtide/settings.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace carobtide;

namespace {

constexpr const char* kFull = R"(name: entry-1
failure_domain: be-central-a
listen:
  callers: 127.0.0.1:7001
  operators: 127.0.0.1:7101
  peers: 127.0.0.1:7201
peers:
  - {name: entry-2, failure_domain: be-central-b, address: 127.0.0.1:7202, disk: true}
  - {name: entry-3, failure_domain: be-central-c, address: 127.0.0.1:7203}
data_dir: data/entry-1
operators:
  - {name: lise, token: 0123456789abcdef}
log_level: debug
threads: 2
routing_policy: round-robin
limits: {header_size: 8KiB, body_size: 1MiB, read_timeout: 5s}
target_timeout: 2s
ledger: {retention: 1h, max_keys: 1000, max_answer_size: 1KiB, max_total_size: 2MiB}
seed: 42
)";

constexpr const char* kSmall = R"(name: a
failure_domain: d
listen: {callers: "127.0.0.1:0", operators: "127.0.0.1:0", peers: "127.0.0.1:0"}
)";

/** Faults of a text, one a line; empty if it parses. */
std::string FaultsOf(const std::string& aText)
{
  const auto parsed = ParseDaemonSettings(aText);
  std::string text;
  if (const auto* faults = std::get_if<std::vector<YamlFault>>(&parsed)) {
    for (const YamlFault& fault : *faults) {
      text += fault.ToString() + "\n";
    }
  }
  return text;
}

std::string Replace(std::string aText, const std::string& aFrom,
                    const std::string& aTo)
{
  const auto at = aText.find(aFrom);
  REQUIRE(at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

} // namespace

TEST_CASE("a full settings text is read")
{
  REQUIRE(FaultsOf(kFull).empty());
  const auto settings = std::get<DaemonSettings>(ParseDaemonSettings(kFull));
  CHECK(settings.mName == DaemonName("entry-1"));
  CHECK(settings.mFailureDomain == FailureDomain("be-central-a"));
  CHECK(settings.mCallerAddress == Endpoint{ "127.0.0.1", 7001 });
  CHECK(settings.mOperatorAddress == Endpoint{ "127.0.0.1", 7101 });
  CHECK(settings.mPeerAddress == Endpoint{ "127.0.0.1", 7201 });
  REQUIRE(settings.mPeers.size() == 2);
  CHECK(settings.mPeers[0].mHasDisk);
  CHECK_FALSE(settings.mPeers[1].mHasDisk);
  CHECK(settings.mPeers[1].mAddress == Endpoint{ "127.0.0.1", 7203 });
  CHECK(settings.mDataDir == "data/entry-1");
  REQUIRE(settings.mOperators.size() == 1);
  CHECK(settings.mOperators[0].mToken == "0123456789abcdef");
  CHECK(settings.mLogLevel == LogLevel::Debug);
  CHECK(settings.mThreads == 2);
  CHECK(settings.mRoutingPolicy == "round-robin");
  CHECK(settings.mMaxHeaderBytes == 8 * kKiB);
  CHECK(settings.mMaxBodyBytes == kMiB);
  CHECK(settings.mReadTimeout == 5s);
  CHECK(settings.mTargetTimeout == 2s);
  CHECK(settings.mLedgerRetention == std::chrono::hours(1));
  CHECK(settings.mLedgerMaxKeys == 1000);
  CHECK(settings.mLedgerMaxAnswerBytes == kKiB);
  CHECK(settings.mLedgerMaxTotalBytes == 2 * kMiB);
  CHECK(settings.mSeed == 42);
}

TEST_CASE("what may be left out has its default")
{
  REQUIRE(FaultsOf(kSmall).empty());
  const auto settings = std::get<DaemonSettings>(ParseDaemonSettings(kSmall));
  CHECK(settings.mPeers.empty());
  CHECK(settings.mDataDir.empty());
  CHECK(settings.mThreads == 4);
  CHECK(settings.mRoutingPolicy == "two-choices");
  CHECK(settings.mLedgerMaxKeys == 1'000'000);
}

TEST_CASE("what must be given is asked for by path")
{
  const std::string faults = FaultsOf("threads: 2\n");
  CHECK(faults.find(": name: expected a name") != std::string::npos);
  CHECK(faults.find(": failure_domain: ") != std::string::npos);
  CHECK(faults.find(": listen.callers: ") != std::string::npos);
  CHECK(faults.find(": listen.operators: ") != std::string::npos);
  CHECK(faults.find(": listen.peers: ") != std::string::npos);
}

TEST_CASE("each wrong setting is one fault at its path")
{
  struct Row
  {
    const char* mFrom;
    const char* mTo;
    const char* mFault;
  };
  const auto row = GENERATE(
    Row{ "name: entry-1", "name: 'entry 1'", "1:7: name: " },
    Row{ "127.0.0.1:7001", "localhost:7001", "4:12: listen.callers: " },
    Row{ "127.0.0.1:7001", "127.0.0.300:7001", "4:12: listen.callers: " },
    Row{ "127.0.0.1:7101", "127.0.0.1:7001", "5:14: listen.operators: " },
    Row{ "127.0.0.1:7201", "127.0.0.1:7001", "6:10: listen.peers: " },
    Row{ "name: entry-3", "name: entry-2", "9:12: peers[1].name: " },
    Row{ "name: entry-3", "name: entry-1", "9:12: peers[1].name: " },
    Row{ "127.0.0.1:7203", "127.0.0.1:7202", ": peers[1].address: " },
    Row{ "127.0.0.1:7203", "127.0.0.1:7201", ": peers[1].address: " },
    Row{ "127.0.0.1:7203", "127.0.0.1:0", ": peers[1].address: " },
    Row{ "disk: true", "disk: yes", "8:82: peers[0].disk: " },
    Row{ "0123456789abcdef", "0123456789abcde", ": operators[0].token: " },
    Row{ "log_level: debug", "log_level: loud", ": log_level: " },
    Row{ "threads: 2", "threads: 0", ": threads: " },
    Row{ "header_size: 8KiB", "header_size: 8", ": limits.header_size: " },
    Row{ "body_size: 1MiB", "body_size: 1GiB", ": limits.body_size: " },
    Row{ "read_timeout: 5s", "read_timeout: 5", ": limits.read_timeout: " },
    Row{ "target_timeout: 2s", "target_timeout: 2h", ": target_timeout: " },
    Row{ "retention: 1h", "retention: 1us", ": ledger.retention: " },
    Row{ "max_keys: 1000", "max_keys: 0", ": ledger.max_keys: " },
    Row{ "seed: 42", "seed: -1", ": seed: " },
    Row{ "seed: 42", "sede: 42", ": sede: expected a known key" },
    Row{ "data_dir: data/entry-1", "data_dir: ''", ": data_dir: " });
  const std::string faults = FaultsOf(Replace(kFull, row.mFrom, row.mTo));
  INFO(row.mTo << " gave " << faults);
  CHECK(faults.find(row.mFault) != std::string::npos);
  CHECK(std::count(faults.begin(), faults.end(), '\n') == 1);
}

TEST_CASE("operators share neither name nor token")
{
  const std::string two =
    Replace(kFull, "  - {name: lise, token: 0123456789abcdef}\n",
            "  - {name: lise, token: 0123456789abcdef}\n"
            "  - {name: lise, token: 0123456789abcdef}\n");
  const std::string faults = FaultsOf(two);
  CHECK(faults.find("13:12: operators[1].name: ") != std::string::npos);
  CHECK(faults.find(": operators[1].token: ") != std::string::npos);
}
