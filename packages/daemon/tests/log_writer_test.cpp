#include "../src/log_writer.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <latch>
#include <thread>

#include <unistd.h>

using namespace carobtide;

namespace {

std::string LossLine(std::uint64_t aLost)
{
  return "lost " + std::to_string(aLost);
}

/** Takes what is written, or holds it up until told to go on. */
class Reader
{
public:
  bool Write(std::string_view aLines)
  {
    while (mIsStalled) {
      std::this_thread::yield();
    }
    const std::lock_guard lock(mMutex);
    mText += aLines;
    return true;
  }

  std::string Text()
  {
    const std::lock_guard lock(mMutex);
    return mText;
  }

  std::atomic<bool> mIsStalled = false;

private:
  std::mutex mMutex;
  std::string mText;
};

} // namespace

TEST_CASE("log lines are written in their order")
{
  Reader reader;
  {
    LogWriter writer(
      [&](std::string_view aLines) { return reader.Write(aLines); }, LossLine);
    for (int n = 0; n < 100; ++n) {
      CHECK(writer.Push("line " + std::to_string(n)));
    }
    CHECK(writer.Flush(30s));
    CHECK(writer.Push("the last"));
  }
  const std::string text = reader.Text();
  CHECK(std::ranges::count(text, '\n') == 101);
  CHECK(text.starts_with("line 0\nline 1\n"));
  CHECK(text.ends_with("line 99\nthe last\n"));
}

TEST_CASE("a stalled reader of the log costs lines, which are counted")
{
  Reader reader;
  reader.mIsStalled = true;
  constexpr std::size_t kRoom = 64;
  LogWriter writer(
    [&](std::string_view aLines) { return reader.Write(aLines); }, LossLine,
    kRoom);
  constexpr int kLines = 1000;
  int taken = 0;
  for (int n = 0; n < kLines; ++n) {
    taken += writer.Push("a line of text") ? 1 : 0;
  }
  // At most what is being written and what waits.
  CHECK(taken <= 8);
  CHECK(writer.Dropped() == static_cast<std::uint64_t>(kLines - taken));
  CHECK_FALSE(writer.Flush(1ms));
  reader.mIsStalled = false;
  CHECK(writer.Flush(30s));
  while (!writer.Push("after")) {
    std::this_thread::yield();
  }
  CHECK(writer.Flush(30s));
  const std::string text = reader.Text();
  std::uint64_t told = 0;
  for (std::size_t at = text.find("lost "); at != std::string::npos;
       at = text.find("lost ", at + 1)) {
    told += std::stoull(text.substr(at + std::string_view("lost ").size()));
  }
  CHECK(told == writer.Dropped());
  CHECK(text.find("after\n") != std::string::npos);
}

TEST_CASE("a pipe that nobody empties holds up no one but the log")
{
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  {
    LogWriter writer(
      [&](std::string_view aLines) {
        while (!aLines.empty()) {
          const auto n = ::write(ends[1], aLines.data(), aLines.size());
          if (n < 0 && errno != EINTR) {
            return false;
          }
          aLines.remove_prefix(static_cast<std::size_t>(std::max<long>(n, 0)));
        }
        return true;
      },
      LossLine);
    const std::string line(1000, 'x');
    constexpr int kMoreThanFits = 2000;
    for (int n = 0; n < kMoreThanFits; ++n) {
      writer.Push(line);
    }
    CHECK(writer.Dropped() > 0);
    // Read all, so that the writer can end.
    std::jthread reading([&] {
      std::array<char, 4096> buf{};
      while (::read(ends[0], buf.data(), buf.size()) > 0) {
      }
    });
    CHECK(writer.Flush(30s));
    ::close(ends[1]);
  }
  ::close(ends[0]);
}
