#pragma once

/**
 * @file
 * The file operations that durable state needs, behind an interface, so that
 * tests can fail or cut off each one.
 */

#include "carobtide/base/result.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace carobtide {

/** A file that grows at its end. Thread safety: none. */
class AppendFile
{
public:
  virtual ~AppendFile() = default;

  /** Appends all bytes; after an error any part may have been written. */
  virtual Result<Unit> Write(std::string_view aBytes) = 0;
  /** Makes content and size durable. */
  virtual Result<Unit> Sync() = 0;
  /** Cuts the file to a size, which need not be durable at once. */
  virtual Result<Unit> Truncate(std::uint64_t aSize) = 0;
};

/**
 * File operations by path. Errors carry the path as their peer; a full disk
 * is ErrorCode::DiskFull, anything else ErrorCode::Io.
 *
 * Thread safety: none.
 */
class FileSystem
{
public:
  virtual ~FileSystem() = default;

  /** Creates a folder and its parents durably unless they exist. */
  virtual Result<Unit> MakeFolder(const std::string& aFolder) = 0;
  /** The names of the files in a folder, sorted. */
  virtual Result<std::vector<std::string>> List(const std::string& aFolder) = 0;
  virtual Result<std::string> Read(const std::string& aPath) = 0;
  /** Opens for appending; creates the file if there is none. */
  virtual Result<std::unique_ptr<AppendFile>> Open(
    const std::string& aPath) = 0;
  virtual Result<Unit> Rename(const std::string& aFrom,
                              const std::string& aTo) = 0;
  virtual Result<Unit> Remove(const std::string& aPath) = 0;
  /** Makes creations, renames and removals in a folder durable. */
  virtual Result<Unit> SyncFolder(const std::string& aFolder) = 0;
};

/** The operating system's files. */
std::unique_ptr<FileSystem> MakePosixFileSystem();

/**
 * Writes a whole file so that, after a crash at any moment, it holds either
 * its former or its new content: temporary file, sync, rename, folder sync.
 */
Result<Unit> ReplaceFile(FileSystem& aFiles, const std::string& aFolder,
                         const std::string& aName, std::string_view aBytes);

/** Files that ReplaceFile has not finished carry this suffix. */
inline constexpr std::string_view kTemporarySuffix = ".tmp";

} // namespace carobtide
