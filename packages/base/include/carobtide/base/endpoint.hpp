#pragma once

/**
 * @file
 * Network addresses by IP number.
 */

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace carobtide {

/** A TCP or UDP address by IP number. */
struct Endpoint
{
  Endpoint() = default;
  Endpoint(std::string aHost, std::uint16_t aPort)
    : mHost(std::move(aHost))
    , mPort(aPort)
  {
  }

  std::string mHost;
  std::uint16_t mPort = 0;

  auto operator<=>(const Endpoint&) const = default;

  /** Renders "HOST:PORT". */
  std::string ToString() const;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mPort);
  }
};

/** Parses "IP:PORT"; nothing on other input. */
std::optional<Endpoint> ParseEndpoint(std::string_view aText);

} // namespace carobtide
