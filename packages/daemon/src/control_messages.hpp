#pragma once

/**
 * @file
 * Commands of the control log on deployments with catalogs, and the calls that
 * forward them to the leader.
 */

#include "carobtide/catalog.hpp"

#include <cereal/types/variant.hpp>

#include <cstdint>
#include <variant>

namespace carobtide {

/** Puts a catalog in force, unless a version as high is held. */
struct PutCatalog
{
  CatalogText mCatalog;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mCatalog);
  }
};

/** Changes nothing; once applied, all that was committed before is known. */
struct ReadBarrier
{
  std::uint8_t mUnused = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mUnused);
  }
};

using CatalogCommand = std::variant<PutCatalog, ReadBarrier>;

/** What the leader answers to a forwarded command. */
struct ProposeReply
{
  /** A CommitOutcome. */
  std::uint8_t mOutcome = 0;
  /** After a barrier: the catalog in force. */
  CatalogText mCatalog;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mOutcome, mCatalog);
  }
};

} // namespace carobtide
