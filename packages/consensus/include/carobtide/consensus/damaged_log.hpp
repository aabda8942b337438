#pragma once

/**
 * @file
 * What becomes of a stored log that is damaged.
 */

#include "carobtide/consensus/file_system.hpp"

#include <string>
#include <string_view>

namespace carobtide {

/** Folder inside a log's folder that holds the files of a damaged log. */
inline constexpr std::string_view kDamagedLogFolder = "damaged";

/**
 * Moves the files of a log to kDamagedLogFolder, in place of what is there, so
 * that the replica may start as one with an empty disk and a new identity.
 * A crash midway leaves a log that is damaged as well, never one that looks
 * whole.
 *
 * Precondition: Recover has failed with ErrorCode::Corrupt: a checksum does not
 * match or a file is missing. Not for files of another format, which the build
 * that wrote them can read. Thread safety: none. Errors: those of FileSystem.
 */
Result<Unit> SetLogAside(FileSystem& aFiles, const std::string& aFolder);

/**
 * True if a log was set aside in this folder: the replica has lost what it
 * knew, so it must not found a group again.
 */
Result<bool> HasSetLogAside(FileSystem& aFiles, const std::string& aFolder);

} // namespace carobtide
