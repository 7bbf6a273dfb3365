#include "gateway/adapter.h"

#include <iostream>
#include <utility>
#include <vector>

namespace crocusspur::gateway {
namespace {

std::vector<Adapter> &registry() {
  static std::vector<Adapter> Entries;
  return Entries;
}

} // namespace

AdapterRegistration::AdapterRegistration(Adapter Entry) {
  registry().push_back(std::move(Entry));
}

const Adapter *findAdapter(const std::string &Name) {
  for (const Adapter &it : registry())
    if (it.Name == Name)
      return &it;
  std::cerr << "crocusspur: unknown adapter " << Name << '\n';
  return nullptr;
}

} // namespace crocusspur::gateway
