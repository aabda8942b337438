/**
 * @file
 * Any bytes as each message between daemons.
 */

#include "../src/peer_messages.hpp"

#include "carobtide/base/codec.hpp"
#include "carobtide/fleet.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace carobtide;

namespace {

/** Sections and maps of any content leave the receiver in a sound state. */
void TakeFleetMessages(std::string_view aBytes)
{
  constexpr Instant kNow{ Duration(1'000'000) };
  if (const auto report = Decode<InFlightReport>(aBytes)) {
    LoadAggregator home;
    home.OnReport(kNow, *report);
    MakeSections(home.Total(), home.TotalSends());
  }
  if (const auto map = Decode<ResidencyMap>(aBytes)) {
    ResidencyBoard board;
    board.OnMap(kNow, *map);
    board.Since(kNow, map->mTerm, map->mSince);
  }
}

/** Notices of any content leave the receiver in a sound state. */
void TakeCrashNotice(std::string_view aBytes)
{
  constexpr Instant kNow{ Duration(1'000'000) };
  if (const auto notice = Decode<CrashNotice>(aBytes)) {
    ContentBoard board;
    board.OnNotice(kNow, *notice);
    board.Blocks().Since(kNow, 0);
  }
}

/** Streams of any content leave the receiver in a sound state. */
void TakeStreamMessages(std::string_view aBytes)
{
  constexpr Instant kNow{ Duration(1'000'000) };
  if (const auto notice = Decode<StreamNotice>(aBytes)) {
    StreamOrigins streams;
    streams.Put(kNow, *notice);
    streams.Expire(kNow);
  }
  if (const auto reply = Decode<StreamReply>(aBytes)) {
    OriginSearch search(ServiceName("s"), {}, {});
    search.OnReply(Endpoint{}, *reply);
    search.Result();
  }
  if (const auto record = Decode<SoftwareRecord>(aBytes)) {
    SoftwareHistory history;
    history.Restore(kNow, *record);
    history.Record(kNow);
  }
}

/** What decodes must encode and decode again. */
template<class Message>
void DecodeAs(std::string_view aBytes)
{
  const auto message = Decode<Message>(aBytes);
  if (message && !Decode<Message>(Encode(message.Value()))) {
    std::abort();
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  DecodeAs<ConsensusMessage>(bytes);
  DecodeAs<CrashNotice>(bytes);
  TakeCrashNotice(bytes);
  DecodeAs<BootstrapProbe>(bytes);
  DecodeAs<BootstrapStatus>(bytes);
  DecodeAs<BundleQuery>(bytes);
  DecodeAs<BundleInForce>(bytes);
  DecodeAs<EpochNotice>(bytes);
  DecodeAs<std::vector<Announcement>>(bytes);
  DecodeAs<HintsMessage>(bytes);
  DecodeAs<HeartbeatMessage>(bytes);
  DecodeAs<InFlightReport>(bytes);
  DecodeAs<LoadTotal>(bytes);
  DecodeAs<ResidencyMap>(bytes);
  DecodeAs<ResidencyRequest>(bytes);
  DecodeAs<WatchRequest>(bytes);
  DecodeAs<WatchReply>(bytes);
  DecodeAs<DrainNotice>(bytes);
  DecodeAs<LimitNotice>(bytes);
  DecodeAs<DemandReport>(bytes);
  DecodeAs<StreamNotice>(bytes);
  DecodeAs<StreamQuery>(bytes);
  DecodeAs<StreamReply>(bytes);
  TakeFleetMessages(bytes);
  TakeStreamMessages(bytes);
  return 0;
}
