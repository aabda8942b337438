/**
 * @file
 * File operations by POSIX calls.
 */

#include "carobtide/consensus/file_system.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>

#include <fcntl.h>
#include <unistd.h>

namespace carobtide {

namespace {

constexpr int kFileMode = 0640;
constexpr std::size_t kReadBytes = std::size_t{ 1 } << 20;

Error MakeError(const char* aStep, const std::string& aPath, int aErrno)
{
  const bool full = aErrno == ENOSPC || aErrno == EDQUOT || aErrno == EFBIG;
  return Error{ full ? ErrorCode::DiskFull : ErrorCode::Io, aStep, aPath,
                std::system_category().message(aErrno) };
}

/** Owns a file descriptor. */
class Descriptor
{
public:
  explicit Descriptor(int aValue)
    : mValue(aValue)
  {
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor()
  {
    if (mValue >= 0) {
      ::close(mValue);
    }
  }

  int Value() const { return mValue; }
  bool IsOpen() const { return mValue >= 0; }

private:
  int mValue;
};

class PosixAppendFile : public AppendFile
{
public:
  PosixAppendFile(std::string aPath, int aDescriptor)
    : mPath(std::move(aPath))
    , mDescriptor(aDescriptor)
  {
  }

  Result<Unit> Write(std::string_view aBytes) override
  {
    while (!aBytes.empty()) {
      const auto n = ::write(mDescriptor.Value(), aBytes.data(), aBytes.size());
      if (n < 0 && errno == EINTR) {
        continue;
      }
      if (n < 0) {
        return MakeError("file.write", mPath, errno);
      }
      aBytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return Success();
  }

  Result<Unit> Sync() override
  {
    if (::fdatasync(mDescriptor.Value()) != 0) {
      return MakeError("file.sync", mPath, errno);
    }
    return Success();
  }

  Result<Unit> Truncate(std::uint64_t aSize) override
  {
    if (::ftruncate(mDescriptor.Value(), static_cast<off_t>(aSize)) != 0) {
      return MakeError("file.truncate", mPath, errno);
    }
    return Success();
  }

private:
  std::string mPath;
  Descriptor mDescriptor;
};

class PosixFileSystem : public FileSystem
{
public:
  Result<Unit> MakeFolder(const std::string& aFolder) override
  {
    const std::filesystem::path folder(aFolder);
    if (std::filesystem::is_directory(folder)) {
      return Success();
    }
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    if (ec) {
      return MakeError("file.make-folder", aFolder, ec.value());
    }
    return SyncParents(std::filesystem::absolute(folder));
  }

  Result<std::vector<std::string>> List(const std::string& aFolder) override
  {
    std::error_code ec;
    std::vector<std::string> names;
    std::filesystem::directory_iterator it(aFolder, ec);
    for (; !ec && it != std::filesystem::directory_iterator();
         it.increment(ec)) {
      names.push_back(it->path().filename().string());
    }
    if (ec) {
      return MakeError("file.list", aFolder, ec.value());
    }
    std::ranges::sort(names);
    return names;
  }

  Result<std::string> Read(const std::string& aPath) override
  {
    const Descriptor file(::open(aPath.c_str(), O_RDONLY | O_CLOEXEC));
    if (!file.IsOpen()) {
      return MakeError("file.open", aPath, errno);
    }
    std::string bytes;
    while (true) {
      const auto size = bytes.size();
      bytes.resize(size + kReadBytes);
      const auto n = ::read(file.Value(), bytes.data() + size, kReadBytes);
      const int code = errno;
      bytes.resize(size + static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
      if (n == 0) {
        return bytes;
      }
      if (n < 0 && code != EINTR) {
        return MakeError("file.read", aPath, code);
      }
    }
  }

  Result<std::unique_ptr<AppendFile>> Open(const std::string& aPath) override
  {
    const int descriptor = ::open(
      aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
    if (descriptor < 0) {
      return MakeError("file.open", aPath, errno);
    }
    return std::unique_ptr<AppendFile>(
      std::make_unique<PosixAppendFile>(aPath, descriptor));
  }

  Result<Unit> Rename(const std::string& aFrom, const std::string& aTo) override
  {
    if (::rename(aFrom.c_str(), aTo.c_str()) != 0) {
      return MakeError("file.rename", aTo, errno);
    }
    return Success();
  }

  Result<Unit> Remove(const std::string& aPath) override
  {
    if (::unlink(aPath.c_str()) != 0) {
      return MakeError("file.remove", aPath, errno);
    }
    return Success();
  }

  Result<Unit> SyncFolder(const std::string& aFolder) override
  {
    const Descriptor folder(
      ::open(aFolder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!folder.IsOpen() || ::fsync(folder.Value()) != 0) {
      return MakeError("file.sync-folder", aFolder, errno);
    }
    return Success();
  }

private:
  Result<Unit> SyncParents(std::filesystem::path aFolder)
  {
    while (aFolder.has_parent_path() && aFolder != aFolder.parent_path()) {
      aFolder = aFolder.parent_path();
      if (auto synced = SyncFolder(aFolder.string()); !synced) {
        return synced;
      }
    }
    return Success();
  }
};

} // namespace

std::unique_ptr<FileSystem> MakePosixFileSystem()
{
  return std::make_unique<PosixFileSystem>();
}

Result<Unit> ReplaceFile(FileSystem& aFiles, const std::string& aFolder,
                         const std::string& aName, std::string_view aBytes)
{
  const auto path = aFolder + "/" + aName;
  const auto temporary = path + std::string(kTemporarySuffix);
  auto file = aFiles.Open(temporary);
  if (!file) {
    return file.GetError();
  }
  // A leftover of an earlier attempt may be longer than the new content.
  auto result = (*file)->Truncate(0);
  result = result ? (*file)->Write(aBytes) : result;
  result = result ? (*file)->Sync() : result;
  result = result ? aFiles.Rename(temporary, path) : result;
  if (!result) {
    // Gives the space back; what fails here is found at the next start.
    static_cast<void>(aFiles.Remove(temporary));
    return result;
  }
  return aFiles.SyncFolder(aFolder);
}

} // namespace carobtide
