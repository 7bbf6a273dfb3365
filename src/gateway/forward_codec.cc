#include "gateway/forward_codec.h"

#include "gateway/wire_text.h"
#include "gateway_peer_generated.h"

#include <algorithm>
#include <utility>

namespace crocusspur::gateway {

std::vector<uint8_t> encode(const ForwardResponse &Frame) {
  flatbuffers::FlatBufferBuilder out;
  flatbuffers::Offset<wire::ForwardHead> head;
  if (const auto &it = Frame.ResponseHead) {
    auto fields = packFields(out, it->Response.Fields);
    auto type = out.CreateString(it->Response.ContentType);
    flatbuffers::Offset<wire::LeavingServer> leaving;
    if (it->LeavingServer)
      leaving = pack(out, LeavingServer{*it->LeavingServer});
    flatbuffers::Offset<wire::ServerProcess> server;
    if (it->OutputServer)
      server = pack(out, *it->OutputServer);
    head = wire::CreateForwardHead(out, it->Response.Status, type,
                                   it->Response.HasLength, it->Response.Length,
                                   fields, it->OutputVersion, leaving, server);
  }
  flatbuffers::Offset<flatbuffers::Vector<uint8_t>> data;
  if (!Frame.Data.empty())
    data = packBytes(out, Frame.Data);
  flatbuffers::Offset<wire::ForwardEnd> end;
  if (Frame.End)
    end = wire::CreateForwardEnd(out, *Frame.End);
  flatbuffers::Offset<wire::ForwardProblem> problem;
  if (const auto &it = Frame.Failure)
    problem = wire::CreateForwardProblem(
        out, static_cast<uint8_t>(it->Item.Kind),
        static_cast<uint8_t>(it->Item.Run),
        static_cast<uint32_t>(it->Item.RetryAfter.count()),
        out.CreateString(it->Item.Detail), it->Elsewhere);
  flatbuffers::Offset<flatbuffers::String> routes;
  if (!Frame.RoutesText.empty())
    routes = out.CreateString(Frame.RoutesText);
  out.Finish(wire::CreateForwardResponse(out, head, data, end, problem,
                                         Frame.ConfigVersion, routes,
                                         Frame.VersionUncertain));
  return {out.GetBufferPointer(), out.GetBufferPointer() + out.GetSize()};
}

std::optional<ForwardResponse>
decodeForwardResponse(std::span<const uint8_t> Bytes) {
  flatbuffers::Verifier verifier(Bytes.data(), Bytes.size());
  if (!verifier.VerifyBuffer<wire::ForwardResponse>(nullptr))
    return std::nullopt;
  const auto &in = *flatbuffers::GetRoot<wire::ForwardResponse>(Bytes.data());
  ForwardResponse frame;
  if (const wire::ForwardHead *it = in.head()) {
    ForwardResponse::Head head;
    head.Response.Status = it->status();
    head.Response.ContentType = textOf(it->content_type());
    head.Response.HasLength = it->has_length();
    head.Response.Length = it->length();
    head.Response.Fields = unpackFields(it->header());
    head.OutputVersion = it->output_version();
    if (it->leaving_server())
      head.LeavingServer = unpack(*it->leaving_server()).Process;
    if (it->output_server())
      head.OutputServer = unpack(it->output_server());
    frame.ResponseHead = std::move(head);
  }
  if (in.data())
    frame.Data.assign(in.data()->begin(), in.data()->end());
  if (in.end())
    frame.End = in.end()->complete();
  if (const wire::ForwardProblem *it = in.problem()) {
    if (it->kind() >= ErrorKindCount ||
        it->run() > static_cast<uint8_t>(ExecutionState::Unknown))
      return std::nullopt;
    ForwardResponse::Problem problem;
    problem.Item.Kind = static_cast<ErrorKind>(it->kind());
    problem.Item.Run = static_cast<ExecutionState>(it->run());
    problem.Item.RetryAfter = Milliseconds(it->retry_after_ms());
    problem.Item.Detail = textOf(it->detail());
    problem.Elsewhere = it->elsewhere();
    frame.Failure = std::move(problem);
  }
  frame.ConfigVersion = in.config_version();
  frame.RoutesText = textOf(in.routes_text());
  frame.VersionUncertain = in.version_uncertain();
  return frame;
}

} // namespace crocusspur::gateway
