#pragma once

/**
 * @file
 * The rows and the columns of the fault matrix, and which cells make sense.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace carobtide::matrix {

/** A step of the system at which a fault can be injected. */
enum class Step : std::uint8_t
{
  VoteRequest,
  VoteReply,
  AppendRequest,
  AppendReply,
  SnapshotChunk,
  SnapshotReply,
  TimeoutNow,
  PersistVote,
  PersistEntries,
  PersistSnapshot,
  LoadPropose,
  LoadCommit,
  LoadSend,
  LoadConfirm,
  UnloadPropose,
  UnloadCommit,
  UnloadSend,
  UnloadConfirm,
  Announce,
  AnnounceLeaving,
  AttemptDispatch,
  AttemptFirstByte,
  AttemptChunk,
  AttemptEnd,
  Claim,
  CommandOutcome,
  OrderDispatch,
  OrderAnswer,
  Complete,
  Release,
  Abandon,
  Submit,
  SignOff,
  Roll,
  FinishRoll,
  EpochPush,
  AddLearner,
  Promote,
  RemoveMember,
};

inline constexpr EnumTable<Step, 39> kSteps{ { {
  { Step::VoteRequest, "vote request" },
  { Step::VoteReply, "vote reply" },
  { Step::AppendRequest, "append request" },
  { Step::AppendReply, "append reply" },
  { Step::SnapshotChunk, "snapshot chunk" },
  { Step::SnapshotReply, "snapshot reply" },
  { Step::TimeoutNow, "timeout now" },
  { Step::PersistVote, "fsync vote" },
  { Step::PersistEntries, "fsync entries" },
  { Step::PersistSnapshot, "fsync snapshot" },
  { Step::LoadPropose, "load propose" },
  { Step::LoadCommit, "load commit" },
  { Step::LoadSend, "load send" },
  { Step::LoadConfirm, "load confirm" },
  { Step::UnloadPropose, "unload propose" },
  { Step::UnloadCommit, "unload commit" },
  { Step::UnloadSend, "unload send" },
  { Step::UnloadConfirm, "unload confirm" },
  { Step::Announce, "announce" },
  { Step::AnnounceLeaving, "announce leaving" },
  { Step::AttemptDispatch, "attempt dispatch" },
  { Step::AttemptFirstByte, "attempt first byte" },
  { Step::AttemptChunk, "attempt chunk" },
  { Step::AttemptEnd, "attempt end" },
  { Step::Claim, "ledger claim" },
  { Step::CommandOutcome, "command outcome" },
  { Step::OrderDispatch, "ledger dispatch" },
  { Step::OrderAnswer, "service answer" },
  { Step::Complete, "ledger complete" },
  { Step::Release, "ledger release" },
  { Step::Abandon, "ledger abandon" },
  { Step::Submit, "bundle submit" },
  { Step::SignOff, "bundle sign-off" },
  { Step::Roll, "bundle roll" },
  { Step::FinishRoll, "bundle finish" },
  { Step::EpochPush, "epoch push" },
  { Step::AddLearner, "member add" },
  { Step::Promote, "member promote" },
  { Step::RemoveMember, "member remove" },
} } };

inline constexpr std::size_t kStepCount = 39;

/** What goes wrong at a step. */
enum class Fault : std::uint8_t
{
  Lost,
  Late,
  Twice,
  Reordered,
  DiesBefore,
  DiesAfter,
  CutOneWay,
  CutBothWays,
  DiskFull,
  DiskLost,
  LongPause,
  ClockJump,
  TwoAtOnce,
};

inline constexpr EnumTable<Fault, 13> kFaults{ { {
  { Fault::Lost, "lost" },
  { Fault::Late, "late" },
  { Fault::Twice, "twice" },
  { Fault::Reordered, "reorder" },
  { Fault::DiesBefore, "dies-bef" },
  { Fault::DiesAfter, "dies-aft" },
  { Fault::CutOneWay, "cut-1way" },
  { Fault::CutBothWays, "cut-both" },
  { Fault::DiskFull, "full" },
  { Fault::DiskLost, "disk-lost" },
  { Fault::LongPause, "pause" },
  { Fault::ClockJump, "clock" },
  { Fault::TwoAtOnce, "two" },
} } };

inline constexpr std::size_t kFaultCount = 13;

/** How a step is carried out. */
enum class StepKind : std::uint8_t
{
  /** A message that may be lost, doubled and overtaken. */
  Message,
  /** Bytes of a TCP stream: in order, once, or not at all. */
  Stream,
  /** A proposal of the leader to its own log. */
  Proposal,
  /** The application of a committed entry. */
  Apply,
  /** A write to the disk. */
  Disk,
};

StepKind KindOf(Step aStep);

/** Why a cell makes no sense; nothing if it is applicable. */
std::optional<std::string_view> WhyNotApplicable(Step aStep, Fault aFault);

} // namespace carobtide::matrix
