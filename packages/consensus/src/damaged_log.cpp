#include "carobtide/consensus/damaged_log.hpp"

#include "log_files.hpp"

#include <algorithm>
#include <vector>

namespace carobtide {

namespace {

std::string DamagedFolderIn(const std::string& aFolder)
{
  return aFolder + "/" + std::string(kDamagedLogFolder);
}

bool IsLogFile(std::string_view aName)
{
  return aName == kIdentityName || aName.starts_with(kSegmentPrefix) ||
         aName.starts_with(kSnapshotPrefix);
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
    if (auto removed = aFiles.Remove(aside + "/" + name); !removed) {
      return removed;
    }
  }
  for (const std::string& name : *names) {
    if (!IsLogFile(name)) {
      continue;
    }
    auto moved = aFiles.Rename(aFolder + "/" + name, aside + "/" + name);
    if (!moved) {
      return moved;
    }
  }
  auto synced = aFiles.SyncFolder(aside);
  return synced ? aFiles.SyncFolder(aFolder) : synced;
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
