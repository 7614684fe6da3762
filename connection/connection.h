#pragma once

// The public header of the connection library: HTTP servers and clients and peer links, which
// manage objects with the lifetime of one connection. Each object is used only on its owner's event loop and
// thread.
//
//   HttpStore store(base, { .address = "127.0.0.1", .port = 7400 });
//   store.read("log/config/12", [](Result<std::optional<StoredObject>> object) { ... });
//
//   PeerLinks links(base, options, { .up = ..., .down = ..., .frame = ... });
//   links.listen("10.0.0.1:7500");
//   links.connect("10.0.0.2:7500");

#include "connection/eventloop.h"
#include "connection/eventstream.h"
#include "connection/httpcall.h"
#include "connection/httpmessage.h"
#include "connection/httppool.h"
#include "connection/httpserver.h"
#include "connection/httpstore.h"
#include "connection/ingress.h"
#include "connection/memorybudget.h"
#include "connection/peerlink.h"
#include "connection/tcpstream.h"
#include "connection/upstreamclient.h"
