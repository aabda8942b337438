#include "simulated_disk.hpp"

#include <algorithm>

namespace carobtide {

void SimulatedDisk::Inject(DiskFault aFault, std::uint64_t aAt)
{
  mFault = aFault;
  mFaultAt = mOperations + aAt;
}

Result<Unit> SimulatedDisk::Change(const std::string& aPath,
                                   const std::function<void()>& aChange,
                                   const std::function<void()>& aPartly)
{
  const bool chosen = ++mOperations == mFaultAt;
  const auto fault = chosen ? mFault : DiskFault::None;
  if (fault == DiskFault::CrashBefore) {
    throw SimulatedCrash{};
  }
  if (fault == DiskFault::Full) {
    if (aPartly) {
      aPartly();
    }
    return Error{ ErrorCode::DiskFull, "simulated", aPath, "" };
  }
  if (fault == DiskFault::Broken) {
    return Error{ ErrorCode::Io, "simulated", aPath, "" };
  }
  aChange();
  if (fault == DiskFault::CrashAfter) {
    throw SimulatedCrash{};
  }
  return Success();
}

void SimulatedDisk::ChangeNames(std::function<void(Folder&)> aChange)
{
  aChange(mNames);
  mLatestChange = std::move(aChange);
}

void SimulatedDisk::SyncNames()
{
  mDurableNames = mNames;
  mLatestChange = {};
}

void SimulatedDisk::Crash(UnsyncedFate aBytes, NamesFate aNames)
{
  if (aNames == NamesFate::LatestKept && mLatestChange) {
    mLatestChange(mDurableNames);
  }
  mNames = aNames == NamesFate::Kept ? mNames : mDurableNames;
  SyncNames();
  for (auto& [name, file] : mNames) {
    const bool grown = file->mContent.starts_with(file->mSynced);
    if (aBytes == UnsyncedFate::Lost || !grown) {
      file->mContent = file->mSynced;
    } else if (aBytes == UnsyncedFate::HalfKept) {
      const auto half = (file->mSynced.size() + file->mContent.size()) / 2;
      file->mContent.resize(half);
    } else if (aBytes == UnsyncedFate::Zeroed) {
      const auto size = file->mContent.size();
      file->mContent = file->mSynced;
      file->mContent.resize(size, '\0');
    }
    file->mSynced = file->mContent;
  }
}

namespace {

class SimulatedFile : public AppendFile
{
public:
  SimulatedFile(SimulatedDisk& aDisk, std::string aPath,
                std::shared_ptr<SimulatedDisk::File> aFile)
    : mDisk(aDisk)
    , mPath(std::move(aPath))
    , mFile(std::move(aFile))
  {
  }

  Result<Unit> Write(std::string_view aBytes) override
  {
    return mDisk.Change(
      mPath, [&] { mFile->mContent += aBytes; },
      [&] { mFile->mContent += aBytes.substr(0, aBytes.size() / 2); });
  }

  Result<Unit> Sync() override
  {
    return mDisk.Change(mPath, [&] { mFile->mSynced = mFile->mContent; });
  }

  Result<Unit> Truncate(std::uint64_t aSize) override
  {
    return mDisk.Change(mPath, [&] { mFile->mContent.resize(aSize); });
  }

private:
  SimulatedDisk& mDisk;
  std::string mPath;
  std::shared_ptr<SimulatedDisk::File> mFile;
};

class SimulatedFileSystem : public FileSystem
{
public:
  explicit SimulatedFileSystem(SimulatedDisk& aDisk)
    : mDisk(aDisk)
  {
  }

  Result<Unit> MakeFolder(const std::string& /*aFolder*/) override
  {
    return Success();
  }

  Result<std::vector<std::string>> List(const std::string& aFolder) override
  {
    const std::string prefix = aFolder + "/";
    std::vector<std::string> names;
    for (const auto& [path, file] : mDisk.Names()) {
      if (path.starts_with(prefix)) {
        const std::string rest = path.substr(prefix.size());
        names.push_back(rest.substr(0, rest.find('/')));
      }
    }
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
  }

  Result<std::string> Read(const std::string& aPath) override
  {
    return mDisk.Names().at(aPath)->mContent;
  }

  Result<std::unique_ptr<AppendFile>> Open(const std::string& aPath) override
  {
    auto& file = mDisk.Names()[aPath];
    if (!file) {
      file = std::make_shared<SimulatedDisk::File>();
    }
    return std::unique_ptr<AppendFile>(
      std::make_unique<SimulatedFile>(mDisk, aPath, file));
  }

  Result<Unit> Rename(const std::string& aFrom, const std::string& aTo) override
  {
    return mDisk.Change(aTo, [&] {
      mDisk.ChangeNames([file = mDisk.Names().at(aFrom), aFrom,
                         aTo](SimulatedDisk::Folder& aFolder) {
        aFolder[aTo] = file;
        aFolder.erase(aFrom);
      });
    });
  }

  Result<Unit> Remove(const std::string& aPath) override
  {
    return mDisk.Change(aPath, [&] {
      mDisk.ChangeNames(
        [aPath](SimulatedDisk::Folder& aFolder) { aFolder.erase(aPath); });
    });
  }

  Result<Unit> SyncFolder(const std::string& aFolder) override
  {
    return mDisk.Change(aFolder, [&] { mDisk.SyncNames(); });
  }

private:
  SimulatedDisk& mDisk;
};

} // namespace

std::unique_ptr<FileSystem> MakeSimulatedFileSystem(SimulatedDisk& aDisk)
{
  return std::make_unique<SimulatedFileSystem>(aDisk);
}

} // namespace carobtide
