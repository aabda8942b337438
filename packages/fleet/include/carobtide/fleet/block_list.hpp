#pragma once

/**
 * @file
 * Content that is blocked at present, with the version of each change.
 */

#include "carobtide/fleet/crash_messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace carobtide {

/**
 * Bounded list of blocked content. Control daemons give their watchers the
 * changes after any version; routing daemons look their requests up.
 *
 * Answers: a daemon that restarts, or was cut off while content was blocked.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class BlockList
{
public:
  static constexpr Duration kBlockTime = 600s;
  /** Maximum number of blocks; the one that ends first is dropped. */
  static constexpr std::size_t kCapacity = 1024;
  /**
   * A block that was just lifted is not taken back for this long: it may have
   * been under way before.
   */
  static constexpr Duration kLiftGuardTime = 3s;
  /** Watchers that were away for longer keep a lifted block to its end. */
  static constexpr Duration kLiftedRetention = 60s;

  /** Blocks content until a time; true if that was not known. */
  bool Block(Instant aNow, const Digest& aFingerprint, Instant aUntil);
  /** Takes a block from another daemon; true if it was not known. */
  bool Block(Instant aNow, const ContentBlock& aBlock);

  /** Ends a block; true if there was one. */
  bool Lift(Instant aNow, const Digest& aFingerprint);

  /** Ends the blocks whose time is over and returns them. */
  std::vector<Digest> Expire(Instant aNow);

  /** When the block of this content ends; nothing if it is not blocked. */
  std::optional<Instant> Until(Instant aNow, const Digest& aFingerprint) const;

  std::uint64_t Version() const { return mVersion; }

  /** The changes after a version; zero gives all blocks. */
  BlockChanges Since(Instant aNow, std::uint64_t aVersion) const;

  std::size_t Size() const { return mBlocks.size(); }

private:
  struct Entry
  {
    Instant mUntil;
    std::uint64_t mVersion = 0;
  };
  struct Lifted
  {
    Instant mAt;
    std::uint64_t mVersion = 0;
  };

  std::map<Digest, Entry> mBlocks;
  std::map<Digest, Lifted> mLifted;
  std::uint64_t mVersion = 0;
};

} // namespace carobtide
