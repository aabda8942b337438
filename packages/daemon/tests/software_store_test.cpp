#include "../src/software_store.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>

#include <unistd.h>

using namespace carobtide;

namespace {

const ServiceName kService("lm");
const StreamOrigin kOld{ kService, SoftwareVersion("v1") };
const StreamOrigin kNew{ kService, SoftwareVersion("v2") };

/** A folder that is removed at the end. */
class TemporaryFolder
{
public:
  TemporaryFolder()
    : mPath(std::filesystem::temp_directory_path() /
            ("carobtide-store-" + std::to_string(::getpid()) + "-" +
             std::to_string(mCount++)))
  {
  }
  ~TemporaryFolder() { std::filesystem::remove_all(mPath); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  std::string Text() const { return mPath.string(); }
  std::filesystem::path File(const std::string& aName) const
  {
    return mPath / aName;
  }

private:
  static inline std::atomic<int> mCount = 0;
  std::filesystem::path mPath;
};

/** A disk that is full as long as it is told so. */
class FullFileSystem final : public FileSystem
{
public:
  explicit FullFileSystem(std::shared_ptr<std::atomic<bool>> aIsFull)
    : mIsFull(std::move(aIsFull))
  {
  }

  Result<Unit> MakeFolder(const std::string& aFolder) override
  {
    if (*mIsFull) {
      return MakeError(ErrorCode::DiskFull, "file.make-folder", aFolder);
    }
    return mFiles->MakeFolder(aFolder);
  }
  Result<std::vector<std::string>> List(const std::string& aFolder) override
  {
    return mFiles->List(aFolder);
  }
  Result<std::string> Read(const std::string& aPath) override
  {
    return mFiles->Read(aPath);
  }
  Result<std::unique_ptr<AppendFile>> Open(const std::string& aPath) override
  {
    if (*mIsFull) {
      return MakeError(ErrorCode::DiskFull, "file.open", aPath);
    }
    return mFiles->Open(aPath);
  }
  Result<Unit> Rename(const std::string& aFrom, const std::string& aTo) override
  {
    return mFiles->Rename(aFrom, aTo);
  }
  Result<Unit> Remove(const std::string& aPath) override
  {
    return mFiles->Remove(aPath);
  }
  Result<Unit> SyncFolder(const std::string& aFolder) override
  {
    return mFiles->SyncFolder(aFolder);
  }

private:
  std::unique_ptr<FileSystem> mFiles = MakePosixFileSystem();
  std::shared_ptr<std::atomic<bool>> mIsFull;
};

/** Keeps what is written in memory until a sync; none takes effect at the end.
 */
class PowerLossFileSystem final : public FileSystem
{
public:
  explicit PowerLossFileSystem(std::shared_ptr<std::atomic<bool>> aIsLost)
    : mIsLost(std::move(aIsLost))
  {
  }

  Result<Unit> MakeFolder(const std::string& aFolder) override
  {
    return mFiles->MakeFolder(aFolder);
  }
  Result<std::vector<std::string>> List(const std::string& aFolder) override
  {
    return mFiles->List(aFolder);
  }
  Result<std::string> Read(const std::string& aPath) override
  {
    return mFiles->Read(aPath);
  }
  Result<std::unique_ptr<AppendFile>> Open(const std::string& aPath) override
  {
    auto file = mFiles->Open(aPath);
    if (!file) {
      return file.GetError();
    }
    return std::unique_ptr<AppendFile>(
      std::make_unique<File>(std::move(*file), mIsLost));
  }
  Result<Unit> Rename(const std::string& aFrom, const std::string& aTo) override
  {
    return *mIsLost ? Success() : mFiles->Rename(aFrom, aTo);
  }
  Result<Unit> Remove(const std::string& aPath) override
  {
    return *mIsLost ? Success() : mFiles->Remove(aPath);
  }
  Result<Unit> SyncFolder(const std::string& aFolder) override
  {
    return mFiles->SyncFolder(aFolder);
  }

private:
  class File final : public AppendFile
  {
  public:
    File(std::unique_ptr<AppendFile> aFile,
         std::shared_ptr<std::atomic<bool>> aIsLost)
      : mFile(std::move(aFile))
      , mIsLost(std::move(aIsLost))
    {
    }

    Result<Unit> Write(std::string_view aBytes) override
    {
      mUnsynced += aBytes;
      return Success();
    }
    Result<Unit> Sync() override
    {
      const std::string bytes = std::exchange(mUnsynced, {});
      return *mIsLost ? Success() : mFile->Write(bytes);
    }
    Result<Unit> Truncate(std::uint64_t aSize) override
    {
      return mFile->Truncate(aSize);
    }

