// Arbitrary bytes in the files of a log: recovery succeeds, says Corrupt, or
// Unsupported where whole frames hold something else.

#include "../src/file_log_storage.hpp"
#include "../src/frame.hpp"

#include <cstdint>
#include <cstdlib>
#include <map>

using namespace carobtide;

namespace {

const std::string kFolder = "log";

/** Accepts every change and forgets it. */
class NullFile : public AppendFile
{
public:
  Result<Unit> Write(std::string_view /*aBytes*/) override { return Success(); }
  Result<Unit> Sync() override { return Success(); }
  Result<Unit> Truncate(std::uint64_t /*aSize*/) override { return Success(); }
};

/** A folder with fixed content. */
class FixedFiles : public FileSystem
{
public:
  explicit FixedFiles(std::map<std::string, std::string> aFiles)
    : mFiles(std::move(aFiles))
  {
  }

  Result<Unit> MakeFolder(const std::string& /*aFolder*/) override
  {
    return Success();
  }
  Result<std::vector<std::string>> List(const std::string& /*aFolder*/) override
  {
    std::vector<std::string> names;
    for (const auto& [name, content] : mFiles) {
      names.push_back(name);
    }
    return names;
  }
  Result<std::string> Read(const std::string& aPath) override
  {
    return mFiles.at(aPath.substr(kFolder.size() + 1));
  }
  Result<std::unique_ptr<AppendFile>> Open(
    const std::string& /*aPath*/) override
  {
    return std::unique_ptr<AppendFile>(std::make_unique<NullFile>());
  }
  Result<Unit> Rename(const std::string& /*aFrom*/,
                      const std::string& /*aTo*/) override
  {
    return Success();
  }
  Result<Unit> Remove(const std::string& /*aPath*/) override
  {
    return Success();
  }
  Result<Unit> SyncFolder(const std::string& /*aFolder*/) override
  {
    return Success();
  }

private:
  std::map<std::string, std::string> mFiles;
};

/** Splits the input into frames, so that the fuzzer gets past checksums. */
std::string MakeFile(std::string_view aInput, std::uint64_t aFileId)
{
  std::string file;
  while (!aInput.empty()) {
    const auto length = static_cast<std::uint8_t>(aInput.front());
    aInput.remove_prefix(1);
    file += MakeFrame(aInput.substr(0, length), aFileId, file.size());
    aInput.remove_prefix(std::min<std::size_t>(length, aInput.size()));
  }
  return file;
}

} // namespace

/** Input: the first byte picks the layout, the rest fills the segment. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize)
{
  std::string_view input(reinterpret_cast<const char*>(aData), aSize);
  if (input.empty()) {
    return 0;
  }
  const auto layout = static_cast<std::uint8_t>(input.front());
  input.remove_prefix(1);
  const bool framed = (layout & 1) != 0;
  const auto fill = [&](std::uint64_t aFileId) {
    return framed ? MakeFile(input, aFileId) : std::string(input);
  };
  std::map<std::string, std::string> files;
  files["segment-0000000000000001"] = fill(1);
  if ((layout & 2) != 0) {
    files["snapshot-0000000000000001"] = fill(1);
  }
  if ((layout & 4) != 0) {
    files["identity"] = fill(0);
  }
  FileLogStorage storage(std::make_unique<FixedFiles>(std::move(files)),
                         kFolder);
  const auto state = storage.Recover();
  // Only frames whose checksums match may be of another format.
  const bool isExpected = state.Code() == ErrorCode::Corrupt ||
                          (framed && state.Code() == ErrorCode::Unsupported);
  if (!state && !isExpected) {
    std::abort();
  }
  return 0;
}
