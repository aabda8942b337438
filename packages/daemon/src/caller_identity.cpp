#include "caller_identity.hpp"

#include "relay_note.hpp"

#include <algorithm>
#include <string>

namespace carobtide {

namespace {

CallerIdentity MakeIdentity(const OrganisationDirectory& aOrganisations,
                            const Organisation* aHolder, const Route& aRoute)
{
  CallerIdentity identity;
  identity.mHasOrganisations = !aOrganisations.IsEmpty();
  if (!identity.mHasOrganisations) {
    return identity;
  }
  identity.mIsPublic = aRoute.mIsPublic;
  identity.mIsAccepted = aHolder != nullptr || aRoute.mIsPublic;
  if (aHolder != nullptr) {
    identity.mOrganisation = aHolder->mName;
    identity.mPriority = aHolder->mPriority;
  }
  return identity;
}

} // namespace

CallerIdentity IdentifyCaller(const OrganisationDirectory& aOrganisations,
                              const CallerRequest& aCaller, const Route& aRoute)
{
  return MakeIdentity(
    aOrganisations,
    aCaller.mKey ? aOrganisations.FindByKey(*aCaller.mKey) : nullptr, aRoute);
}

void WriteIdentity(const CallerIdentity& aIdentity, HttpHeaders& aHeaders)
{
  aHeaders.Add(std::string(kOrganisationHeader),
               aIdentity.mOrganisation.Text());
}

CallerIdentity ReadIdentity(const OrganisationDirectory& aOrganisations,
                            const HttpHeaders& aHeaders, const Route& aRoute)
{
  const OrganisationName name(aHeaders.Get(kOrganisationHeader));
  const Organisation* holder = aOrganisations.Find(name);
  CallerIdentity identity = MakeIdentity(aOrganisations, holder, aRoute);
  if (identity.mHasOrganisations && !name.IsEmpty() && holder == nullptr) {
    identity.mIsAccepted = false;
  }
  return identity;
}

CallerIdentity RenewIdentity(const OrganisationDirectory& aNow,
                             const CallerRequest& aCaller, const Route& aRoute,
                             const CallerIdentity& aIdentity)
{
  return aNow.IsEmpty() ? aIdentity : IdentifyCaller(aNow, aCaller, aRoute);
}

CallerIdentity RenewRelayedIdentity(const OrganisationDirectory& aBefore,
                                    const OrganisationDirectory& aNow,
                                    const Route& aRoute,
                                    const CallerIdentity& aIdentity)
{
  if (aNow.IsEmpty()) {
    return aIdentity;
  }
  const Organisation* before = aBefore.Find(aIdentity.mOrganisation);
  const Organisation* now = aNow.Find(aIdentity.mOrganisation);
  CallerIdentity identity = MakeIdentity(aNow, now, aRoute);
  if (!aIdentity.mOrganisation.IsEmpty()) {
    identity.mIsAccepted =
      before != nullptr && now != nullptr &&
      std::ranges::all_of(before->mKeys, [&](const KeyDigest& aKey) {
        return aNow.FindByKey(aKey) == now;
      });
  }
  return identity;
}

} // namespace carobtide
