// Tickets: idempotency keys made by crocusspur that name the one incarnation of
// the one instance that may execute them.
#ifndef CROCUSSPUR_TICKET_H
#define CROCUSSPUR_TICKET_H

#include <cstdint>
#include <string>

namespace crocusspur::internal {

struct Ticket {
  std::string Instance;
  uint64_t Incarnation = 0;
  uint64_t Nonce = 0;
};

// True if the key has the form of a ticket, whether or not it is valid.
bool hasTicketPrefix(const std::string &Key);

// Text "cst1.<instance>.<incarnation>.<nonce>.<signature>", numbers and
// signature in hexadecimal. The signature is the first 128 bits of HMAC-SHA-256
// under `Secret` over what precedes it.
std::string formatTicket(const Ticket &Item, uint64_t Secret);

// Returns false if the text is malformed or its signature is wrong.
bool parseTicket(const std::string &Text, uint64_t Secret, Ticket &Item);

} // namespace crocusspur::internal

#endif
