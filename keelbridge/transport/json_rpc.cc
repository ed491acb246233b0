#include "keelbridge/transport/json_rpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>
#include <utility>

namespace keelbridge {
namespace {

// Messages that are longer or nested more deeply are rejected before the
// library parses them.
constexpr size_t kMaxRequestBytes = 4 << 20;
constexpr int kMaxNesting = 64;

bool ExceedsMaxNesting(const std::string& text) {
  int depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
      continue;
    }
    if (c == '"') in_string = true;
    if (c == '{' || c == '[') ++depth;
    if (c == '}' || c == ']') --depth;
    if (depth > kMaxNesting) return true;
  }
  return false;
}

class TransportConnector : public jsonrpc::IClientConnector {
 public:
  explicit TransportConnector(const JsonRpcTransport& transport)
      : transport_(transport) {}

  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    result = transport_(message);
    if (result.empty())
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      "no answer");
  }

 private:
  const JsonRpcTransport& transport_;
};

}  // namespace

class JsonRpcServer::Impl : public jsonrpc::IProcedureInvokationHandler {
 public:
  Impl()
      : protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {}

  void Add(const std::string& name, Method method) {
    methods_[name] = std::move(method);
    protocol_->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                               jsonrpc::JSON_OBJECT, nullptr));
  }

  std::string Dispatch(const std::string& request) const {
    std::string answer;
    if (request.size() > kMaxRequestBytes || ExceedsMaxNesting(request)) {
      return R"({"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"request too long or too deep"}})";
    }
    protocol_->HandleRequest(request, answer);
    return answer;
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    JsonRpcReply reply;
    try {
      reply = methods_.at(procedure.GetProcedureName())(input);
    } catch (const Json::Exception& e) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                      e.what());
    }
    if (reply.error_code != 0)
      throw jsonrpc::JsonRpcException(reply.error_code, reply.error_message);
    output = reply.result;
  }

  void HandleNotificationCall(jsonrpc::Procedure&,
                              const Json::Value&) override {}

 private:
  std::map<std::string, Method> methods_;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
};

JsonRpcServer::JsonRpcServer() : impl_(new Impl()) {}
JsonRpcServer::~JsonRpcServer() = default;

void JsonRpcServer::Add(const std::string& name, Method method) {
  impl_->Add(name, std::move(method));
}

std::string JsonRpcServer::Dispatch(const std::string& request) const {
  return impl_->Dispatch(request);
}

JsonRpcReply CallJsonRpc(const std::string& method, const Json::Value& params,
                         const JsonRpcTransport& transport) {
  JsonRpcReply reply;
  TransportConnector connector(transport);
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  try {
    client.CallMethod(method, params, reply.result);
  } catch (const jsonrpc::JsonRpcException& e) {
    reply.error_code = e.GetCode() == 0
                           ? jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR
                           : e.GetCode();
    reply.error_message = e.GetMessage();
  } catch (const Json::Exception& e) {
    reply.error_code = jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR;
    reply.error_message = e.what();
  }
  return reply;
}

}  // namespace keelbridge
