#include "command_check.h"

#include "crocusspur/settings.h"

#include <boost/leaf/handle_errors.hpp>
#include <iostream>

namespace crocusspur::internal {

int runCheck(const std::string &File) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_CHECK(loadSettings(File));
        std::cout << File << ": ok\n";
        return 0;
      },
      [](const MistakeList &List) {
        for (const Mistake &it : List.Mistakes)
          std::cerr << it.str() << '\n';
        return 2;
      },
      [&] {
        std::cerr << File << ": internal error while reading\n";
        return 2;
      });
}

} // namespace crocusspur::internal
