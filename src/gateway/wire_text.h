// Texts, header fields and processes of servers in FlatBuffers messages between
// instances.
#ifndef CROCUSSPUR_GATEWAY_WIRE_TEXT_H
#define CROCUSSPUR_GATEWAY_WIRE_TEXT_H

#include "gateway/http_codec.h"
#include "gateway_peer_generated.h"

#include <string>
#include <string_view>
#include <vector>

namespace crocusspur::gateway {

inline std::string textOf(const flatbuffers::String *Text) {
  return Text ? Text->str() : std::string();
}

inline flatbuffers::Offset<flatbuffers::Vector<uint8_t>>
packBytes(flatbuffers::FlatBufferBuilder &Out, std::string_view Bytes) {
  return Out.CreateVector(reinterpret_cast<const uint8_t *>(Bytes.data()),
                          Bytes.size());
}

using WireFields = flatbuffers::Vector<flatbuffers::Offset<wire::HeaderField>>;

inline flatbuffers::Offset<WireFields>
packFields(flatbuffers::FlatBufferBuilder &Out, const HeaderFields &Fields) {
  std::vector<flatbuffers::Offset<wire::HeaderField>> all;
  for (const auto &[name, value] : Fields) {
    auto key = Out.CreateString(name);
    all.push_back(wire::CreateHeaderField(Out, key, Out.CreateString(value)));
  }
  return Out.CreateVector(all);
}

inline HeaderFields unpackFields(const WireFields *Fields) {
  HeaderFields all;
  if (Fields)
    for (const wire::HeaderField *it : *Fields)
      all.emplace_back(textOf(it->name()), textOf(it->value()));
  return all;
}

// Null if no server is named.
inline flatbuffers::Offset<wire::ServerProcess>
pack(flatbuffers::FlatBufferBuilder &Out, const ServerProcess &Item) {
  if (Item.Id.empty())
    return {};
  auto id = Out.CreateString(Item.Id);
  auto address = Out.CreateString(Item.Address);
  auto version = Out.CreateString(Item.Version);
  return wire::CreateServerProcess(Out, id, Item.StartedAt, address, version);
}

inline ServerProcess unpack(const wire::ServerProcess *Item) {
  if (!Item)
    return {};
  return {textOf(Item->id()), Item->started_at(), textOf(Item->address()),
          textOf(Item->version())};
}

inline flatbuffers::Offset<wire::LeavingServer>
pack(flatbuffers::FlatBufferBuilder &Out, const LeavingServer &Item) {
  auto id = Out.CreateString(Item.Process.Id);
  auto address = Out.CreateString(Item.Process.Address);
  auto version = Out.CreateString(Item.Process.Version);
  return wire::CreateLeavingServer(Out, id, Item.Process.StartedAt, address,
                                   version,
                                   static_cast<uint32_t>(Item.Age.count()));
}

inline LeavingServer unpack(const wire::LeavingServer &Item) {
  return {{textOf(Item.server()), Item.started_at(), textOf(Item.address()),
           textOf(Item.version())},
          Milliseconds(Item.ago_ms())};
}

} // namespace crocusspur::gateway

#endif
