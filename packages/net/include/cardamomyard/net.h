#ifndef CARDAMOMYARD_NET_H_
#define CARDAMOMYARD_NET_H_

/// \file
/// Public header of the package net: HTTP server and client, request signing,
/// error bodies and traffic threads. Beast and JSON headers stay inside.

#include "src/net/answer_reader.h"
#include "src/net/connection_probe.h"
#include "src/net/error_body.h"
#include "src/net/event_reader.h"
#include "src/net/event_sequence.h"
#include "src/net/host_address.h"
#include "src/net/http_client.h"
#include "src/net/http_message.h"
#include "src/net/http_server.h"
#include "src/net/message_rules.h"
#include "src/net/request_signer.h"
#include "src/net/server_resources.h"
#include "src/net/sleep.h"
#include "src/net/target.h"
#include "src/net/thread_pool.h"

#endif  // CARDAMOMYARD_NET_H_
