#pragma once

/**
 * @file
 * What the stand-in process needs of a target, engine or service.
 */

#include "carobtide/base.hpp"

namespace carobtide {

/**
 * A stand-in target.
 *
 * Thread safety: none; all calls on the thread of the target's executor.
 */
class StandinTarget
{
public:
  virtual ~StandinTarget() = default;
  virtual const TargetName& Name() const = 0;
  /** Binds, and starts to announce. */
  virtual Result<Unit> Start() = 0;
  /** The bound address. Precondition: Start succeeded. */
  virtual Endpoint Address() const = 0;
  /** Announces that it leaves; goes on serving. */
  virtual void Leave() = 0;
  virtual void StopAccepting() = 0;
  virtual std::size_t OpenExchanges() const = 0;
};

} // namespace carobtide
