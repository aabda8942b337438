#pragma once

/**
 * @file
 * A file system in memory that can crash or fail at any operation.
 */

#include "carobtide/consensus/file_system.hpp"

#include <functional>
#include <map>

namespace carobtide {

/** What becomes of written but unsynced bytes in a crash. */
enum class UnsyncedFate : std::uint8_t
{
  Lost,
  Kept,
  HalfKept,
  /** The size arrived, the content is zeros. */
  Zeroed,
};

/** What becomes of creations, renames and removals not yet synced. */
enum class NamesFate : std::uint8_t
{
  Lost,
  Kept,
  /** Only the latest one reached the medium. */
  LatestKept,
};

/** What is injected at the chosen operation. */
enum class DiskFault : std::uint8_t
{
  None,
  CrashBefore,
  CrashAfter,
  Full,
  /** The operation fails, and not for lack of room. */
  Broken,
};

/** Thrown where the simulated machine stops. */
struct SimulatedCrash
{};

/** The medium: what is visible and what would survive a crash. */
class SimulatedDisk
{
public:
  struct File
  {
    std::string mContent;
    std::string mSynced;
  };
  using Folder = std::map<std::string, std::shared_ptr<File>>;

  /** Injects a fault at the n-th changing operation from now (from 1). */
  void Inject(DiskFault aFault, std::uint64_t aAt);
  std::uint64_t Operations() const { return mOperations; }

  /** The machine stops: keeps what was durable, and the rest as told. */
  void Crash(UnsyncedFate aBytes, NamesFate aNames);

  Folder& Names() { return mNames; }
  void ChangeNames(std::function<void(Folder&)> aChange);
  void SyncNames();

  /** Runs a changing operation with the injected fault around it. */
  Result<Unit> Change(const std::string& aPath,
                      const std::function<void()>& aChange,
                      const std::function<void()>& aPartly = {});

private:
  Folder mNames;
  Folder mDurableNames;
  std::function<void(Folder&)> mLatestChange;
  std::uint64_t mOperations = 0;
  std::uint64_t mFaultAt = 0;
  DiskFault mFault = DiskFault::None;
};

/** The operations of FileSystem on a disk that outlives it. */
std::unique_ptr<FileSystem> MakeSimulatedFileSystem(SimulatedDisk& aDisk);

} // namespace carobtide
