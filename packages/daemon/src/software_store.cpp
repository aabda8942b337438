#include "software_store.hpp"

#include "carobtide/base/codec.hpp"
#include "carobtide/transport/frame.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace carobtide {

namespace {

constexpr std::string_view kRecordName = "record";
constexpr std::string_view kStreamsPrefix = "streams-";
/** A record that could not be written is tried again after this time. */
constexpr Duration kRetryInterval = std::chrono::seconds(1);
/** Streams that wait for the disk; what goes beyond is not kept. */
constexpr std::size_t kMaxWaitingBytes = std::size_t{ 1 } << 20;

std::string MakeFrameOf(const std::string& aBytes)
{
  return EncodeFrame(static_cast<std::uint16_t>(FleetMessageType::StreamNotice),
                     0, aBytes);
}

/** Takes the first frame off; nothing if it is cut short or damaged. */
std::optional<std::string_view> TakeFrame(std::string_view& aBytes)
{
  const auto header = DecodeFrameHeader(aBytes);
  if (!header || aBytes.size() - kFrameHeaderBytes < header->mLength) {
    return std::nullopt;
  }
  const std::string_view payload =
    aBytes.substr(kFrameHeaderBytes, header->mLength);
  if (!CheckFramePayload(*header, payload)) {
    return std::nullopt;
  }
  aBytes.remove_prefix(kFrameHeaderBytes + header->mLength);
  return payload;
}

std::optional<std::uint64_t> NumberOf(std::string_view aName)
{
  if (!aName.starts_with(kStreamsPrefix)) {
    return std::nullopt;
  }
  aName.remove_prefix(kStreamsPrefix.size());
  std::uint64_t number = 0;
  const auto [end, ec] =
    std::from_chars(aName.data(), aName.data() + aName.size(), number);
  return ec == std::errc() && end == aName.data() + aName.size()
           ? std::optional(number)
           : std::nullopt;
}

/** The numbers of the files of streams, in order. */
std::vector<std::uint64_t> StreamFiles(const std::vector<std::string>& aNames)
{
  std::vector<std::uint64_t> numbers;
  for (const std::string& name : aNames) {
    if (const auto number = NumberOf(name)) {
      numbers.push_back(*number);
    }
  }
  std::ranges::sort(numbers);
  return numbers;
}

} // namespace

SoftwareStore::SoftwareStore(std::unique_ptr<FileSystem> aFiles,
                             std::string aFolder, FailureHandler aOnFailure)
  : mFiles(std::move(aFiles))
  , mFolder(std::move(aFolder))
  , mOnFailure(std::move(aOnFailure))
{
}

SoftwareStore::~SoftwareStore()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

std::string SoftwareStore::PathOf(std::uint64_t aNumber) const
{
  return mFolder + "/" + std::string(kStreamsPrefix) + std::to_string(aNumber);
}

StoredSoftware SoftwareStore::Load()
{
  StoredSoftware stored;
  const auto made = mFiles->MakeFolder(mFolder);
  const auto names = made ? mFiles->List(mFolder)
                          : Result<std::vector<std::string>>(made.GetError());
  if (!names) {
    mOnFailure(names.GetError());
    return stored;
  }
  // The last process may have ended before it synced its changes.
  if (auto synced = mFiles->SyncFolder(mFolder); !synced) {
    mOnFailure(synced.GetError());
  }
  if (std::ranges::find(*names, kRecordName) != names->end()) {
    const std::string path = mFolder + "/" + std::string(kRecordName);
    const auto bytes = mFiles->Read(path);
    std::string_view rest = bytes ? std::string_view(*bytes) : "";
    const auto payload = TakeFrame(rest);
    auto record = payload ? Decode<SoftwareRecord>(*payload, path)
                          : Result<SoftwareRecord>(Error{
                              ErrorCode::Corrupt, "software.load", path, "" });
    if (record && record->mFormat == SoftwareRecord::kFormat) {
      stored.mRecord = std::move(*record);
    } else {
      mOnFailure(record ? Error{ ErrorCode::Unsupported, "software.load", path,
                                 "format " + std::to_string(record->mFormat) }
                        : record.GetError());
    }
  }
  for (const std::uint64_t number : StreamFiles(*names)) {
    const auto bytes = mFiles->Read(PathOf(number));
    if (!bytes) {
      mOnFailure(bytes.GetError());
      continue;
    }
    std::string_view rest = *bytes;
    while (const auto payload = TakeFrame(rest)) {
      if (auto notice = Decode<StreamNotice>(*payload, PathOf(number))) {
        stored.mNotices.push_back(std::move(*notice));
      }
    }
    // Never appended to again: its end may be cut short.
    mNumber = number + 1;
  }
  mWindowNumber = mNumber;
  return stored;
}

void SoftwareStore::Start()
{
  mThread = std::thread([this] { Run(); });
}

void SoftwareStore::Save(const SoftwareRecord& aRecord)
{
  const std::lock_guard lock(mMutex);
  mWaiting.mRecord = MakeFrameOf(Encode(aRecord));
  mWake.notify_all();
}

