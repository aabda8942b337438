#include "carobtide/cli/command_options.hpp"
#include "carobtide/cli/timeline.hpp"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include <memory>
#include <ostream>

namespace carobtide {

namespace json = boost::json;

namespace {

void AddGetCommand(CLI::App& aParent, CommandContext& aContext,
                   const std::string& aName, const std::string& aTarget,
                   const std::string& aHelp)
{
  CLI::App* command = aParent.add_subcommand(aName, aHelp);
  auto options = std::make_shared<OperatorOptions>();
  AddOperatorOptions(*command, *options);
  command->callback([options, aTarget, &aContext] {
    const ApiClient client(options->mApi);
    PrintAnswer(aContext, client.Call("GET", aTarget), options->mJson);
  });
}

/** Options of a change of members. */
struct MemberOptions
{
  OperatorOptions mOperator;
  std::string mDaemon;
  std::uint64_t mReplica = 0;
  std::string mFailureDomain;
};

CLI::App* AddMemberChange(CLI::App& aParent, CommandContext& aContext,
                          const std::string& aAction, const std::string& aHelp,
                          const std::shared_ptr<MemberOptions>& aOptions)
{
  CLI::App* command = aParent.add_subcommand(aAction, aHelp);
  AddOperatorOptions(*command, aOptions->mOperator);
  command
    ->add_option("REPLICA", aOptions->mReplica,
                 "Replica id, as member list and status show it")
    ->required();
  command->callback([aOptions, aAction, &aContext] {
    const ApiClient client(aOptions->mOperator.mApi);
    const json::object body{ { "action", aAction },
                             { "replica", std::to_string(aOptions->mReplica) },
                             { "daemon", aOptions->mDaemon },
                             { "failure_domain", aOptions->mFailureDomain } };
    PrintAnswer(aContext,
                client.Call("POST", "/members", json::serialize(body)),
                aOptions->mOperator.mJson);
  });
  return command;
}

void AddMemberCommands(CLI::App& aApp, CommandContext& aContext)
{
  CLI::App* member = aApp.add_subcommand("member", "Voters of the control log");
  member->require_subcommand(1);
  AddGetCommand(*member, aContext, "list", "/members", "List the members");
  const auto options = std::make_shared<MemberOptions>();
  CLI::App* add = AddMemberChange(*member, aContext, "add",
                                  "Add a replica as a learner", options);
  add->add_option("--name", options->mDaemon, "Its daemon")->required();
  add
    ->add_option("--failure-domain", options->mFailureDomain,
                 "The daemon's failure domain")
    ->required();
  AddMemberChange(*member, aContext, "promote",
                  "Let a learner that has caught up vote",
                  std::make_shared<MemberOptions>());
  AddMemberChange(*member, aContext, "remove", "Remove a replica",
                  std::make_shared<MemberOptions>());
}

/** Options of the time line. */
struct TimelineOptions
{
  OperatorOptions mOperator;
  std::uint64_t mRequest = 0;
  std::uint64_t mOrder = 0;
  std::int64_t mSinceMicros = 0;
  std::string mFormat = "text";
  std::string mOutput;
};

/**
 * Events of every daemon that answers; the silent ones are named on the error
 * stream, since their part of the time line is missing.
 */
std::vector<std::vector<Event>> FetchTimelines(CommandContext& aContext,
                                               const TimelineOptions& aOptions)
{
  const ApiClient client(aOptions.mOperator.mApi);
  const std::string target =
    "/timeline?since=" + std::to_string(aOptions.mSinceMicros);
  std::vector<std::vector<Event>> timelines;
  for (const auto& answer : client.CallAll("GET", target)) {
    if (!answer) {
      FailWith(aContext, answer.GetError());
      continue;
    }
    auto events = ParseTimeline(answer->mBody);
    if (!events) {
      Error error = events.GetError();
      error.mPeer = answer->mDaemon.ToString();
      FailWith(aContext, error);
      continue;
    }
    timelines.push_back(std::move(*events));
  }
  if (!timelines.empty() && aContext.mExit == ExitCode::Unreachable) {
    aContext.mExit = ExitCode::Ok;
  }
  return timelines;
}

void ShowTimeline(CommandContext& aContext, const TimelineOptions& aOptions)
{
  const auto timelines = FetchTimelines(aContext, aOptions);
  if (timelines.empty()) {
    return;
  }
  const TimelineFilter filter{ RequestId(aOptions.mRequest),
                               OrderId(aOptions.mOrder),
                               aOptions.mSinceMicros };
  auto events = MergeTimelines(timelines);
  std::erase_if(events,
                [&](const Event& aEvent) { return !Matches(aEvent, filter); });
  const auto format =
    aOptions.mOperator.mJson
      ? TimelineFormat::Json
      : kTimelineFormats.Find(aOptions.mFormat).value_or(TimelineFormat::Text);
  const std::string text = RenderTimeline(events, format);
  if (aOptions.mOutput.empty()) {
    aContext.mOut << text;
    return;
  }
  const auto written = WriteFile(aOptions.mOutput, text);
  if (!written) {
    FailWith(aContext, written.GetError());
  }
}

} // namespace

void AddStatusCommands(CLI::App& aApp, CommandContext& aContext)
{
  AddGetCommand(aApp, aContext, "status", "/status",
                "State of a daemon and of the control log");
  AddGetCommand(aApp, aContext, "targets", "/targets",
                "Targets that announced themselves");
  AddGetCommand(aApp, aContext, "placement", "/placement",
                "Which model is resident where, and open orders");
  AddMemberCommands(aApp, aContext);
}

void AddTimelineCommand(CLI::App& aApp, CommandContext& aContext)
{
  CLI::App* timeline =
    aApp.add_subcommand("timeline", "Events of all daemons in causal order");
  auto options = std::make_shared<TimelineOptions>();
  AddOperatorOptions(*timeline, options->mOperator);
  timeline->add_option("--request", options->mRequest, "Only this request");
  timeline->add_option("--order", options->mOrder, "Only this order");
  timeline->add_option("--since", options->mSinceMicros,
                       "Only events at or after this time, in microseconds "
                       "since the Unix epoch");
  timeline->add_option("--format", options->mFormat, "text, json or html")
    ->check(CLI::IsMember({ "text", "json", "html" }))
    ->capture_default_str();
  timeline->add_option("--output", options->mOutput, "Write to this file");
  timeline->callback(
    [options, &aContext] { ShowTimeline(aContext, *options); });
}

} // namespace carobtide
