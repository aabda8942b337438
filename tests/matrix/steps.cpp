#include "steps.hpp"

namespace carobtide::matrix {

StepKind KindOf(Step aStep)
{
  switch (aStep) {
    case Step::PersistVote:
    case Step::PersistEntries:
    case Step::PersistSnapshot:
      return StepKind::Disk;
    case Step::AttemptDispatch:
    case Step::AttemptFirstByte:
    case Step::AttemptChunk:
    case Step::AttemptEnd:
    case Step::OrderDispatch:
    case Step::OrderAnswer:
      return StepKind::Stream;
    case Step::LoadPropose:
    case Step::LoadConfirm:
    case Step::UnloadPropose:
    case Step::UnloadConfirm:
    case Step::FinishRoll:
    case Step::AddLearner:
    case Step::Promote:
    case Step::RemoveMember:
      return StepKind::Proposal;
    case Step::LoadCommit:
    case Step::UnloadCommit:
      return StepKind::Apply;
    default:
      return StepKind::Message;
  }
}

std::optional<std::string_view> WhyNotApplicable(Step aStep, Fault aFault)
{
  const StepKind kind = KindOf(aStep);
  if (kind == StepKind::Disk) {
    switch (aFault) {
      case Fault::Lost:
        return "a write that fails is the column full, one forgotten is the "
               "column disk-lost";
      case Fault::Twice:
        return "a write is reported by a local call, once";
      case Fault::Reordered:
        return "one thread writes one batch after the other";
      default:
        return std::nullopt;
    }
  }
  if (kind == StepKind::Apply) {
    switch (aFault) {
      case Fault::Lost:
      case Fault::Late:
      case Fault::Twice:
      case Fault::Reordered:
        return "entries are applied by a local call in log order; faults of "
               "the log's messages have their own rows";
      default:
        return std::nullopt;
    }
  }
  if (kind == StepKind::Stream && aFault == Fault::Twice) {
    return "TCP delivers each byte at most once";
  }
  return std::nullopt;
}

} // namespace carobtide::matrix
