#include "ticket.h"

#include <doctest/doctest.h>

using namespace crocusspur::internal;

// Guards against instance names with dots or dashes that shift the fields.
TEST_CASE("Ticket preserves instance, incarnation and nonce") {
  std::string text = formatTicket({"e-1.hall.a", 0xabcdef, 77}, 5);
  Ticket parsed;
  REQUIRE(parseTicket(text, 5, parsed));
  CHECK(parsed.Instance == "e-1.hall.a");
  CHECK(parsed.Incarnation == 0xabcdef);
  CHECK(parsed.Nonce == 77);
}

// Guards against callers that forge or alter tickets.
TEST_CASE("Ticket is rejected if altered or signed with another key") {
  std::string text = formatTicket({"e1", 1, 2}, 5);
  Ticket parsed;
  CHECK_FALSE(parseTicket(text, 6, parsed));
  for (size_t i = 0; i < text.size(); ++i) {
    std::string altered = text;
    altered[i] = altered[i] == '1' ? '2' : '1';
    CHECK_MESSAGE(!parseTicket(altered, 5, parsed), altered);
    CHECK_MESSAGE(!parseTicket(text.substr(0, i), 5, parsed), i);
  }
  CHECK(hasTicketPrefix(text));
  CHECK_FALSE(hasTicketPrefix("order-1"));
}
