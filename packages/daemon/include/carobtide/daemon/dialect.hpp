#pragma once

/**
 * @file
 * What callers, targets and operators of a deployment speak, behind one
 * interface.
 */

#include "carobtide/catalog.hpp"
#include "carobtide/fleet.hpp"
#include "carobtide/placement/engine_tracker.hpp"
#include "carobtide/routing/dispatcher.hpp"
#include "carobtide/transport/http_types.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobtide {

/** What a caller's request says besides its method, path and body. */
struct CallerRequest
{
  /** Identifies the request at targets and in logs. */
  std::string mId;
  /** Host header, for the choice of the route. */
  std::string mHost;
  ModelName mModel;
  AdapterName mAdapter;
  /** Identifies the prompt's longest shared part; 0 if there is none. */
  std::uint64_t mSharedPrefix = 0;
  /** The shared parts of the prompt in order, as the caller names them. */
  std::vector<std::string> mSharedParts;
  /** Tokens of the prompt; 0 if the caller does not say. */
  std::uint32_t mPromptTokens = 0;
  /** Tokens that the answer may have at most; 0 if the caller does not say. */
  std::uint32_t mAnswerTokens = 0;
  /** The caller states both numbers. */
  bool mStatesTokens = false;
  /** Digest of the caller's key; nothing without exactly one usable key. */
  std::optional<KeyDigest> mKey;
  KeyHeader mKeyHeader = KeyHeader::Absent;
  /** How long the caller waits; nothing if it does not say. */
  std::optional<Duration> mPatience;
  /** The last event that the caller has of a stream; empty if it has none. */
  std::string mAfterEvent;
  /** Id of the request that brought the first event of that stream. */
  std::string mResumes;
};

/** What the system itself adds to a request that it sends to a target. */
struct TargetCall
{
  /** Any other target must refuse it. */
  TargetName mTarget;
  /** How long the answer is of use. */
  Duration mPatience{ 0 };
  /** Nothing for targets that are no engines. */
  std::optional<std::uint32_t> mUrgency;
  /** Continue a stream after this event; empty: from its start. */
  std::string mAfterEvent;
  /**
   * The catalog has organisations: the caller's key and what it says of its
   * organisation are not passed on.
   */
  bool mHasOrganisations = false;
  /** The caller's organisation; empty on a public route without a key. */
  OrganisationName mOrganisation;
};

/** What the head of a target's answer says. */
struct TargetHead
{
  /** It answers this request and not another one. */
  bool mIsForRequest = false;
  /** The target declares that it did not run the request. */
  bool mNotRun = false;
  /** It bears the target's signature, and its body is unaltered. */
  bool mIsSigned = false;
  /** The target leaves: it wants nothing new. */
  bool mLeaves = false;
  /** The target has no room and wants nothing from this daemon for so long. */
  std::optional<Duration> mPause;
  /**
   * Requests a second that the target takes from all daemons together; kNone if
   * it states no limit, nothing if what it states cannot be read.
   */
  std::optional<double> mLimit = RateLimit::kNone;
  /**
   * Requests a second that the target can refuse for want of room without
   * falling over; kNone and nothing as above.
   */
  std::optional<double> mRefusals = RateLimit::kNone;
};

/** Calls to a control daemon. */
enum class ControlCallKind : std::uint8_t
{
  Heartbeat,
  Leave,
  PutCatalog,
  GetCatalog,
  Unknown,
};

struct ControlCall
{
  ControlCallKind mKind = ControlCallKind::Unknown;
  /** Of a heartbeat or a leave. */
  TargetName mTarget;
};

/**
 * Translates between the product's types and the messages of a deployment.
 *
 * Thread safety: stateless; safe from any thread.
 */
class Dialect
{
public:
  virtual ~Dialect() = default;
  virtual std::string_view Name() const = 0;

  // Callers.

  virtual CallerRequest ReadCaller(const HttpRequest& aRequest) const = 0;
  /** The headers without the caller's key, for another daemon. */
  virtual HttpHeaders WithoutKey(const HttpHeaders& aHeaders) const = 0;
  virtual bool IsReadinessCheck(const HttpRequest& aRequest) const = 0;
  /** An answer of the system's own. A pause of zero is left out. */
  virtual HttpResponse MakeAnswer(std::uint16_t aStatus,
                                  const CallerRequest& aRequest,
                                  Duration aRetryAfter,
                                  std::string_view aReason) const = 0;

  // Targets.

  /**
   * The request for a target without its body, which is sent as it is; method
   * and path stay as well.
   */
  virtual HttpRequest MakeTargetRequest(const HttpRequest& aRequest,
                                        const TargetCall& aCall) const = 0;
  virtual TargetHead ReadTargetHead(const HttpResponseHead& aHead,
                                    const CallerRequest& aRequest) const = 0;
  /** Malformed on anything that names no target to use. */
  virtual Result<Heartbeat> ReadHeartbeat(const TargetName& aTarget,
                                          std::string_view aBody) const = 0;
  /** The incarnation that leaves; zero if the body does not say. */
  virtual Result<Incarnation> ReadLeave(std::string_view aBody) const = 0;
  virtual HttpRequest MakeOrder(const ResidencyOrder& aOrder,
                                const DaemonName& aHolder,
                                FencingToken aFence) const = 0;
  virtual ResidencyAnswer ReadOrderAnswer(std::uint16_t aStatus) const = 0;
  virtual HttpRequest MakeReportRequest(const TargetName& aTarget) const = 0;
  virtual Result<EngineReport> ReadReport(std::string_view aBody) const = 0;

  // Control daemons.

  virtual ControlCall ReadControlCall(const HttpRequest& aRequest) const = 0;
  /** Malformed on anything that cannot be read in full. */
  virtual Result<Catalog> ReadCatalog(std::string_view aText) const = 0;
};

/** A copy of headers without those that concern one connection only. */
HttpHeaders EndToEndHeaders(const HttpHeaders& aHeaders);

} // namespace carobtide
