#include "relay_note.hpp"

#include "carobtide/base/codec.hpp"

#include <boost/algorithm/hex.hpp>

#include <exception>
#include <iterator>

namespace carobtide {

namespace {

template<class Note>
void WriteNote(const Note& aNote, HttpHeaders& aHeaders)
{
  std::string text;
  boost::algorithm::hex_lower(Encode(aNote), std::back_inserter(text));
  aHeaders.Add(std::string(kRelayHeader), std::move(text));
}

template<class Note>
Result<Note> ReadNote(const HttpHeaders& aHeaders, std::string_view aPeer)
{
  std::string bytes;
  try {
    boost::algorithm::unhex(std::string(aHeaders.Get(kRelayHeader)),
                            std::back_inserter(bytes));
  } catch (const std::exception& error) {
    return MakeError(ErrorCode::Malformed, "relay.read-note",
                     std::string(aPeer), error.what());
  }
  return Decode<Note>(bytes, aPeer);
}

} // namespace

void WriteRelayCall(const RelayCall& aCall, HttpHeaders& aHeaders)
{
  WriteNote(aCall, aHeaders);
}

void WriteRelayAnswer(const RelayAnswer& aAnswer, HttpHeaders& aHeaders)
{
  WriteNote(aAnswer, aHeaders);
}

Result<RelayCall> ReadRelayCall(const HttpHeaders& aHeaders,
                                std::string_view aPeer)
{
  return ReadNote<RelayCall>(aHeaders, aPeer);
}

Result<RelayAnswer> ReadRelayAnswer(const HttpHeaders& aHeaders,
                                    std::string_view aPeer)
{
  return ReadNote<RelayAnswer>(aHeaders, aPeer);
}

} // namespace carobtide