  private:
    std::unique_ptr<AppendFile> mFile;
    std::shared_ptr<std::atomic<bool>> mIsLost;
    std::string mUnsynced;
  };

  std::unique_ptr<FileSystem> mFiles = MakePosixFileSystem();
  std::shared_ptr<std::atomic<bool>> mIsLost;
};

/**
 * A folder in memory that outlives its store. A loss of power undoes what was
 * not synced: bytes of a file, and names of the folder.
 *
 * Thread safety: none; tests use it while no store runs.
 */
class MemoryDisk
{
public:
  struct File
  {
    std::string mContent;
    std::string mSynced;
  };

  /** What the disk refuses. */
  bool mRefusesWrites = false;
  bool mRefusesRemovals = false;
  bool mRefusesFileSyncs = false;
  std::atomic<bool> mRefusesFolderSyncs = false;

  std::map<std::string, std::shared_ptr<File>> mNames;
  std::map<std::string, std::shared_ptr<File>> mSyncedNames;

  void LosePower()
  {
    mNames = mSyncedNames;
    for (auto& [name, file] : mNames) {
      file->mContent = file->mSynced;
    }
  }
};

class MemoryFileSystem final : public FileSystem
{
public:
  explicit MemoryFileSystem(MemoryDisk& aDisk)
    : mDisk(aDisk)
  {
  }

  Result<Unit> MakeFolder(const std::string& /*aFolder*/) override
  {
    return Success();
  }
  Result<std::vector<std::string>> List(const std::string& aFolder) override
  {
    std::vector<std::string> names;
    for (const auto& [path, file] : mDisk.mNames) {
      names.push_back(path.substr(aFolder.size() + 1));
    }
    return names;
  }
  Result<std::string> Read(const std::string& aPath) override
  {
    const auto it = mDisk.mNames.find(aPath);
    if (it == mDisk.mNames.end()) {
      return MakeError(ErrorCode::Io, "file.read", aPath);
    }
    return it->second->mContent;
  }
  Result<std::unique_ptr<AppendFile>> Open(const std::string& aPath) override
  {
    auto& file = mDisk.mNames[aPath];
    if (file == nullptr) {
      file = std::make_shared<MemoryDisk::File>();
    }
    return std::unique_ptr<AppendFile>(
      std::make_unique<OpenFile>(mDisk, aPath, file));
  }
  Result<Unit> Rename(const std::string& aFrom, const std::string& aTo) override
  {
    mDisk.mNames[aTo] = mDisk.mNames.at(aFrom);
    mDisk.mNames.erase(aFrom);
    return Success();
  }
  Result<Unit> Remove(const std::string& aPath) override
  {
    if (mDisk.mRefusesRemovals || mDisk.mNames.erase(aPath) == 0) {
      return MakeError(ErrorCode::Io, "file.remove", aPath);
    }
    return Success();
  }
  Result<Unit> SyncFolder(const std::string& aFolder) override
  {
    if (mDisk.mRefusesFolderSyncs) {
      return MakeError(ErrorCode::Io, "file.sync-folder", aFolder);
    }
    mDisk.mSyncedNames = mDisk.mNames;
    return Success();
  }

private:
  class OpenFile final : public AppendFile
  {
  public:
    OpenFile(MemoryDisk& aDisk, std::string aPath,
             std::shared_ptr<MemoryDisk::File> aFile)
      : mDisk(aDisk)
      , mPath(std::move(aPath))
      , mFile(std::move(aFile))
    {
    }

    Result<Unit> Write(std::string_view aBytes) override
    {
      if (mDisk.mRefusesWrites) {
        return MakeError(ErrorCode::DiskFull, "file.write", mPath);
      }
      mFile->mContent += aBytes;
      return Success();
    }
    Result<Unit> Sync() override
    {
      if (mDisk.mRefusesFileSyncs) {
        return MakeError(ErrorCode::Io, "file.sync", mPath);
      }
      mFile->mSynced = mFile->mContent;
      return Success();
    }
    Result<Unit> Truncate(std::uint64_t aSize) override
    {
      mFile->mContent.resize(aSize);
      return Success();
    }

  private:
    MemoryDisk& mDisk;
    std::string mPath;
    std::shared_ptr<MemoryDisk::File> mFile;
  };