void SoftwareStore::Append(const StreamNotice& aNotice)
{
  const std::lock_guard lock(mMutex);
  if (mWaiting.mStreams.size() < kMaxWaitingBytes) {
    mWaiting.mStreams += MakeFrameOf(Encode(aNotice));
    mWake.notify_all();
  }
}

void SoftwareStore::Rotate()
{
  const std::lock_guard lock(mMutex);
  mWaiting.mRotates = true;
  mWake.notify_all();
}

void SoftwareStore::Run()
{
  std::unique_lock lock(mMutex);
  while (true) {
    mWake.wait(lock, [this] { return mStopping || !mWaiting.IsEmpty(); });
    Work work = std::exchange(mWaiting, {});
    if (work.IsEmpty()) {
      return;
    }
    lock.unlock();
    Work failed = Perform(std::move(work));
    lock.lock();
    const bool isFailed = !failed.IsEmpty();
    if (isFailed && !mWaiting.mRecord) {
      mWaiting.mRecord = std::move(failed.mRecord);
    }
    const auto isStopping = [this] { return mStopping; };
    if (mWake.wait_for(lock, isFailed ? kRetryInterval : kSyncInterval,
                       isStopping) &&
        isFailed) {
      return;
    }
  }
}

SoftwareStore::Work SoftwareStore::Perform(Work aWork)
{
  Work failed;
  auto result = Success();
  if (aWork.mRecord) {
    result = WriteRecord(*aWork.mRecord);
    if (!result) {
      failed.mRecord = std::move(aWork.mRecord);
    }
  }
  if (aWork.mRotates) {
    auto removed = RemoveBefore(mWindowNumber);
    result = result ? std::move(removed) : std::move(result);
    BeginFile();
    mWindowNumber = mNumber;
    mWindowBytes = 0;
  }
  if (!aWork.mStreams.empty()) {
    auto written = WriteStreams(aWork.mStreams);
    result = result ? std::move(written) : std::move(result);
  }
  if (!result && !std::exchange(mIsFailing, true)) {
    mOnFailure(result.GetError());
  }
  mIsFailing = mIsFailing && !result;
  return failed;
}

void SoftwareStore::BeginFile()
{
  if (mFile != nullptr) {
    mFile.reset();
    ++mNumber;
  }
}

std::unique_ptr<AppendFile> SoftwareStore::OpenRecord()
{
  const auto names = mFiles->List(mFolder);
  if (!names || std::ranges::find(*names, kRecordName) == names->end()) {
    return nullptr;
  }
  auto file = mFiles->Open(mFolder + "/" + std::string(kRecordName));
  return file ? std::move(*file) : nullptr;
}

Result<Unit> SoftwareStore::WriteRecord(const std::string& aBytes)
{
  // The disk may have been full when the store was loaded.
  auto written = mFiles->MakeFolder(mFolder);
  const auto outdated = OpenRecord();
  written = written
              ? ReplaceFile(*mFiles, mFolder, std::string(kRecordName), aBytes)
              : std::move(written);
  if (!written) {
    DiscardRecord(outdated.get());
  }
  return written;
}

void SoftwareStore::DiscardRecord(AppendFile* aOutdated)
{
  // Either of emptying the file and removing its name suffices, and a broken
  // disk may refuse one of them. The name may already be that of a new file,
  // and a loss of power may give it back to the old one.
  const auto named = OpenRecord();
  for (AppendFile* file : { aOutdated, named.get() }) {
    if (file != nullptr && file->Truncate(0)) {
      static_cast<void>(file->Sync());
    }
  }
  static_cast<void>(mFiles->Remove(mFolder + "/" + std::string(kRecordName)));
  // Also if there was none: an earlier removal may not have been synced.
  static_cast<void>(mFiles->SyncFolder(mFolder));
}

Result<Unit> SoftwareStore::WriteStreams(const std::string& aBytes)
{
  if (mWindowBytes + aBytes.size() > kMaxWindowBytes) {
    return MakeError(ErrorCode::TooLarge, "software.append", PathOf(mNumber),
                     "streams are not kept until the next window");
  }
  if (mFile == nullptr) {
    if (auto made = mFiles->MakeFolder(mFolder); !made) {
      return made;
    }
    auto file = mFiles->Open(PathOf(mNumber));
    if (!file) {
      return file.GetError();
    }
    if (auto synced = mFiles->SyncFolder(mFolder); !synced) {
      return synced;
    }
    mFile = std::move(*file);
  }
  mWindowBytes += aBytes.size();
  auto written = mFile->Write(aBytes);
  written = written ? mFile->Sync() : std::move(written);
  if (!written) {
    // A part of it may stand there, and would hide what follows.
    BeginFile();
  }
  return written;
}

Result<Unit> SoftwareStore::RemoveBefore(std::uint64_t aNumber)
{
  const auto names = mFiles->List(mFolder);
  if (!names) {
    return names.GetError();
  }
  for (const std::uint64_t number : StreamFiles(*names)) {
    if (number < aNumber) {
      if (auto removed = mFiles->Remove(PathOf(number)); !removed) {
        return removed;
      }
    }
  }
  return Success();
}

} // namespace carobtide
