#include "carobtide/consensus/damaged_log.hpp"

#include "log_files.hpp"

#include <algorithm>
#include <vector>

namespace carobtide {

namespace {

std::string PathOf(const std::string& aFolder, std::string_view aName)
{
  std::string path = aFolder;
  path += '/';
  path += aName;
  return path;
}

std::string DamagedFolderIn(const std::string& aFolder)
{
  return PathOf(aFolder, kDamagedLogFolder);
}

bool IsLogFile(std::string_view aName)
{
  return aName == kIdentityName || aName.starts_with(kSegmentPrefix) ||
         aName.starts_with(kSnapshotPrefix);
}

/** Moves those of the files that are there, durably. */
Result<Unit> Move(FileSystem& aFiles, const std::string& aFolder,
                  const std::vector<std::string>& aMoved)
{
  const std::string aside = DamagedFolderIn(aFolder);
  const auto left = aFiles.List(aFolder);
  if (!left) {
    return left.GetError();
  }
  for (const std::string& name : aMoved) {
    if (!IsLogFile(name) || std::ranges::find(*left, name) == left->end()) {
      continue;
    }
    auto moved = aFiles.Rename(PathOf(aFolder, name), PathOf(aside, name));
    if (!moved) {
      return moved;
    }
  }
  auto synced = aFiles.SyncFolder(aside);
  return synced ? aFiles.SyncFolder(aFolder) : synced;
}

} // namespace

Result<Unit> SetLogAside(FileSystem& aFiles, const std::string& aFolder)
{
  const std::string aside = DamagedFolderIn(aFolder);
  if (auto made = aFiles.MakeFolder(aside); !made) {
    return made;
  }
  const auto before = aFiles.List(aside);
  if (!before) {
    return before.GetError();
  }
  const auto names = aFiles.List(aFolder);
  if (!names) {
    return names.GetError();
  }
  // A set-aside that was cut short goes on: its files stay.
  const bool hasIdentity =
    std::ranges::find(*names, kIdentityName) != names->end();
  for (const std::string& name : *before) {
    if (!hasIdentity) {
      break;
    }
    if (auto removed = aFiles.Remove(PathOf(aside, name)); !removed) {
      return removed;
    }
  }
  // The identity goes first and for good: what a loss of power leaves of the
  // rest must not start again under it.
  auto moved = Move(aFiles, aFolder, { std::string(kIdentityName) });
  return moved ? Move(aFiles, aFolder, *names) : moved;
}

Result<bool> HasSetLogAside(FileSystem& aFiles, const std::string& aFolder)
{
  const auto names = aFiles.List(aFolder);
  if (!names) {
    return names.GetError();
  }
  return std::ranges::find(*names, kDamagedLogFolder) != names->end();
}

} // namespace carobtide
