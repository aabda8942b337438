#pragma once

/**
 * @file
 * The connections of a daemon against their shares of its descriptors.
 */

#include "carobtide/transport.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace carobtide {

/**
 * Writes a line when connections of a kind were closed or refused for want of
 * descriptors, and renders how many of each kind there are.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class ConnectionShares
{
public:
  /** A kind of connection; its name is a literal. */
  struct Kind
  {
    std::string_view mName;
    std::function<ConnectionCounts()> mRead;
  };

  explicit ConnectionShares(std::vector<Kind> aKinds);

  /** Logs what has changed since the last call. Call once a second or so. */
  void Check();

  /** Prometheus text, by kind. */
  std::string Render() const;

private:
  struct Watched
  {
    Kind mKind;
    /** As of the last check. */
    ConnectionCounts mBefore;
  };

  std::vector<Watched> mKinds;
};

} // namespace carobtide
