#include "gateway/published_source.h"

namespace crocusspur::gateway {

bool acceptEra(ServiceDirectory &Directory, PublishedUpdate &Update) {
  uint64_t era = Update.Era.value_or(Directory.ownStoreEra());
  bool accepted = Directory.onStoreEra(era, UpdateOrigin::Store);
  Update.Revision.Era = era;
  Update.RoutesRevision.Era = era;
  for (ServerChange &it : Update.Servers)
    it.Revision.Era = era;
  return accepted;
}

} // namespace crocusspur::gateway
