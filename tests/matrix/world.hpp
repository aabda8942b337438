#pragma once

/**
 * @file
 * One run: daemons, targets, callers and operators, and what they do.
 */

#include "checker.hpp"
#include "daemon.hpp"
#include "simulation.hpp"
#include "target.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carobtide::matrix {

/** A defect planted to see that the checker notices it. */
enum class Mutation : std::uint8_t
{
  None,
  SendsUnreservedLoad,
  UnloadsLastCopy,
  CrossesAnswers,
  EndsCutAnswer,
  SaysNotRunAfterDispatch,
  GrantsTwice,
  RetriesOrder,
  IgnoresLeaving,
  StopsWithWorkInFlight,
  TakesLowerEpoch,
  IgnoresConfiguration,
  ForgetsEntries,
  NeverSettles,
};

inline constexpr EnumTable<Mutation, 14> kMutations{ { {
  { Mutation::None, "none" },
  { Mutation::SendsUnreservedLoad, "a load is sent without reservation" },
  { Mutation::UnloadsLastCopy, "the last copy of a model is unloaded" },
  { Mutation::CrossesAnswers, "chunks of two attempts are crossed" },
  { Mutation::EndsCutAnswer, "a cut answer is ended as if whole" },
  { Mutation::SaysNotRunAfterDispatch, "not-run is said after dispatch" },
  { Mutation::GrantsTwice, "the ledger grants a claimed key again" },
  { Mutation::RetriesOrder, "a broken order is sent to another target" },
  { Mutation::IgnoresLeaving, "routing ignores that a target leaves" },
  { Mutation::StopsWithWorkInFlight, "a planned stop doesn't wait" },
  { Mutation::TakesLowerEpoch, "a daemon takes a lower epoch" },
  { Mutation::IgnoresConfiguration, "a daemon ignores pushed epochs" },
  { Mutation::ForgetsEntries, "entries are acknowledged, not stored" },
  { Mutation::NeverSettles, "completions are dropped" },
} } };

/** The result of one run. */
struct RunResult
{
  std::vector<Violation> mViolations;
  bool mFired = false;
  /** How often each step was carried out while callers came. */
  std::array<std::uint64_t, kStepCount> mCounts{};
};

/**
 * A run of five daemons (three voters, a spare with a disk, one without),
 * four engines and two services through two rolls, a leaving engine, a voter
 * that is away for long and a planned stop of the leader.
 *
 * Thread safety: none; runs are independent of each other.
 */
class World
{
public:
  World(std::uint64_t aSeed, std::optional<Injection> aInjection,
        Mutation aMutation);

  RunResult Run();

  /** Stores a command; its number stands for it in log entries. */
  std::string Encode(Command aCommand);
  const Command& Decode(const std::string& aEntry) const;

  std::uint64_t NextNumber() { return ++mLastNumber; }
  DaemonProcess* FindReplica(ReplicaId aReplica);
  TargetProcess* FindTarget(const TargetName& aName);
  std::size_t CountServing(const ModelName& aModel) const;
  /** A target is about to lose its memory. */
  void NoteLoss(const TargetProcess& aTarget);
  /** An unload, sent at some time, took the only copy of a model. */
  void OnLastUnloaded(const ModelName& aModel, Instant aSentAt);
  /** A daemon answered the caller of a key. */
  void OnOrderAnswered(const std::string& aKey, const AnswerCaller& aAnswer,
                       std::uint64_t aSubmission);

  Mutation mMutation;
  Simulation mSim;
  Checker mChecker;
  std::vector<std::unique_ptr<DaemonProcess>> mDaemons;
  std::vector<std::unique_ptr<TargetProcess>> mTargets;

private:
  /** What an operator wants done, resent until it is answered. */
  struct OperatorAction
  {
    Step mStep = Step::Submit;
    BundleCommand mCommand;
  };

  void Script();
  void CallModels();
  void SendOrders();
  /** Hands an order in at any daemon. */
  void Resend(const std::string& aKey);
  void SubmitOrder(const std::string& aKey, int aTries);
  void Operate(std::deque<OperatorAction> aActions, int aTries);
  std::deque<OperatorAction> ActionsFor(const std::string& aText,
                                        std::uint64_t aVersion);
  void StopLeader();
  void CheckServing();
  void CheckLeases();
  /** The configuration in force gets to every healthy daemon in time. */
  void CheckSpread();
  void CheckEnd();
  void CheckEndOfState(const DaemonProcess& aLeader);
  DaemonProcess* Leader();
  std::vector<ModelName> ModelsInForce();
  void Mutate();

  std::vector<Command> mCommands;
  std::uint64_t mLastNumber = 0;
  std::map<std::string, bool> mOrders;
  std::map<ModelName, Instant> mLosses;
  std::set<ModelName> mServed;
  bool mCallersDone = false;
  const DaemonProcess* mSpreadFrom = nullptr;
  Epoch mSpreadEpoch;
  Instant mSpreadSince;
  std::map<std::size_t, Instant> mHealthySince;
  std::array<std::uint64_t, kStepCount> mCounts{};
};

} // namespace carobtide::matrix
