#pragma once

/**
 * @file
 * Result<T>: a value or an Error.
 */

#include "carobtide/base/error.hpp"

#include <cassert>
#include <stdexcept>
#include <utility>
#include <variant>

namespace carobtide {

/** Thrown by Result::ValueOrThrow when the result holds an error. */
class ResultError : public std::runtime_error
{
public:
  explicit ResultError(Error aError)
    : std::runtime_error(aError.ToString())
    , mError(std::move(aError))
  {
  }

  const Error& GetError() const { return mError; }

private:
  Error mError;
};

/** The value of a Result that carries nothing but success. */
using Unit = std::monostate;

/**
 * Either a value or an Error.
 *
 * Usable checked (`if (result) ...`, `result.Get(value)`) and by value
 * (`ValueOrThrow()`), so that both styles read well.
 *
 * Thread safety: as for the value it holds.
 *
 * Example:
 *
 *     Bundle bundle;
 *     if (auto ec = ParseBundle(text).Get(bundle); ec != ErrorCode::Ok) {
 *       return ec;
 *     }
 */
template<class T>
class [[nodiscard]] Result
{
public:
  /** An error without step or peer; coroutine machinery needs it. */
  Result()
    : mState(std::in_place_index<1>)
  {
  }

  Result(T aValue)
    : mState(std::in_place_index<0>, std::move(aValue))
  {
  }

  Result(Error aError)
    : mState(std::in_place_index<1>, std::move(aError))
  {
  }

  /** True if the result holds a value. */
  bool HasValue() const { return mState.index() == 0; }
  explicit operator bool() const { return HasValue(); }

  /** The value. Precondition: HasValue(). */
  T& Value()
  {
    assert(HasValue());
    return *std::get_if<0>(&mState);
  }
  const T& Value() const
  {
    assert(HasValue());
    return *std::get_if<0>(&mState);
  }
  T& operator*() { return Value(); }
  const T& operator*() const { return Value(); }
  T* operator->() { return &Value(); }
  const T* operator->() const { return &Value(); }

  /** The error. Precondition: !HasValue(). */
  const Error& GetError() const
  {
    assert(!HasValue());
    return *std::get_if<1>(&mState);
  }

  /** The error's code, or ErrorCode::Ok. */
  ErrorCode Code() const
  {
    return HasValue() ? ErrorCode::Ok : GetError().mCode;
  }

  /** Moves the value out if there is one; returns the code either way. */
  ErrorCode Get(T& aOut) &&
  {
    if (HasValue()) {
      aOut = std::move(Value());
    }
    return Code();
  }

  /** Returns the value, or throws ResultError. */
  T ValueOrThrow() &&
  {
    if (!HasValue()) {
      throw ResultError(GetError());
    }
    return std::move(Value());
  }

private:
  std::variant<T, Error> mState;
};

/** Makes a successful Result<Unit>. */
inline Result<Unit> Success()
{
  return Unit{};
}

} // namespace carobtide