  MemoryDisk& mDisk;
};

SoftwareRecord MakeRecord()
{
  SoftwareRecord record;
  record.mIsComplete = true;
  record.mServices = { { kService, { kOld.mSoftware, kNew.mSoftware } } };
  return record;
}

StreamNotice Begun(const StreamOrigin& aOrigin, StreamKey aStream)
{
  return { { { aOrigin, { aStream } } } };
}

/** One life of a process: what it finds, and what it does. */
template<class Use>
StoredSoftware Live(const TemporaryFolder& aFolder, Use aUse)
{
  SoftwareStore store(MakePosixFileSystem(), aFolder.Text(),
                      [](const Error&) {});
  StoredSoftware stored = store.Load();
  store.Start();
  aUse(store);
  return stored;
}

StoredSoftware LoadAgain(const TemporaryFolder& aFolder)
{
  return Live(aFolder, [](SoftwareStore&) {});
}

std::vector<StreamKey> Streams(const StoredSoftware& aStored)
{
  std::vector<StreamKey> streams;
  for (const StreamNotice& notice : aStored.mNotices) {
    for (const StreamGroup& group : notice.mGroups) {
      streams.insert(streams.end(), group.mStreams.begin(),
                     group.mStreams.end());
    }
  }
  return streams;
}

} // namespace

// Fault: what control daemons knew of streams and versions ended with them.
TEST_CASE("software and streams outlive the process")
{
  const TemporaryFolder folder;
  const StoredSoftware first = Live(folder, [](SoftwareStore& aStore) {
    aStore.Save(MakeRecord());
    aStore.Append(Begun(kOld, 1));
    aStore.Append(Begun(kNew, 2));
  });
  CHECK_FALSE(first.mRecord);
  CHECK(first.mNotices.empty());
  // A second kill within the window.
  const StoredSoftware second =
    Live(folder, [](SoftwareStore& aStore) { aStore.Append(Begun(kNew, 3)); });
  CHECK(second.mRecord == MakeRecord());
  CHECK(Streams(second) == std::vector<StreamKey>{ 1, 2 });
  CHECK(Streams(LoadAgain(folder)) == std::vector<StreamKey>{ 1, 2, 3 });
}

TEST_CASE("streams are kept for a window and for less than three")
{
  const TemporaryFolder folder;
  Live(folder, [](SoftwareStore& aStore) { aStore.Append(Begun(kOld, 1)); });
  Live(folder, [](SoftwareStore& aStore) {
    aStore.Append(Begun(kOld, 2));
    // A window of this process: what another one left is over.
    aStore.Rotate();
  });
  CHECK(Streams(LoadAgain(folder)) == std::vector<StreamKey>{ 2 });
}

TEST_CASE("a file of streams that was cut short is read as far as it is whole")
{
  const TemporaryFolder folder;
  Live(folder, [](SoftwareStore& aStore) { aStore.Append(Begun(kOld, 1)); });
  const auto path = folder.File("streams-1");
  const auto whole = std::filesystem::file_size(path);
  {
    std::ofstream file(path, std::ios::app | std::ios::binary);
    file << "CRBT and some more bytes that are no frame at all";
  }
  Live(folder, [](SoftwareStore& aStore) { aStore.Append(Begun(kNew, 2)); });
  CHECK(Streams(LoadAgain(folder)) == std::vector<StreamKey>{ 1, 2 });
  std::filesystem::resize_file(path, whole - 1);
  CHECK(Streams(LoadAgain(folder)) == std::vector<StreamKey>{ 2 });
}

// Fault: all machines lose power; what was written and not synced is gone.
TEST_CASE("after a loss of power the store holds what it had synced")
{
  const TemporaryFolder folder;
  const auto isLost = std::make_shared<std::atomic<bool>>(false);
  const auto live = [&](const SoftwareRecord& aRecord, StreamKey aStream) {
    SoftwareStore store(std::make_unique<PowerLossFileSystem>(isLost),
                        folder.Text(), [](const Error&) {});
    store.Load();
    store.Start();
    store.Save(aRecord);
    store.Append(Begun(kOld, aStream));
  };
  live(MakeRecord(), 1);
  *isLost = true;
  live(SoftwareRecord{}, 2);
  const StoredSoftware stored = LoadAgain(folder);
  CHECK(stored.mRecord == MakeRecord());
  CHECK(Streams(stored) == std::vector<StreamKey>{ 1 });
}

TEST_CASE("a record that is damaged or of a later format is no record")
{
  const TemporaryFolder folder;
  SECTION("damaged")
  {
    Live(folder, [](SoftwareStore& aStore) { aStore.Save(MakeRecord()); });
    std::filesystem::resize_file(folder.File("record"), 20);
  }
  SECTION("of a later format")
  {
    Live(folder, [](SoftwareStore& aStore) {
      SoftwareRecord record = MakeRecord();
      ++record.mFormat;
      aStore.Save(record);
    });
  }
  CHECK_FALSE(LoadAgain(folder).mRecord);
}

// Fault: an outdated record would vouch for a version that it lacks.
TEST_CASE("a record that a full disk refuses leaves none behind")
{
  const TemporaryFolder folder;
  Live(folder, [](SoftwareStore& aStore) { aStore.Save(MakeRecord()); });
  const auto isFull = std::make_shared<std::atomic<bool>>(false);
  std::promise<void> failed;
  {
    SoftwareStore store(std::make_unique<FullFileSystem>(isFull), folder.Text(),
                        [&](const Error&) { failed.set_value(); });
    CHECK(store.Load().mRecord);
    *isFull = true;
    store.Start();
    store.Save(MakeRecord());
    failed.get_future().wait();
  }
  CHECK_FALSE(LoadAgain(folder).mRecord);
}

// Fault: a loss of power brought an outdated record back.
TEST_CASE("a record that the disk refuses stays away after a loss of power")
{
  MemoryDisk disk;
  const auto live = [&disk](auto aUse) {
    SoftwareStore store(std::make_unique<MemoryFileSystem>(disk), "software",
                        [](const Error&) {});
    StoredSoftware stored = store.Load();
    store.Start();
    aUse(store);
    return stored;
  };
  const auto save = [](SoftwareStore& aStore) { aStore.Save(MakeRecord()); };
  live(save);
  disk.LosePower();
  SECTION("which removes the outdated one")
  {
    disk.mRefusesWrites = true;
  }
  SECTION("which keeps the outdated one's name")
  {
    disk.mRefusesWrites = true;
    disk.mRefusesRemovals = true;
  }
  SECTION("which does not sync its names")
  {
    disk.mRefusesFolderSyncs = true;
  }
  CHECK(live(save).mRecord == MakeRecord());
  disk.LosePower();
  CHECK_FALSE(live([](SoftwareStore&) {}).mRecord);
}

// Fault: a process ended before its removal of the record was synced, and the
// next one started without a record that a loss of power then brought back.
TEST_CASE("what is missing at a start stays away after a loss of power")
{
  MemoryDisk disk;
  const auto live = [&disk](auto aUse) {
    SoftwareStore store(std::make_unique<MemoryFileSystem>(disk), "software",
                        [](const Error&) {});
    StoredSoftware stored = store.Load();
    store.Start();
    aUse(store);
    return stored;
  };
  const auto save = [](SoftwareStore& aStore) { aStore.Save(MakeRecord()); };
  const auto rest = [](SoftwareStore&) {};
  live(save);
  disk.mRefusesFileSyncs = true;
  disk.mRefusesFolderSyncs = true;
  CHECK(live(save).mRecord);
  disk.mRefusesFileSyncs = false;
  disk.mRefusesFolderSyncs = false;
  CHECK_FALSE(live(rest).mRecord);
  disk.LosePower();
  CHECK_FALSE(live(rest).mRecord);
}

// Fault: a file whose name was not synced was appended to all the same.
TEST_CASE("streams go into a file whose name is synced")
{
  MemoryDisk disk;
  std::promise<void> failed;
  {
    SoftwareStore store(std::make_unique<MemoryFileSystem>(disk), "software",
                        [&](const Error&) { failed.set_value(); });
    store.Load();
    disk.mRefusesFolderSyncs = true;
    store.Start();
    store.Append(Begun(kOld, 1));
    failed.get_future().wait();
    disk.mRefusesFolderSyncs = false;
    store.Append(Begun(kOld, 2));
  }
  disk.LosePower();
  SoftwareStore store(std::make_unique<MemoryFileSystem>(disk), "software",
                      [](const Error&) {});
  CHECK(Streams(store.Load()) == std::vector<StreamKey>{ 2 });
}

// Also where the disk was full already when the daemon started.
TEST_CASE("a record that a full disk refused is written once there is room")
{
  const TemporaryFolder folder;
  const auto isFull = std::make_shared<std::atomic<bool>>(true);
  {
    SoftwareStore store(std::make_unique<FullFileSystem>(isFull), folder.Text(),
                        [&](const Error&) { *isFull = false; });
    CHECK_FALSE(store.Load().mRecord);
    CHECK_FALSE(*isFull);
    *isFull = true;
    store.Start();
    store.Save(MakeRecord());
    while (!std::filesystem::exists(folder.File("record"))) {
      std::this_thread::yield();
    }
  }
  CHECK(LoadAgain(folder).mRecord == MakeRecord());
}
