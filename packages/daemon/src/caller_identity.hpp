#pragma once

/**
 * @file
 * Which organisation a request belongs to.
 */

#include "carobtide/catalog.hpp"
#include "carobtide/daemon/dialect.hpp"
#include "carobtide/transport/http_types.hpp"

#include <cstdint>
#include <optional>

namespace carobtide {

/** The organisation of a request, as the catalog in force names it. */
struct CallerIdentity
{
  /** The catalog lets the caller use the route. */
  bool mIsAccepted = true;
  /** The catalog has organisations: keys stay at the edge. */
  bool mHasOrganisations = false;
  /** Empty without organisations, or on a public route without a key. */
  OrganisationName mOrganisation;
  /** The organisation's own priority, which replaces the route's. */
  std::optional<std::uint32_t> mPriority;
  /** The route is public: it needs no key and spends no allowance. */
  bool mIsPublic = false;
};

/** Identifies a caller by its key. Thread safety: any thread. */
CallerIdentity IdentifyCaller(const OrganisationDirectory& aOrganisations,
                              const CallerRequest& aCaller,
                              const Route& aRoute);

/**
 * Adds the organisation to a request for another daemon, which has no use for
 * the key. Precondition: aIdentity.mHasOrganisations.
 */
void WriteIdentity(const CallerIdentity& aIdentity, HttpHeaders& aHeaders);

/**
 * Reads what WriteIdentity wrote. Not accepted if this daemon's catalog does
 * not name the organisation, or if the sender names none on a route that is not
 * public.
 */
CallerIdentity ReadIdentity(const OrganisationDirectory& aOrganisations,
                            const HttpHeaders& aHeaders, const Route& aRoute);

/**
 * Identifies a caller again after a change of the catalog. A key that is
 * withdrawn is not accepted; one that another organisation now holds gives that
 * organisation. Without organisations in the newer catalog the identity stays,
 * and the key is still not passed on.
 */
CallerIdentity RenewIdentity(const OrganisationDirectory& aNow,
                             const CallerRequest& aCaller, const Route& aRoute,
                             const CallerIdentity& aIdentity);

/**
 * As RenewIdentity, for a request that another daemon identified. Its key is
 * not known here: it is not accepted if the organisation lost any key since
 * aBefore, so that the daemon which has the key checks it.
 */
CallerIdentity RenewRelayedIdentity(const OrganisationDirectory& aBefore,
                                    const OrganisationDirectory& aNow,
                                    const Route& aRoute,
                                    const CallerIdentity& aIdentity);

} // namespace carobtide
