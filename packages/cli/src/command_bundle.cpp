#include "carobtide/bundle.hpp"
#include "carobtide/cli/command_options.hpp"
#include "carobtide/settings.hpp"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <ostream>

namespace carobtide {

namespace json = boost::json;

namespace {

/** Prints every fault as "FILE:LINE:COLUMN: PATH: EXPECTED". */
void PrintFaults(CommandContext& aContext, const std::string& aFile,
                 const std::vector<YamlFault>& aFaults)
{
  for (const YamlFault& fault : aFaults) {
    aContext.mErr << aFile << ":" << fault.ToString() << '\n';
  }
  aContext.mExit = ExitCode::Usage;
}

/** Reads a file; prints the error and returns nothing if that fails. */
std::optional<std::string> ReadInput(CommandContext& aContext,
                                     const std::string& aFile)
{
  auto text = ReadFile(aFile);
  if (!text) {
    FailWith(aContext, text.GetError());
    aContext.mExit = ExitCode::Usage;
    return std::nullopt;
  }
  return std::move(*text);
}

/** Reads and checks a bundle file; prints what is wrong with it. */
std::optional<Bundle> ReadBundle(CommandContext& aContext,
                                 const std::string& aFile, std::string& aText)
{
  auto text = ReadInput(aContext, aFile);
  if (!text) {
    return std::nullopt;
  }
  aText = std::move(*text);
  auto parsed = ParseBundle(aText);
  if (const auto* faults = std::get_if<std::vector<YamlFault>>(&parsed)) {
    PrintFaults(aContext, aFile, *faults);
    return std::nullopt;
  }
  return std::move(std::get<Bundle>(parsed));
}

void CheckSettings(CommandContext& aContext, const std::string& aFile)
{
  const auto text = ReadInput(aContext, aFile);
  if (!text) {
    return;
  }
  const auto parsed = ParseDaemonSettings(*text);
  if (const auto* faults = std::get_if<std::vector<YamlFault>>(&parsed)) {
    PrintFaults(aContext, aFile, *faults);
    return;
  }
  const auto& settings = std::get<DaemonSettings>(parsed);
  aContext.mOut << aFile << ": settings of " << settings.mName << " in "
                << settings.mFailureDomain << ", " << settings.mPeers.size()
                << " peers: no faults\n";
}

void CheckBundle(CommandContext& aContext, const std::string& aFile)
{
  std::string text;
  const auto bundle = ReadBundle(aContext, aFile, text);
  if (!bundle) {
    return;
  }
  std::size_t adapters = 0;
  for (const ModelSpec& model : bundle->mModels) {
    adapters += model.mAdapters.size();
  }
  aContext.mOut << aFile << ": bundle " << bundle->mName << " version "
                << bundle->mVersion << ", digest " << bundle->mDigest.ToHex()
                << ", " << bundle->mModels.size() << " models, " << adapters
                << " adapters, " << bundle->mServices.size() << " services, "
                << bundle->mCallers.size() << " callers: no faults\n";
}

void Submit(CommandContext& aContext, const OperatorOptions& aOptions,
            const std::string& aFile)
{
  std::string text;
  if (!ReadBundle(aContext, aFile, text)) {
    return;
  }
  const ApiClient client(aOptions.mApi);
  PrintAnswer(aContext, client.Call("POST", "/bundles", text), aOptions.mJson);
}

/** Options of sign-off and roll. */
struct VersionOptions
{
  OperatorOptions mOperator;
  std::string mName;
  std::uint64_t mVersion = 0;
  /** Bundle file whose digest is meant. */
  std::string mFile;
  /** The digest itself. */
  std::string mDigest;
};

/** Whether a listed bundle is the one that is meant. */
bool IsVersion(const json::value& aItem, const VersionOptions& aOptions)
{
  if (!aItem.is_object()) {
    return false;
  }
  const json::object& item = aItem.get_object();
  const json::value* name = item.if_contains("name");
  const json::value* version = item.if_contains("version");
  json::error_code ec;
  return name != nullptr && version != nullptr && name->is_string() &&
         std::string_view(name->get_string()) == aOptions.mName &&
         version->to_number<std::uint64_t>(ec) == aOptions.mVersion && !ec;
}

/** The digest that the daemons list for a version, which is shown first. */
Result<std::string> FetchDigest(CommandContext& aContext,
                                const ApiClient& aClient,
                                const VersionOptions& aOptions)
{
  const auto answer = aClient.Call("GET", "/bundles");
  if (!answer) {
    return answer.GetError();
  }
  json::error_code ec;
  json::value list = json::parse(answer->mBody, ec);
  if (!ec && list.is_object() && list.get_object().contains("bundles")) {
    json::value inner = list.get_object().at("bundles");
    list = std::move(inner);
  }
  if (!ec && list.is_array()) {
    for (const json::value& item : list.get_array()) {
      const json::value* digest = IsVersion(item, aOptions)
                                    ? item.get_object().if_contains("digest")
                                    : nullptr;
      if (digest != nullptr && digest->is_string()) {
        aContext.mErr << "bundle " << json::serialize(item) << '\n';
        return std::string(digest->get_string());
      }
    }
  }
  return Error{ ErrorCode::NotFound, "bundle.find", answer->mDaemon.ToString(),
                aOptions.mName + " version " +
                  std::to_string(aOptions.mVersion) };
}

/** The digest from the option, the file or the daemons, in that order. */
std::optional<std::string> DigestFor(CommandContext& aContext,
                                     const ApiClient& aClient,
                                     const VersionOptions& aOptions)
{
  if (!aOptions.mDigest.empty()) {
    return aOptions.mDigest;
  }
  if (!aOptions.mFile.empty()) {
    std::string text;
    const auto bundle = ReadBundle(aContext, aOptions.mFile, text);
    return bundle ? std::optional(bundle->mDigest.ToHex()) : std::nullopt;
  }
  auto fetched = FetchDigest(aContext, aClient, aOptions);
  if (!fetched) {
    FailWith(aContext, fetched.GetError());
    return std::nullopt;
  }
  return std::move(*fetched);
}

void PutVersion(CommandContext& aContext, const VersionOptions& aOptions,
                const std::string& aVerb)
{
  const ApiClient client(aOptions.mOperator.mApi);
  const auto digest = DigestFor(aContext, client, aOptions);
  if (!digest) {
    return;
  }
  const std::string target = "/bundles/" + aOptions.mName + "/" +
                             std::to_string(aOptions.mVersion) + "/" + aVerb +
                             "?digest=" + *digest;
  PrintAnswer(aContext, client.Call("PUT", target), aOptions.mOperator.mJson);
}

void AddVersionCommand(CLI::App& aParent, CommandContext& aContext,
                       const std::string& aVerb, const std::string& aHelp)
{
  CLI::App* command = aParent.add_subcommand(aVerb, aHelp);
  auto options = std::make_shared<VersionOptions>();
  AddOperatorOptions(*command, options->mOperator);
  command->add_option("NAME", options->mName, "Bundle name")->required();
  command->add_option("VERSION", options->mVersion, "Bundle version")
    ->required();
  command->add_option("--file", options->mFile,
                      "Take the digest from this bundle file");
  command->add_option("--digest", options->mDigest, "The digest that is meant");
  command->callback(
    [options, aVerb, &aContext] { PutVersion(aContext, *options, aVerb); });
}

void AddFileCommand(CLI::App& aParent, CommandContext& aContext,
                    const std::string& aHelp,
                    void (*aRun)(CommandContext&, const std::string&))
{
  CLI::App* check = aParent.add_subcommand("check", aHelp);
  auto file = std::make_shared<std::string>();
  check->add_option("FILE", *file, "The file")->required();
  check->callback([file, aRun, &aContext] { aRun(aContext, *file); });
}

} // namespace

void AddSettingsCommands(CLI::App& aApp, CommandContext& aContext)
{
  CLI::App* settings =
    aApp.add_subcommand("settings", "A daemon's settings file");
  settings->require_subcommand(1);
  AddFileCommand(*settings, aContext, "Report every fault of a settings file",
                 CheckSettings);
}

void AddBundleCommands(CLI::App& aApp, CommandContext& aContext)
{
  CLI::App* bundle =
    aApp.add_subcommand("bundle", "Bundles and their versions");
  bundle->require_subcommand(1);
  AddFileCommand(*bundle, aContext, "Report every fault of a bundle file",
                 CheckBundle);

  CLI::App* submit = bundle->add_subcommand("submit", "Store a bundle version");
  auto options = std::make_shared<OperatorOptions>();
  auto file = std::make_shared<std::string>();
  AddOperatorOptions(*submit, *options);
  submit->add_option("FILE", *file, "Bundle file")->required();
  submit->callback(
    [options, file, &aContext] { Submit(aContext, *options, *file); });

  AddVersionCommand(*bundle, aContext, "sign-off", "Sign a version off");
  AddVersionCommand(*bundle, aContext, "roll", "Roll a signed-off version out");

  CLI::App* show =
    bundle->add_subcommand("show", "List versions, or the one in force");
  auto showOptions = std::make_shared<OperatorOptions>();
  auto inForce = std::make_shared<bool>(false);
  AddOperatorOptions(*show, *showOptions);
  show->add_flag("--in-force", *inForce, "Only the version in force");
  show->callback([showOptions, inForce, &aContext] {
    const ApiClient client(showOptions->mApi);
    const char* target = *inForce ? "/bundles/in-force" : "/bundles";
    PrintAnswer(aContext, client.Call("GET", target), showOptions->mJson);
  });
}

} // namespace carobtide
