#pragma once

// The public header of the base library: errors, time, parsing of numbers, endpoints, hashing, compression,
// random numbers, logging, crash reports and JSON access.
//
//   Result<Port> parsePort(std::string_view text)
//   {
//       if (text.empty())
//           return Error { ErrorKind::InvalidArgument, "port is empty: give a number from 1 to 65535" };
//       ...
//   }

#include "base/compression.h"
#include "base/crashreport.h"
#include "base/endpoint.h"
#include "base/error.h"
#include "base/hash.h"
#include "base/inherited.h"
#include "base/json.h"
#include "base/jsonscan.h"
#include "base/log.h"
#include "base/logtrace.h"
#include "base/number.h"
#include "base/random.h"
#include "base/time.h"
