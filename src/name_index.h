// Lookup by name in vectors of published entries, through an index of their
// positions sorted by name. The index stays valid when the vector is copied.
#ifndef CROCUSSPUR_NAME_INDEX_H
#define CROCUSSPUR_NAME_INDEX_H

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <string>
#include <vector>

namespace crocusspur::internal {

// Entries with the same name keep their order.
template <typename T>
std::vector<uint32_t> indexByName(const std::vector<T> &Items) {
  std::vector<uint32_t> index(Items.size());
  std::iota(index.begin(), index.end(), 0);
  std::stable_sort(index.begin(), index.end(), [&](uint32_t A, uint32_t B) {
    return Items[A].Name < Items[B].Name;
  });
  return index;
}

// Returns null if there is no such entry. Searches all entries if the index has
// another size than the items.
template <typename T>
const T *findByName(const std::vector<T> &Items,
                    const std::vector<uint32_t> &Index,
                    const std::string &Name) {
  if (Index.size() != Items.size()) {
    auto it = std::find_if(Items.begin(), Items.end(),
                           [&](const T &It) { return It.Name == Name; });
    return it == Items.end() ? nullptr : &*it;
  }
  auto at = std::lower_bound(Index.begin(), Index.end(), Name,
                             [&](uint32_t Position, const std::string &Wanted) {
                               return Items[Position].Name < Wanted;
                             });
  bool found = at != Index.end() && Items[*at].Name == Name;
  return found ? &Items[*at] : nullptr;
}

} // namespace crocusspur::internal

#endif
